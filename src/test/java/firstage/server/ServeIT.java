package firstage.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Starts the packaged program and speaks to it over loopback, with stand-ins for engines and
 * coordinator.
 */
@Timeout(60)
class ServeIT {
    private static final String OK =
            "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    private static final String NOTHING_NEW = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    private static final String SHED =
            "HTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String RESET = "reset";
    private static final String SILENCE = "silence";
    private static final String ENDLESS = "endless";
    @TempDir private Path folder;
    private final List<AutoCloseable> opened = new ArrayList<>();
    private Process program;
    private Path config;
    private int port;
    private StandInEngine one;
    private StandInCoordinator coordinator;
    private int jobs;

    @BeforeEach
    void start() throws Exception {
        one = new StandInEngine();
        coordinator = new StandInCoordinator();
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        program = launch(config());
        awaitAlive();
    }

    private void awaitAlive() throws Exception {
        while (true) {
            try (Client c = new Client()) {
                assertThat(c.call("GET /alive", "", "").status).isEqualTo(200);
                return;
            } catch (IOException notYet) {
                assertThat(program.isAlive()).isTrue();
                Thread.sleep(20);
            }
        }
    }

    private void hangUp(String text) throws Exception {
        Files.writeString(config, text);
        new ProcessBuilder("kill", "-HUP", String.valueOf(program.pid())).start().waitFor();
    }

    private void awaitLog(String line) throws Exception {
        while (!Files.readString(folder.resolve("log")).contains(line)) {
            Thread.sleep(20);
        }
    }

    @AfterEach
    void stop() throws Exception {
        program.destroyForcibly().waitFor();
        for (AutoCloseable each : opened) {
            each.close();
        }
        assertThat(Files.readString(folder.resolve("log")))
                .doesNotContain("AssertionError", "Exception");
    }

    @Test
    void aBatchGoesOnByteForByteAndAllItsPagesComeBack() throws Exception {
        one.script =
                seen ->
                        switch (seen.what.replaceAll("/x/[0-9a-f]+", "/x/ID")) {
                            case "POST /x" ->
                                    page("Page-Count: 3", "q\"\\\t\u00e9\u4e2d\t\u0001\n");
                            case "GET /x/ID/1" -> page("Page-No: 1", "r2\t\t2\nr3\tx\t3\n");
                            case "GET /x/ID/2" -> page("Page-No: 2", "");
                            default -> throw new IllegalStateException(seen.what);
                        };
        String statement = "SELECT '\u4e2d' /* \t */ FROM sales_17.orders\r\n";
        try (Client c = new Client()) {
            Message answer =
                    c.post("lookup", "X-Size-Ms: 20.0\r\nX-Memory: 96\r\n", statement, 2000);
            assertThat(answer.status).isEqualTo(200);
            assertThat(answer.body)
                    .isEqualTo(
                            "{\"page\":[[\"q\\\"\\\\\",\"\u00e9\u4e2d\",\"\\u0001\"],"
                                    + "[\"r2\",\"\",\"2\"],[\"r3\",\"x\",\"3\"]]}");
        }
        Message post = one.next("POST /x");
        assertThat(post.body).isEqualTo(statement);
        assertThat(post.headers)
                .containsEntry("x-ticket", job(1))
                .containsEntry("x-queue", "lookup")
                .containsEntry("grant-mb", "120")
                .containsKey("rank");
        assertThat(Integer.parseInt(post.headers.get("x-max-ms"))).isBetween(1, 2000);
    }

    @Test
    void oneConnectionServesManyCallsInTurn() throws Exception {
        try (Client c = new Client()) {
            for (int i = 0; i < 20; i++) {
                assertThat(c.post("lookup", "", "SELECT 1", 2000).body)
                        .isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
            }
        }
    }

    @Test
    void whatEveryEngineTurnsAwayIsPushedBackWithATimeToComeBack() throws Exception {
        one.script = seen -> SHED;
        try (Client c = new Client()) {
            Message answer =
                    c.post("load", "X-Item: 7f\r\n", "INSERT INTO sales_3.t VALUES (1)", 900);
            answer = c.follow(answer);
            assertThat(answer.status).isEqualTo(503);
            assertThat(answer.headers).containsKey("x-wait-ms");
            assertThat(answer.body).contains("\"err\":\"Busy\"");
        }
    }

    @Test
    void aLongBatchGetsAPathAndABrokenCallThereCostsNothing() throws Exception {
        one.script = seen -> NOTHING_NEW;
        String path;
        try (Client c = new Client()) {
            path = c.post("report", "", "SELECT 1", 9000).poll();
            c.write("GET " + path, "", "");
        }
        try (Client stale = new Client();
                Client c = new Client()) {
            c.write("GET " + path, "", "");
            stale.write("GET " + path, "", "");
            one.script = seen -> OK;
            assertThat(c.read().body).isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
        }
        try (Client c = new Client()) {
            assertThat(c.call("GET " + path, "", "").body)
                    .isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
        }
    }

    @Test
    void aClientThatClosesOrDeletesEndsItsBatchAtTheEngine() throws Exception {
        one.script =
                seen ->
                        seen.what.startsWith("GET")
                                ? NOTHING_NEW
                                : seen.what.startsWith("DELETE")
                                        ? "HTTP/1.1 204 No Content\r\n\r\n"
                                        : SILENCE;
        try (Client c = new Client()) {
            c.write("POST /ops/report", c.fields("report", 9000), "SELECT 1");
            one.next("POST /x");
        }
        assertThat(one.next("DELETE").what).endsWith(job(1));
        one.script =
                seen ->
                        seen.what.startsWith("DELETE")
                                ? "HTTP/1.1 204 No Content\r\n\r\n"
                                : NOTHING_NEW;
        try (Client c = new Client();
                Client other = new Client()) {
            String path = c.post("report", "", "SELECT 1", 9000).poll();
            assertThat(other.call("DELETE " + path, "", "").status).isEqualTo(204);
            assertThat(other.call("GET " + path, "", "").status).isEqualTo(404);
        }
        assertThat(one.next("DELETE").what).endsWith(job(2));
    }

    /**
     * A client whose time is up gives up at the path: the call that it holds open must not end
     * without a word.
     */
    @Test
    void aClientThatGivesUpHearsOfItOnTheCallThatIsHeld() throws Exception {
        one.script =
                seen ->
                        seen.what.startsWith("DELETE")
                                ? "HTTP/1.1 204 No Content\r\n\r\n"
                                : NOTHING_NEW;
        try (Client c = new Client();
                Client other = new Client()) {
            String path = c.post("report", "", "SELECT 1", 9000).poll();
            c.write("GET " + path, "", "");
            Thread.sleep(50);
            assertThat(other.call("DELETE " + path, "", "").status).isEqualTo(204);
            Message last = c.read();
            assertThat(last.status).isEqualTo(500);
            assertThat(last.body).contains("\"err\":\"Failed\"");
            assertThat(other.call("GET " + path, "", "").status).isEqualTo(404);
        }
        assertThat(one.next("DELETE").what).endsWith(job(1));
    }

    @Test
    void aOnceOnlyBatchThatMayHaveRunIsNeverSentTwice() throws Exception {
        one.script = seen -> RESET;
        try (Client c = new Client()) {
            Message answer =
                    c.follow(
                            c.post(
                                    "load",
                                    "X-Item: 7f\r\n",
                                    "INSERT INTO sales_3.t VALUES (1)",
                                    3000));
            assertThat(answer.status).isEqualTo(500);
        }
        one.close();
        assertThat(one.seen.stream().filter(m -> m.what.startsWith("POST"))).hasSize(1);
    }

    @Test
    void theNextOfAKeyWaitsUntilTheEngineHeardThatTheFirstIsGivenUp() throws Exception {
        one.script = seen -> seen.what.startsWith("DELETE") ? SILENCE : NOTHING_NEW;
        try (Client first = new Client()) {
            first.write(
                    "POST /ops/load",
                    first.fields("load", 9000) + "X-Item: 7f\r\n",
                    "INSERT INTO sales_3.t");
            one.next("POST /x");
        }
        one.next("DELETE");
        one.script =
                seen -> seen.what.startsWith("DELETE") ? "HTTP/1.1 204 No Content\r\n\r\n" : OK;
        try (Client c = new Client()) {
            c.write(
                    "POST /ops/load",
                    c.fields("load", 9000) + "X-Item: 7f\r\n",
                    "INSERT INTO sales_3.t");
            Message next = one.seen.take();
            while (next.what.startsWith("GET")) {
                next = one.seen.take();
            }
            assertThat(next.what).startsWith("DELETE");
            assertThat(c.follow(c.read()).status).isEqualTo(200);
        }
    }

    /**
     * A client leaves while the one connection to its engine carries the call for news, and no
     * other comes up: the engine is told on that one once it is free, and the next of the key goes
     * then and not before.
     */
    @Test
    void anEngineThatCouldNotBeToldAtOnceIsToldOnTheConnectionThatItIsAskedOn() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        one.script =
                seen -> {
                    quietly(one.server);
                    if (seen.what.startsWith("GET")) {
                        held.await();
                    }
                    return seen.what.startsWith("DELETE")
                            ? "HTTP/1.1 204 No Content\r\n\r\n"
                            : NOTHING_NEW;
                };
        StandInEngine two = new StandInEngine();
        try (Client first = new Client()) {
            first.write(
                    "POST /ops/load",
                    first.fields("load", 9000) + "X-Item: 7f\r\n",
                    "INSERT INTO sales_3.t");
            one.next("GET /x");
            coordinator.tell(2, record(2, two.port(), 0));
        }
        awaitLog("event=2");
        try (Client c = new Client()) {
            c.write(
                    "POST /ops/load",
                    c.fields("load", 9000) + "X-Item: 7f\r\n",
                    "INSERT INTO sales_3.t");
            // Well past the 20 ms in which the engine should have heard; its held call is answered
            // only now.
            Thread.sleep(100);
            assertThat(two.seen).isEmpty();
            held.countDown();
            assertThat(one.next("DELETE").what).endsWith(job(1));
            long from = System.nanoTime();
            assertThat(c.follow(c.read()).status).isEqualTo(200);
            // Proven, it is over: the key does not rest for what is no more.
            assertThat((System.nanoTime() - from) / 1_000_000).isLessThan(2_000);
        }
        assertThat(two.seen.stream().filter(m -> m.what.startsWith("POST"))).hasSize(1);
    }

    @Test
    void theNextOfAKeyWaitsWhileAnEngineMayYetTakeUpTheFirst() throws Exception {
        String first = job(1);
        one.script =
                seen ->
                        seen.what.startsWith("DELETE")
                                ? "HTTP/1.1 204 No Content\r\n\r\n"
                                : seen.what.startsWith("GET")
                                        ? "HTTP/1.1 500 Unknown\r\nContent-Length: 0\r\n\r\n"
                                        : first.equals(seen.headers.get("x-ticket")) ? SILENCE : OK;
        try (Client c = new Client();
                Client other = new Client()) {
            c.write(
                    "POST /ops/load",
                    c.fields("load", 9000) + "X-Item: 7f\r\n",
                    "INSERT INTO sales_3.t");
            one.next("POST /x");
            other.write(
                    "POST /ops/load",
                    other.fields("load", 9000) + "X-Item: 7f\r\n",
                    "INSERT INTO sales_3.t");
            assertThat(c.follow(c.read()).status).isEqualTo(500);
            assertThat(other.follow(other.read()).status).isEqualTo(200);
        }
        // The engine is told each half second, in case the statement comes yet.
        List<String> calls = one.seen.stream().map(m -> m.what.substring(0, 4)).toList();
        assertThat(calls.stream().distinct()).containsExactly("GET ", "DELE", "POST");
        assertThat(calls.stream().filter("POST"::equals)).hasSize(1);
        assertThat(calls.stream().filter("DELE"::equals)).hasSizeBetween(5, 12);
        assertThat(calls).last().isEqualTo("POST");
    }

    @Test
    void aRefusedCallForNewsProvesNothingWhileAnotherConnectionToTheEngineIsUp() throws Exception {
        String page = "GET /x/" + job(2) + "/1";
        one.script =
                seen -> {
                    if (seen.what.equals(page) && !one.server.isClosed()) {
                        quietly(one.server);
                        return RESET;
                    }
                    return seen.what.equals(page)
                            ? page("Page-No: 1", "")
                            : job(2).equals(seen.headers.get("x-ticket"))
                                    ? page("Page-Count: 2", "a\tb\tc\n")
                                    : NOTHING_NEW;
                };
        try (Client c = new Client();
                Client other = new Client()) {
            other.write("POST /ops/report", other.fields("report", 9000), "SELECT 1");
            one.next("GET /x");
            assertThat(
                            c.follow(
                                            c.post(
                                                    "load",
                                                    "X-Item: 7f\r\n",
                                                    "INSERT INTO sales_3.t",
                                                    5000))
                                    .status)
                    .isEqualTo(200);
        }
    }

    /**
     * An engine drains before the list says so: its notes come at once, alike or not, and it takes
     * nothing new.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theLastConnectionToAnEngineIsKeptWhileADispatchRunsThere(boolean alike) throws Exception {
        int[] asked = {0};
        one.script =
                seen -> {
                    quietly(one.server);
                    int n = asked[0]++;
                    return n > 5
                            ? OK
                            : "HTTP/1.1 202 Accepted\r\nX-Remark: pct\r\nFigure: 0."
                                    + (alike ? 1 : n)
                                    + "\r\nContent-Length: 0\r\n\r\n";
                };
        try (Client c = new Client()) {
            assertThat(
                            c.follow(
                                            c.post(
                                                    "load",
                                                    "X-Item: 7f\r\n",
                                                    "INSERT INTO sales_3.t",
                                                    8000))
                                    .status)
                    .isEqualTo(200);
        }
    }

    @Test
    void aRefusedConnectionProvesThatNothingRan() throws Exception {
        one.close();
        StandInEngine two = new StandInEngine();
        coordinator.tell(2, record(2, two.port(), 0));
        try (Client c = new Client()) {
            Message answer =
                    c.follow(
                            c.post(
                                    "load",
                                    "X-Item: 7f\r\n",
                                    "INSERT INTO sales_3.t VALUES (1)",
                                    5000));
            assertThat(answer.body).isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
        }
    }

    @Test
    void aQuietConnectionIsNotTrustedWithAStatement() throws Exception {
        try (Client c = new Client()) {
            assertThat(c.follow(c.post("load", "", "INSERT INTO sales_3.t", 5000)).status)
                    .isEqualTo(200);
            one.script = seen -> SILENCE;
            one.server.close();
            StandInEngine two = new StandInEngine();
            coordinator.tell(2, record(2, two.port(), 0));
            Thread.sleep(500);
            assertThat(c.follow(c.post("load", "", "INSERT INTO sales_3.t", 5000)).status)
                    .isEqualTo(200);
        }
    }

    @Test
    void pagesLostWithTheirEngineAreMadeAnewElsewhere() throws Exception {
        StandInEngine two = new StandInEngine();
        one.script =
                seen -> {
                    if (seen.what.startsWith("POST")) {
                        return page("Page-Count: 2", "first\tof\ttwo\n");
                    }
                    coordinator.tell(2, record(2, two.port(), 0));
                    one.close();
                    return RESET;
                };
        try (Client c = new Client()) {
            assertThat(c.follow(c.post("lookup", "", "SELECT 1", 9000)).body)
                    .isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
        }
    }

    @Test
    void aSilentEngineCostsTheBatchButIsAnsweredInTime() throws Exception {
        one.script = seen -> SILENCE;
        try (Client c = new Client()) {
            long from = System.nanoTime();
            Message answer =
                    c.follow(
                            c.post(
                                    "load",
                                    "X-Item: 7f\r\n",
                                    "INSERT INTO sales_3.t VALUES (1)",
                                    1200));
            assertThat(answer.status).isEqualTo(500);
            assertThat((System.nanoTime() - from) / 1_000_000).isLessThan(2000);
        }
    }

    @Test
    void anAnswerThatNobodyCanReadIsAnErrorOfThatDispatchOnly() throws Exception {
        one.script = seen -> "what is this\r\n\r\n";
        try (Client c = new Client()) {
            Message answer =
                    c.follow(
                            c.post(
                                    "load",
                                    "X-Item: 7f\r\n",
                                    "INSERT INTO sales_3.t VALUES (1)",
                                    2000));
            assertThat(answer.status).isEqualTo(500);
        }
        one.script = seen -> OK;
        // Until its DELETE is answered the first is out, and an engine on trial gets nothing beside
        // it.
        try (Client c = new Client()) {
            int status = 503;
            while (status == 503) {
                status = c.follow(c.post("lookup", "", "SELECT 1", 9000)).status;
            }
            assertThat(status).isEqualTo(200);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "?\u0001?\r\n\r\n",
                "HTTP/1.1 200 OK\r\n",
                RESET,
                SILENCE,
                ENDLESS,
                "HTTP/1.1 2",
                "HTTP/1.1 200 OK\r\nPage-Co",
                "HTTP/1.1 200 OK\r\nPage-Count: 1\r\n\r\na\tb\tc\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na\tb\tc\n",
                "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 3000000000\r\n\r\na\tb\tc\n",
                "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 9\r\n\r\na\tb\tc\n",
                "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\nd\te\tf\n",
                "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 5\r\n\r\na\tb\tc\n",
                "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 6\r\n\r\na\tb\u0001c\n"
            })
    void aSpoiltAnswerIsAskedForAgainWhereTheBatchRan(String spoilt) throws Exception {
        List<String> answers = new ArrayList<>(List.of(spoilt, OK + OK, OK));
        one.script = seen -> answers.remove(0);
        try (Client c = new Client()) {
            for (int i = 0; i < 2; i++) {
                Message answer =
                        c.follow(c.post("load", "", "INSERT INTO sales_3.t VALUES (1)", 5000));
                assertThat(answer.body).isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
            }
        }
        assertThat(one.seen.stream().filter(m -> m.what.startsWith("POST"))).hasSize(2);
    }

    @Test
    void theListIsFollowedFromWhereItBrokeOff() throws Exception {
        assertThat(coordinator.asked.take()).isEqualTo(1L);
        StandInEngine two = new StandInEngine();
        coordinator.tell(2, record(1, one.port(), 1));
        coordinator.tell(3, record(2, two.port(), 0));
        two.awaitUse(this);
        coordinator.breakOff();
        assertThat(coordinator.asked.take()).isEqualTo(3L);
        coordinator.mute = true;
        assertThat(coordinator.asked.take()).isEqualTo(3L);
    }

    /**
     * A watch falls mute in the middle of an event: on the next one it is told in full, and in
     * force.
     */
    @Test
    void aWatchThatFallsMuteWithinAnEventIsFollowedAnewFromBeforeIt() throws Exception {
        assertThat(coordinator.asked.take()).isEqualTo(1L);
        StandInEngine two = new StandInEngine();
        coordinator.tellPart(2, 2, record(2, two.port(), 0), 20);
        coordinator.mute = true;
        assertThat(coordinator.asked.take()).isEqualTo(1L);
        coordinator.mute = false;
        coordinator.tell(3, record(1, one.port(), 1));
        awaitLog("event=3");
        assertThat(Files.readString(folder.resolve("log")))
                .contains("event=2")
                .doesNotContain("malformed");
        try (Client c = new Client()) {
            assertThat(c.follow(c.post("lookup", "", "SELECT 1", 5000)).status).isEqualTo(200);
        }
        assertThat(one.seen).isEmpty();
        assertThat(two.seen).isNotEmpty();
    }

    /** A whole list that comes slowly, after a start and later: nothing is sent by a part of it. */
    @Test
    void aWholeListInPiecesCountsOnceItIsWhole() throws Exception {
        program.destroyForcibly().waitFor();
        StandInEngine two = new StandInEngine();
        StandInEngine three = new StandInEngine();
        coordinator.slow = true;
        coordinator.event(2, 1, record(2, two.port(), 0));
        program = launch(config());
        awaitAlive();
        try (Client c = new Client()) {
            assertThat(c.follow(c.post("lookup", "", "SELECT 1", 5000)).status).isEqualTo(200);
            assertThat(two.seen).isNotEmpty();
            // An engine that the list names no more is gone: no word of its own says so.
            coordinator.slow = false;
            coordinator.tell(3, 1, record(3, three.port(), 0));
            awaitLog("event=3");
            two.seen.clear();
            assertThat(c.follow(c.post("lookup", "", "SELECT 1", 5000)).status).isEqualTo(200);
        }
        assertThat(one.seen).isEmpty();
        assertThat(two.seen).isEmpty();
        assertThat(three.seen).isNotEmpty();
    }

    /**
     * The new coordinator's first word is of a drain: what runs there goes on, and nothing more is
     * sent.
     */
    @Test
    void aDrainThatANewConfigurationBringsIsKept() throws Exception {
        coordinator.asked.take();
        StandInCoordinator next = new StandInCoordinator();
        StandInEngine two = new StandInEngine();
        one.script = seen -> NOTHING_NEW;
        try (Client long1 = new Client();
                Client c = new Client()) {
            String path = long1.post("report", "", "SELECT 1", 9000).poll();
            long1.write("GET " + path, "", "");
            next.event(2, 2, record(2, two.port(), 0));
            next.event(3, 2, record(1, one.port(), 1));
            hangUp(config().replace(":" + coordinator.port() + "\"", ":" + next.port() + "\""));
            awaitLog("event=3");
            for (int i = 0; i < 10; i++) {
                assertThat(c.follow(c.post("lookup", "", "SELECT 1", 5000)).status).isEqualTo(200);
            }
            one.script = seen -> OK;
            assertThat(long1.follow(long1.read()).status).isEqualTo(200);
        }
        assertThat(one.seen.stream().filter(m -> m.what.startsWith("POST"))).hasSize(1);
        assertThat(two.seen.stream().filter(m -> m.what.startsWith("POST"))).hasSize(10);
    }

    /**
     * Away while its coordinator told of a drain, a manager starts with the list from before: it
     * hears first.
     */
    @Test
    void afterAStartNothingIsSentByAListThatItsCoordinatorHasNotConfirmed() throws Exception {
        program.destroyForcibly().waitFor();
        StandInEngine two = new StandInEngine();
        coordinator.tell(2, record(1, one.port(), 1));
        coordinator.tell(3, record(2, two.port(), 0));
        coordinator.gate = new CountDownLatch(1);
        program = launch(config());
        awaitAlive();
        try (Client c = new Client()) {
            c.write("POST /ops/lookup", c.fields("lookup", 5000), "SELECT 1");
            Thread.sleep(300);
            coordinator.gate.countDown();
            assertThat(c.follow(c.read()).status).isEqualTo(200);
        }
        assertThat(one.seen).isEmpty();
        assertThat(two.seen).isNotEmpty();
    }

    /** A coordinator that takes connections and says nothing: the list is used as it is. */
    @Test
    void afterAStartAMuteCoordinatorIsWaitedForNoLongerThanASecond() throws Exception {
        program.destroyForcibly().waitFor();
        coordinator.mute = true;
        program = launch(config());
        awaitAlive();
        try (Client c = new Client()) {
            long from = System.nanoTime();
            assertThat(c.follow(c.post("lookup", "", "SELECT 1", 5000)).status).isEqualTo(200);
            assertThat((System.nanoTime() - from) / 1_000_000).isLessThan(2_000);
        }
    }

    @Test
    void onSighupTheListIsFollowedAtTheNewAddressAndNothingElseChanges() throws Exception {
        coordinator.asked.take();
        coordinator.tell(2, record(1, one.port(), 1));
        StandInCoordinator next = new StandInCoordinator();
        StandInEngine two = new StandInEngine();
        String now =
                Files.readString(config)
                        .replace(":" + coordinator.port() + "\"", ":" + next.port() + "\"");
        hangUp("{\"listen\":");
        awaitLog("can't be read");
        hangUp(now.replace("\"name\":\"m\"", "\"name\":\"other\""));
        awaitLog("another manager's");
        for (int i = 0; i < 2; i++) {
            hangUp(now);
            assertThat(next.asked.take()).isEqualTo(2L);
        }
        next.tell(3, record(2, two.port(), 0));
        two.awaitUse(this);
        assertThat(coordinator.asked).isEmpty();
    }

    @Test
    void startedWithSighupIgnoredItStillFollowsTheListToItsNewAddress() throws Exception {
        coordinator.asked.take();
        program.destroyForcibly().waitFor();
        program = launchAt(config, "sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
        awaitAlive();
        coordinator.asked.take();
        StandInCoordinator next = new StandInCoordinator();
        StandInEngine two = new StandInEngine();
        hangUp(config().replace(":" + coordinator.port() + "\"", ":" + next.port() + "\""));
        assertThat(next.asked.take()).isEqualTo(1L);
        next.tell(2, record(2, two.port(), 0));
        two.awaitUse(this);
        awaitLog("SIGHUP ignored");
    }

    @Test
    void aLostFirstPacketToTheCoordinatorCostsNoSecond() throws Exception {
        coordinator.asked.take();
        // Its line of new connections is full: the system drops what comes, and sends it again
        // after 1 s.
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket a = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket b = new Socket(full.getInetAddress(), full.getLocalPort())) {
            hangUp(
                    config().replace(
                                    ":" + coordinator.port() + "\"",
                                    ":" + full.getLocalPort() + "\""));
            awaitLog("configuration reloaded coordinator=");
            long since = System.nanoTime();
            Thread.sleep(100);
            full.accept().close();
            full.accept().close();
            try (Socket third = full.accept()) {
                assertThat(new DataInputStream(third.getInputStream()).readLong()).isEqualTo(1L);
                assertThat(System.nanoTime() - since).isLessThan(700_000_000L);
            }
            assertThat(a.isConnected() && b.isConnected()).isTrue();
        }
    }

    @Test
    void clientsThatConnectAndSayNothingKeepNobodyOut() throws Exception {
        program.destroyForcibly().waitFor();
        program = launch(config().replace("\"sockets\":1024", "\"sockets\":140"));
        awaitAlive();
        List<Client> mute = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            mute.add(new Client());
        }
        long from = System.nanoTime();
        try (Client c = new Client()) {
            assertThat(c.post("lookup", "", "SELECT 1", 2000).body)
                    .isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
        }
        for (Client c : mute) {
            assertThat(c.socket.getInputStream().read()).isEqualTo(-1);
            c.close();
        }
        assertThat((System.nanoTime() - from) / 1_000_000).isLessThan(3_000);
    }

    @Test
    void withoutDescriptorsToSpareBatchesAreStillAnswered() throws Exception {
        program.destroyForcibly().waitFor();
        program = launch(config().replace("\"sockets\":1024", "\"sockets\":99"));
        awaitAlive();
        one.script = seen -> seen.what.startsWith("GET") ? OK : NOTHING_NEW;
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(new Client());
            clients.get(i)
                    .write("POST /ops/lookup", clients.get(i).fields("lookup", 5000), "SELECT 1");
        }
        for (Client c : clients) {
            assertThat(c.follow(c.read()).status).isIn(200, 503);
            c.close();
        }
    }

    /**
     * The system holds the limit, too: without a reserve neither the list nor an engine could be
     * reached again.
     */
    @Test
    void idleClientsThatFillTheDescriptorsKeepNeitherTheListNorEnginesOut() throws Exception {
        program.destroyForcibly().waitFor();
        program =
                launchAt(
                        Files.writeString(
                                Files.createTempFile(folder, "config", ".json"),
                                config().replace("\"sockets\":1024", "\"sockets\":120")),
                        "sh",
                        "-c",
                        "ulimit -n 120 && exec \"$@\"",
                        "sh");
        awaitAlive();
        List<Client> idle = new ArrayList<>();
        for (int i = 0; i < 90; i++) {
            Client c = new Client();
            idle.add(c);
            if (i % 2 == 0) {
                assertThat(c.call("GET /alive", "", "").status).isEqualTo(200);
            }
        }
        coordinator.breakOff();
        StandInEngine two = new StandInEngine();
        coordinator.tell(2, record(2, two.port(), 0));
        coordinator.tell(3, record(1, one.port(), 1));
        awaitLog("event=3");
        try (Client c = new Client()) {
            assertThat(c.follow(c.post("lookup", "", "SELECT 1", 2000)).status).isEqualTo(200);
        }
        assertThat(two.next("POST /x").headers).containsEntry("x-ticket", job(1));
        for (Client c : idle) {
            c.close();
        }
    }

    @Test
    void afterSigtermAllThatWasTakenIsAnsweredAndTheProgramEndsWithZero() throws Exception {
        one.script = seen -> NOTHING_NEW;
        try (Client c = new Client()) {
            String path = c.post("report", "", "SELECT 1", 9000).poll();
            c.write("GET " + path, "", "");
            program.destroy();
            try (Client late = new Client()) {
                one.script = seen -> OK;
                assertThat(late.follow(late.post("lookup", "", "SELECT 1", 5000)).status)
                        .isEqualTo(200);
            }
            assertThat(c.read().body).isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
        }
        assertThat(program.waitFor()).isZero();
        assertThat(Files.readString(folder.resolve("log")))
                .contains("requests succeeded=2")
                .doesNotContain("broken:");
    }

    @Test
    void aStatementThatIsTooLongIsReadOffSoThatItsClientHearsWhy() throws Exception {
        try (Client c = new Client()) {
            c.write("POST /ops/lookup", c.fields("lookup", 5000), "a".repeat(200_000));
            Thread.sleep(500);
            assertThat(c.read().status).isEqualTo(413);
            assertThat(c.socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Every way in which a client leaves, times what its batch waits for when it does. */
    @ParameterizedTest
    @CsvSource({
        "first, closes",
        "first, breaks",
        "first, deletes",
        "first, says nothing",
        "again, closes",
        "again, breaks",
        "again, deletes",
        "again, says nothing",
        "copy, closes",
        "copy, breaks",
        "copy, deletes",
        "copy, says nothing"
    })
    void aBatchWhoseClientLeftWhileItWaitedIsNotSentOn(String waitsFor, String how)
            throws Exception {
        if (waitsFor.equals("copy")) {
            program.destroyForcibly().waitFor();
            program = launch(config().replace("\"second_copies\":false", "\"second_copies\":true"));
            awaitAlive();
        }
        // Turned away, it waits for another engine; unheard of, for a second copy; else it was not
        // sent at all.
        one.script = seen -> waitsFor.equals("again") ? SHED : SILENCE;
        if (waitsFor.equals("first")) {
            coordinator.tell(2, record(1, one.port(), 1));
            awaitLog("event=2");
        }
        Client c = new Client();
        String path = c.post("report", "", "SELECT 1", 9000).poll();
        boolean held = waitsFor.equals("copy") && !how.equals("says nothing");
        if (waitsFor.equals("copy")) {
            if (held) {
                c.write("GET " + path, "", "");
            }
            // Past the patience with an engine that says nothing, short of that with a client that
            // does.
            Thread.sleep(1_600);
        }
        switch (how) {
            case "closes" -> c.close();
            case "breaks" -> {
                if (!held) {
                    c.write("GET " + path, "", "");
                }
                Thread.sleep(100);
                c.close();
            }
            case "deletes" -> {
                try (Client other = new Client()) {
                    assertThat(other.call("DELETE " + path, "", "").status).isEqualTo(204);
                }
            }
            default -> {}
        }
        Thread.sleep(130);
        StandInEngine two = new StandInEngine();
        coordinator.tell(3, record(2, two.port(), 0));
        two.awaitUse(this);
        Thread.sleep(200);
        assertThat(two.seen.stream().map(m -> m.headers.get("x-ticket"))).doesNotContain(job(1));
        c.close();
        program.destroy();
        assertThat(program.waitFor()).isZero();
        assertThat(Files.readString(folder.resolve("log"))).doesNotContain("statements sent later");
    }

    /**
     * Its line of new connections is full: the connection to the engine comes up a second late, and
     * the client has left by then. The connection stands, and nothing is written there.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aConnectionThatComesUpLateIsUsedUnlessItsClientLeft(boolean leaves) throws Exception {
        program.destroyForcibly().waitFor();
        program = launch(config().replace("\"connect_timeout\":0.25", "\"connect_timeout\":3"));
        awaitAlive();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket a = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket b = new Socket(full.getInetAddress(), full.getLocalPort());
                Client c = new Client()) {
            coordinator.tell(2, record(2, full.getLocalPort(), 0));
            coordinator.tell(3, record(1, one.port(), 1));
            awaitLog("event=3");
            c.write("GET " + c.post("lookup", "", "SELECT 1", 5000).poll(), "", "");
            Thread.sleep(200);
            if (leaves) {
                c.close();
            }
            full.accept().close();
            full.accept().close();
            full.setSoTimeout(5_000);
            try (Socket late = full.accept()) {
                late.setSoTimeout(1_000);
                if (leaves) {
                    assertThatThrownBy(() -> late.getInputStream().read())
                            .isInstanceOf(SocketTimeoutException.class);
                } else {
                    assertThat(Message.read(late.getInputStream()).headers)
                            .containsEntry("x-ticket", job(1));
                    late.getOutputStream().write(OK.getBytes(StandardCharsets.UTF_8));
                    assertThat(c.read().status).isEqualTo(200);
                }
            }
            assertThat(a.isConnected() && b.isConnected()).isTrue();
        }
        assertThat(one.seen).isEmpty();
    }

    /**
     * As slow clients write: some bytes at a time, head, length and statement, as one body or in
     * chunks.
     */
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
    void aCallThatComesInPiecesIsTakenWhole(String body) throws Exception {
        try (Client c = new Client()) {
            c.socket.setTcpNoDelay(true);
            byte[] all =
                    ("POST /ops/lookup HTTP/1.1\r\nHost: h\r\n" + c.fields("lookup", 5000) + body)
                            .getBytes(StandardCharsets.UTF_8);
            for (int at = 0; at < all.length; at += 7) {
                c.socket.getOutputStream().write(all, at, Math.min(7, all.length - at));
                Thread.sleep(5);
            }
            assertThat(c.follow(c.read()).body).isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
        }
        assertThat(one.next("POST /x").body).isEqualTo("SELECT 1 FROM sales_17.orders");
    }

    /**
     * While the thread stands still a silent connection's time runs out and a call comes there: it
     * is ours.
     */
    @ParameterizedTest
    @ValueSource(strings = {"mute", "idle"})
    void aCallThatComesInTheMomentOfACloseIsAnswered(String was) throws Exception {
        try (Client c = new Client()) {
            if (was.equals("idle")) {
                assertThat(c.call("GET /alive", "", "").status).isEqualTo(200);
            }
            Thread.sleep(was.equals("idle") ? 4_700 : 1_700);
            signal("STOP");
            c.write("POST /ops/lookup", c.fields("lookup", 5000), "SELECT 1");
            Thread.sleep(900);
            signal("CONT");
            assertThat(c.follow(c.read()).status).isEqualTo(200);
        }
    }

    /** A connection that breaks costs a client nothing but the time until it calls again. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 1_000})
    void aClientThatComesBackFindsItsBatchAndItIsSentThen(int away) throws Exception {
        coordinator.tell(2, record(1, one.port(), 1));
        awaitLog("event=2");
        String path;
        try (Client c = new Client()) {
            path = c.post("report", "", "SELECT 1", 9000).poll();
            c.write("GET " + path, "", "");
            Thread.sleep(50);
        }
        Thread.sleep(away);
        StandInEngine two = new StandInEngine();
        coordinator.tell(3, record(2, two.port(), 0));
        awaitLog("event=3");
        try (Client c = new Client()) {
            assertThat(c.call("GET " + path, "", "").status).isEqualTo(200);
        }
    }

    /**
     * While the thread stands still a client leaves and room comes: what it reads first must not
     * count.
     */
    @Test
    void aClientThatLeftWhileTheProcessStoodStillIsNotSentFor() throws Exception {
        coordinator.tell(2, record(1, one.port(), 1));
        awaitLog("event=2");
        StandInEngine two = new StandInEngine();
        List<Client> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Client c = new Client();
            c.write("GET " + c.post("report", "", "SELECT 1", 9000).poll(), "", "");
            all.add(c);
        }
        signal("STOP");
        coordinator.tell(3, record(2, two.port(), 0));
        for (Client c : all) {
            c.close();
        }
        Thread.sleep(400);
        signal("CONT");
        two.awaitUse(this);
        Thread.sleep(200);
        List<String> left = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            left.add(job(i));
        }
        assertThat(two.seen.stream().map(m -> m.headers.get("x-ticket")))
                .doesNotContainAnyElementsOf(left);
    }

    @Test
    void anIdOfAnOpenBatchIsTurnedAwayAndTheBatchGoesOn() throws Exception {
        one.script = seen -> NOTHING_NEW;
        try (Client c = new Client();
                Client other = new Client()) {
            Message first = c.post("report", "", "SELECT 1", 9000);
            jobs--;
            assertThat(other.post("report", "", "SELECT 2", 9000).status).isEqualTo(409);
            one.script = seen -> OK;
            assertThat(c.follow(first).status).isEqualTo(200);
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
    void whatMayHideAnotherCallOrHasNoEndIsAnsweredAndItsConnectionClosed(String body)
            throws Exception {
        one.script = seen -> NOTHING_NEW;
        try (Client c = new Client()) {
            String head = "POST /ops/lookup HTTP/1.1\r\nHost: h\r\n" + c.fields("lookup", 5000);
            c.socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            daemon(
                    () -> {
                        while (true) {
                            c.socket
                                    .getOutputStream()
                                    .write(
                                            (head.repeat(100) + "Content-Length: 0\r\n\r\n")
                                                    .getBytes());
                        }
                    });
            assertThat(c.read().status).isIn(400, 413);
            assertThat(c.socket.getInputStream().read()).isEqualTo(-1);
        } catch (IOException reset) {
            // Closed under what was still coming.
        }
        assertThat(one.seen.stream().filter(m -> m.what.startsWith("POST"))).isEmpty();
        try (Client c = new Client()) {
            one.script = seen -> OK;
            assertThat(c.post("lookup", "", "SELECT 1", 2000).status).isEqualTo(200);
        }
    }

    /** A second SIGTERM, where there is one, must not count the end anew. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void afterSigtermWhatRunsTooLongIsPushedBackBeforeTheProgramIsKilled(boolean again)
            throws Exception {
        one.script =
                seen ->
                        seen.what.startsWith("DELETE")
                                ? "HTTP/1.1 204 No Content\r\n\r\n"
                                : NOTHING_NEW;
        try (Client c = new Client()) {
            String path = c.post("report", "", "SELECT 1", 9000).poll();
            c.write("GET " + path, "", "");
            long from = System.nanoTime();
            program.destroy();
            if (again) {
                Thread.sleep(1_500);
                signal("TERM");
            }
            assertThat(c.read().status).isEqualTo(503);
            assertThat((System.nanoTime() - from) / 1_000_000).isLessThan(3_600);
        }
        assertThat(one.next("DELETE").what).endsWith(job(1));
        assertThat(program.waitFor()).isZero();
        if (again) {
            assertThat(Files.readString(folder.resolve("log")))
                    .contains("repeated shutdown signals=1");
        }
    }

    /**
     * Its connection breaks long after the front sends nothing more: it asks on a new one, or gives
     * up there.
     */
    @ParameterizedTest
    @ValueSource(strings = {"GET ", "DELETE "})
    void afterSigtermAClientIsServedOnANewConnectionUntilAllIsAnswered(String call)
            throws Exception {
        one.script =
                seen ->
                        seen.what.startsWith("DELETE")
                                ? "HTTP/1.1 204 No Content\r\n\r\n"
                                : NOTHING_NEW;
        String path;
        try (Client c = new Client()) {
            path = c.post("report", "", "SELECT 1", 9000).poll();
            c.write("GET " + path, "", "");
            program.destroy();
            Thread.sleep(1_200);
        }
        if (call.startsWith("GET")) {
            one.script = seen -> OK;
        }
        try (Client c = new Client()) {
            assertThat(c.call(call + path, "", "").status)
                    .isEqualTo(call.startsWith("GET") ? 200 : 204);
        }
        assertThat(program.waitFor()).isZero();
    }

    /**
     * It stands still from its signal on until long after its listener would close: what came there
     * is its own.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 400})
    void afterSigtermACallThatTheMachineTookWhileItStoodStillIsAnswered(int ran) throws Exception {
        program.destroy();
        Thread.sleep(ran);
        signal("STOP");
        try (Client c = new Client()) {
            c.write("POST /ops/lookup", c.fields("lookup", 5000) + "X-Size-Ms: 20\r\n", "SELECT 1");
            Thread.sleep(1_200);
            signal("CONT");
            assertThat(c.follow(c.read()).status).isEqualTo(200);
        }
        assertThat(program.waitFor()).isZero();
        assertThat(Files.readString(folder.resolve("log")))
                .contains("requests succeeded=1")
                .doesNotContain("broken:");
    }

    /**
     * The last answer of all is lost with its connection: its client asks again at once, and gets
     * it.
     */
    @Test
    void afterSigtermTheLastAnswerIsGivenAgainWhereItsConnectionBroke() throws Exception {
        one.script = seen -> NOTHING_NEW;
        String path;
        try (Client c = new Client()) {
            path = c.post("report", "", "SELECT 1", 9000).poll();
            c.write("GET " + path, "", "");
            program.destroy();
            Thread.sleep(1_200);
            one.script = seen -> OK;
            assertThat(c.socket.getInputStream().read()).isPositive();
        }
        try (Client c = new Client()) {
            Message again = c.call("GET " + path, "", "");
            assertThat(again.body).isEqualTo("{\"page\":[[\"a\",\"b\",\"c\"]]}");
        }
        assertThat(program.waitFor()).isZero();
    }

    @Test
    void askedToEndWhileItsAddressIsHeldItEnds() throws Exception {
        program.destroyForcibly().waitFor();
        try (ServerSocket holder = new ServerSocket()) {
            holder.setReuseAddress(true);
            holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            program = launch(config());
            awaitLog("tried again");
            program.destroy();
            assertThat(program.waitFor(5, TimeUnit.SECONDS)).isTrue();
            assertThat(program.exitValue()).isZero();
        }
    }

    /**
     * One client never reads its answer, another reads late: the program ends, and not under the
     * other.
     */
    @Test
    void afterSigtermAClientThatNeverReadsKeepsNobody() throws Exception {
        String rows = "\u0001".repeat(5_990) + "\t\t\n";
        one.script =
                seen ->
                        seen.what.equals("POST /x")
                                ? page("Page-Count: 40", rows)
                                : page("Page-No: " + seen.what.replaceAll(".*/", ""), rows);
        try (Client mute = new Client(4_096);
                Client late = new Client()) {
            mute.write("POST /ops/report", mute.fields("report", 9_000), "SELECT 1");
            late.write("POST /ops/report", late.fields("report", 9_000), "SELECT 1");
            Thread.sleep(700);
            long from = System.nanoTime();
            program.destroy();
            Thread.sleep(300);
            assertThat(late.follow(late.read()).body.length()).isGreaterThan(1_000_000);
            assertThat(program.waitFor()).isZero();
            assertThat((System.nanoTime() - from) / 1_000_000).isLessThan(3_600);
        }
        assertThat(Files.readString(folder.resolve("log")))
                .contains("requests succeeded=2")
                .doesNotContain("broken:");
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
    void whatCannotBeUsedIsAnsweredAndNeverReachesAnEngine(
            int status, String what, String fields, String body) throws Exception {
        String chunks = ("4000\r\n" + "a".repeat(0x4000) + "\r\n").repeat(5) + "0\r\n\r\n";
        try (Client c = new Client()) {
            String head =
                    fields.trim().replace(",", "\r\n").replace("BIG", "a".repeat(20_000)) + "\r\n";
            Message answer = c.call(what, head, "CHUNKS".equals(body) ? chunks : "");
            assertThat(answer.status).isEqualTo(status);
            assertThat(answer.body).startsWith("{\"err\":").hasLineCount(1);
        }
        assertThat(one.seen).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "'{\"listen\":'",
        "'{}'",
        "'{\"settings\":{}}'",
        "'{\"settings\":{},\"listen\":\"nowhere\"}'"
    })
    void aBrokenConfigurationEndsTheProgramWithOneLine(String broken) throws Exception {
        // It would write lines of its own to the log.
        program.destroyForcibly().waitFor();
        Process failed = launch(broken);
        assertThat(failed.waitFor()).isEqualTo(2);
        List<String> log = Files.readAllLines(folder.resolve("log"));
        assertThat(log.get(log.size() - 1)).startsWith("can't serve: ");
        assertThat(log.stream().filter(line -> line.contains("tried again"))).hasSizeLessThan(2);
    }

    /**
     * As a writer leaves it that truncates a file and fills it in pieces, or one that removes it
     * first.
     */
    @ParameterizedTest
    @ValueSource(strings = {"missing", "empty", "cut"})
    void aConfigurationThatIsReplacedDuringAStartIsReadAgain(String how) throws Exception {
        program.destroyForcibly().waitFor();
        String whole = config();
        program = launch(how.equals("cut") ? whole.substring(0, whole.length() / 2) : "");
        if (how.equals("missing")) {
            Files.delete(config);
        }
        Thread.sleep(1_200);
        assertThat(program.isAlive()).isTrue();
        Files.writeString(config, whole);
        awaitAlive();
        assertThat(Files.readString(folder.resolve("log"))).containsOnlyOnce("tried again");
    }

    @Test
    void anAddressThatIsHeldStillIsTriedAgain() throws Exception {
        program.destroyForcibly().waitFor();
        try (ServerSocket holder = new ServerSocket()) {
            holder.setReuseAddress(true);
            holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            program = launch(config());
            // On a busy machine it takes longer to come to its address than the address was held
            // here.
            awaitLog("tried again");
            Thread.sleep(1_500);
            assertThat(program.isAlive()).isTrue();
        }
        awaitAlive();
        assertThat(Files.readString(folder.resolve("log"))).containsOnlyOnce("tried again");
    }

    /**
     * Restarts in a row under load, killed and terminated by turns, while the configuration is
     * rewritten in pieces as a careless writer does. So many in CI; {@code -Dfirstage.restarts=200}
     * for the long form.
     */
    @Test
    @Timeout(600)
    void noRestartFails() throws Exception {
        int restarts = Integer.getInteger("firstage.restarts", 6);
        String whole = config();
        boolean[] over = {false};
        daemon(
                () -> {
                    while (!over[0]) {
                        try (Client c = new Client()) {
                            for (int i = 0; i < 50; i++) {
                                c.follow(c.post("lookup", "", "SELECT 1", 1000));
                            }
                        } catch (IOException down) {
                            Thread.sleep(2);
                        }
                    }
                });
        Path rewritten = Files.writeString(folder.resolve("rewritten.json"), whole);
        daemon(
                () -> {
                    while (!over[0]) {
                        Files.writeString(rewritten, "");
                        Thread.sleep(1);
                        Files.writeString(rewritten, whole.substring(0, whole.length() / 3));
                        Thread.sleep(1);
                        Files.writeString(rewritten, whole);
                        Thread.sleep(3);
                    }
                });
        for (int i = 0; i < restarts; i++) {
            if (i % 2 == 0) {
                program.destroyForcibly().waitFor();
            } else {
                program.destroy();
                assertThat(program.waitFor()).as("restart %d", i).isZero();
            }
            program = launchAt(rewritten);
            awaitAlive();
        }
        over[0] = true;
    }

    @Test
    void onSighupAConfigurationThatIsCutIsReadAgainOnceItIsWhole() throws Exception {
        StandInCoordinator other = new StandInCoordinator();
        String next =
                config().replace(
                                "127.0.0.1:" + coordinator.port() + "\",\"more\"",
                                "127.0.0.1:" + other.port() + "\",\"more\"");
        hangUp(next.substring(0, 200));
        awaitLog("tried again");
        Files.writeString(config, next);
        assertThat(other.asked.take()).isEqualTo(1);
    }

    /**
     * While the process stands still, two batches of one key come in: the earlier by a new
     * connection, then by an old one, and the other way round. Nothing tells which came first, and
     * they must not run in the wrong order.
     */
    @Test
    void aStallOfTheProcessTurnsNoOrderRound() throws Exception {
        int ran = 0;
        for (int round = 0; round < 12; round++) {
            try (Client old = new Client();
                    Client older = new Client()) {
                old.call("GET /alive", "", "");
                older.call("GET /alive", "", "");
                signal("STOP");
                List<Client> crowd = new ArrayList<>();
                for (int i = 0; i < 8; i++) {
                    crowd.add(new Client());
                }
                Client first = round % 3 == 0 ? new Client() : round % 3 == 1 ? old : older;
                Client second = round % 3 == 2 ? old : round % 3 == 0 ? older : new Client();
                String key = "X-Item: " + round + "\r\n";
                first.write(
                        "POST /ops/load",
                        first.fields("load", 5000) + key,
                        "INSERT INTO sales_3.t VALUES (1)");
                String firstJob = job(jobs);
                Thread.sleep(first == old || first == older ? 60 : 250);
                second.write(
                        "POST /ops/load",
                        second.fields("load", 5000) + key,
                        "INSERT INTO sales_3.t VALUES (2)");
                String secondJob = job(jobs);
                signal("CONT");
                int[] got = {
                    first.follow(first.read()).status, second.follow(second.read()).status
                };
                assertThat(got[0]).isIn(200, 503);
                assertThat(got[1]).isIn(200, 503);
                List<String> posts =
                        one.seen.stream()
                                .filter(m -> m.what.equals("POST /x"))
                                .map(m -> m.headers.get("x-ticket"))
                                .filter(t -> t.equals(firstJob) || t.equals(secondJob))
                                .toList();
                assertThat(posts).hasSize((got[0] == 200 ? 1 : 0) + (got[1] == 200 ? 1 : 0));
                assertThat(posts.equals(List.of(secondJob, firstJob)))
                        .as("order turned round")
                        .isFalse();
                ran += posts.size();
                for (Client each : crowd) {
                    each.close();
                }
                first.close();
                second.close();
            }
        }
        assertThat(ran).isGreaterThanOrEqualTo(12);
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(program.pid())).start().waitFor();
    }

    // ---- The program and what it is told.
    private Process launch(String text) throws IOException {
        return launchAt(Files.writeString(Files.createTempFile(folder, "config", ".json"), text));
    }

    private Process launchAt(Path file, String... through) throws IOException {
        config = file;
        List<String> command = new ArrayList<>(List.of(through));
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-ea",
                        "-Xmx64m",
                        "-jar",
                        Path.of("target", "firstage.jar").toString(),
                        "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
    }

    private String config() {
        return """
        {"name":"m","listen":"127.0.0.1:%d","seed":"1f","limits":{"memory_mb":192,"sockets":1024},
         "coordinator":"127.0.0.1:%d","more":null,
         "known":{"index":1,"updates":[{"index":1,"endpoints":{
          "generation":0,"reset":true,"instances":[
           {"instanceId":"s-00000001","hostPort":"127.0.0.1:%d","zone":"z","machineType":"k",
            "cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0}]}}]},
         "settings":{"areas":["z"],"kinds":["k"],"group_size":1,"rank":0,"zone":0,
          "unknown":{"a":[{}]},
          "classes":[%s,%s,%s],"tenants":[{"name":"t","quota_per_s":100}],
          "family_info":{"dop":[1,2,2],"kind_cores":[4],"size_mb":[8192],"takes_grants":true,
            "lanes_count":true,"progress_pace":0.5,"largest_share":0.5},
          "limits":{"connect_timeout":0.25,"keepalive":10,"max_attempts":4,"max_retry_after":2,
            "retry_after":true,"second_copies":false},
          "rules":{"drain_grace":0.5}}}
        """
                .formatted(
                        port,
                        coordinator.port(),
                        one.port(),
                        group("lookup", "retryable"),
                        group("report", "retryable"),
                        group("load", "fragile"));
    }

    private static String group(String name, String effect) {
        return "{\"name\":\""
                + name
                + "\",\"effect\":\""
                + effect
                + "\",\"target\":2,\"deadline\":9,\"worth\":1,"
                + "\"late_value\":0.5,\"by_arrival\":"
                + effect.equals("fragile")
                + "}";
    }

    private static String job(int n) {
        return String.format("%016x", n);
    }

    private static String page(String header, String rows) {
        byte[] bytes = rows.getBytes(StandardCharsets.UTF_8);
        return "HTTP/1.1 200 OK\r\n"
                + header
                + "\r\nContent-Length: "
                + bytes.length
                + "\r\n\r\n"
                + rows;
    }

    private static byte[] record(int id, int port, int state) {
        return ByteBuffer.allocate(27)
                .putInt(id)
                .put(new byte[] {127, 0, 0, 1})
                .putShort((short) port)
                .put((byte) state)
                .put((byte) 0)
                .put((byte) 0)
                .putShort((short) 0)
                .putInt(1000)
                .putLong(0)
                .array();
    }

    // ---- Stand-ins.
    /** A call or an answer. */
    private static final class Message {
        String what = "";
        int status;
        final Map<String, String> headers = new HashMap<>();
        String body = "";

        static Message read(InputStream in) throws IOException {
            Message m = new Message();
            m.what = line(in);
            if (m.what.startsWith("HTTP/")) {
                m.status = Integer.parseInt(m.what.split(" ")[1]);
            } else {
                m.what = m.what.replace(" HTTP/1.1", "");
            }
            for (String header = line(in); !header.isEmpty(); header = line(in)) {
                String[] parts = header.split(":", 2);
                m.headers.put(parts[0].toLowerCase(Locale.ROOT), parts[1].trim());
            }
            int length = Integer.parseInt(m.headers.getOrDefault("content-length", "0"));
            m.body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
            return m;
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new IOException("ended");
                }
                line.write(b);
            }
            return line.toString(StandardCharsets.ISO_8859_1).trim();
        }

        String poll() {
            assertThat(body).startsWith("{\"poll\":\"");
            return body.substring(9, body.length() - 2);
        }
    }

    private final class Client implements AutoCloseable {
        private final Socket socket = new Socket();

        Client() throws IOException {
            this(0);
        }

        Client(int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }

        void write(String what, String fields, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            boolean told = fields.matches("(?s).*(Content-Length|Transfer-).*");
            String length = told ? "" : "Content-Length: " + bytes.length + "\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(
                    (what + " HTTP/1.1\r\nHost: h\r\n" + fields + length + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(bytes);
            socket.getOutputStream().write(all.toByteArray());
        }

        Message read() throws IOException {
            return Message.read(socket.getInputStream());
        }

        Message call(String what, String fields, String body) throws IOException {
            write(what, fields, body);
            return read();
        }

        String fields(String group, int allow) {
            return "X-Job-Id: " + job(++jobs) + "\r\nX-Allow-Ms: " + allow + "\r\nX-Team: t\r\n";
        }

        Message post(String group, String more, String statement, int allow) throws IOException {
            return call("POST /ops/" + group, fields(group, allow) + more, statement);
        }

        /** The last answer, as a client that is given a path gets it. */
        Message follow(Message answer) throws IOException {
            Message last = answer;
            while (last.body.startsWith("{\"poll\"")) {
                last = call("GET " + last.poll(), "", "");
            }
            return last;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private final class StandInEngine implements AutoCloseable {
        final BlockingQueue<Message> seen = new LinkedBlockingQueue<>();
        volatile Script script = seen -> OK;
        private final List<Socket> sockets = new ArrayList<>();
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        StandInEngine() throws IOException {
            opened.add(this);
            daemon(
                    () -> {
                        while (true) {
                            Socket s = server.accept();
                            sockets.add(s);
                            daemon(() -> serve(s));
                        }
                    });
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Socket s) throws IOException, InterruptedException {
            while (true) {
                Message m = Message.read(s.getInputStream());
                seen.add(m);
                String answer = script.apply(m);
                if (answer.equals(RESET)) {
                    s.setSoLinger(true, 0);
                    s.close();
                } else if (answer.equals(ENDLESS)) {
                    trickle(s);
                } else if (!answer.equals(SILENCE)) {
                    if (answer.equals(NOTHING_NEW)) {
                        pause();
                    }
                    s.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                }
            }
        }

        /** A head that goes on for ever, some bytes at a time, until nobody reads it. */
        private void trickle(Socket s) throws IOException, InterruptedException {
            s.getOutputStream().write("HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.UTF_8));
            while (true) {
                s.getOutputStream().write("X-More: 1\r\n".getBytes(StandardCharsets.UTF_8));
                Thread.sleep(50);
            }
        }

        /** As engines hold a call for news, though less long. */
        private void pause() {
            try {
                Thread.sleep(20);
            } catch (InterruptedException fault) {
                Thread.currentThread().interrupt();
            }
        }

        Message next(String start) throws InterruptedException {
            Message m = seen.take();
            while (!m.what.startsWith(start)) {
                m = seen.take();
            }
            return m;
        }

        /** Sends batches until one comes here. */
        void awaitUse(ServeIT story) throws Exception {
            long from = System.nanoTime();
            while (seen.isEmpty()) {
                assertThat((System.nanoTime() - from) / 1_000_000)
                        .as("ms without a batch here")
                        .isLessThan(20_000);
                try (Client c = story.new Client()) {
                    c.follow(c.post("lookup", "", "SELECT 1", 5000));
                }
            }
        }

        @Override
        public void close() {
            quietly(server);
            sockets.forEach(ServeIT::quietly);
        }
    }

    private final class StandInCoordinator implements AutoCloseable {
        final BlockingQueue<Long> asked = new LinkedBlockingQueue<>();
        private final List<byte[]> events = new ArrayList<>();
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private Socket last;
        private volatile boolean mute;

        /** What a new connection is told comes in pieces. */
        private volatile boolean slow;

        private volatile CountDownLatch gate = new CountDownLatch(0);

        StandInCoordinator() throws IOException {
            opened.add(this);
            daemon(
                    () -> {
                        while (true) {
                            Thread.sleep(500);
                            beat();
                        }
                    });
            daemon(
                    () -> {
                        while (true) {
                            Socket s = server.accept();
                            long from;
                            try {
                                from = new DataInputStream(s.getInputStream()).readLong();
                            } catch (IOException ended) {
                                // The second of two tries, closed as the first came up.
                                continue;
                            }
                            gate.await();
                            synchronized (this) {
                                last = s;
                                for (int i = Math.max(0, (int) from - 1); i < events.size(); i++) {
                                    write(s, events.get(i));
                                }
                                if (!mute) {
                                    // Coordinators say something at once.
                                    s.getOutputStream()
                                            .write(ByteBuffer.allocate(13).putInt(9).array());
                                }
                            }
                            asked.add(from);
                        }
                    });
        }

        int port() {
            return server.getLocalPort();
        }

        private synchronized void beat() {
            try {
                if (last != null && !mute) {
                    last.getOutputStream().write(ByteBuffer.allocate(13).putInt(9).array());
                }
            } catch (IOException ended) {
                // The program left, or was ended by its story.
            }
        }

        void tell(long number, byte[] record) {
            tell(number, 2, record);
        }

        /** Tells an event now, and on connections to come. */
        void tell(long number, int kind, byte[] record) {
            tellPart(number, kind, record, Integer.MAX_VALUE);
        }

        /** The same, but on the connection that is up only so many bytes of it. */
        synchronized void tellPart(long number, int kind, byte[] record, int bytes) {
            byte[] frame = event(number, kind, record);
            try {
                if (last != null) {
                    last.getOutputStream().write(frame, 0, Math.min(bytes, frame.length));
                }
            } catch (IOException fault) {
                throw new IllegalStateException(fault);
            }
        }

        /** Tells an event on connections to come. */
        synchronized byte[] event(long number, int kind, byte[] record) {
            byte[] frame =
                    ByteBuffer.allocate(13 + record.length)
                            .putInt(9 + record.length)
                            .putLong(number)
                            .put((byte) kind)
                            .put(record)
                            .array();
            events.add(frame);
            return frame;
        }

        /** In two pieces, where it is slow. */
        private void write(Socket s, byte[] event) throws IOException, InterruptedException {
            int first = slow ? event.length / 2 : event.length;
            s.getOutputStream().write(event, 0, first);
            if (slow) {
                Thread.sleep(400);
            }
            s.getOutputStream().write(event, first, event.length - first);
        }

        synchronized void breakOff() throws IOException {
            last.close();
            last = null;
        }

        @Override
        public void close() {
            quietly(server);
        }
    }

    private interface Script {
        String apply(Message seen) throws IOException, InterruptedException;
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception ended) {
                                // Its socket was closed.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void quietly(AutoCloseable each) {
        try {
            each.close();
        } catch (Exception fault) {
            // Closed already.
        }
    }
}
