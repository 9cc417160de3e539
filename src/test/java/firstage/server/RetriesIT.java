package firstage.server;

import static firstage.fixtures.ClientWire.ONE_ROW_JSON;
import static firstage.fixtures.ClientWire.orderingKey;
import static firstage.fixtures.EngineWire.DELETED;
import static firstage.fixtures.EngineWire.ENDLESS_HEAD;
import static firstage.fixtures.EngineWire.GET_STATEMENT;
import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.RESET;
import static firstage.fixtures.EngineWire.SILENCE;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.EngineWire.WAITING_FOR_LOAD;
import static firstage.fixtures.EngineWire.getPage;
import static firstage.fixtures.EngineWire.page;
import static firstage.fixtures.ManagerSettings.LOAD;
import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ManagerSettings.REPORT;
import static firstage.fixtures.ManagerSettings.withCancellation;
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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests after which failures of an attempt the manager retries, polls again or fails the request.
 */
class RetriesIT extends ManagerFixture {
    /** Number of DELETEs that are lost before one is answered. */
    private static final int LOST_DELETES = 2;

    @Test
    void nonIdempotentRequest_mayHaveRun_isNotRetried() throws Exception {
        engine.respondWith(call -> RESET);
        try (QueryClient client = newClient()) {
            HttpMessage response =
                    client.requestToEnd(
                            LOAD, orderingKey("7f"), "INSERT INTO sales_3.t VALUES (1)", 3000);
            assertThat(response.status()).isEqualTo(500);
        }
        engine.close();
        assertThat(engine.posts()).hasSize(1);
    }

    @Test
    void refusedPoll_otherConnectionUp_provesNothing() throws Exception {
        String secondPageCall = getPage(JobIds.of(2), 1);
        engine.respondWith(
                call -> {
                    if (call.startLine().equals(secondPageCall) && engine.isAccepting()) {
                        engine.stopAccepting();
                        return RESET;
                    }
                    return call.startLine().equals(secondPageCall)
                            ? page("Page-No: 1", "")
                            : JobIds.of(2).equals(call.ticket())
                                    ? page("Page-Count: 2", "a\tb\tc\n")
                                    : STILL_RUNNING;
                });
        try (QueryClient client = newClient();
                QueryClient otherClient = newClient()) {
            otherClient.sendRequest(REPORT, "", "SELECT 1", 9000);
            engine.awaitCall(GET_STATEMENT);
            assertThat(
                            client.requestToEnd(
                                            LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 5000)
                                    .status())
                    .isEqualTo(200);
        }
    }

    /**
     * An engine drains before the endpoint list reports it: the engine accepts no new connections,
     * and answers polls at once, with identical or changing progress.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void lastConnection_attemptInFlight_isKept(boolean identical) throws Exception {
        AtomicInteger polls = new AtomicInteger();
        engine.respondWith(
                call -> {
                    engine.stopAccepting();
                    int poll = polls.getAndIncrement();
                    return poll > 5
                            ? ONE_ROW
                            : "HTTP/1.1 202 Accepted\r\nX-Remark: pct\r\nFigure: 0."
                                    + (identical ? 1 : poll)
                                    + "\r\nContent-Length: 0\r\n\r\n";
                });
        try (QueryClient client = newClient()) {
            assertThat(
                            client.requestToEnd(
                                            LOAD, orderingKey("7f"), "INSERT INTO sales_3.t", 8000)
                                    .status())
                    .isEqualTo(200);
        }
    }

    /**
     * An attempt is cancelled because it waits for a load, and its DELETE is lost. The next attempt
     * must not start while the engine may still run the first one.
     */
    @ParameterizedTest
    @CsvSource({
        "reset, false",
        "silence, false",
        "not HTTP, false",
        "reset, true",
        "silence, true",
        "not HTTP, true"
    })
    void cancelledAttempt_deleteLost_nextAttemptStartsOnceItIsConfirmed(
            String firstDelete, boolean keyed) throws Exception {
        manager.restart(withCancellation(config()));
        ScriptedEngine secondEngine = newEngine();
        AtomicInteger deletes = new AtomicInteger();
        AtomicBoolean deleted = new AtomicBoolean();
        AtomicBoolean overlapped = new AtomicBoolean();
        engine.respondWith(
                call -> {
                    if (!call.isDelete()) {
                        coordinator.publish(2, endpoint(2, secondEngine.port(), READY));
                        return WAITING_FOR_LOAD;
                    }
                    deleted.set(deletes.incrementAndGet() > LOST_DELETES);
                    return deleted.get() ? DELETED : firstDelete;
                });
        secondEngine.respondWith(
                call -> {
                    overlapped.compareAndSet(false, !deleted.get());
                    return ONE_ROW;
                });
        try (QueryClient client = newClient()) {
            HttpMessage response =
                    client.requestToEnd(REPORT, keyed ? orderingKey("7f") : "", "SELECT 1", 9000);
            assertThat(response.body()).isEqualTo(ONE_ROW_JSON);
        }
        assertThat(overlapped).isFalse();
        assertThat(deletes).hasValue(LOST_DELETES + 1);
        manager.terminate();
        assertThat(manager.awaitExit()).isZero();
    }

    /** The engine's connections break and it refuses new ones, but it may run the attempt. */
    @Test
    void idempotentRequest_engineRefusesAfterReset_isRetriedOnceItMayNotRun() throws Exception {
        ScriptedEngine secondEngine = newEngine();
        AtomicLong lastCallAt = new AtomicLong();
        AtomicLong retriedAt = new AtomicLong();
        engine.respondWith(
                call -> {
                    coordinator.publish(2, endpoint(2, secondEngine.port(), READY));
                    lastCallAt.set(System.nanoTime());
                    if (call.isPost()) {
                        return STILL_RUNNING;
                    }
                    engine.stopAccepting();
                    return RESET;
                });
        secondEngine.respondWith(
                call -> {
                    retriedAt.compareAndSet(0, System.nanoTime());
                    return ONE_ROW;
                });
        try (QueryClient client = newClient()) {
            assertThat(client.requestToEnd(REPORT, "", "SELECT 1", 9000).body())
                    .isEqualTo(ONE_ROW_JSON);
        }
        // An engine drops a statement 2 s after the end of its last poll.
        assertThat(TimeUnit.NANOSECONDS.toMillis(retriedAt.get() - lastCallAt.get()))
                .isBetween(2_250L, 6_000L);
    }

    @Test
    void nonIdempotentRequest_connectionRefused_isRetriedElsewhere() throws Exception {
        engine.close();
        ScriptedEngine secondEngine = newEngine();
        coordinator.publish(2, endpoint(2, secondEngine.port(), READY));
        try (QueryClient client = newClient()) {
            HttpMessage response =
                    client.requestToEnd(
                            LOAD, orderingKey("7f"), "INSERT INTO sales_3.t VALUES (1)", 5000);
            assertThat(response.body()).isEqualTo(ONE_ROW_JSON);
        }
    }

    @Test
    void nonIdempotentRequest_engineGoneSilent_isNotSentOnIdleConnection() throws Exception {
        try (QueryClient client = newClient()) {
            assertThat(client.requestToEnd(LOAD, "", "INSERT INTO sales_3.t", 5000).status())
                    .isEqualTo(200);
            engine.respondWith(call -> SILENCE);
            engine.stopAccepting();
            ScriptedEngine secondEngine = newEngine();
            coordinator.publish(2, endpoint(2, secondEngine.port(), READY));
            Thread.sleep(500);
            assertThat(client.requestToEnd(LOAD, "", "INSERT INTO sales_3.t", 5000).status())
                    .isEqualTo(200);
        }
    }

    @Test
    void idempotentRequest_engineLostBetweenPages_isRetriedElsewhere() throws Exception {
        ScriptedEngine secondEngine = newEngine();
        engine.respondWith(
                call -> {
                    if (call.isPost()) {
                        return page("Page-Count: 2", "first\tof\ttwo\n");
                    }
                    coordinator.publish(2, endpoint(2, secondEngine.port(), READY));
                    engine.close();
                    return RESET;
                });
        try (QueryClient client = newClient()) {
            assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 9000).body())
                    .isEqualTo(ONE_ROW_JSON);
        }
    }

    @Test
    void nonIdempotentRequest_engineUnresponsive_failsInTime() throws Exception {
        engine.respondWith(call -> SILENCE);
        try (QueryClient client = newClient()) {
            long start = System.nanoTime();
            HttpMessage response =
                    client.requestToEnd(
                            LOAD, orderingKey("7f"), "INSERT INTO sales_3.t VALUES (1)", 1200);
            assertThat(response.status()).isEqualTo(500);
            assertThat(millisecondsSince(start)).isLessThan(2000);
        }
    }

    @Test
    void unreadableResponse_failsItsAttempt_only() throws Exception {
        engine.respondWith(call -> "what is this\r\n\r\n");
        try (QueryClient client = newClient()) {
            HttpMessage response =
                    client.requestToEnd(
                            LOAD, orderingKey("7f"), "INSERT INTO sales_3.t VALUES (1)", 2000);
            assertThat(response.status()).isEqualTo(500);
        }
        engine.respondWith(call -> ONE_ROW);
        // The first attempt is in flight until its DELETE is answered, and a half-open engine gets
        // no other attempt.
        try (QueryClient client = newClient()) {
            int status = 503;
            while (status == 503) {
                status = client.requestToEnd(LOOKUP, "", "SELECT 1", 9000).status();
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
                ENDLESS_HEAD,
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
    void malformedResponse_attemptMayRun_isRequestedAgain(String malformed) throws Exception {
        List<String> responses = new ArrayList<>(List.of(malformed, ONE_ROW + ONE_ROW, ONE_ROW));
        engine.respondWith(call -> responses.remove(0));
        try (QueryClient client = newClient()) {
            for (int i = 0; i < 2; i++) {
                HttpMessage response =
                        client.requestToEnd(LOAD, "", "INSERT INTO sales_3.t VALUES (1)", 5000);
                assertThat(response.body()).isEqualTo(ONE_ROW_JSON);
            }
        }
        assertThat(engine.posts()).hasSize(2);
    }
}
