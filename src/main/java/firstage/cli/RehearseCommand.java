package firstage.cli;

import firstage.config.ManagerConfig;
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
 * {@code rehearse}: serves one request over loopback and acts as its engine, so that the build can
 * archive the classes that a start needs.
 */
final class RehearseCommand {
    private static final String CONFIG =
            """
            {"name":"rehearsal","listen":"%1$s","known":{"index":1,"updates":[{"index":1,
              "endpoints":{"reset":true,
               "instances":[{"instanceId":"s-00000001","hostPort":"%1$s"}]}}]},
             "settings":{"classes":[{"name":"batch","effect":"retryable","deadline":1,"target":1}],
               "family_info":{"takes_grants":true,"lanes_count":true},
               "limits":{"connect_timeout":0.25}}}
            """;
    private static final String REQUEST =
            "POST /ops/batch HTTP/1.1\r\nHost: rehearsal\r\nX-Job-Id: 0123456789abcdef\r\n"
                    + "X-Allow-Ms: 500\r\nContent-Length: 8\r\n\r\nSELECT 1";

    private static final int MAX_WAIT_MS = 5_000;

    private RehearseCommand() {}

    /** Runs the rehearsal, and ends the program if it fails. */
    static void run() {
        try {
            rehearse();
        } catch (IOException | RuntimeException exception) {
            Main.exitWithError("rehearsal failed: " + Main.firstLineOfMessage(exception));
        }
    }

    private static void rehearse() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, loopback)) {
            port = unused.getLocalPort();
        }
        ManagerServer server = new ManagerServer(config(loopback, port), null);
        server.start();
        try (Socket client = new Socket(loopback, port)) {
            client.setSoTimeout(MAX_WAIT_MS);
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            InputStream response = client.getInputStream();
            if (response.read() < 0) {
                throw new IOException("no response to the request");
            }
        }
        server.shutDown();
    }

    private static ManagerConfig config(InetAddress loopback, int port) throws IOException {
        Path file = Files.createTempFile("rehearsal", ".json");
        try {
            Files.writeString(file, CONFIG.formatted(loopback.getHostAddress() + ":" + port));
            return ManagerConfigReader.read(file);
        } finally {
            Files.delete(file);
        }
    }
}
