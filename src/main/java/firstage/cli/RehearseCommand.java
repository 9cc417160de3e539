package firstage.cli;

import firstage.config.ManagerConfigReader;
import firstage.server.ManagerServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Takes one batch and plays its engine too, over loopback, so that the build can archive the
 * classes that a start needs: a manager that was killed is back sooner.
 */
final class RehearseCommand {
    private static final String ASSIGNMENT =
            """
            {"name":"rehearsal","listen":"%1$s","known":{"index":1,"updates":[{"index":1,
              "endpoints":{"reset":true,
               "instances":[{"instanceId":"s-00000001","hostPort":"%1$s"}]}}]},
             "settings":{"classes":[{"name":"batch","effect":"retryable","deadline":1,"target":1}],
               "family_info":{"takes_grants":true,"lanes_count":true},
               "limits":{"connect_timeout":0.25}}}
            """;
    private static final String CALL =
            "POST /ops/batch HTTP/1.1\r\nHost: rehearsal\r\nX-Job-Id: 0123456789abcdef\r\n"
                    + "X-Allow-Ms: 500\r\nContent-Length: 8\r\n\r\nSELECT 1";

    private static final int MOST_WAIT_MS = 5_000;

    private RehearseCommand() {}

    static void run() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
            port = free.getLocalPort();
        }
        Path file = Files.createTempFile("rehearsal", ".json");
        ManagerServer node;
        try {
            Files.writeString(file, ASSIGNMENT.formatted(loopback.getHostAddress() + ":" + port));
            node = new ManagerServer(ManagerConfigReader.read(file), null);
        } finally {
            Files.delete(file);
        }
        node.start();
        try (Socket client = new Socket(loopback, port)) {
            client.setSoTimeout(MOST_WAIT_MS);
            client.getOutputStream().write(CALL.getBytes(StandardCharsets.US_ASCII));
            InputStream answer = client.getInputStream();
            if (answer.read() < 0) {
                throw new IOException("no answer in the rehearsal");
            }
        }
        node.close();
    }
}
