package firstage.cli;

import firstage.config.ManagerConfig;
import firstage.config.ManagerConfigReader;
import firstage.server.ManagerServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.Semaphore;
import java.util.logging.Logger;

/**
 * Reads the configuration at the start and again on each SIGHUP. A file that can't be read, or that
 * belongs to another manager, is logged and changes nothing.
 */
final class ConfigReloader {
    private static final Logger LOG = Logger.getLogger(ConfigReloader.class.getName());

    /**
     * Time for which reading the file is retried. A file is replaced within milliseconds, but on a
     * busy machine its writer may lose the processor for a second.
     */
    private static final long FILE_RETRY_TIMEOUT_MS = 3_000;

    /** Interval between two checks of the file; far below the shortest grace period for drains. */
    private static final long WATCH_INTERVAL_MS = 100;

    private static final long NANOS_PER_MS = 1_000_000;

    private final Path file;

    /**
     * One permit for each requested reload, including those requested before the server was started
     * or while the file was being read.
     */
    private final Semaphore reloadRequests = new Semaphore(0);

    ConfigReloader(Path file) {
        this.file = file;
    }

    /** Reads the file, and retries while it is being replaced. */
    ManagerConfig read() throws IOException {
        return ServeCommand.retryWhileTransient(
                FILE_RETRY_TIMEOUT_MS, () -> ManagerConfigReader.read(file));
    }

    /** Requests that the file be read again. May be called from any thread. */
    void requestReload() {
        reloadRequests.release();
    }

    /**
     * Starts the thread that handles reload requests; it is a separate thread because reading may
     * wait for the file.
     */
    void start(ManagerServer server, ManagerConfig current) {
        startDaemon("configuration", () -> reloadOnRequest(server, current));
    }

    /**
     * Starts a thread that requests a reload whenever the file changes. A JVM that was started with
     * SIGHUP ignored, as by nohup and some scripts, never receives the signal, and its manager
     * would continue to follow a coordinator that no longer exists.
     */
    void watchFile() {
        LOG.warning(
                "started with SIGHUP ignored: "
                        + file
                        + " is polled every "
                        + WATCH_INTERVAL_MS
                        + " ms instead");
        startDaemon("configuration file watch", this::requestReloadOnChange);
    }

    private static void startDaemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void requestReloadOnChange() {
        String previous = fileIdentity();
        while (true) {
            ServeCommand.sleep(WATCH_INTERVAL_MS);
            String current = fileIdentity();
            if (!current.equals(previous)) {
                previous = current;
                requestReload();
            }
        }
    }

    private String fileIdentity() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return attributes.lastModifiedTime()
                    + " "
                    + attributes.size()
                    + " "
                    + attributes.fileKey();
        } catch (IOException missing) {
            return "missing";
        }
    }

    private void reloadOnRequest(ManagerServer server, ManagerConfig current) {
        while (true) {
            reloadRequests.acquireUninterruptibly();
            reloadRequests.drainPermits();
            try {
                reload(server, current);
            } catch (IOException | RuntimeException exception) {
                LOG.warning(
                        "the new configuration can't be read: "
                                + Main.firstLineOfMessage(exception));
            }
        }
    }

    private void reload(ManagerServer server, ManagerConfig current) throws IOException {
        long start = System.nanoTime();
        ManagerConfig next = read();
        LOG.info(() -> "read anew in " + (System.nanoTime() - start) / NANOS_PER_MS + " ms");
        if (next.name().equals(current.name())
                && next.listenAddress().equals(current.listenAddress())) {
            server.reconfigure(next);
        } else {
            LOG.warning(
                    "the new configuration is another manager's: "
                            + next.name()
                            + " at "
                            + next.listenAddress());
        }
    }
}
