import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound client with one connection, on which it makes one call at a time. */
final class Client {
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        LOST
    }

    /** How a request ended; {@code rows} is the text of all rows. */
    record Result(String id, End end, String rows, long waitMs) {}

    private static final Pattern POLL = Pattern.compile("\"poll\":\"([^\"]*)\"");
    private static final Pattern PAGE = Pattern.compile("\"page\":\\[(.*)\\]", Pattern.DOTALL);

    private final Record record;
    private final Manager manager;
    private Socket socket;
    private long lastUse;

    Client(Record record, Manager manager) {
        this.record = record;
        this.manager = manager;
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Makes a request and waits for its end. */
    Result request(String id, String group, String key, long allowMs, String statement, String moreHeaders) {
        long sentAt = Engine.now();
        record.line("sent " + manager.name + " " + id + " " + group + (key == null ? "" : " key=" + key) + " allow=" + allowMs);
        Result result = call(id, group, key, allowMs, statement, moreHeaders, sentAt);
        record.line("answered " + manager.name + " " + id + " " + result.end + " after=" + (Engine.now() - sentAt));
        return result;
    }

    private Result call(
            String id, String group, String key, long allowMs, String statement, String moreHeaders, long sentAt) {
        StringBuilder rows = new StringBuilder();
        byte[] body = statement.getBytes(StandardCharsets.UTF_8);
        String next =
                "POST /ops/" + group + " HTTP/1.1\r\nHost: service.internal\r\nX-Job-Id: " + id + "\r\nX-Allow-Ms: "
                        + allowMs + "\r\n" + (key == null ? "" : "X-Item: " + key + "\r\n") + moreHeaders
                        + "Content-Length: " + body.length + "\r\n\r\n";
        String path = null;
        int calls = 0;
        while (true) {
            try {
                // Every time limit is 50 ms longer; half a second more shows an answer that is only late.
                long left = sentAt + allowMs + 550 - Engine.now();
                if (left <= 0) {
                    return new Result(id, End.LOST, "", 0);
                }
                connect(calls > 0);
                socket.setSoTimeout((int) left);
                if (path == null) {
                    socket.getOutputStream().write(concat(next.getBytes(StandardCharsets.US_ASCII), body));
                } else {
                    socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                }
                Http answer = Http.read(socket.getInputStream());
                lastUse = Engine.now();
                if (answer == null) {
                    throw new IOException("closed");
                }
                if ("close".equals(answer.headers.get("connection"))) {
                    close();
                }
                String text = answer.text();
                if (answer.status() == 429 || answer.status() == 503 || text.contains("\"err\":\"Busy\"")) {
                    return new Result(id, End.REFUSED, "", Long.parseLong(answer.headers.getOrDefault("x-wait-ms", "0")));
                }
                if (answer.status() != 200 || text.contains("\"err\"")) {
                    record.line("failed " + id + " " + answer.status() + " " + text.strip());
                    return new Result(id, End.FAILED, "", 0);
                }
                Matcher page = PAGE.matcher(text);
                if (page.find()) {
                    rows.append(page.group(1));
                }
                Matcher poll = POLL.matcher(text);
                if (!poll.find()) {
                    return new Result(id, End.SERVED, rows.toString(), 0);
                }
                path = poll.group(1);
                calls = 0;
            } catch (IOException e) {
                close();
                record.line("connection ended " + id + " " + (path == null ? "first call" : "poll") + ": " + e.getMessage());
                // A poll is made again, three times at most; a first call is not.
                if (path == null || ++calls > 3) {
                    return new Result(id, End.LOST, "", 0);
                }
            }
        }
    }

    private void connect(boolean anew) throws IOException {
        if (socket != null && (anew || Engine.now() - lastUse > 3_500)) {
            close();
        }
        if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(manager.host, manager.port), 2_000);
            lastUse = Engine.now();
        }
    }

    void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is gone.
        }
        socket = null;
    }

    static byte[] concat(byte[] a, byte[] b) {
        byte[] all = java.util.Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }
}
