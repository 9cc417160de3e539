package firstage.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

class EmulatedWatchesTest {
    private static final int ROUNDS = 300;

    /**
     * Guards against a listener that stays open after a run; the next could not bind its address.
     */
    @Test
    void close_returned_addressIsFree() throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        for (int i = 0; i < ROUNDS; i++) {
            new EmulatedWatches(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                    .close();
        }
    }
}
