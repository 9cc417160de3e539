import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send a request without an id, read the refusal and send the same again at once, each on
 * a new connection. Arguments: root of the repository, folder of the case.
 */
public final class BadClients {
    private static final int CLIENTS = 60;
    private static final int BODY_BYTES = 60_000;
    private static final int FROM_S = 5;
    private static final int TO_S = 25;
    private static final int END_S = 32;

    private BadClients() {}

    public static void main(String[] args) {
        Run.main(args, BadClients::play);
    }

    private static boolean play(Run run) throws Exception {
        List<Engine> engines = run.engines(6, new Engine.Conduct());
        Coordinator coordinator = new Coordinator("127.0.0.10", run.record);
        Manager manager = new Manager(run.root, run.temporary, "n1", "127.0.0.2");
        manager.configure(coordinator.address, engines, 1_024, Settings.json(2, 0, false, true));
        manager.start();
        long start = System.nanoTime();
        run.clients(manager, 8, "lookup", 100, 500, 5_000, 50, start + END_S * 1_000_000_000L);
        run.clients(manager, 4, "report", 1_500, 3_000, 20_000, 50, start + END_S * 1_000_000_000L);
        Thread.sleep(FROM_S * 1_000L);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        byte[] call = new byte[BODY_BYTES + 1_000];
        Arrays.fill(call, (byte) 'a');
        byte[] head = ("POST /ops/lookup HTTP/1.1\r\nHost: service.internal\r\nX-Allow-Ms: 5000\r\n"
                + "X-Team: rumah-huruf\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(head, 0, call, 0, head.length);
        if (run.trouble) {
            run.record.say(CLIENTS + " bad clients begin");
            for (int i = 0; i < CLIENTS; i++) {
                Engine.daemon(() -> {
                    while (System.nanoTime() < start + TO_S * 1_000_000_000L) {
                        sent.incrementAndGet();
                        try (Socket socket = new Socket(
                                manager.address.getAddress(), manager.address.getPort())) {
                            socket.setSoTimeout(10_000);
                            socket.getOutputStream().write(call, 0, head.length + BODY_BYTES);
                            Http answer = Http.read(socket.getInputStream());
                            run.record.line("bad client gets "
                                    + (answer == null ? "a close" : answer.firstLine));
                            answered.incrementAndGet();
                        } catch (IOException closed) {
                            run.record.line("bad client: " + closed.getMessage());
                        }
                    }
                });
            }
        }
        run.awaitClients();
        int lost = 0;
        for (Run.Ended ended : run.ended) {
            if (ended.answer().end() == Client.End.GIVEN_UP
                    || ended.answer().end() == Client.End.LOST) {
                lost++;
                run.record.line("BROKEN " + ended.trafficClass() + " " + ended.id() + ": "
                        + ended.answer().text());
            }
        }
        run.record.say("calls of bad clients: " + sent + ", answered: " + answered
                + "; requests of the usual clients that got no answer until 0.6 s after their time: "
                + lost);
        run.stop(manager);
        return lost == 0;
    }
}
