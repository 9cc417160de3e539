package firstage.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import firstage.config.InvalidInputException;
import firstage.config.ManagerConfig;
import firstage.config.PeerConfig;
import firstage.server.ManagerServer;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import java.util.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * {@code serve}: runs one workload manager until SIGTERM. Transient conditions do not fail a start
 * or a reload on SIGHUP: a configuration that is truncated or missing while it is being replaced,
 * an address that the previous manager still holds, a system that has no socket left for the
 * moment. Each is logged once and retried for a fixed time.
 */
final class ServeCommand {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());
    private static final String CONFIG_FILE_VARIABLE = "ROUTER_CONFIG";
    private static final String PEERS_OPTION = "--peers";

    /**
     * Time for which binding the address is retried: a process that was killed under load holds its
     * address until the system has released all its resources.
     */
    private static final long ADDRESS_RETRY_TIMEOUT_MS = 10_000;

    private static final long DISK_RETRY_TIMEOUT_MS = 10_000;
    private static final long RETRY_DELAY_MS = 25;
    private static final long NANOS_PER_MS = 1_000_000;

    /** Step of the start that may fail temporarily. */
    interface Step<T> {
        T run() throws IOException;
    }

    private final ConfigReloader reloader;

    /** Peers file; null if none is named, and then no class or file for peers is loaded. */
    private final Path peersFile;

    /**
     * Whether SIGTERM was received. Until the manager serves, it has accepted no request that it
     * would have to answer, and the program may end at once.
     */
    private volatile boolean terminated;

    private volatile boolean serving;

    private ServeCommand(Path configFile, Path peersFile) {
        this.reloader = new ConfigReloader(configFile);
        this.peersFile = peersFile;
    }

    /** Starts a manager and returns once it serves; ends the program if the start fails. */
    static void run(List<String> options) {
        try {
            fromOptions(options).start();
        } catch (IOException | RuntimeException exception) {
            Main.exitWithError("can't serve: " + Main.firstLineOfMessage(exception));
        }
    }

    private static ServeCommand fromOptions(List<String> options) {
        boolean hasPeersOption = options.size() == 2 && options.get(0).equals(PEERS_OPTION);
        if (!options.isEmpty() && !hasPeersOption) {
            throw new InvalidInputException(
                    "serve takes only --peers FILE, not " + String.join(" ", options));
        }
        String configFile = System.getenv(CONFIG_FILE_VARIABLE);
        if (configFile == null) {
            throw new InvalidInputException(
                    "no configuration: " + CONFIG_FILE_VARIABLE + " is not set");
        }
        return new ServeCommand(
                Path.of(configFile), hasPeersOption ? Path.of(options.get(1)) : null);
    }

    private void start() throws IOException {
        // By default a JVM ends on SIGHUP; a JVM that was started with SIGHUP ignored can't be made
        // to handle it.
        boolean sigHupIgnored =
                Signal.handle(new Signal("HUP"), signal -> reloader.requestReload())
                        == SignalHandler.SIG_IGN;
        ManagerConfig config = reloader.read();
        ManagerServer server = new ManagerServer(config, readPeers(config.name()));
        Signal.handle(new Signal("TERM"), signal -> onTerminate(server));
        retryWhileTransient(ADDRESS_RETRY_TIMEOUT_MS, () -> startServer(server));
        serving = true;
        if (terminated) {
            server.shutDown();
        }
        Signal.handle(new Signal("USR2"), signal -> server.logCounters());
        reloader.start(server, config);
        if (sigHupIgnored) {
            reloader.watchFile();
        }
    }

    private PeerConfig readPeers(String managerName) throws IOException {
        if (peersFile == null) {
            return null;
        }
        PeerConfig peers = PeersFileReader.read(peersFile, managerName);
        // A disk may be full or fail for a while, but the number must be stored before the manager
        // serves.
        retry(
                DISK_RETRY_TIMEOUT_MS,
                exception -> true,
                () -> {
                    PlanNumberFile.store(peersFile, peers);
                    return null;
                });
        return peers;
    }

    private void onTerminate(ManagerServer server) {
        terminated = true;
        if (serving) {
            server.shutDown();
        }
    }

    private Void startServer(ManagerServer server) throws IOException {
        if (terminated) {
            // A server that never listened has nothing to close, so that shutDown() would not end
            // the program.
            LOG.info("asked to end before it served");
            System.exit(0);
        }
        server.start();
        return null;
    }

    /**
     * Runs a step, and repeats it for up to {@code timeoutMs} while it fails for a transient
     * reason.
     */
    static <T> T retryWhileTransient(long timeoutMs, Step<T> step) throws IOException {
        return retry(timeoutMs, ServeCommand::isTransient, step);
    }

    private static <T> T retry(long timeoutMs, Predicate<IOException> isRetryable, Step<T> step)
            throws IOException {
        long deadline = System.nanoTime() + timeoutMs * NANOS_PER_MS;
        boolean logged = false;
        while (true) {
            try {
                return step.run();
            } catch (IOException exception) {
                if (!isRetryable.test(exception) || System.nanoTime() > deadline) {
                    throw exception;
                }
                if (!logged) {
                    LOG.warning(
                            "tried again for "
                                    + timeoutMs
                                    + " ms: "
                                    + Main.firstLineOfMessage(exception));
                    logged = true;
                }
                sleep(RETRY_DELAY_MS);
            }
        }
    }

    private static boolean isTransient(IOException exception) {
        return exception instanceof JsonProcessingException
                || exception instanceof FileNotFoundException
                || exception instanceof SocketException;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
