import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client as PROTOCOL.md describes it: one call at a time, polls at once, gives up at its time. */
final class Client {
    /** How a request ended for its client. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        GIVEN_UP,
        LOST
    }

    private static final Pattern POLL = Pattern.compile("\"poll\":\"([^\"]*)\"");
    private static final Pattern PAGE = Pattern.compile("\"page\":\\[(.*)\\]", Pattern.DOTALL);

    private Client() {}

    /** How the request ended, the answer's text, and for how many ms to stay away. */
    record Answer(End end, String text, long waitMs) {}

    /** Sends a request to the address and follows it to its end. */
    static Answer call(InetSocketAddress manager, String trafficClass, String id, String key,
            long runMs, long allowMs) {
        String statement = "SELECT a, b, c FROM sales_" + Math.floorMod(id.hashCode(), 40) + ".orders /* ms=" + runMs + " */";
        String call = "POST /ops/" + trafficClass + " HTTP/1.1\r\nHost: service.internal\r\n"
                + "X-Job-Id: " + id + "\r\nX-Allow-Ms: " + allowMs + "\r\nX-Team: rumah-huruf\r\n"
                + "X-Size-Ms: " + runMs + "\r\nX-Memory: 96\r\n"
                + (key == null ? "" : "X-Item: " + key + "\r\n")
                + "Content-Length: " + statement.length() + "\r\n\r\n" + statement;
        long until = System.nanoTime() + (allowMs + 600) * 1_000_000;
        Socket socket = null;
        String path = null;
        int again = 0;
        try {
            while (true) {
                try {
                    if (socket == null) {
                        socket = new Socket(manager.getAddress(), manager.getPort());
                        socket.setTcpNoDelay(true);
                    }
                    long leftMs = (until - System.nanoTime()) / 1_000_000;
                    if (leftMs <= 0) {
                        return new Answer(End.GIVEN_UP, "no answer 0.6 s after its time", 0);
                    }
                    socket.setSoTimeout((int) leftMs);
                    String next = path == null ? call
                            : "GET " + path + " HTTP/1.1\r\nHost: service.internal\r\n\r\n";
                    socket.getOutputStream().write(next.getBytes(StandardCharsets.US_ASCII));
                    Http answer = Http.read(socket.getInputStream());
                    if (answer == null) {
                        throw new IOException("connection ended with no answer");
                    }
                    again = 0;
                    String text = answer.text();
                    Matcher poll = POLL.matcher(text);
                    if (answer.status() == 200 && poll.find()) {
                        path = poll.group(1);
                        continue;
                    }
                    if (answer.status() == 200 && !text.contains("\"err\"")) {
                        return new Answer(End.SERVED, text, 0);
                    }
                    boolean refused = answer.status() == 429 || answer.status() == 503
                            || text.contains("\"err\":\"Busy\"");
                    return new Answer(refused ? End.REFUSED : End.FAILED,
                            answer.status() + " " + text.trim(), Long.parseLong(
                                    answer.headers.getOrDefault("x-wait-ms", "0")));
                } catch (java.net.SocketTimeoutException late) {
                    return new Answer(End.GIVEN_UP, "no answer 0.6 s after its time", 0);
                } catch (IOException broken) {
                    close(socket);
                    socket = null;
                    if (path == null || ++again > 3) {
                        return new Answer(End.LOST, String.valueOf(broken.getMessage()), 0);
                    }
                }
            }
        } finally {
            close(socket);
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException ignored) {
            // It is closed.
        }
    }

    /** The rows that an engine makes for this id, in the form of an answer to a client. */
    static String rowsOf(String id) {
        StringBuilder rows = new StringBuilder("{\"page\":[");
        for (int i = 0; i < Engine.PAGES * Engine.ROWS_A_PAGE; i++) {
            rows.append(i == 0 ? "[\"" : ",[\"")
                    .append(Engine.row(id, i).replace("\t", "\",\"")).append("\"]");
        }
        return rows.append("]}").toString();
    }
}
