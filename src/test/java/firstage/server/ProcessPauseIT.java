package firstage.server;

import static firstage.fixtures.EngineWire.MAX_MS;
import static firstage.fixtures.EngineWire.POST_STATEMENT;
import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ManagerSettings.REPORT;
import static firstage.fixtures.ScriptedCoordinator.DRAINING;
import static firstage.fixtures.ScriptedCoordinator.READY;
import static firstage.fixtures.ScriptedCoordinator.endpoint;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.HttpMessage;
import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import firstage.fixtures.ScriptedEngine;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests pauses of the process (SIGSTOP) during which clients send, leave or cancel. */
class ProcessPauseIT extends ManagerFixture {
    /**
     * Length of a pause: longer than a first call is held, and longer than the time after which a
     * client that does not poll counts as absent.
     */
    private static final int PAUSE_MS = 400;

    /** Time by which the protocol lets an engine's deadline exceed the client's deadline. */
    private static final int DEADLINE_SLACK_MS = 150;

    private ScriptedEngine secondEngine;

    /** Drains the only engine, so that requests wait until the second engine is published. */
    private void holdRequests() throws Exception {
        secondEngine = newEngine();
        coordinator.publish(2, endpoint(1, engine.port(), DRAINING));
        manager.awaitLog("event=2");
    }

    private void publishSecondEngine() {
        coordinator.publish(3, endpoint(2, secondEngine.port(), READY));
    }

    /** Asserts that no request with these ids, whose clients left, is sent to the second engine. */
    private void assertNotSent(List<String> leftIds) throws Exception {
        sendRequestsUntilUsed(secondEngine);
        Thread.sleep(300);
        assertThat(secondEngine.calls().stream().map(HttpMessage::ticket))
                .doesNotContainAnyElementsOf(leftIds);
    }

    /** Sends four requests, each on its own connection, and adds their ids to {@code ids}. */
    private List<QueryClient> sendRequests(List<String> ids) throws Exception {
        List<QueryClient> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            QueryClient client = newClient();
            client.sendRequest(REPORT, "", "SELECT 1", 9000);
            ids.add(jobIds.latest());
            clients.add(client);
        }
        return clients;
    }

    /**
     * A client without a path to poll closes its connection; its request must not be sent after the
     * pause.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 15, 25, 35})
    void firstCall_clientClosedDuringPause_isNotSent(int engineReadyAfterMs) throws Exception {
        holdRequests();
        List<String> leftIds = new ArrayList<>();
        List<QueryClient> clients = sendRequests(leftIds);
        Thread.sleep(100);
        manager.pause();
        for (QueryClient client : clients) {
            client.close();
        }
        Thread.sleep(PAUSE_MS);
        manager.resume();
        Thread.sleep(engineReadyAfterMs);
        publishSecondEngine();
        assertNotSent(leftIds);
    }

    /**
     * A client with a path to poll closes its connection and never polls; the pause is longer than
     * the poll grace.
     */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 5, 15, 35})
    void pathSent_clientClosedDuringPause_isNotSent(int engineReadyAfterMs) throws Exception {
        holdRequests();
        List<String> leftIds = new ArrayList<>();
        List<QueryClient> clients = sendRequests(leftIds);
        for (QueryClient client : clients) {
            client.read().pollPath();
        }
        manager.pause();
        for (QueryClient client : clients) {
            client.close();
        }
        if (engineReadyAfterMs < 0) {
            publishSecondEngine();
        }
        Thread.sleep(PAUSE_MS);
        manager.resume();
        if (engineReadyAfterMs >= 0) {
            Thread.sleep(engineReadyAfterMs);
            publishSecondEngine();
        }
        assertNotSent(leftIds);
    }

    /**
     * A DELETE arrives on a new connection during the pause; the client's own connection stays
     * open.
     */
    @ParameterizedTest
    @CsvSource({"true, -1", "true, 0", "true, 10", "false, -1", "false, 0", "false, 10"})
    void request_cancelledDuringPause_isNotSent(boolean polls, int engineReadyAfterMs)
            throws Exception {
        holdRequests();
        List<String> leftIds = new ArrayList<>();
        List<QueryClient> openClients = new ArrayList<>();
        List<String> paths = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            QueryClient client = newClient();
            String path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
            leftIds.add(jobIds.latest());
            paths.add(path);
            openClients.add(client);
            if (polls) {
                client.sendGet(path);
            }
        }
        Thread.sleep(polls ? 100 : 0);
        manager.pause();
        if (engineReadyAfterMs < 0) {
            publishSecondEngine();
        }
        for (String path : paths) {
            QueryClient otherClient = newClient();
            otherClient.send("DELETE " + path, "", "");
            openClients.add(otherClient);
        }
        Thread.sleep(PAUSE_MS);
        manager.resume();
        if (engineReadyAfterMs >= 0) {
            Thread.sleep(engineReadyAfterMs);
            publishSecondEngine();
        }
        assertNotSent(leftIds);
        for (QueryClient client : openClients) {
            client.close();
        }
    }

    /**
     * A request is read only after the pause; the deadline that the engine gets must not be later
     * by the length of the pause.
     */
    @Test
    void request_sentDuringPause_engineDeadlineIsWithinClients() throws Exception {
        manager.pause();
        long sentAt = System.nanoTime();
        QueryClient client = newClient();
        client.sendRequest(LOOKUP, "", "SELECT 1", 3000);
        Thread.sleep(PAUSE_MS);
        manager.resume();
        HttpMessage call = engine.awaitCall(POST_STATEMENT);
        long deadlineMs = millisecondsSince(sentAt) + Long.parseLong(call.headers().get(MAX_MS));
        assertThat(deadlineMs).isLessThanOrEqualTo(3000 + DEADLINE_SLACK_MS);
        client.close();
    }

    /**
     * The rest of a statement arrives during the pause, in which the time to read the statement
     * runs out; the request must be answered.
     */
    @Test
    void statement_completedDuringPause_isAnswered() throws Exception {
        try (QueryClient client = newClient()) {
            String head =
                    "POST /ops/"
                            + LOOKUP
                            + " HTTP/1.1\r\nHost: h\r\n"
                            + client.requestHeaders(9000)
                            + "Content-Length: 8\r\n\r\n";
            client.sendBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(1_700);
            manager.pause();
            client.sendBytes("SELECT 1".getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(PAUSE_MS);
            manager.resume();
            assertThat(client.readToEnd().status()).isEqualTo(200);
        }
    }
}
