package firstage.server;

import static firstage.fixtures.ClientWire.ONE_ROW_JSON;
import static firstage.fixtures.EngineWire.DELETE;
import static firstage.fixtures.EngineWire.DELETED;
import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.POST_STATEMENT;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.EngineWire.page;
import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ManagerSettings.REPORT;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.ClientWire;
import firstage.fixtures.HttpMessage;
import firstage.fixtures.JobIds;
import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the shutdown, from SIGTERM to the end of the process. */
class ShutdownIT extends ManagerFixture {
    @Test
    void sigterm_requestsOpen_allAnsweredAndExitStatusZero() throws Exception {
        engine.respondWith(call -> STILL_RUNNING);
        try (QueryClient client = newClient()) {
            String path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
            client.sendGet(path);
            manager.terminate();
            try (QueryClient late = newClient()) {
                engine.respondWith(call -> ONE_ROW);
                assertThat(late.requestToEnd(LOOKUP, "", "SELECT 1", 5000).status()).isEqualTo(200);
            }
            assertThat(client.read().body()).isEqualTo(ONE_ROW_JSON);
        }
        assertThat(manager.awaitExit()).isZero();
        assertThat(manager.log()).contains("requests succeeded=2").doesNotContain("broken:");
    }

    /** A second SIGTERM must not restart the time until the planned end. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void sigterm_requestRunsTooLong_isRejectedBeforeKill(boolean repeatSignal) throws Exception {
        engine.respondWith(call -> call.isDelete() ? DELETED : STILL_RUNNING);
        try (QueryClient client = newClient()) {
            String path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
            client.sendGet(path);
            long start = System.nanoTime();
            manager.terminate();
            if (repeatSignal) {
                Thread.sleep(1_500);
                manager.terminateAgain();
            }
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(millisecondsSince(start)).isLessThan(3_600);
        }
        assertThat(engine.awaitCall(DELETE).startLine()).endsWith(JobIds.of(1));
        assertThat(manager.awaitExit()).isZero();
        if (repeatSignal) {
            assertThat(manager.log()).contains("repeated shutdown signals=1");
        }
    }

    /**
     * The client's connection breaks long after new traffic has stopped; the client polls or
     * cancels on a new connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"GET ", "DELETE "})
    void sigterm_clientReconnects_isServed(String method) throws Exception {
        engine.respondWith(call -> call.isDelete() ? DELETED : STILL_RUNNING);
        String path;
        try (QueryClient client = newClient()) {
            path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
            client.sendGet(path);
            manager.terminate();
            Thread.sleep(1_200);
        }
        if (method.startsWith("GET")) {
            engine.respondWith(call -> ONE_ROW);
        }
        try (QueryClient client = newClient()) {
            assertThat(client.call(method + path, "", "").status())
                    .isEqualTo(method.startsWith("GET") ? 200 : 204);
        }
        assertThat(manager.awaitExit()).isZero();
    }

    /**
     * The process is stopped from the signal, or shortly after it, until long after the listener
     * would have been closed.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 400})
    void sigterm_callArrivesDuringStall_isAnswered(int pauseDelayMs) throws Exception {
        manager.terminate();
        Thread.sleep(pauseDelayMs);
        manager.pause();
        try (QueryClient client = newClient()) {
            client.sendRequest(LOOKUP, "X-Size-Ms: 20\r\n", "SELECT 1", 5000);
            Thread.sleep(1_200);
            manager.resume();
            assertThat(client.readToEnd().status()).isEqualTo(200);
        }
        assertThat(manager.awaitExit()).isZero();
        assertThat(manager.log()).contains("requests succeeded=1").doesNotContain("broken:");
    }

    /** The last answer is lost with its connection, and its client polls again at once. */
    @Test
    void sigterm_lastAnswerLost_isGivenAgain() throws Exception {
        engine.respondWith(call -> STILL_RUNNING);
        String path;
        try (QueryClient client = newClient()) {
            path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
            client.sendGet(path);
            manager.terminate();
            Thread.sleep(1_200);
            engine.respondWith(call -> ONE_ROW);
            assertThat(client.readByte()).isPositive();
        }
        try (QueryClient client = newClient()) {
            HttpMessage repeatedAnswer = client.get(path);
            assertThat(repeatedAnswer.body()).isEqualTo(ONE_ROW_JSON);
        }
        assertThat(manager.awaitExit()).isZero();
    }

    @Test
    void sigterm_addressStillHeld_endsProgram() throws Exception {
        manager.kill();
        try (ServerSocket holder = new ServerSocket()) {
            holder.setReuseAddress(true);
            holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), manager.port()));
            manager.start(config());
            manager.awaitLog("tried again");
            manager.terminate();
            assertThat(manager.awaitExit(5)).isTrue();
            assertThat(manager.exitStatus()).isZero();
        }
    }

    /** The program waits for a client that reads late, but not for one that never reads. */
    @Test
    void sigterm_clientNeverReads_doesNotDelayShutdown() throws Exception {
        String rows = "\u0001".repeat(5_990) + "\t\t\n";
        engine.respondWith(
                call ->
                        call.startLine().equals(POST_STATEMENT)
                                ? page("Page-Count: 40", rows)
                                : page("Page-No: " + call.startLine().replaceAll(".*/", ""), rows));
        try (QueryClient silentClient = newClient(4_096);
                QueryClient lateClient = newClient()) {
            silentClient.sendRequest(REPORT, "", "SELECT 1", 9_000);
            lateClient.sendRequest(REPORT, "", "SELECT 1", 9_000);
            Thread.sleep(700);
            long start = System.nanoTime();
            manager.terminate();
            Thread.sleep(300);
            assertThat(lateClient.readToEnd().body().length()).isGreaterThan(1_000_000);
            assertThat(manager.awaitExit()).isZero();
            assertThat(millisecondsSince(start)).isLessThan(3_600);
        }
        assertThat(manager.log()).contains("requests succeeded=2").doesNotContain("broken:");
    }

    /**
     * Guards against requests on open connections that are read while the process ends, forwarded,
     * and lost. Each request must be answered, or stay unread because its connection is closed.
     */
    @Test
    void sigterm_requestsOnIdleConnectionsAsItEnds_noneIsForwardedAndLost() throws Exception {
        int count = 40;
        List<QueryClient> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            QueryClient client = newClient();
            assertThat(client.get(ClientWire.ALIVE_PATH).status()).isEqualTo(200);
            clients.add(client);
        }
        manager.terminate();
        while (!manager.log().contains("end: ")) {
            Thread.onSpinWait();
        }
        List<String> unanswered = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            try {
                clients.get(i).sendRequest(LOOKUP, "", "SELECT 1", 5000);
                unanswered.add(jobIds.latest());
            } catch (IOException closed) {
                // The connection was closed before the request was sent.
            }
        }
        for (int i = 0; i < count; i++) {
            try (QueryClient client = clients.get(i)) {
                client.readToEnd();
                unanswered.remove(JobIds.of(i + 1));
            } catch (IOException closed) {
                // The connection was closed without an answer.
            }
        }
        assertThat(manager.awaitExit()).isZero();
        assertThat(engine.posts().map(HttpMessage::ticket))
                .doesNotContainAnyElementsOf(unanswered.isEmpty() ? List.of("-") : unanswered);
    }
}
