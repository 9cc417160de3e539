package firstage.server;

import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ScriptedCoordinator.CHANGE;
import static firstage.fixtures.ScriptedCoordinator.DRAINING;
import static firstage.fixtures.ScriptedCoordinator.FULL_LIST;
import static firstage.fixtures.ScriptedCoordinator.READY;
import static firstage.fixtures.ScriptedCoordinator.endpoint;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import firstage.fixtures.ScriptedEngine;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the watch on the coordinator's endpoint list. */
class DiscoveryIT extends ManagerFixture {
    /** Updates that take a manager longer than a second to apply. */
    private static final int UPDATES_FOR_SECONDS = 30_000;

    /** Time for the start of the program, the connection and the update. */
    private static final int START_AND_TELL_MS = 2_000;

    /** Endpoints in a list of half a megabyte, several times that of the largest fleet. */
    private static final int LONG_LIST = 20_000;

    @Test
    void brokenWatch_reconnected_continuesAfterLastEvent() throws Exception {
        assertThat(coordinator.watchStarts().take()).isEqualTo(1L);
        ScriptedEngine secondEngine = newEngine();
        coordinator.publish(2, endpoint(1, engine.port(), DRAINING));
        coordinator.publish(3, endpoint(2, secondEngine.port(), READY));
        sendRequestsUntilUsed(secondEngine);
        coordinator.closeWatch();
        assertThat(coordinator.watchStarts().take()).isEqualTo(3L);
        coordinator.setHeartbeatsSuppressed(true);
        assertThat(coordinator.watchStarts().take()).isEqualTo(3L);
    }

    /**
     * Guards against a slow coordinator that is never heard: its connections were given up one
     * after another before their first frame, and drains were never known.
     */
    @ParameterizedTest
    @ValueSource(ints = {3_000, 6_000})
    @Timeout(30)
    void coordinatorSlowToFirstFrame_isHeardOnItsFirstConnection(int delayMs) throws Exception {
        manager.kill();
        ScriptedEngine secondEngine = newEngine();
        coordinator.setFirstFrameDelayMs(delayMs);
        coordinator.publishToLaterWatches(2, CHANGE, endpoint(1, engine.port(), DRAINING));
        long start = System.nanoTime();
        manager.start(config());
        manager.awaitLog("event=2");
        assertThat(millisecondsSince(start)).isLessThan(delayMs + START_AND_TELL_MS);
        coordinator.publish(3, endpoint(2, secondEngine.port(), READY));
        sendRequestsUntilUsed(secondEngine);
        assertThat(engine.calls()).isEmpty();
    }

    /**
     * The first watch receives only a part of an event. The next watch receives the whole event,
     * which is then applied.
     */
    @Test
    void watch_unresponsiveWithinEvent_restartsBeforeThatEvent() throws Exception {
        assertThat(coordinator.watchStarts().take()).isEqualTo(1L);
        ScriptedEngine secondEngine = newEngine();
        coordinator.publishPart(2, CHANGE, endpoint(2, secondEngine.port(), READY), 20);
        coordinator.setHeartbeatsSuppressed(true);
        assertThat(coordinator.watchStarts().take()).isEqualTo(1L);
        coordinator.setHeartbeatsSuppressed(false);
        coordinator.publish(3, endpoint(1, engine.port(), DRAINING));
        manager.awaitLog("event=3");
        assertThat(manager.log()).contains("event=2").doesNotContain("malformed");
        try (QueryClient client = newClient()) {
            assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 5000).status()).isEqualTo(200);
        }
        assertThat(engine.calls()).isEmpty();
        assertThat(secondEngine.calls()).isNotEmpty();
    }

    /**
     * A full list takes effect only once it is complete, both after a start and later; nothing is
     * sent on the basis of a part.
     */
    @Test
    void fullList_inPieces_countsOnceWhole() throws Exception {
        manager.kill();
        ScriptedEngine secondEngine = newEngine();
        ScriptedEngine thirdEngine = newEngine();
        coordinator.setSendingInPieces(true);
        coordinator.publishToLaterWatches(2, FULL_LIST, endpoint(2, secondEngine.port(), READY));
        manager.start(config());
        manager.awaitAlive();
        try (QueryClient client = newClient()) {
            assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 5000).status()).isEqualTo(200);
            assertThat(secondEngine.calls()).isNotEmpty();
            // A full list removes the engines that it does not contain.
            coordinator.setSendingInPieces(false);
            coordinator.publish(3, FULL_LIST, endpoint(3, thirdEngine.port(), READY));
            manager.awaitLog("event=3");
            secondEngine.calls().clear();
            assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 5000).status()).isEqualTo(200);
        }
        assertThat(engine.calls()).isEmpty();
        assertThat(secondEngine.calls()).isEmpty();
        assertThat(thirdEngine.calls()).isNotEmpty();
    }

    /**
     * The list in the configuration is older than a drain that was published while the manager was
     * down, so the manager waits for its coordinator.
     */
    @Test
    void start_listUnconfirmedByCoordinator_nothingIsSent() throws Exception {
        manager.kill();
        ScriptedEngine secondEngine = newEngine();
        coordinator.publishToLaterWatches(2, CHANGE, endpoint(1, engine.port(), DRAINING));
        coordinator.publishToLaterWatches(3, CHANGE, endpoint(2, secondEngine.port(), READY));
        CountDownLatch heldWatches = coordinator.holdNewWatches();
        manager.start(config());
        manager.awaitAlive();
        try (QueryClient client = newClient()) {
            client.sendRequest(LOOKUP, "", "SELECT 1", 5000);
            Thread.sleep(300);
            heldWatches.countDown();
            assertThat(client.readToEnd().status()).isEqualTo(200);
        }
        assertThat(engine.calls()).isEmpty();
        assertThat(secondEngine.calls()).isNotEmpty();
    }

    /**
     * Guards against statements that are sent while updates are still to be read: the drain of the
     * only known engine is behind more updates than one read returns.
     */
    @Test
    void start_drainBehindManyUpdates_nothingIsSentBeforeItIsApplied() throws Exception {
        manager.kill();
        coordinator.setHeartbeatsSuppressed(true);
        ScriptedEngine secondEngine = newEngine();
        int number = 2;
        while (number < 600) {
            coordinator.publishToLaterWatches(number++, CHANGE, endpoint(1, engine.port(), READY));
        }
        coordinator.publishToLaterWatches(number++, CHANGE, endpoint(1, engine.port(), DRAINING));
        coordinator.publishToLaterWatches(number, CHANGE, endpoint(2, secondEngine.port(), READY));
        CountDownLatch heldWatches = coordinator.holdNewWatches();
        manager.start(config());
        manager.awaitAlive();
        try (QueryClient client = newClient()) {
            client.sendRequest(LOOKUP, "", "SELECT 1", 5000);
            Thread.sleep(100);
            heldWatches.countDown();
            assertThat(client.readToEnd().status()).isEqualTo(200);
        }
        assertThat(engine.calls()).isEmpty();
        assertThat(secondEngine.calls()).isNotEmpty();
    }

    /**
     * Guards against statements that are sent 1 s after the start although updates have arrived and
     * are still being applied: the drain of the only known engine is the last of them.
     */
    @Test
    void start_updatesTakeLongerThanConfirmTimeout_nothingIsSentBeforeTheLast() throws Exception {
        manager.kill();
        ScriptedEngine secondEngine = newEngine();
        int number = 2;
        while (number < UPDATES_FOR_SECONDS) {
            coordinator.publishToLaterWatches(number++, CHANGE, endpoint(1, engine.port(), READY));
        }
        coordinator.publishToLaterWatches(number++, CHANGE, endpoint(1, engine.port(), DRAINING));
        coordinator.publishToLaterWatches(number, CHANGE, endpoint(2, secondEngine.port(), READY));
        manager.start(config());
        manager.awaitAlive();
        try (QueryClient client = newClient()) {
            assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 9000).status()).isEqualTo(200);
        }
        assertThat(engine.calls()).isEmpty();
        assertThat(secondEngine.calls()).isNotEmpty();
    }

    /**
     * Guards against a list that is applied and yet stays unconfirmed, so that requests wait: it
     * takes longer than the time slice of a selector pass, and nothing is sent after it.
     */
    @Test
    void start_updateExceedsTimeSlice_isConfirmedWithoutFurtherInput() throws Exception {
        manager.kill();
        coordinator.setHeartbeatsSuppressed(true);
        coordinator.publishToLaterWatches(2, FULL_LIST, endpoints(4_000));
        manager.start(config());
        manager.awaitLog("endpoint list ");
        assertThat(manager.log()).contains("endpoint list confirmed lastEvent=2");
    }

    /**
     * Guards against a list whose length decides how long the I/O thread serves nobody. The second
     * list is checked, as the first also waits for classes to be loaded.
     */
    @Test
    void longList_ioThreadStaysResponsive() throws Exception {
        byte[] list = endpoints(LONG_LIST);
        coordinator.publish(2, FULL_LIST, list);
        manager.awaitLog("event=2");
        manager.awaitAlive();
        coordinator.publish(3, FULL_LIST, list);
        manager.awaitLog("event=3");
        manager.awaitAlive();
        String log = manager.log();
        assertThat(log.substring(log.indexOf("event=3"))).doesNotContain("I/O thread unresponsive");
    }

    /** Returns the records of this many endpoints, all at the address of the first engine. */
    private byte[] endpoints(int count) {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        for (int id = 1; id <= count; id++) {
            records.writeBytes(endpoint(id, engine.port(), READY));
        }
        return records.toByteArray();
    }

    /** The coordinator accepts watches but sends nothing, so the configuration's list is used. */
    @Test
    void start_coordinatorUnresponsive_waitsNotLongerThanOneSecond() throws Exception {
        manager.kill();
        coordinator.setHeartbeatsSuppressed(true);
        manager.start(config());
        manager.awaitAlive();
        try (QueryClient client = newClient()) {
            long start = System.nanoTime();
            assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 5000).status()).isEqualTo(200);
            assertThat(millisecondsSince(start)).isLessThan(2_000);
        }
        assertThat(manager.log()).contains("endpoint list not confirmed in time lastEvent=1");
    }
}
