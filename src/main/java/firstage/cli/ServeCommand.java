package firstage.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import firstage.config.MalformedLineException;
import firstage.config.ManagerConfig;
import firstage.config.ManagerConfigReader;
import firstage.config.PeerConfig;
import firstage.server.ManagerServer;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.net.BindException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * {@code serve}: one workload manager, until SIGTERM. What passes by itself does not fail a start
 * nor a SIGHUP: a configuration that is cut or missing while it is replaced, an address that the
 * manager before still holds. Each is logged once and tried again for a stated time.
 */
final class ServeCommand {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());
    private static final String ASSIGNMENT = "ROUTER_CONFIG";

    /**
     * A file is replaced in milliseconds; on a full machine a writer may lose the processor for a
     * second.
     */
    private static final long FILE_PATIENCE_MS = 3_000;

    /** A process that was killed under load holds its address until all it had is taken down. */
    private static final long ADDRESS_PATIENCE_MS = 10_000;

    private static final long AGAIN_MS = 25;

    /** Between looks at the file where SIGHUP is ignored: well under the least grace for drains. */
    private static final long LOOK_MS = 100;

    private interface Step<T> {
        T run() throws IOException;
    }

    /** Calls that came before there was a manager to tell, or while one was read. */
    private final Semaphore hangUps = new Semaphore(0);

    /** Asked to end before it served: nothing was taken, nothing is owed. */
    private volatile boolean ending;

    private volatile boolean serves;
    private final Path file;

    /** Null where none are named: then nothing of them is read or loaded. */
    private final Path peers;

    private ServeCommand(Path file, Path peers) {
        this.file = file;
        this.peers = peers;
    }

    /** Returns once it serves; the message of the exception names what did not pass. */
    static void run(List<String> options) throws IOException {
        if (!options.isEmpty() && !(options.size() == 2 && options.get(0).equals("--peers"))) {
            throw new MalformedLineException(
                    "serve takes --peers FILE and nothing else, not " + String.join(" ", options));
        }
        String file = System.getenv(ASSIGNMENT);
        if (file == null) {
            throw new MalformedLineException("no configuration: " + ASSIGNMENT + " is not set");
        }
        new ServeCommand(Path.of(file), options.isEmpty() ? null : Path.of(options.get(1))).start();
    }

    private void start() throws IOException {
        // By itself a JVM ends on SIGHUP; one that ignores it once can't be told to listen again.
        boolean deaf =
                Signal.handle(new Signal("HUP"), signal -> hangUps.release())
                        == SignalHandler.SIG_IGN;
        ManagerConfig told = read();
        PeerConfig list = peers == null ? null : PeersFileReader.read(peers, told.name());
        if (list != null) {
            PeersFileReader.hold(list);
        }
        ManagerServer node = new ManagerServer(told, list);
        Signal.handle(
                new Signal("TERM"),
                signal -> {
                    ending = true;
                    if (serves) {
                        node.close();
                    }
                });
        patiently(
                ADDRESS_PATIENCE_MS,
                () -> {
                    if (ending) {
                        // The harm prevented: the end needs a listener, and there is none; the
                        // program would never end.
                        LOG.info("asked to end before it served");
                        System.exit(0);
                    }
                    node.start();
                    return null;
                });
        serves = true;
        if (ending) {
            node.close();
        }
        Thread reader = new Thread(() -> readAnew(node, told), "configuration");
        reader.setDaemon(true);
        reader.start();
        if (deaf) {
            watch();
        }
    }

    /**
     * Started with SIGHUP ignored (by nohup, or from a script that is), a JVM stays deaf to it. The
     * harm prevented: a manager that follows its old coordinator for good and sends to engines that
     * were told to drain. So it looks itself whether the file is another.
     */
    private void watch() {
        LOG.warning(
                "started with SIGHUP ignored: "
                        + file
                        + " is looked at each "
                        + LOOK_MS
                        + " ms instead");
        Thread watcher =
                new Thread(
                        () -> {
                            String before = stamp();
                            while (true) {
                                rest(LOOK_MS);
                                String now = stamp();
                                if (!now.equals(before)) {
                                    before = now;
                                    hangUps.release();
                                }
                            }
                        },
                        "configuration's file");
        watcher.setDaemon(true);
        watcher.start();
    }

    private String stamp() {
        try {
            BasicFileAttributes is = Files.readAttributes(file, BasicFileAttributes.class);
            return is.lastModifiedTime() + " " + is.size() + " " + is.fileKey();
        } catch (IOException missing) {
            return "missing";
        }
    }

    private ManagerConfig read() throws IOException {
        return patiently(FILE_PATIENCE_MS, () -> ManagerConfigReader.read(file));
    }

    private static <T> T patiently(long patienceMs, Step<T> step) throws IOException {
        long until = System.nanoTime() + patienceMs * 1_000_000;
        boolean told = false;
        while (true) {
            try {
                return step.run();
            } catch (IOException fault) {
                if (!passes(fault) || System.nanoTime() > until) {
                    throw fault;
                }
                if (!told) {
                    LOG.warning("tried again for " + patienceMs + " ms: " + Main.oneLine(fault));
                    told = true;
                }
                rest(AGAIN_MS);
            }
        }
    }

    private static boolean passes(IOException fault) {
        return fault instanceof JsonProcessingException
                || fault instanceof FileNotFoundException
                || fault instanceof BindException;
    }

    private static void rest(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * On a thread of its own, since it may wait for a file: one that can't be read changes nothing.
     */
    private void readAnew(ManagerServer node, ManagerConfig first) {
        while (true) {
            hangUps.acquireUninterruptibly();
            hangUps.drainPermits();
            long since = System.nanoTime();
            try {
                ManagerConfig next = read();
                LOG.info(() -> "read anew in " + (System.nanoTime() - since) / 1_000_000 + " ms");
                if (next.name().equals(first.name())
                        && next.listenAddress().equals(first.listenAddress())) {
                    node.told(next);
                } else {
                    LOG.warning(
                            "the new configuration is another manager's: "
                                    + next.name()
                                    + " at "
                                    + next.listenAddress());
                }
            } catch (IOException | RuntimeException fault) {
                LOG.warning("the new configuration can't be read: " + Main.oneLine(fault));
            }
        }
    }
}
