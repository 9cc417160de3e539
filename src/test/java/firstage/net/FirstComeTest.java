package firstage.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

@Timeout(30)
class FirstComeTest {
    @Test
    void afterAStallConnectionsAreReadInTheOrderInWhichTheirBytesCame() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        XnioIoThread io = worker.getIoThread();
        io.execute(() -> FirstCome.order(io));
        List<Integer> read = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch all = new CountDownLatch(20);
        List<Socket> peers = new ArrayList<>();
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 20; i++) {
                int number = i;
                StreamConnection c = io.openStreamConnection(new InetSocketAddress(server.getInetAddress(),
                        server.getLocalPort()), null, OptionMap.EMPTY).get();
                peers.add(server.accept());
                c.getSourceChannel().setReadListener(source -> {
                    source.suspendReads();
                    read.add(number);
                    all.countDown();
                });
                c.getSourceChannel().resumeReads();
            }
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch written = new CountDownLatch(1);
            io.execute(() -> {
                stalled.countDown();
                await(written);
            });
            stalled.await();
            for (int i = 19; i >= 0; i--) {
                peers.get(i).getOutputStream().write(1);
            }
            written.countDown();
            assertThat(all.await(10, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(read).containsExactlyElementsOf(IntStream.range(0, 20).map(i -> 19 - i).boxed().toList());
        for (Socket peer : peers) {
            peer.close();
        }
        worker.shutdownNow();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
        }
    }
}
