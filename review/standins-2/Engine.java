import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound engine of the protocol page. A statement names its running time and the rows of its
 * result in a comment: {@code ms=800 rows=2}. Disruptions are made by overriding the hooks.
 */
class Engine {
    static final Pattern MS = Pattern.compile("ms=(\\d+)");
    static final Pattern ROWS = Pattern.compile("rows=(\\d+)");
    static final int PAGE = 5_900;

    final class Query {
        final String id;
        final String group;
        final long startedAt = now();
        final long maxMs;
        final long ms;
        final List<byte[]> pages;
        long askedAt = now();
        boolean done;
        String over;
        long nextNote = startedAt + noteEvery;

        Query(String id, String group, long maxMs, String statement) {
            this.id = id;
            this.group = group;
            this.maxMs = maxMs;
            this.ms = duration(group, statement, number(MS, statement, 100));
            this.pages = pages(id, (int) number(ROWS, statement, 1));
        }
    }

    final String name;
    final int idNumber;
    final Record record;
    final ServerSocket server;
    final Map<String, Query> queries = new HashMap<>();
    final List<Thread> threads = new ArrayList<>();
    final List<Socket> sockets = new ArrayList<>();
    volatile boolean closed;
    long noteEvery = 500;

    /** Its place among the engines that drop repeats together. */
    int cell;

    /** Statements that it holds at most; more are answered as full. */
    int capacity = 1_000;

    Engine(int idNumber, String host, Record record) throws IOException {
        this.idNumber = idNumber;
        this.name = String.format("s-%08x", idNumber);
        this.record = record;
        server = new ServerSocket(0, 1_000, InetAddress.getByName(host));
    }

    void start() {
        daemon(this::accept);
        daemon(this::sweep);
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + port();
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static long number(Pattern pattern, String text, long otherwise) {
        Matcher m = pattern.matcher(text);
        return m.find() ? Long.parseLong(m.group(1)) : otherwise;
    }

    /** The result of a statement: rows that name the request, so that foreign rows show. */
    static List<byte[]> pages(String id, int rows) {
        List<byte[]> pages = new ArrayList<>();
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        for (int i = 0; i < rows; i++) {
            byte[] row = (id + "\t" + i + "\tx\n").getBytes(StandardCharsets.US_ASCII);
            if (page.size() + row.length > PAGE) {
                pages.add(page.toByteArray());
                page.reset();
            }
            page.writeBytes(row);
        }
        pages.add(page.toByteArray());
        return pages;
    }

    // ---- Hooks

    /** Called with the lock, before {@link #onRun}. */
    long duration(String group, String statement, long ms) {
        return ms;
    }

    /** Returns whether the connection is reset instead of the call being handled. */
    boolean resets(Socket socket, Http call) {
        return false;
    }

    /** Called with each whole answer, before it is written. */
    void answer(Socket socket, Http call, int status, byte[] bytes) throws IOException {
        write(socket, bytes);
    }

    /** Called when a statement has come whole and begins to run. */
    void onRun(Query query) {}

    void onOver(Query query) {}

    /** Called before the first read on a new connection. */
    void onConnection(Socket socket) {}

    // ---- The protocol

    static void write(Socket socket, byte[] bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        synchronized (socket) {
            out.write(bytes);
            out.flush();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                synchronized (sockets) {
                    sockets.add(socket);
                }
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            onConnection(socket);
            while (!closed) {
                Http call = Http.read(socket.getInputStream());
                if (call == null) {
                    return;
                }
                if (resets(socket, call)) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                handle(socket, call);
            }
        } catch (IOException e) {
            // The manager closed or reset the connection.
        }
    }

    private void handle(Socket socket, Http call) throws IOException {
        String[] words = call.first.split(" ");
        String[] path = words[1].split("/");
        if (words[0].equals("POST") && words[1].equals("/x")) {
            post(socket, call);
        } else if (words[0].equals("GET") && path.length == 4 && path[1].equals("x")) {
            get(socket, call, path[2], Integer.parseInt(path[3]));
        } else if (words[0].equals("PUT")) {
            reply(socket, call, 204, "", null);
        } else if (words[0].equals("DELETE")) {
            synchronized (queries) {
                Query query = queries.remove(path[2]);
                if (query != null) {
                    over(query, "deleted");
                }
                queries.notifyAll();
            }
            reply(socket, call, 204, "", null);
        } else {
            reply(socket, call, 200, meter(), new byte[0]);
        }
    }

    private String meter() {
        synchronized (queries) {
            return "X-Meter: queue:0\r\n";
        }
    }

    private void post(Socket socket, Http call) throws IOException {
        String id = call.headers.get("x-ticket");
        Query query = null;
        synchronized (queries) {
            long held = queries.values().stream().filter(q -> !q.done).count();
            if (held < capacity) {
                query =
                        new Query(
                                id,
                                call.headers.get("x-queue"),
                                Long.parseLong(call.headers.get("x-max-ms")),
                                call.text());
                queries.put(id, query);
                record.line("run " + name + " " + id + " " + query.group + " ms=" + query.ms);
                onRun(query);
            } else {
                record.line("full " + name + " " + id + " " + call.headers.get("x-queue"));
            }
        }
        if (query == null) {
            reply(socket, call, 503, "X-Shed: 1\r\n", new byte[0]);
        } else {
            news(socket, call, id);
        }
    }

    private void get(Socket socket, Http call, String id, int page) throws IOException {
        if (page == 0) {
            news(socket, call, id);
            return;
        }
        byte[] body = null;
        synchronized (queries) {
            Query query = queries.get(id);
            if (query != null && query.done && page < query.pages.size()) {
                query.askedAt = now();
                body = query.pages.get(page);
            }
        }
        if (body == null) {
            reply(socket, call, 500, "", new byte[0]);
        } else {
            reply(socket, call, 200, "Page-No: " + page + "\r\n", body);
        }
    }

    private void news(Socket socket, Http call, String id) throws IOException {
        long until = now() + 250;
        String head = null;
        byte[] body = new byte[0];
        int status = 0;
        synchronized (queries) {
            while (status == 0) {
                Query query = queries.get(id);
                if (query == null) {
                    status = 500;
                    head = "";
                    break;
                }
                query.askedAt = now();
                if (query.done) {
                    status = 200;
                    head = "Page-Count: " + query.pages.size() + "\r\n";
                    body = query.pages.get(0);
                } else if (noteEvery > 0 && now() >= query.nextNote) {
                    query.nextNote += noteEvery;
                    status = 202;
                    head = note(query);
                } else if (now() >= until) {
                    status = 202;
                    head = "";
                } else {
                    long wake = Math.min(until, query.startedAt + query.ms);
                    wake = noteEvery > 0 ? Math.min(wake, query.nextNote) : wake;
                    try {
                        queries.wait(Math.max(1, wake - now()));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    finish();
                }
            }
        }
        reply(socket, call, status, head, body);
    }

    String note(Query query) {
        double done = Math.min(0.99, (now() - query.startedAt) / (double) query.ms);
        return String.format("X-Remark: pct\r\nFigure: %.3f\r\n", done);
    }

    private void reply(Socket socket, Http call, int status, String head, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String length = status == 204 ? "" : "Content-Length: " + body.length + "\r\n";
        out.writeBytes(("HTTP/1.1 " + status + " x\r\n" + head + length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        if (body != null) {
            out.writeBytes(body);
        }
        answer(socket, call, status, out.toByteArray());
    }

    /** Ends the statements whose time has come. Called with the lock. */
    private void finish() {
        for (Query query : queries.values()) {
            if (!query.done && now() >= query.startedAt + query.ms) {
                query.done = true;
                over(query, "done");
                queries.notifyAll();
            }
        }
    }

    private void over(Query query, String how) {
        if (query.over == null) {
            query.over = how;
            record.line("over " + name + " " + query.id + " " + how);
            onOver(query);
        }
    }

    private void sweep() {
        while (!closed) {
            synchronized (queries) {
                finish();
                queries.values()
                        .removeIf(
                                query -> {
                                    boolean drop = now() - query.askedAt > 2_000;
                                    if (drop) {
                                        over(query, "not asked for");
                                    }
                                    return drop;
                                });
            }
            pause(10);
        }
    }

    /** Ends as a process does: all connections are reset, and new ones are refused. */
    void die() throws IOException {
        closed = true;
        server.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                } catch (IOException e) {
                    // It is closed already.
                }
                socket.close();
            }
        }
        synchronized (queries) {
            queries.values().forEach(query -> over(query, "died"));
            queries.clear();
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
