package firstage.config;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass;
import firstage.util.Ticks;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * A workload manager's configuration, which the platform writes before its start.
 *
 * @param name its name, for logs
 * @param listenAddress where clients reach it
 * @param coordinatorAddress where endpoint lists come from, or null where there is none
 * @param maxFileDescriptors the descriptors that it may hold; 0 where unlimited
 * @param memoryLimitMb the memory that it may use; 0 where unlimited
 * @param initialEndpoints the endpoint list known so far, as JSON maps and lists; empty if none
 * @param settings the deployment's settings, with the manager's random seed
 * @param deployment the settings in the terms of the scheduling policy
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

    /** For what is no connection to an engine or a client: files, selectors, the coordinator. */
    private static final int RESERVED_DESCRIPTORS = 40;

    /** Connections beside the clients' third, to answer those that should not be there. */
    private static final int EXCESS_CLIENT_CONNECTIONS = 16;

    private static final int CLIENT_DESCRIPTOR_DIVISOR = 3;
    private static final int CLIENT_MEMORY_DIVISOR = 8;
    private static final long BYTES_PER_MB = 1L << 20;

    // Half, so that sums of two such limits stay in range.
    private static final int UNLIMITED_CONNECTIONS = Integer.MAX_VALUE / 2;
    private static final long UNLIMITED_BYTES = Long.MAX_VALUE / 2;

    private static final long MAX_COUNTED_TIMEOUT = Ticks.ofSeconds(3);
    private static final long SHUTDOWN_MARGIN = Ticks.ofMillis(700);

    /** How many connections clients may hold: a third of the descriptors, and some in excess. */
    public int maxClientConnections() {
        return maxFileDescriptors > 0
                ? maxFileDescriptors / CLIENT_DESCRIPTOR_DIVISOR + EXCESS_CLIENT_CONNECTIONS
                : UNLIMITED_CONNECTIONS;
    }

    /** How many bytes of statements and answers may be kept for clients. */
    public long maxClientBytes() {
        return memoryLimitMb > 0
                ? memoryLimitMb * BYTES_PER_MB / CLIENT_MEMORY_DIVISOR
                : UNLIMITED_BYTES;
    }

    /** How many connections to engines may be held: what clients and the reserve leave. */
    public int maxEngineConnections() {
        return maxFileDescriptors > 0
                ? Math.max(1, maxFileDescriptors - RESERVED_DESCRIPTORS - maxClientConnections())
                : UNLIMITED_CONNECTIONS;
    }

    /**
     * The ticks after SIGTERM before which the platform does not kill it: the longest timeout of a
     * traffic class, counted up to 3 s, and a margin.
     */
    public long shutdownTimeout() {
        long longestTimeout =
                deployment.trafficClasses().stream()
                        .mapToLong(TrafficClass::timeout)
                        .max()
                        .orElse(0);
        return Math.min(longestTimeout, MAX_COUNTED_TIMEOUT) + SHUTDOWN_MARGIN;
    }

    /**
     * Parses host and port. The host is numeric: no name is looked up.
     *
     * @throws MalformedLineException where it is none; the message names it
     */
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
}
