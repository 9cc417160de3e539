import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine as PROTOCOL.md describes it: one thread a connection; a statement runs until it ends, is
 * deleted, or was not asked for in 2 s; a call for news is held for 250 ms at most.
 *
 * <p>The statement's text says how long it runs: {@code /* ms=700 *}{@code /}. Its result is made of
 * its own id, in pages of a few rows.
 */
final class Engine {
    /** Decides what the engine does beyond the ordinary. */
    static class Conduct {
        /** Whether the engine is full for a new statement now. */
        boolean full(Engine engine, String trafficClass) {
            return false;
        }

        /** After how many ms an answer is written a second time; -1 for once only. */
        int doubleAfterMs(Engine engine, int status) {
            return -1;
        }

        /** Called when a statement has come whole, before it is answered. */
        void onStatement(Engine engine, String id, String trafficClass, boolean accepted) {}

        /** Called when a statement ends: "done", "deleted", "not asked for". */
        void onEnd(Engine engine, String id, String how) {}
    }

    static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, r -> {
        Thread thread = new Thread(r, "timer");
        thread.setDaemon(true);
        return thread;
    });

    private final class Statement {
        final String id;
        final String trafficClass;
        final long runMs;
        final long startedMs = record.ms();
        long lastAskedMs = startedMs;
        int asking;
        long nextNoteMs;
        boolean done;
        boolean ended;

        Statement(String id, String trafficClass, long runMs) {
            this.id = id;
            this.trafficClass = trafficClass;
            this.runMs = runMs;
            nextNoteMs = startedMs + noteMs;
        }
    }

    private static final class Line {
        final OutputStream out;

        Line(OutputStream out) {
            this.out = out;
        }

        synchronized void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }
    }

    final String name;
    final InetSocketAddress address;
    final AtomicInteger doubled = new AtomicInteger();
    private final Record record;
    private final Conduct conduct;
    private final int noteMs;
    private final ServerSocket server;
    private final Map<String, Statement> statements = new ConcurrentHashMap<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Engine(String name, String host, Record record, Conduct conduct, int noteMs)
            throws IOException {
        this.name = name;
        this.record = record;
        this.conduct = conduct;
        this.noteMs = noteMs;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 512);
        address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        });
        TIMER.scheduleAtFixedRate(this::tick, 5, 5, TimeUnit.MILLISECONDS);
    }

    int running() {
        int count = 0;
        for (Statement statement : statements.values()) {
            count += statement.done ? 0 : 1;
        }
        return count;
    }

    /** Ends the engine as a process does: its connections are reset, its statements are gone. */
    void end() throws IOException {
        server.close();
        for (Statement statement : statements.values()) {
            drop(statement, "engine ended");
        }
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException closed) {
                // It is closed already.
            }
        }
        record.say(name + " has ended");
    }

    interface Work {
        void run() throws Exception;
    }

    static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception ended) {
                // The peer closed the connection, or the run is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void tick() {
        long now = record.ms();
        for (Statement statement : statements.values()) {
            synchronized (statement) {
                if (!statement.done && now - statement.startedMs >= statement.runMs) {
                    statement.done = true;
                    record.line(name + " done " + statement.id);
                    conduct.onEnd(this, statement.id, "done");
                    statement.notifyAll();
                }
                if (statement.asking == 0 && now - statement.lastAskedMs >= 2_000) {
                    drop(statement, "not asked for");
                }
            }
        }
    }

    private void drop(Statement statement, String how) {
        synchronized (statement) {
            if (statements.remove(statement.id, statement) && !statement.ended) {
                statement.ended = true;
                if (!statement.done) {
                    record.line(name + " ends " + statement.id + ": " + how);
                    conduct.onEnd(this, statement.id, how);
                }
                statement.notifyAll();
            }
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Line line = new Line(socket.getOutputStream());
            for (Http call = Http.read(in); call != null; call = Http.read(in)) {
                String[] words = call.firstLine.split(" ");
                String[] path = words[1].split("/");
                switch (words[0]) {
                    case "POST" -> post(line, call);
                    case "PUT" -> answer(line, 204, "", null);
                    case "DELETE" -> {
                        Statement statement = statements.get(path[2]);
                        record.line(name + " DELETE " + path[2]);
                        if (statement != null) {
                            drop(statement, "deleted");
                        }
                        answer(line, 204, "", null);
                    }
                    default -> {
                        if (path.length == 4 && path[1].equals("x")) {
                            Statement statement = statements.get(path[2]);
                            if (statement == null) {
                                answer(line, 500, "", "");
                            } else if (path[3].equals("0")) {
                                news(line, statement);
                            } else {
                                page(line, statement, Integer.parseInt(path[3]));
                            }
                        } else {
                            answer(line, 200, "X-Meter: waiting:0\r\n", "");
                        }
                    }
                }
            }
        }
    }

    private void post(Line line, Http call) throws Exception {
        String id = call.headers.get("x-ticket");
        String trafficClass = call.headers.get("x-queue");
        boolean full = conduct.full(this, trafficClass);
        record.line(name + " POST " + trafficClass + " " + id + (full ? " refused: full" : ""));
        conduct.onStatement(this, id, trafficClass, !full);
        if (full) {
            answer(line, 503, "X-Shed: 1\r\n", "");
            return;
        }
        String text = call.text();
        int at = text.indexOf("ms=") + 3;
        Statement statement = new Statement(
                id, trafficClass, Long.parseLong(text.substring(at, text.indexOf(' ', at))));
        statements.put(id, statement);
        news(line, statement);
    }

    private void news(Line line, Statement statement) throws Exception {
        long until = record.ms() + 250;
        String note = "";
        boolean done;
        synchronized (statement) {
            statement.asking++;
            while (true) {
                long now = record.ms();
                if (statement.done || statement.ended || now >= until) {
                    break;
                }
                if (noteMs > 0 && now >= statement.nextNoteMs) {
                    statement.nextNoteMs += noteMs;
                    note = String.format("X-Remark: pct\r\nFigure: %.2f\r\n",
                            Math.min(0.99, (double) (now - statement.startedMs) / statement.runMs));
                    break;
                }
                long next = noteMs > 0 ? Math.min(until, statement.nextNoteMs) : until;
                statement.wait(Math.max(1, next - now));
            }
            statement.asking--;
            statement.lastAskedMs = record.ms();
            done = statement.done;
            if (statement.ended) {
                answer(line, 500, "", "");
                return;
            }
        }
        if (done) {
            page(line, statement, 0);
        } else {
            answer(line, 202, note, "");
        }
    }

    static String row(String id, int row) {
        return id + "\t" + row + "\tvalue of " + id;
    }

    static final int PAGES = 3;
    static final int ROWS_A_PAGE = 4;

    private void page(Line line, Statement statement, int page) throws IOException {
        statement.lastAskedMs = record.ms();
        if (page >= PAGES) {
            answer(line, 500, "", "");
            return;
        }
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < ROWS_A_PAGE; i++) {
            rows.append(row(statement.id, page * ROWS_A_PAGE + i)).append('\n');
        }
        answer(line, 200,
                page == 0 ? "Page-Count: " + PAGES + "\r\n" : "Page-No: " + page + "\r\n",
                rows.toString());
    }

    private void answer(Line line, int status, String headers, String body) throws IOException {
        String reason = switch (status) {
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 204 -> "No Content";
            case 503 -> "Service Unavailable";
            default -> "Internal Server Error";
        };
        byte[] bytes = ("HTTP/1.1 " + status + " " + reason + "\r\n" + headers
                + (body == null ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
                + (body == null ? "" : body)).getBytes(StandardCharsets.ISO_8859_1);
        int after = conduct.doubleAfterMs(this, status);
        line.write(bytes);
        if (after >= 0) {
            doubled.incrementAndGet();
            TIMER.schedule(() -> {
                try {
                    line.write(bytes);
                } catch (IOException closed) {
                    // The workload manager has closed the connection.
                }
            }, after, TimeUnit.MILLISECONDS);
        }
    }
}
