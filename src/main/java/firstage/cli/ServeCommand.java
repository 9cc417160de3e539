package firstage.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import firstage.config.MalformedLineException;
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
 * {@code serve}: one workload manager, until SIGTERM. What passes by itself does not fail a start
 * or a SIGHUP: a configuration that is cut or missing while it is replaced, an address that the
 * manager before still holds, a system that has no socket left for the moment. Each is logged once
 * and tried again for a stated time.
 */
final class ServeCommand {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());
    private static final String CONFIG_FILE_VARIABLE = "ROUTER_CONFIG";
    private static final String PEERS_OPTION = "--peers";

    /** A process that was killed under load holds its address until all it had is taken down. */
    private static final long ADDRESS_PATIENCE_MS = 10_000;

    private static final long DISK_PATIENCE_MS = 10_000;
    private static final long RETRY_DELAY_MS = 25;
    private static final long NANOS_PER_MS = 1_000_000;

    /** A step of the start that may fail for a while. */
    interface Step<T> {
        T run() throws IOException;
    }

    private final ConfigReloader reloader;

    /** Null where none is named: then nothing of peers is read or loaded. */
    private final Path peersFile;

    /** SIGTERM came; before it served, nothing was accepted and nothing is owed. */
    private volatile boolean terminated;

    private volatile boolean serving;

    private ServeCommand(Path configFile, Path peersFile) {
        this.reloader = new ConfigReloader(configFile);
        this.peersFile = peersFile;
    }

    /** Returns once it serves; ends the program where it can't. */
    static void run(List<String> options) {
        try {
            ofOptions(options).start();
        } catch (IOException | RuntimeException fault) {
            Main.exitUnusable("can't serve: " + Main.oneLine(fault));
        }
    }

    private static ServeCommand ofOptions(List<String> options) {
        boolean namesPeers = options.size() == 2 && options.get(0).equals(PEERS_OPTION);
        if (!options.isEmpty() && !namesPeers) {
            throw new MalformedLineException(
                    "serve takes --peers FILE and nothing else, not " + String.join(" ", options));
        }
        String configFile = System.getenv(CONFIG_FILE_VARIABLE);
        if (configFile == null) {
            throw new MalformedLineException(
                    "no configuration: " + CONFIG_FILE_VARIABLE + " is not set");
        }
        return new ServeCommand(Path.of(configFile), namesPeers ? Path.of(options.get(1)) : null);
    }

    private void start() throws IOException {
        // By itself a JVM ends on SIGHUP; one that ignores it once can't be told to listen again.
        boolean hangUpIgnored =
                Signal.handle(new Signal("HUP"), signal -> reloader.requestReload())
                        == SignalHandler.SIG_IGN;
        ManagerConfig config = reloader.read();
        ManagerServer server = new ManagerServer(config, readPeers(config.name()));
        Signal.handle(new Signal("TERM"), signal -> onTerminate(server));
        retryWhileTransient(ADDRESS_PATIENCE_MS, () -> startServer(server));
        serving = true;
        if (terminated) {
            server.shutDown();
        }
        Signal.handle(new Signal("USR2"), signal -> server.logCounters());
        reloader.start(server, config);
        if (hangUpIgnored) {
            reloader.watchFile();
        }
    }

    private PeerConfig readPeers(String managerName) throws IOException {
        if (peersFile == null) {
            return null;
        }
        PeerConfig peers = PeersFileReader.read(peersFile, managerName);
        // A disk that is full, or fails, for a while: the number must be there before it serves.
        retry(
                DISK_PATIENCE_MS,
                fault -> true,
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
            // A server that never listened has nothing to close, so the program would not end.
            LOG.info("asked to end before it served");
            System.exit(0);
        }
        server.start();
        return null;
    }

    /** Runs a step, and again where it failed in a way that passes, for so many milliseconds. */
    static <T> T retryWhileTransient(long patienceMs, Step<T> step) throws IOException {
        return retry(patienceMs, ServeCommand::isTransient, step);
    }

    private static <T> T retry(long patienceMs, Predicate<IOException> passes, Step<T> step)
            throws IOException {
        long until = System.nanoTime() + patienceMs * NANOS_PER_MS;
        boolean logged = false;
        while (true) {
            try {
                return step.run();
            } catch (IOException fault) {
                if (!passes.test(fault) || System.nanoTime() > until) {
                    throw fault;
                }
                if (!logged) {
                    LOG.warning("tried again for " + patienceMs + " ms: " + Main.oneLine(fault));
                    logged = true;
                }
                sleep(RETRY_DELAY_MS);
            }
        }
    }

    private static boolean isTransient(IOException fault) {
        return fault instanceof JsonProcessingException
                || fault instanceof FileNotFoundException
                || fault instanceof SocketException;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
        }
    }
}
