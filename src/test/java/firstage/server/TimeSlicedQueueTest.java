package firstage.server;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.server.IoThreadMonitor.Step;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TimeSlicedQueueTest {
    private static final int SLICE_MS = 2;

    private final Counters counters = new Counters();
    private final List<Integer> done = new ArrayList<>();
    private final TimeSlicedQueue queue =
            new TimeSlicedQueue(
                    Step.CLIENT_CALLS, SLICE_MS, counters, new IoThreadMonitor(counters), () -> {});

    /** A task that takes longer than a time slice. */
    private Runnable longTask(int number) {
        return () -> {
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SLICE_MS + 1);
            while (System.nanoTime() < endNanos) {
                Thread.onSpinWait();
            }
            done.add(number);
        };
    }

    @Test
    void mayRunNow_sliceSpent_notBeforeNextSlice() {
        assertThat(queue.mayRunNow()).isTrue();
        queue.runNow(longTask(1));
        assertThat(queue.mayRunNow()).isFalse();
        queue.runSlice();
        assertThat(queue.mayRunNow()).isTrue();
    }

    /** Guards against work that later arrivals keep from its turn. */
    @Test
    void mayRunNow_othersQueued_notAheadOfThem() {
        queue.defer(longTask(1));
        assertThat(queue.mayRunNow()).isFalse();
    }

    @Test
    void runSlice_moreThanFits_leavesTheRestInOrder() {
        queue.defer(longTask(1));
        queue.defer(longTask(2));
        queue.runSlice();
        assertThat(done).containsExactly(1);
        queue.runSlice();
        assertThat(done).containsExactly(1, 2);
        assertThat(counters.sum("deferred client calls")).isEqualTo(2);
    }

    /** Guards against a pass that its own tasks prolong. */
    @Test
    void runSlice_taskDefersAnother_ends() {
        queue.defer(new RepeatingTask());
        queue.runSlice();
        assertThat(queue.isEmpty()).isFalse();
    }

    private final class RepeatingTask implements Runnable {
        @Override
        public void run() {
            queue.defer(this);
        }
    }

    @Test
    void runAfterQueued_behindTasks_runsAfterThemOnly() {
        queue.defer(() -> done.add(1));
        queue.runAfterQueued(() -> done.add(2));
        queue.defer(() -> done.add(3));
        assertThat(done).isEmpty();
        queue.runSlice();
        assertThat(done).containsExactly(1, 2, 3);
    }

    @Test
    void runAfterQueued_nothingQueued_runsAtOnce() {
        queue.runAfterQueued(() -> done.add(1));
        assertThat(done).containsExactly(1);
    }
}
