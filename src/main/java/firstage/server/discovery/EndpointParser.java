package firstage.server.discovery;

import firstage.config.MalformedLineException;
import firstage.config.ManagerConfig;
import firstage.config.WireFields;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.server.ServerEvents.Listed;
import firstage.server.TickClock;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Reads the engines of one event, from a frame or from JSON. */
final class EndpointParser {
    private static final int SIZE = 27;
    private static final double THOUSANDTHS = 1_000;
    private final TickClock clock;
    private final List<String> zones;
    private final List<String> kinds;

    EndpointParser(TickClock clock, WireFields settings) {
        this.clock = clock;
        zones = Arrays.asList(settings.getString("areas", "").split(","));
        kinds = Arrays.asList(settings.getString("kinds", "").split(","));
    }

    List<Listed> read(ByteBuffer payload) throws IOException {
        if (payload.remaining() % SIZE != 0) {
            throw new IOException("a piece of a record");
        }
        List<Listed> engines = new ArrayList<>();
        while (payload.hasRemaining()) {
            long id = payload.getInt() & 0xFFFFFFFFL;
            byte[] address = new byte[4];
            payload.get(address);
            int port = payload.getShort() & 0xFFFF;
            Lifecycle standing =
                    switch (payload.get()) {
                        case 0 -> Lifecycle.ACTIVE;
                        case 1 -> Lifecycle.DRAINING;
                        case 2 -> Lifecycle.GONE;
                        default -> throw new IOException("an unknown state");
                    };
            int zone = payload.get() & 0xFF;
            int kind = payload.get() & 0xFF;
            int cell = payload.getShort() & 0xFFFF;
            double weight = (payload.getInt() & 0xFFFFFFFFL) / THOUSANDTHS;
            long started = payload.getLong();
            engines.add(
                    new Listed(
                            id,
                            new InetSocketAddress(InetAddress.getByAddress(address), port),
                            zone,
                            kind,
                            cell,
                            standing,
                            weight,
                            clock.of(started)));
        }
        return engines;
    }

    List<Listed> read(List<?> instances) {
        List<Listed> engines = new ArrayList<>();
        for (Object instance : instances) {
            WireFields f = new WireFields((Map<?, ?>) instance);
            Lifecycle standing =
                    switch (f.getString("lifecycle", "Ready")) {
                        case "Ready" -> Lifecycle.ACTIVE;
                        case "Terminating" -> Lifecycle.DRAINING;
                        default -> Lifecycle.GONE;
                    };
            engines.add(
                    new Listed(
                            id(f.require("instanceId")),
                            ManagerConfig.parseAddress(f.require("hostPort")),
                            zones.indexOf(WireFields.escapeCommas(f.getString("zone", ""))),
                            kinds.indexOf(WireFields.escapeCommas(f.getString("machineType", ""))),
                            f.getInt("cell", 0),
                            standing,
                            f.getDouble("weight", 1),
                            clock.of(f.getLong("startedAtMs", 0))));
        }
        return engines;
    }

    private static long id(String text) {
        try {
            return Long.parseLong(text.substring(text.indexOf('-') + 1), 16);
        } catch (NumberFormatException fault) {
            throw new MalformedLineException("no engine's id: " + text);
        }
    }
}
