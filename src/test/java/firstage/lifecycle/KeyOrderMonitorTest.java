package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the watch finds, and the order of taking that it watches. */
class KeyOrderMonitorTest {
    private final KeyOrderMonitor watch = new KeyOrderMonitor();

    @Test
    void oneAtATimeAndInTurnIsFine() {
        watch.onRequest("k", "a");
        watch.onRequest("k", "b");
        assertThat(watch.onAttemptStarted(0, "k", "a")).isTrue();
        watch.onAttemptEnded(10, "k", "a", 0);
        assertThat(watch.onAttemptStarted(11, "k", "a")).as("another try of its own").isTrue();
        watch.onAttemptEnded(20, "k", "a", 0);
        watch.onRequestEnded("k", "a");
        assertThat(watch.onAttemptStarted(21, "k", "b")).isTrue();
    }

    @Test
    void outOfTurnBesideAnotherOrWhileOneMayBeHeldIsFound() {
        watch.onRequest("k", "a");
        watch.onRequest("k", "b");
        assertThat(watch.onAttemptStarted(0, "k", "b")).as("out of turn").isFalse();
        watch.onAttemptEnded(1, "k", "b", 0);
        watch.onRequestEnded("k", "a");
        assertThat(watch.onAttemptStarted(2, "k", "b")).isTrue();
        watch.onAttemptEnded(3, "k", "b", 100);
        watch.onRequestEnded("k", "b");
        watch.onRequest("k", "c");
        assertThat(watch.onAttemptStarted(50, "k", "c"))
                .as("its engine may hold the one before")
                .isFalse();
        watch.onAttemptEnded(51, "k", "c", 0);
        assertThat(watch.onAttemptStarted(103, "k", "c")).isTrue();
        watch.onRequest("k", "d");
        assertThat(watch.onAttemptStarted(104, "k", "d")).as("beside another").isFalse();
    }

    @Test
    void ofTwoThatCameBeforeABarrierOnlyTheFirstIsToldAsKnown() {
        List<String> told = new ArrayList<>();
        ArrivalSequencer<String> order =
                new ArrivalSequencer<>(
                        new ArrivalSequencer.ArrivalActions<>() {
                            @Override
                            public void requestReadBarrier(Object key) {
                                told.add("barrier " + key);
                            }

                            @Override
                            public void deliver(String batch, boolean turnKnown) {
                                told.add(batch + " " + turnKnown);
                            }
                        });
        order.onRequestRead("free", null);
        order.onRequestRead("a", "k");
        order.onRequestRead("b", "k");
        order.onReadBarrierPassed("k");
        order.onRequestRead("c", "k");
        assertThat(told)
                .containsExactly("free true", "barrier k", "b false", "a true", "barrier k");
        assertThat(order.undelivered()).isEqualTo(1);
    }
}
