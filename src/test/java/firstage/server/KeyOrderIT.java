package firstage.server;

import static firstage.fixtures.ClientWire.ALIVE_PATH;
import static firstage.fixtures.ClientWire.orderingKey;
import static firstage.fixtures.EngineWire.DELETE;
import static firstage.fixtures.EngineWire.DELETED;
import static firstage.fixtures.EngineWire.GET_STATEMENT;
import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.POST_STATEMENT;
import static firstage.fixtures.EngineWire.SILENCE;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.EngineWire.UNKNOWN;
import static firstage.fixtures.ManagerSettings.LOAD;
import static firstage.fixtures.ScriptedCoordinator.READY;
import static firstage.fixtures.ScriptedCoordinator.endpoint;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.HttpMessage;
import firstage.fixtures.JobIds;
import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import firstage.fixtures.ScriptedEngine;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests that requests with an ordering key run one at a time, in the order of their arrival. */
class KeyOrderIT extends ManagerFixture {
    @Test
    void nextOfKey_cancelUnconfirmed_waits() throws Exception {
        engine.respondWith(call -> call.isDelete() ? SILENCE : STILL_RUNNING);
        try (QueryClient first = newClient()) {
            first.sendRequest(LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 9000);
            engine.awaitCall(POST_STATEMENT);
        }
        engine.awaitCall(DELETE);
        engine.respondWith(call -> call.isDelete() ? DELETED : ONE_ROW);
        try (QueryClient client = newClient()) {
            client.sendRequest(LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 9000);
            HttpMessage next = engine.calls().take();
            while (next.isGet()) {
                next = engine.calls().take();
            }
            assertThat(next.startLine()).startsWith(DELETE);
            assertThat(client.readToEnd().status()).isEqualTo(200);
        }
    }

    /**
     * A client leaves while the only connection to its engine carries a poll, and no other
     * connection can be established. The cancellation must be sent on that connection once it is
     * free, and the next request of the key only after the cancellation.
     */
    @Test
    void cancel_noOtherConnection_isSentAfterHeldPoll() throws Exception {
        CountDownLatch heldPoll = new CountDownLatch(1);
        engine.respondWith(
                call -> {
                    engine.stopAccepting();
                    if (call.isGet()) {
                        heldPoll.await();
                    }
                    return call.isDelete() ? DELETED : STILL_RUNNING;
                });
        ScriptedEngine secondEngine = newEngine();
        try (QueryClient first = newClient()) {
            first.sendRequest(LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 9000);
            engine.awaitCall(GET_STATEMENT);
            coordinator.publish(2, endpoint(2, secondEngine.port(), READY));
        }
        manager.awaitLog("event=2");
        try (QueryClient client = newClient()) {
            client.sendRequest(LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 9000);
            // Well past the 20 ms for which the manager waits for the answer to a DELETE; the held
            // poll is answered only now.
            Thread.sleep(100);
            assertThat(secondEngine.calls()).isEmpty();
            heldPoll.countDown();
            assertThat(engine.awaitCall(DELETE).startLine()).endsWith(JobIds.of(1));
            long start = System.nanoTime();
            assertThat(client.readToEnd().status()).isEqualTo(200);
            // The end of the first request is proven, so the next one waits for no quiet period.
            assertThat(millisecondsSince(start)).isLessThan(2_000);
        }
        assertThat(secondEngine.posts()).hasSize(1);
    }

    @Test
    void nextOfKey_firstMayStillStart_waits() throws Exception {
        String first = JobIds.of(1);
        engine.respondWith(
                call ->
                        call.isDelete()
                                ? DELETED
                                : call.isGet()
                                        ? UNKNOWN
                                        : first.equals(call.ticket()) ? SILENCE : ONE_ROW);
        try (QueryClient client = newClient();
                QueryClient otherClient = newClient()) {
            client.sendRequest(LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 9000);
            engine.awaitCall(POST_STATEMENT);
            otherClient.sendRequest(LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 9000);
            assertThat(client.readToEnd().status()).isEqualTo(500);
            assertThat(otherClient.readToEnd().status()).isEqualTo(200);
        }
        // The DELETE is repeated every 0.5 s in case the engine reads the statement late.
        List<String> calls =
                engine.calls().stream().map(call -> call.startLine().substring(0, 4)).toList();
        assertThat(calls.stream().distinct()).containsExactly("GET ", "DELE", "POST");
        assertThat(calls.stream().filter("POST"::equals)).hasSize(1);
        assertThat(calls.stream().filter("DELE"::equals)).hasSizeBetween(5, 12);
        assertThat(calls).last().isEqualTo("POST");
    }

    /**
     * While the process is stopped, two requests of one key arrive, on a new and an old connection
     * or on two old ones. The manager can't tell which came first; the two must not run in the
     * wrong order.
     */
    @Test
    void requestsOfKey_readAfterStall_keepTheirOrder() throws Exception {
        int executed = 0;
        for (int round = 0; round < 12; round++) {
            try (QueryClient oldClient = newClient();
                    QueryClient otherOldClient = newClient()) {
                oldClient.get(ALIVE_PATH);
                otherOldClient.get(ALIVE_PATH);
                manager.pause();
                List<QueryClient> silentClients = new ArrayList<>();
                for (int i = 0; i < 8; i++) {
                    silentClients.add(newClient());
                }
                QueryClient first =
                        round % 3 == 0 ? newClient() : round % 3 == 1 ? oldClient : otherOldClient;
                QueryClient second =
                        round % 3 == 2 ? oldClient : round % 3 == 0 ? otherOldClient : newClient();
                String key = orderingKey(String.valueOf(round));
                first.sendRequest(LOAD, key, "INSERT INTO sales_3.t VALUES (1)", 5000);
                String firstId = jobIds.latest();
                Thread.sleep(first == oldClient || first == otherOldClient ? 60 : 250);
                second.sendRequest(LOAD, key, "INSERT INTO sales_3.t VALUES (2)", 5000);
                String secondId = jobIds.latest();
                manager.resume();
                int firstStatus = first.readToEnd().status();
                int secondStatus = second.readToEnd().status();
                assertThat(firstStatus).isIn(200, 503);
                assertThat(secondStatus).isIn(200, 503);
                List<String> posts =
                        engine.calls().stream()
                                .filter(call -> call.startLine().equals(POST_STATEMENT))
                                .map(HttpMessage::ticket)
                                .filter(List.of(firstId, secondId)::contains)
                                .toList();
                assertThat(posts)
                        .hasSize((firstStatus == 200 ? 1 : 0) + (secondStatus == 200 ? 1 : 0));
                assertThat(posts.equals(List.of(secondId, firstId))).as("order reversed").isFalse();
                executed += posts.size();
                for (QueryClient silentClient : silentClients) {
                    silentClient.close();
                }
                first.close();
                second.close();
            }
        }
        assertThat(executed).isGreaterThanOrEqualTo(12);
    }
}
