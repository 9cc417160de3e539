package firstage.cli;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Client that sends requests, as datagrams, to a manager on this machine. */
final class ManagerClient {
    private static final int RESPONSE_TIMEOUT_MS = 400;
    private static final int MAX_ATTEMPTS = 5;
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    private ManagerClient() {}

    /**
     * Sends a request, repeating it a few times until a response arrives, and returns the response.
     *
     * @throws IOException if the manager is on another machine, or does not respond
     */
    static String request(InetSocketAddress manager, String request) throws IOException {
        String host = manager.getAddress().getHostAddress();
        if (!manager.getAddress().isLoopbackAddress()) {
            throw new IOException(host + " is not on this machine; run the command there");
        }
        byte[] bytes = request.getBytes(StandardCharsets.UTF_8);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            DatagramPacket response =
                    new DatagramPacket(new byte[MAX_RESPONSE_BYTES], MAX_RESPONSE_BYTES);
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                socket.send(new DatagramPacket(bytes, bytes.length, manager));
                try {
                    socket.receive(response);
                    return new String(
                            response.getData(), 0, response.getLength(), StandardCharsets.UTF_8);
                } catch (SocketTimeoutException noResponse) {
                    // The request is sent again: datagrams may be lost, and a manager may be busy.
                }
            }
        }
        throw new IOException(
                "no answer from "
                        + host
                        + ":"
                        + manager.getPort()
                        + "; check that the manager runs and was started with --peers");
    }
}
