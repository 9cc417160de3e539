package firstage.server;

import static firstage.fixtures.ClientWire.ALIVE_PATH;
import static firstage.fixtures.ClientWire.ONE_ROW_JSON;
import static firstage.fixtures.EngineWire.GET_STATEMENT;
import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.POST_STATEMENT;
import static firstage.fixtures.EngineWire.SHED;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.EngineWire.TICKET;
import static firstage.fixtures.EngineWire.UNKNOWN;
import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ManagerSettings.withSockets;
import static firstage.fixtures.ScriptedCoordinator.DRAINING;
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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the limits on connections and file descriptors. */
class ConnectionsIT extends ManagerFixture {
    private static final int WARM_UP_REQUESTS = 20;

    @Test
    void silentClients_overTheLimit_doNotBlockOthers() throws Exception {
        manager.restart(withSockets(config(), 140));
        List<QueryClient> silentClients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            silentClients.add(newClient());
        }
        long start = System.nanoTime();
        try (QueryClient client = newClient()) {
            assertThat(client.request(LOOKUP, "", "SELECT 1", 2000).body()).isEqualTo(ONE_ROW_JSON);
        }
        for (QueryClient client : silentClients) {
            assertThat(client.readByte()).isEqualTo(-1);
            client.close();
        }
        assertThat(millisecondsSince(start)).isLessThan(3_000);
    }

    @Test
    void requests_noSpareDescriptors_areStillAnswered() throws Exception {
        manager.restart(withSockets(config(), 99));
        engine.respondWith(call -> call.isGet() ? ONE_ROW : STILL_RUNNING);
        List<QueryClient> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(newClient());
            clients.get(i).sendRequest(LOOKUP, "", "SELECT 1", 5000);
        }
        for (QueryClient client : clients) {
            assertThat(client.readToEnd().status()).isIn(200, 503);
            client.close();
        }
    }

    /**
     * Script of an engine with two requests. Once released, it ends the first one and at once the
     * connection of the second one's poll, whose next poll finds the first one's connection.
     */
    private static final class LastConnectionScript implements ScriptedEngine.Script {
        private final String finalResponse;
        private final AtomicReference<String> firstJob = new AtomicReference<>();
        private final CountDownLatch released = new CountDownLatch(1);
        private final CountDownLatch firstEnded = new CountDownLatch(1);
        private final AtomicInteger secondPolls = new AtomicInteger();

        private LastConnectionScript(String finalResponse) {
            this.finalResponse = finalResponse;
        }

        @Override
        public String respond(HttpMessage call) throws InterruptedException {
            if (call.isPost()) {
                firstJob.compareAndSet(null, call.job());
                return STILL_RUNNING;
            }
            released.await();
            if (call.job().equals(firstJob.get())) {
                firstEnded.countDown();
                return finalResponse;
            }
            if (secondPolls.incrementAndGet() > 1) {
                return ONE_ROW;
            }
            firstEnded.await();
            Thread.sleep(1);
            // With a second copy the response ends its connection.
            return STILL_RUNNING + STILL_RUNNING;
        }
    }

    /** Makes requests so that no class has to be loaded between two calls that must be close. */
    private void warmUp() throws Exception {
        Set<String> polled = ConcurrentHashMap.newKeySet();
        engine.respondWith(
                call ->
                        call.isPost()
                                ? STILL_RUNNING
                                : polled.add(call.job()) ? STILL_RUNNING + STILL_RUNNING : ONE_ROW);
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            try (QueryClient client = newClient()) {
                client.requestToEnd(LOOKUP, "", "SELECT 1", 5000);
            }
        }
        engine.calls().clear();
    }

    private static Stream<String> finalResponses() {
        return Stream.of(ONE_ROW, SHED, UNKNOWN);
    }

    /**
     * Guards against a second copy of a response that passes for the response to another request's
     * poll: a connection has to stay quiet after any response, also if no other one can be opened.
     */
    @ParameterizedTest
    @MethodSource("finalResponses")
    void drainingEngine_requestEnds_pollOfAnotherWaitsUntilNoSecondCopyCanCome(String finalResponse)
            throws Exception {
        warmUp();
        LastConnectionScript script = new LastConnectionScript(finalResponse);
        engine.respondWith(script);
        try (QueryClient first = newClient();
                QueryClient second = newClient()) {
            first.sendRequest(LOOKUP, "", "SELECT 1", 5000);
            engine.awaitCall(GET_STATEMENT);
            second.sendRequest(LOOKUP, "", "SELECT 1", 5000);
            engine.awaitCall(GET_STATEMENT);
            coordinator.publish(2, endpoint(1, engine.port(), DRAINING));
            manager.awaitLog("event=2");
            engine.stopAccepting();
            script.released.countDown();
            assertThat(second.readToEnd().body()).isEqualTo(ONE_ROW_JSON);
        }
        assertThat(engine.callsBeforeSecondCopy()).isZero();
    }

    /**
     * The operating system enforces the limit, too. Without a reserve of descriptors, neither the
     * coordinator nor an engine could be reached again.
     */
    @Test
    void idleClients_fillDescriptors_watchAndEnginesStillConnect() throws Exception {
        manager.kill();
        manager.startWith(
                manager.newConfigFile(withSockets(config(), 120)),
                "sh",
                "-c",
                "ulimit -n 120 && exec \"$@\"",
                "sh");
        manager.awaitAlive();
        List<QueryClient> idleClients = new ArrayList<>();
        for (int i = 0; i < 90; i++) {
            QueryClient client = newClient();
            idleClients.add(client);
            if (i % 2 == 0) {
                assertThat(client.get(ALIVE_PATH).status()).isEqualTo(200);
            }
        }
        coordinator.closeWatch();
        ScriptedEngine secondEngine = newEngine();
        coordinator.publish(2, endpoint(2, secondEngine.port(), READY));
        coordinator.publish(3, endpoint(1, engine.port(), DRAINING));
        manager.awaitLog("event=3");
        try (QueryClient client = newClient()) {
            assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 2000).status()).isEqualTo(200);
        }
        assertThat(secondEngine.awaitCall(POST_STATEMENT).headers())
                .containsEntry(TICKET, JobIds.of(1));
        for (QueryClient client : idleClients) {
            client.close();
        }
    }

    /** While the process is stopped, an idle connection times out and a call arrives on it. */
    @ParameterizedTest
    @ValueSource(strings = {"unused", "idle"})
    void call_atMomentOfIdleClose_isAnswered(String connection) throws Exception {
        try (QueryClient client = newClient()) {
            if (connection.equals("idle")) {
                assertThat(client.get(ALIVE_PATH).status()).isEqualTo(200);
            }
            Thread.sleep(connection.equals("idle") ? 4_700 : 1_700);
            manager.pause();
            client.sendRequest(LOOKUP, "", "SELECT 1", 5000);
            Thread.sleep(900);
            manager.resume();
            assertThat(client.readToEnd().status()).isEqualTo(200);
        }
    }
}
