package firstage.server;

import static firstage.fixtures.EngineWire.MAX_MS;
import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.POST_STATEMENT;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ManagerSettings.REPORT;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import firstage.fixtures.BackgroundTasks;
import firstage.fixtures.HttpMessage;
import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import firstage.fixtures.SystemCallFaults;
import firstage.fixtures.SystemCallFaults.Kind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests short failures of the manager's system calls. */
class SystemCallFaultsIT extends ManagerFixture {
    private static final int SEED = 1;
    private static final int FAULT_DURATION_MS = 60;

    /** Time by which the protocol lets an engine's deadline exceed the client's deadline. */
    private static final int DEADLINE_SLACK_MS = 150;

    /** Failing calls per thousand; some writes must succeed so that reads fail, too. */
    private static final int FAULTS_PER_THOUSAND = 400;

    /** Longest time from the end of the fault to the answer; a tenth of it would suffice. */
    private static final int MAX_ANSWER_MS = 150;

    private SystemCallFaults faults;

    @BeforeEach
    void startWithFaults() throws Exception {
        assumeTrue(SystemCallFaults.available(), "PARTIAL: no C compiler, no call can fail");
        faults = SystemCallFaults.create(folder, "manager", folder.resolve("lasting"), SEED);
        manager.setEnvironment(faults.environment());
        manager.restart(config());
        try (QueryClient client = newClient()) {
            assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 5000).status()).isEqualTo(200);
        }
    }

    /**
     * Guards against a back-off after a failed accept, with which new connections would wait for
     * 0.25 s or longer.
     */
    @Test
    void accept_failsForAMoment_nextConnectionIsServedAtOnce() throws Exception {
        for (int i = 0; i < 3; i++) {
            faults.set(Kind.ACCEPT, SystemCallFaults.ALWAYS);
            try (QueryClient client = newClient()) {
                client.sendRequest(LOOKUP, "", "SELECT 1", 5000);
                Thread.sleep(FAULT_DURATION_MS);
                faults.set(Kind.ACCEPT, 0);
                long start = System.nanoTime();
                assertThat(client.readToEnd().status()).isEqualTo(200);
                assertThat(millisecondsSince(start)).isLessThan(MAX_ANSWER_MS);
            }
        }
        assertThat(faults.count(Kind.ACCEPT)).isPositive();
    }

    /**
     * The time for which a connection waits to be accepted counts against its request's deadline.
     */
    @Test
    void accept_failsForLong_engineDeadlineIsWithinClients() throws Exception {
        engine.calls().clear();
        faults.set(Kind.ACCEPT, SystemCallFaults.ALWAYS);
        long sentAt = System.nanoTime();
        try (QueryClient client = newClient()) {
            client.sendRequest(LOOKUP, "", "SELECT 1", 5000);
            Thread.sleep(600);
            faults.set(Kind.ACCEPT, 0);
            HttpMessage call = engine.awaitCall(POST_STATEMENT);
            long deadlineMs =
                    millisecondsSince(sentAt) + Long.parseLong(call.headers().get(MAX_MS));
            assertThat(deadlineMs).isLessThanOrEqualTo(5000 + DEADLINE_SLACK_MS);
        }
    }

    /**
     * Guards against connections that time out being counted as unreadable replies, five of which
     * end a running attempt.
     */
    @Test
    void engineConnections_break_attemptGoesOn() throws Exception {
        engine.calls().clear();
        engine.respondWith(call -> STILL_RUNNING);
        try (QueryClient client = newClient()) {
            client.sendRequest(REPORT, "", "SELECT 1", 9000);
            Thread.sleep(200);
            faults.set(Kind.BREAK, FAULTS_PER_THOUSAND);
            BackgroundTasks.start(
                    () -> {
                        Thread.sleep(4_000);
                        faults.set(Kind.BREAK, 0);
                        engine.respondWith(call -> ONE_ROW);
                    });
            assertThat(client.readToEnd().status()).isEqualTo(200);
        }
        assertThat(faults.count(Kind.BREAK)).isPositive();
        assertThat(engine.posts()).hasSize(1);
    }

    /** Guards against calls that are never read because a read was short or interrupted. */
    @Test
    void reads_comeShort_everyCallIsAnswered() throws Exception {
        faults.set(Kind.SHORT_READ, FAULTS_PER_THOUSAND);
        for (int i = 0; i < 100; i++) {
            try (QueryClient client = newClient()) {
                assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 9000).status())
                        .isEqualTo(200);
            }
        }
        assertThat(faults.count(Kind.SHORT_READ)).isPositive();
    }

    /** Guards against answers that are never sent because a write was short or interrupted. */
    @Test
    void writes_comeShort_everyCallIsAnswered() throws Exception {
        faults.set(Kind.SHORT_WRITE, FAULTS_PER_THOUSAND);
        for (int i = 0; i < 100; i++) {
            try (QueryClient client = newClient()) {
                assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 9000).status())
                        .isEqualTo(200);
            }
        }
        assertThat(faults.count(Kind.SHORT_WRITE)).isPositive();
    }

    /**
     * Guards against a program that ends because no socket is available for a short time at the
     * start.
     */
    @Test
    void start_noSocketForAMoment_serves() throws Exception {
        manager.kill();
        faults.set(Kind.SOCKET, SystemCallFaults.ALWAYS);
        manager.start(config());
        Thread.sleep(1_500);
        faults.set(Kind.SOCKET, 0);
        manager.awaitAlive();
        assertThat(faults.count(Kind.SOCKET)).isPositive();
    }
}
