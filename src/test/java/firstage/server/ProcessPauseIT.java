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

/** The process is stopped (SIGSTOP) while clients send, leave or cancel. */
class ProcessPauseIT extends ManagerFixture {
    /** Longer than a first call is held, and than a client is waited for that has a path. */
    private static final int PAUSE_MS = 400;

    /** What the protocol allows a deadline at an engine beyond the client's. */
    private static final int DEADLINE_SLACK_MS = 150;

    private ScriptedEngine secondEngine;

    /** The one engine drains: requests wait until the second is published. */
    private void holdRequests() throws Exception {
        secondEngine = newEngine();
        coordinator.publish(2, endpoint(1, engine.port(), DRAINING));
        manager.awaitLog("event=2");
    }

    private void publishSecondEngine() {
        coordinator.publish(3, endpoint(2, secondEngine.port(), READY));
    }

    private void assertNotSent(List<String> leftIds) throws Exception {
        awaitUse(secondEngine);
        Thread.sleep(300);
        assertThat(secondEngine.calls().stream().map(HttpMessage::ticket))
                .doesNotContainAnyElementsOf(leftIds);
    }

    /** Four requests, each on a connection of its own; adds their ids. */
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

    /** A client without a path closes: its request must not be sent when the process goes on. */
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

    /** A client that was given a path closes and never polls; the pause outlasts its grace. */
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

    /** A DELETE on a new connection lies unread; the client's held poll stays open. */
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
     * A request lies unread: the deadline that the engine is told must not be late by the pause.
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

    /** The rest of a statement comes while its time to be read runs out: it is answered. */
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
