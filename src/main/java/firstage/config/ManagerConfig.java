package firstage.config;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass;
import firstage.util.Ticks;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Configuration of a workload manager, which the platform writes before the manager starts.
 *
 * @param name the manager's name, for logs
 * @param listenAddress the address at which clients connect
 * @param coordinatorAddress the coordinator, which publishes endpoint lists, or null if there is
 *     none
 * @param maxFileDescriptors the number of file descriptors that the manager may hold; 0 if
 *     unlimited
 * @param memoryLimitMb the memory in MB that the manager may use; 0 if unlimited
 * @param initialEndpoints the endpoint list known at the start, as JSON maps and lists; empty if
 *     none
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

    /**
     * Number of file descriptors reserved for everything but connections to engines and clients:
     * files, selectors, the coordinator.
     */
    private static final int RESERVED_DESCRIPTORS = 40;

    /**
     * Number of client connections beyond the clients' third of the descriptors, used only to
     * answer clients that connect in excess of that third.
     */
    private static final int EXCESS_CLIENT_CONNECTIONS = 16;

    private static final int CLIENT_DESCRIPTOR_DIVISOR = 3;
    private static final int CLIENT_MEMORY_DIVISOR = 8;
    private static final long BYTES_PER_MB = 1L << 20;

    /** An id takes some 80 bytes, so that those of both kinds take 2% of the memory. */
    private static final int SPENT_REQUEST_IDS_PER_MB = 128;

    private static final int DEFAULT_SPENT_REQUEST_IDS = 64 * 1024;

    // Half of the range, so that the sum of two such limits does not overflow.
    private static final int UNLIMITED_CONNECTIONS = Integer.MAX_VALUE / 2;
    private static final long UNLIMITED_BYTES = Long.MAX_VALUE / 2;

    /** Upper limit, in the shutdown timeout, for the longest timeout of a traffic class. */
    private static final long MAX_COUNTED_TIMEOUT = Ticks.ofSeconds(3);

    private static final long SHUTDOWN_MARGIN = Ticks.ofMillis(700);

    /**
     * Returns the maximum number of client connections: a third of the descriptors, and a few more
     * to answer clients in excess.
     */
    public int maxClientConnections() {
        return maxFileDescriptors > 0
                ? maxFileDescriptors / CLIENT_DESCRIPTOR_DIVISOR + EXCESS_CLIENT_CONNECTIONS
                : UNLIMITED_CONNECTIONS;
    }

    /** Returns the maximum number of bytes of statements and answers that are kept for clients. */
    public long maxClientBytes() {
        return memoryLimitMb > 0
                ? memoryLimitMb * BYTES_PER_MB / CLIENT_MEMORY_DIVISOR
                : UNLIMITED_BYTES;
    }

    /**
     * Returns the maximum number of ids that are kept of requests that are over and may have run,
     * for those that may run again, and for all others.
     */
    public int maxSpentRequestIds() {
        return memoryLimitMb > 0
                ? Math.min(memoryLimitMb * SPENT_REQUEST_IDS_PER_MB, DEFAULT_SPENT_REQUEST_IDS)
                : DEFAULT_SPENT_REQUEST_IDS;
    }

    /**
     * Returns the maximum number of connections to engines: the descriptors that clients and the
     * reserve leave.
     */
    public int maxEngineConnections() {
        return maxFileDescriptors > 0
                ? Math.max(1, maxFileDescriptors - RESERVED_DESCRIPTORS - maxClientConnections())
                : UNLIMITED_CONNECTIONS;
    }

    /**
     * Returns the time in ticks after SIGTERM for which the platform does not kill the manager: the
     * longest timeout of a traffic class, but no more than 3 s, and a margin.
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
     * Parses an address of the form HOST:PORT. The host has to be numeric, since names are not
     * resolved.
     *
     * @throws InvalidInputException if the text is not such an address; the message names it
     */
    public static InetSocketAddress parseAddress(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        try {
            String host = hostPort.substring(0, colon);
            if (!host.matches("[0-9.]+|[0-9a-fA-F:\\[\\]]+")) {
                throw new InvalidInputException(
                        "not an address HOST:PORT with a numeric host: " + hostPort);
            }
            return new InetSocketAddress(host, Integer.parseInt(hostPort.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException exception) {
            throw new InvalidInputException(
                    "not an address HOST:PORT with a numeric host: " + hostPort);
        }
    }
}
