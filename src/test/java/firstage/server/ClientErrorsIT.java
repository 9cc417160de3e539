package firstage.server;

import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ManagerSettings.REPORT;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.BackgroundTasks;
import firstage.fixtures.HttpMessage;
import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests calls of clients that are malformed or not allowed. */
class ClientErrorsIT extends ManagerFixture {
    @Test
    void oversizedStatement_isReadOff_soThatClientIsAnswered() throws Exception {
        try (QueryClient client = newClient()) {
            client.sendRequest(LOOKUP, "", "a".repeat(200_000), 5000);
            Thread.sleep(500);
            assertThat(client.read().status()).isEqualTo(413);
            assertThat(client.readByte()).isEqualTo(-1);
        }
    }

    @Test
    void jobId_ofOpenRequest_isRefused() throws Exception {
        engine.respondWith(call -> STILL_RUNNING);
        try (QueryClient client = newClient();
                QueryClient otherClient = newClient()) {
            HttpMessage first = client.request(REPORT, "", "SELECT 1", 9000);
            jobIds.reuseLatest();
            assertThat(otherClient.request(REPORT, "", "SELECT 2", 9000).status()).isEqualTo(409);
            engine.respondWith(call -> ONE_ROW);
            assertThat(client.follow(first).status()).isEqualTo(200);
        }
    }

    /** Guards against heads of very many fields, each of which costs time and memory to parse. */
    @ParameterizedTest
    @CsvSource({"50, 200", "70, 400", "4000, 400"})
    void head_withManyFields_isLimited(int fields, int status) throws Exception {
        StringBuilder headers = new StringBuilder();
        for (int i = 0; i < fields; i++) {
            headers.append("A").append(i).append(": 1\r\n");
        }
        try (QueryClient client = newClient()) {
            client.sendRequest(LOOKUP, headers.toString(), "SELECT 1", 5000);
            assertThat(client.read().status()).isEqualTo(status);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 8\r\n\r\nSELECT 1",
                "Content-Length: 99999999\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nffffff\r\n"
            })
    void ambiguousBody_isAnswered_andConnectionClosed(String body) throws Exception {
        engine.respondWith(call -> STILL_RUNNING);
        try (QueryClient client = newClient()) {
            String head = "POST /ops/lookup HTTP/1.1\r\nHost: h\r\n" + client.requestHeaders(5000);
            client.sendBytes((head + body).getBytes(StandardCharsets.UTF_8));
            BackgroundTasks.start(
                    () -> {
                        while (true) {
                            client.sendBytes(
                                    (head.repeat(100) + "Content-Length: 0\r\n\r\n").getBytes());
                        }
                    });
            assertThat(client.read().status()).isIn(400, 413);
            assertThat(client.readByte()).isEqualTo(-1);
        } catch (IOException reset) {
            // The connection was closed while the client still wrote.
        }
        assertThat(engine.posts()).isEmpty();
        try (QueryClient client = newClient()) {
            engine.respondWith(call -> ONE_ROW);
            assertThat(client.request(LOOKUP, "", "SELECT 1", 2000).status()).isEqualTo(200);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "400 | POST /ops/nosuch    | X-Job-Id: 00000000000000aa,X-Allow-Ms: 500,X-Team: t|",
                "400 | POST /ops/lookup    | X-Allow-Ms: 500,X-Team: t|",
                "400 | POST /ops/lookup    | X-Job-Id: short,X-Allow-Ms: 500,X-Team: t|",
                "400 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Team: t|",
                "400 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Allow-Ms: soon,X-Team:"
                        + " t|",
                "400 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Allow-Ms: 500,X-Team:"
                        + " nobody|",
                "400 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Allow-Ms: 500,X-Team:"
                        + " t,X-Size-Ms: big|",
                "400 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Allow-Ms: 500,X-Team:"
                        + " t,X-Size-Ms: -1|",
                "400 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Allow-Ms: 500,X-Team:"
                        + " t,X-Memory: 1e99|",
                "400 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Allow-Ms: 500000,X-Team:"
                        + " t|",
                "400 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Allow-Ms: 500,X-Allow-Ms:"
                        + " 5,X-Team: t|",
                "400 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Allow-Ms: 500,X-Team: t|",
                "404 | GET /elsewhere      | X-Any: 1|",
                "404 | GET /-/news/0-0     | X-Any: 1|",
                "405 | GET /ops/lookup     | X-Any: 1|",
                "405 | POST /alive         | X-Any: 1|",
                "400 | (what) is this      | X-Any: 1|",
                "400 | POST /ops/lookup    | Content-Length: many|",
                "400 | GET /alive          | X-Any: BIG BIG BIG BIG|",
                "431 | GET /alive          | X-Any: BIG|",
                "413 | POST /ops/lookup    | Transfer-Encoding: chunked|CHUNKS",
                "413 | POST /ops/lookup    | X-Job-Id: 00000000000000aa,X-Allow-Ms: 500,X-Team:"
                        + " t,Content-Length: 9999999|",
            })
    void invalidCall_isAnswered_andNeverReachesEngine(
            int status, String startLine, String headers, String body) throws Exception {
        String chunks = ("4000\r\n" + "a".repeat(0x4000) + "\r\n").repeat(5) + "0\r\n\r\n";
        try (QueryClient client = newClient()) {
            String head =
                    headers.trim().replace(",", "\r\n").replace("BIG", "a".repeat(20_000)) + "\r\n";
            HttpMessage response =
                    client.call(startLine, head, "CHUNKS".equals(body) ? chunks : "");
            assertThat(response.status()).isEqualTo(status);
            assertThat(response.body()).startsWith("{\"err\":").hasLineCount(1);
        }
        assertThat(engine.calls()).isEmpty();
    }
}
