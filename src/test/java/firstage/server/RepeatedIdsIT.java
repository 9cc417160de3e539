package firstage.server;

import static firstage.fixtures.ClientWire.orderingKey;
import static firstage.fixtures.EngineWire.DELETED;
import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.POST_STATEMENT;
import static firstage.fixtures.EngineWire.SHED;
import static firstage.fixtures.EngineWire.SILENCE;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.EngineWire.UNKNOWN;
import static firstage.fixtures.ManagerSettings.LOAD;
import static firstage.fixtures.ManagerSettings.REPORT;
import static firstage.fixtures.ManagerSettings.withMemory;
import static firstage.fixtures.ScriptedCoordinator.DRAINING;
import static firstage.fixtures.ScriptedCoordinator.READY;
import static firstage.fixtures.ScriptedCoordinator.endpoint;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.HttpMessage;
import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests requests whose id comes again once its first request is over. */
class RepeatedIdsIT extends ManagerFixture {
    /** With 1 MB of memory, 128 ids of requests that may run again are kept. */
    private static final int MORE_IDS_THAN_KEPT = 300;

    /** Guards against a second run of a request whose client left and sends the same id again. */
    @ParameterizedTest
    @CsvSource({
        "load, closes the first call",
        "load, closes a poll",
        "load, deletes",
        "load, has its answer",
        "load, has an error",
        "report, closes the first call",
        "report, closes a poll",
        "report, deletes",
        "report, has its answer"
    })
    void id_mayHaveRun_isAnsweredWithErrorAndNotSentAgain(String trafficClass, String firstEnd)
            throws Exception {
        String key = trafficClass.equals(LOAD) ? orderingKey("7f") : "";
        engine.respondWith(call -> call.isDelete() ? DELETED : STILL_RUNNING);
        QueryClient client = newClient();
        client.sendRequest(trafficClass, key, "INSERT INTO sales_3.t", 9000);
        engine.awaitCall(POST_STATEMENT);
        endFirstRequest(client, firstEnd);
        Thread.sleep(100);
        engine.respondWith(call -> ONE_ROW);
        jobIds.reuseLatest();
        try (QueryClient sameClient = newClient()) {
            HttpMessage response =
                    sameClient.requestToEnd(trafficClass, key, "INSERT INTO sales_3.t", 9000);
            assertThat(response.status()).isEqualTo(409);
            assertThat(response.body()).doesNotContain("Busy");
            // Another id is served as always.
            assertThat(sameClient.requestToEnd(REPORT, "", "SELECT 1", 9000).status())
                    .isEqualTo(200);
        }
        client.close();
        assertThat(engine.posts()).hasSize(1);
    }

    private void endFirstRequest(QueryClient client, String firstEnd) throws Exception {
        switch (firstEnd) {
            case "closes the first call" -> client.close();
            case "closes a poll" -> {
                client.sendGet(client.read().pollPath());
                Thread.sleep(50);
                client.close();
            }
            case "deletes" -> {
                String path = client.read().pollPath();
                try (QueryClient otherClient = newClient()) {
                    assertThat(otherClient.delete(path).status()).isEqualTo(204);
                }
            }
            case "has its answer" -> {
                engine.respondWith(call -> ONE_ROW);
                assertThat(client.readToEnd().status()).isEqualTo(200);
            }
            default -> {
                engine.respondWith(call -> UNKNOWN);
                assertThat(client.readToEnd().status()).isEqualTo(500);
            }
        }
    }

    /** An id whose request was never sent, or that its engine refused, may come again. */
    @ParameterizedTest
    @CsvSource({"refused by the engine", "not sent"})
    void id_neverRan_isServed(String reason) throws Exception {
        engine.respondWith(call -> SHED);
        if (reason.equals("not sent")) {
            coordinator.publish(2, endpoint(1, engine.port(), DRAINING));
            manager.awaitLog("event=2");
        }
        try (QueryClient client = newClient()) {
            client.sendRequest(LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 9000);
            Thread.sleep(200);
        }
        Thread.sleep(100);
        engine.respondWith(call -> ONE_ROW);
        coordinator.publish(3, endpoint(2, newEngine().port(), READY));
        manager.awaitLog("event=3");
        jobIds.reuseLatest();
        try (QueryClient client = newClient()) {
            assertThat(
                            client.requestToEnd(
                                            LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 9000)
                                    .status())
                    .isEqualTo(200);
        }
    }

    /** A client that sends ever new ids makes the manager forget none that must not run again. */
    @Test
    void id_afterManyOthers_isStillKnown() throws Exception {
        manager.restart(withMemory(config(), 1));
        engine.respondWith(call -> call.isDelete() ? DELETED : SILENCE);
        try (QueryClient client = newClient()) {
            client.sendRequest(LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 9000);
            engine.awaitCall(POST_STATEMENT);
        }
        engine.respondWith(call -> ONE_ROW);
        String loadId = jobIds.latest();
        try (QueryClient client = newClient()) {
            for (int i = 0; i < MORE_IDS_THAN_KEPT; i++) {
                client.requestToEnd(REPORT, "", "SELECT 1", 9000);
            }
            HttpMessage response =
                    client.call(
                            "POST /ops/" + LOAD,
                            "X-Job-Id: " + loadId + "\r\nX-Allow-Ms: 900\r\nX-Team: t\r\n",
                            "INSERT INTO sales_3.t");
            assertThat(response.status()).isEqualTo(409);
        }
    }
}
