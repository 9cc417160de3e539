package firstage.server;

import static firstage.fixtures.EngineWire.DELETE;
import static firstage.fixtures.EngineWire.DELETED;
import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.POST_STATEMENT;
import static firstage.fixtures.EngineWire.SHED;
import static firstage.fixtures.EngineWire.SILENCE;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.EngineWire.TICKET;
import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ManagerSettings.REPORT;
import static firstage.fixtures.ManagerSettings.withConnectTimeout;
import static firstage.fixtures.ManagerSettings.withHedgedRequests;
import static firstage.fixtures.ScriptedCoordinator.DRAINING;
import static firstage.fixtures.ScriptedCoordinator.READY;
import static firstage.fixtures.ScriptedCoordinator.endpoint;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstage.fixtures.HttpMessage;
import firstage.fixtures.JobIds;
import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import firstage.fixtures.ScriptedEngine;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests clients that leave, cancel or come back while their request waits or runs. */
class CancellationIT extends ManagerFixture {
    @Test
    void request_closedOrDeletedByClient_isDeletedAtEngine() throws Exception {
        engine.respondWith(
                call -> call.isGet() ? STILL_RUNNING : call.isDelete() ? DELETED : SILENCE);
        try (QueryClient client = newClient()) {
            client.sendRequest(REPORT, "", "SELECT 1", 9000);
            engine.awaitCall(POST_STATEMENT);
        }
        assertThat(engine.awaitCall(DELETE).startLine()).endsWith(JobIds.of(1));
        engine.respondWith(call -> call.isDelete() ? DELETED : STILL_RUNNING);
        try (QueryClient client = newClient();
                QueryClient otherClient = newClient()) {
            String path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
            assertThat(otherClient.delete(path).status()).isEqualTo(204);
            assertThat(otherClient.get(path).status()).isEqualTo(404);
        }
        assertThat(engine.awaitCall(DELETE).startLine()).endsWith(JobIds.of(2));
    }

    /**
     * A client that closes only its own side of the connection still waits, so its call must not
     * end without an answer.
     */
    @Test
    void firstCall_halfClosedByClient_isAnsweredAsFailed() throws Exception {
        engine.respondWith(call -> call.isDelete() ? DELETED : SILENCE);
        try (QueryClient client = newClient()) {
            client.sendRequest(REPORT, "", "SELECT 1", 9000);
            engine.awaitCall(POST_STATEMENT);
            client.shutdownOutput();
            assertThat(client.read().status()).isEqualTo(500);
        }
        assertThat(engine.awaitCall(DELETE).startLine()).endsWith(JobIds.of(1));
    }

    /** The call that the client holds open must not end without a response. */
    @Test
    void heldCall_deletedOnAnotherConnection_isAnsweredAsFailed() throws Exception {
        engine.respondWith(call -> call.isDelete() ? DELETED : STILL_RUNNING);
        try (QueryClient client = newClient();
                QueryClient otherClient = newClient()) {
            String path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
            client.sendGet(path);
            Thread.sleep(50);
            assertThat(otherClient.delete(path).status()).isEqualTo(204);
            HttpMessage response = client.read();
            assertThat(response.status()).isEqualTo(500);
            assertThat(response.body()).contains("\"err\":\"Failed\"");
            assertThat(otherClient.get(path).status()).isEqualTo(404);
        }
        assertThat(engine.awaitCall(DELETE).startLine()).endsWith(JobIds.of(1));
    }

    /** Covers each way in which a client leaves, for each attempt that its request may wait for. */
    @ParameterizedTest
    @CsvSource({
        "first attempt, closes",
        "first attempt, breaks",
        "first attempt, deletes",
        "first attempt, stays silent",
        "retry, closes",
        "retry, breaks",
        "retry, deletes",
        "retry, stays silent",
        "hedged request, closes",
        "hedged request, breaks",
        "hedged request, deletes",
        "hedged request, stays silent"
    })
    void waitingRequest_clientLeft_isNotSent(String waitsFor, String departure) throws Exception {
        if (waitsFor.equals("hedged request")) {
            manager.restart(withHedgedRequests(config()));
        }
        // A refused request waits for its retry. A request without a response waits for its hedged
        // request. A request whose only engine drains waits for its first attempt.
        engine.respondWith(call -> waitsFor.equals("retry") ? SHED : SILENCE);
        if (waitsFor.equals("first attempt")) {
            coordinator.publish(2, endpoint(1, engine.port(), DRAINING));
            manager.awaitLog("event=2");
        }
        QueryClient client = newClient();
        String path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
        boolean holdsCall = waitsFor.equals("hedged request") && !departure.equals("stays silent");
        if (waitsFor.equals("hedged request")) {
            if (holdsCall) {
                client.sendGet(path);
            }
            // Longer than the delay of a hedged request, but shorter than the time after which a
            // silent client counts as absent.
            Thread.sleep(1_600);
        }
        switch (departure) {
            case "closes" -> client.close();
            case "breaks" -> {
                if (!holdsCall) {
                    client.sendGet(path);
                }
                Thread.sleep(100);
                client.close();
            }
            case "deletes" -> {
                try (QueryClient otherClient = newClient()) {
                    assertThat(otherClient.delete(path).status()).isEqualTo(204);
                }
            }
            default -> {}
        }
        Thread.sleep(130);
        ScriptedEngine secondEngine = newEngine();
        coordinator.publish(3, endpoint(2, secondEngine.port(), READY));
        sendRequestsUntilUsed(secondEngine);
        Thread.sleep(200);
        assertThat(secondEngine.calls().stream().map(HttpMessage::ticket))
                .doesNotContain(JobIds.of(1));
        client.close();
        manager.terminate();
        assertThat(manager.awaitExit()).isZero();
        assertThat(manager.log()).doesNotContain("violation", "stale knowledge");
    }

    /**
     * The engine's accept queue is full, so the connection to it is established a second late. If
     * the client has left by then, the connection stays open and nothing is written to it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void lateEngineConnection_isUsed_unlessClientLeft(boolean clientLeaves) throws Exception {
        coordinator.watchStarts().take();
        manager.restart(withConnectTimeout(config(), 3));
        // Waits until the new process watches: events that are published earlier would be written
        // to the killed process's connection.
        coordinator.watchStarts().take();
        try (ServerSocket fullServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket firstQueued =
                        new Socket(fullServer.getInetAddress(), fullServer.getLocalPort());
                Socket secondQueued =
                        new Socket(fullServer.getInetAddress(), fullServer.getLocalPort());
                QueryClient client = newClient()) {
            coordinator.publish(2, endpoint(2, fullServer.getLocalPort(), READY));
            coordinator.publish(3, endpoint(1, engine.port(), DRAINING));
            manager.awaitLog("event=3");
            client.sendGet(client.request(LOOKUP, "", "SELECT 1", 5000).pollPath());
            Thread.sleep(200);
            if (clientLeaves) {
                client.close();
            }
            fullServer.accept().close();
            fullServer.accept().close();
            fullServer.setSoTimeout(5_000);
            try (Socket engineConnection = fullServer.accept()) {
                engineConnection.setSoTimeout(1_000);
                if (clientLeaves) {
                    assertThatThrownBy(() -> engineConnection.getInputStream().read())
                            .isInstanceOf(SocketTimeoutException.class);
                } else {
                    assertThat(HttpMessage.read(engineConnection.getInputStream()).headers())
                            .containsEntry(TICKET, JobIds.of(1));
                    engineConnection
                            .getOutputStream()
                            .write(ONE_ROW.getBytes(StandardCharsets.UTF_8));
                    assertThat(client.read().status()).isEqualTo(200);
                }
            }
            assertThat(firstQueued.isConnected() && secondQueued.isConnected()).isTrue();
        }
        assertThat(engine.calls()).isEmpty();
    }

    /** The client's connection breaks; the request is sent once the client is back. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 1_000})
    void waitingRequest_clientReturns_isSentThen(int awayMs) throws Exception {
        coordinator.publish(2, endpoint(1, engine.port(), DRAINING));
        manager.awaitLog("event=2");
        String path;
        try (QueryClient client = newClient()) {
            path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
            client.sendGet(path);
            Thread.sleep(50);
        }
        Thread.sleep(awayMs);
        ScriptedEngine secondEngine = newEngine();
        coordinator.publish(3, endpoint(2, secondEngine.port(), READY));
        manager.awaitLog("event=3");
        try (QueryClient client = newClient()) {
            assertThat(client.get(path).status()).isEqualTo(200);
        }
    }

    /**
     * While the process is stopped, clients leave and an engine with capacity is published. The
     * order in which the manager reads the two afterwards must not matter.
     */
    @Test
    void waitingRequest_clientLeftDuringStall_isNotSent() throws Exception {
        coordinator.publish(2, endpoint(1, engine.port(), DRAINING));
        manager.awaitLog("event=2");
        ScriptedEngine secondEngine = newEngine();
        List<QueryClient> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            QueryClient client = newClient();
            client.sendGet(client.request(REPORT, "", "SELECT 1", 9000).pollPath());
            clients.add(client);
        }
        manager.pause();
        coordinator.publish(3, endpoint(2, secondEngine.port(), READY));
        for (QueryClient client : clients) {
            client.close();
        }
        Thread.sleep(400);
        manager.resume();
        sendRequestsUntilUsed(secondEngine);
        Thread.sleep(200);
        List<String> leftIds = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            leftIds.add(JobIds.of(i));
        }
        assertThat(secondEngine.calls().stream().map(HttpMessage::ticket))
                .doesNotContainAnyElementsOf(leftIds);
    }
}
