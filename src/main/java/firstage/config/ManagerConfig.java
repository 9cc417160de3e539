package firstage.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.JsonEOFException;
import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the platform tells a workload manager at its start: who it is, where it listens, its limits,
 * where the coordinator is, the engines known so far, and the deployment's settings.
 */
public record ManagerConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress coordinatorAddress,
        int maxFileDescriptors,
        int memoryLimitMb,
        Map<?, ?> initialEndpoints,
        WireFields settings,
        Deployment deployment) {

    /**
     * Descriptors for what is no connection to an engine or a client: files, selectors, the
     * coordinator.
     */
    private static final int RESERVED_DESCRIPTORS = 40;

    private static final int EXCESS_CLIENT_CONNECTIONS = 16;
    private static final int CLIENT_MEMORY_DIVISOR = 8;
    private static final long MAX_COUNTED_TIMEOUT = 30_000;
    private static final long SHUTDOWN_MARGIN = 7_000;

    /**
     * How many connections clients may hold: they hold a third of the descriptors, and some should
     * not be there.
     */
    public int maxClientConnections() {
        return maxFileDescriptors > 0
                ? maxFileDescriptors / 3 + EXCESS_CLIENT_CONNECTIONS
                : Integer.MAX_VALUE / 2;
    }

    /**
     * How many bytes of statements and answers may be kept for clients: an eighth of the memory.
     */
    public long maxClientBytes() {
        return memoryLimitMb > 0
                ? memoryLimitMb * (1L << 20) / CLIENT_MEMORY_DIVISOR
                : Long.MAX_VALUE / 2;
    }

    /** How many connections to engines may be held: what is left. */
    public int maxEngineConnections() {
        return maxFileDescriptors > 0
                ? Math.max(1, maxFileDescriptors - RESERVED_DESCRIPTORS - maxClientConnections())
                : Integer.MAX_VALUE / 2;
    }

    /**
     * After SIGTERM it is killed no sooner: the longest time limit, 3 s where it is longer, and 0.7
     * s more.
     */
    public long shutdownTimeout() {
        long longest =
                deployment.trafficClasses().stream()
                        .mapToLong(TrafficClass::timeout)
                        .max()
                        .orElse(0);
        return Math.min(longest, MAX_COUNTED_TIMEOUT) + SHUTDOWN_MARGIN;
    }

    /** Reads it; the message of the exception names the fault. */
    public static ManagerConfig read(Path file) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(file.toFile())) {
            if (in.nextToken() == null) {
                throw new JsonEOFException(in, null, file + " is empty");
            }
            if (!(value(in) instanceof Map<?, ?> all)
                    || !(all.get("settings") instanceof Map<?, ?> settings)) {
                throw new MalformedLineException("no settings");
            }
            WireFields top = new WireFields(all);
            Map<Object, Object> told = new LinkedHashMap<>(settings);
            told.put("init_seed", seed(top.getString("seed", "0")));
            WireFields fields = new WireFields(told);
            return new ManagerConfig(
                    top.getString("name", "manager"),
                    parseAddress(top.require("listen")),
                    top.has("coordinator") ? parseAddress(top.require("coordinator")) : null,
                    top.getInt("limits.sockets", 0),
                    top.getInt("limits.memory_mb", 0),
                    all.get("known") instanceof Map<?, ?> known ? known : Map.of(),
                    fields,
                    SettingsParser.parse(fields));
        }
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException fault) {
            return hex.hashCode();
        }
    }

    /** Host and port, as numbers: there are no names to look up. */
    public static InetSocketAddress parseAddress(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        try {
            String host = hostPort.substring(0, colon);
            if (!host.matches("[0-9.]+|[0-9a-fA-F:\\[\\]]+")) {
                throw new MalformedLineException("no address: " + hostPort);
            }
            return new InetSocketAddress(host, Integer.parseInt(hostPort.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException fault) {
            throw new MalformedLineException("no address: " + hostPort);
        }
    }

    private static Object value(JsonParser in) throws IOException {
        if (in.currentToken() == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                map.put(name, value(in));
            }
            return map;
        }
        if (in.currentToken() == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY && in.currentToken() != null) {
                list.add(value(in));
            }
            return list;
        }
        return in.currentToken() == JsonToken.VALUE_NULL || in.currentToken() == null
                ? null
                : in.getText();
    }
}
