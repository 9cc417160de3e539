package firstage.server;

import static firstage.fixtures.ClientWire.ONE_ROW_JSON;
import static firstage.fixtures.ClientWire.WAIT_MS;
import static firstage.fixtures.ClientWire.orderingKey;
import static firstage.fixtures.EngineWire.GRANT_MB;
import static firstage.fixtures.EngineWire.MAX_MS;
import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.POST_STATEMENT;
import static firstage.fixtures.EngineWire.QUEUE;
import static firstage.fixtures.EngineWire.RANK;
import static firstage.fixtures.EngineWire.SHED;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.EngineWire.TICKET;
import static firstage.fixtures.EngineWire.page;
import static firstage.fixtures.ManagerSettings.LOAD;
import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ManagerSettings.REPORT;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.HttpMessage;
import firstage.fixtures.JobIds;
import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the path of requests from a client to an engine and back. */
class RequestsIT extends ManagerFixture {
    private static final int PIECE_BYTES = 7;
    private static final int PAUSE_MS = 5;

    @Test
    void request_withThreePages_isForwardedByteForByteAndAnsweredWhole() throws Exception {
        engine.respondWith(
                call ->
                        switch (call.startLine().replaceAll("/x/[0-9a-f]+", "/x/ID")) {
                            case POST_STATEMENT ->
                                    page("Page-Count: 3", "q\"\\\t\u00e9\u4e2d\t\u0001\n");
                            case "GET /x/ID/1" -> page("Page-No: 1", "r2\t\t2\nr3\tx\t3\n");
                            case "GET /x/ID/2" -> page("Page-No: 2", "");
                            default -> throw new IllegalStateException(call.startLine());
                        });
        String statement = "SELECT '\u4e2d' /* \t */ FROM sales_17.orders\r\n";
        try (QueryClient client = newClient()) {
            HttpMessage response =
                    client.request(LOOKUP, "X-Size-Ms: 20.0\r\nX-Memory: 96\r\n", statement, 2000);
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body())
                    .isEqualTo(
                            "{\"page\":[[\"q\\\"\\\\\",\"\u00e9\u4e2d\",\"\\u0001\"],"
                                    + "[\"r2\",\"\",\"2\"],[\"r3\",\"x\",\"3\"]]}");
        }
        HttpMessage post = engine.awaitCall(POST_STATEMENT);
        assertThat(post.body()).isEqualTo(statement);
        assertThat(post.headers())
                .containsEntry(TICKET, JobIds.of(1))
                .containsEntry(QUEUE, "lookup")
                .containsEntry(GRANT_MB, "120")
                .containsKey(RANK);
        assertThat(Integer.parseInt(post.headers().get(MAX_MS))).isBetween(1, 2000);
    }

    @Test
    void connection_usedForManyCalls_answersEach() throws Exception {
        try (QueryClient client = newClient()) {
            for (int i = 0; i < 20; i++) {
                assertThat(client.request(LOOKUP, "", "SELECT 1", 2000).body())
                        .isEqualTo(ONE_ROW_JSON);
            }
        }
    }

    @Test
    void request_refusedByEveryEngine_isRejectedWithRetryAfter() throws Exception {
        engine.respondWith(call -> SHED);
        try (QueryClient client = newClient()) {
            HttpMessage response =
                    client.request(
                            LOAD, orderingKey("7f"), "INSERT INTO sales_3.t VALUES (1)", 900);
            response = client.follow(response);
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.headers()).containsKey(WAIT_MS);
            assertThat(response.body()).contains("\"err\":\"Busy\"");
        }
    }

    @Test
    void heldCall_brokenByClient_isAnsweredOnNextCall() throws Exception {
        engine.respondWith(call -> STILL_RUNNING);
        String path;
        try (QueryClient client = newClient()) {
            path = client.request(REPORT, "", "SELECT 1", 9000).pollPath();
            client.sendGet(path);
        }
        try (QueryClient stale = newClient();
                QueryClient client = newClient()) {
            client.sendGet(path);
            stale.sendGet(path);
            engine.respondWith(call -> ONE_ROW);
            assertThat(client.read().body()).isEqualTo(ONE_ROW_JSON);
        }
        try (QueryClient client = newClient()) {
            assertThat(client.get(path).body()).isEqualTo(ONE_ROW_JSON);
        }
    }

    /** A slow client sends a few bytes at a time, with a content length or in chunks. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 29\r\n\r\nSELECT 1 FROM sales_17.orders",
                "Transfer-Encoding: chunked\r\n\r\n"
                        + "5\r\n"
                        + "SELEC\r\n"
                        + "18\r\n"
                        + "T 1 FROM sales_17.orders\r\n"
                        + "0\r\n\r\n"
            })
    void call_arrivingInPieces_isReadWhole(String body) throws Exception {
        try (QueryClient client = newClient()) {
            byte[] call =
                    ("POST /ops/lookup HTTP/1.1\r\nHost: h\r\n"
                                    + client.requestHeaders(5000)
                                    + body)
                            .getBytes(StandardCharsets.UTF_8);
            client.sendInPieces(call, PIECE_BYTES, PAUSE_MS);
            assertThat(client.readToEnd().body()).isEqualTo(ONE_ROW_JSON);
        }
        assertThat(engine.awaitCall(POST_STATEMENT).body())
                .isEqualTo("SELECT 1 FROM sales_17.orders");
    }
}
