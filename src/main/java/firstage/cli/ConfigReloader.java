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
 * Reads the configuration at a start and again at each SIGHUP. A file that can't be read, or that
 * is another manager's, changes nothing and is logged.
 */
final class ConfigReloader {
    private static final Logger LOG = Logger.getLogger(ConfigReloader.class.getName());

    /**
     * A file is replaced in milliseconds; on a full machine a writer may lose the processor for a
     * second.
     */
    private static final long FILE_PATIENCE_MS = 3_000;

    /** Well under the least grace for drains. */
    private static final long WATCH_INTERVAL_MS = 100;

    private static final long NANOS_PER_MS = 1_000_000;

    private final Path file;

    /** Reloads that were requested before there was a server, or while the file was read. */
    private final Semaphore requests = new Semaphore(0);

    ConfigReloader(Path file) {
        this.file = file;
    }

    /** Reads the file, also one that is being replaced. */
    ManagerConfig read() throws IOException {
        return ServeCommand.retryWhileTransient(
                FILE_PATIENCE_MS, () -> ManagerConfigReader.read(file));
    }

    /** Has the file read again; from any thread. */
    void requestReload() {
        requests.release();
    }

    /** Serves requests on a thread of its own, since reading may wait for the file. */
    void start(ManagerServer server, ManagerConfig current) {
        startDaemon("configuration", () -> reloadOnRequest(server, current));
    }

    /**
     * Requests a reload whenever the file is another. A JVM that was started with SIGHUP ignored,
     * as nohup and some scripts do, never gets the signal, and its manager would follow a
     * coordinator that is no more.
     */
    void watchFile() {
        LOG.warning(
                "started with SIGHUP ignored: "
                        + file
                        + " is looked at each "
                        + WATCH_INTERVAL_MS
                        + " ms instead");
        startDaemon("configuration's file", this::requestReloadOnChange);
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
            requests.acquireUninterruptibly();
            requests.drainPermits();
            try {
                reload(server, current);
            } catch (IOException | RuntimeException fault) {
                LOG.warning("the new configuration can't be read: " + Main.oneLine(fault));
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
