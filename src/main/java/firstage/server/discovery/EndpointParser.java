package firstage.server.discovery;

import firstage.config.InvalidInputException;
import firstage.config.ManagerConfig;
import firstage.config.SettingsKeys;
import firstage.config.WireFields;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.server.ServerEvents.DiscoveredEndpoint;
import firstage.server.TickClock;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the endpoints of one update, from the payload of a binary frame or from the JSON of a
 * configuration.
 */
final class EndpointParser {
    private static final int RECORD_BYTES = 27;
    private static final double WEIGHT_SCALE = 1_000;

    /** Start time of an engine, as listed (Unix time in ms) and in ticks. */
    private record StartTime(long unixMs, long ticks) {}

    private final TickClock clock;

    /** Start times by engine id, of the engines that are not gone. */
    private final Map<Long, StartTime> startTimes = new HashMap<>();

    private final List<String> zones;
    private final List<String> machineTypes;

    EndpointParser(TickClock clock, WireFields settings) {
        this.clock = clock;
        zones = Arrays.asList(settings.getString(SettingsKeys.ZONE_NAMES, "").split(","));
        machineTypes =
                Arrays.asList(settings.getString(SettingsKeys.MACHINE_TYPE_NAMES, "").split(","));
    }

    List<DiscoveredEndpoint> parse(ByteBuffer payload) throws IOException {
        if (payload.remaining() % RECORD_BYTES != 0) {
            throw new IOException("endpoint record is truncated");
        }
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        while (payload.hasRemaining()) {
            long id = payload.getInt() & 0xFFFFFFFFL;
            byte[] address = new byte[4];
            payload.get(address);
            int port = payload.getShort() & 0xFFFF;
            Lifecycle lifecycle =
                    switch (payload.get()) {
                        case 0 -> Lifecycle.ACTIVE;
                        case 1 -> Lifecycle.DRAINING;
                        case 2 -> Lifecycle.GONE;
                        default -> throw new IOException("unknown endpoint state");
                    };
            int zone = payload.get() & 0xFF;
            int machineType = payload.get() & 0xFF;
            int cell = payload.getShort() & 0xFFFF;
            double weight = (payload.getInt() & 0xFFFFFFFFL) / WEIGHT_SCALE;
            long startedAtMs = payload.getLong();
            endpoints.add(
                    new DiscoveredEndpoint(
                            id,
                            new InetSocketAddress(InetAddress.getByAddress(address), port),
                            zone,
                            machineType,
                            cell,
                            lifecycle,
                            weight,
                            startTicks(id, lifecycle, startedAtMs)));
        }
        return endpoints;
    }

    /**
     * Returns the start time of an engine in ticks. The result is the same for each event with the
     * same engine and start time, even if the system clock is adjusted in between.
     */
    private long startTicks(long id, Lifecycle lifecycle, long startedAtMs) {
        if (lifecycle == Lifecycle.GONE) {
            startTimes.remove(id);
            return clock.fromUnixMillis(startedAtMs);
        }
        StartTime known = startTimes.get(id);
        if (known == null || known.unixMs != startedAtMs) {
            known = new StartTime(startedAtMs, clock.fromUnixMillis(startedAtMs));
            startTimes.put(id, known);
        }
        return known.ticks;
    }

    List<DiscoveredEndpoint> parse(List<?> instances) {
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        for (Object instance : instances) {
            WireFields fields = new WireFields((Map<?, ?>) instance);
            Lifecycle lifecycle =
                    switch (fields.getString("lifecycle", "Ready")) {
                        case "Ready" -> Lifecycle.ACTIVE;
                        case "Terminating" -> Lifecycle.DRAINING;
                        default -> Lifecycle.GONE;
                    };
            long id = parseEngineId(fields.require("instanceId"));
            endpoints.add(
                    new DiscoveredEndpoint(
                            id,
                            ManagerConfig.parseAddress(fields.require("hostPort")),
                            zones.indexOf(WireFields.escapeCommas(fields.getString("zone", ""))),
                            machineTypes.indexOf(
                                    WireFields.escapeCommas(fields.getString("machineType", ""))),
                            fields.getInt("cell", 0),
                            lifecycle,
                            fields.getDouble("weight", 1),
                            startTicks(id, lifecycle, fields.getLong("startedAtMs", 0))));
        }
        return endpoints;
    }

    private static long parseEngineId(String text) {
        try {
            return Long.parseLong(text.substring(text.indexOf('-') + 1), 16);
        } catch (NumberFormatException exception) {
            throw new InvalidInputException("no engine's id: " + text);
        }
    }
}
