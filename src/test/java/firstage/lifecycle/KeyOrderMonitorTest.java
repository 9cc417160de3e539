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
        watch.told("k", "a");
        watch.told("k", "b");
        assertThat(watch.sent(0, "k", "a")).isTrue();
        watch.ended(10, "k", "a", 0);
        assertThat(watch.sent(11, "k", "a")).as("another try of its own").isTrue();
        watch.ended(20, "k", "a", 0);
        watch.over("k", "a");
        assertThat(watch.sent(21, "k", "b")).isTrue();
    }

    @Test
    void outOfTurnBesideAnotherOrWhileOneMayBeHeldIsFound() {
        watch.told("k", "a");
        watch.told("k", "b");
        assertThat(watch.sent(0, "k", "b")).as("out of turn").isFalse();
        watch.ended(1, "k", "b", 0);
        watch.over("k", "a");
        assertThat(watch.sent(2, "k", "b")).isTrue();
        watch.ended(3, "k", "b", 100);
        watch.over("k", "b");
        watch.told("k", "c");
        assertThat(watch.sent(50, "k", "c")).as("its engine may hold the one before").isFalse();
        watch.ended(51, "k", "c", 0);
        assertThat(watch.sent(103, "k", "c")).isTrue();
        watch.told("k", "d");
        assertThat(watch.sent(104, "k", "d")).as("beside another").isFalse();
    }

    @Test
    void ofTwoThatCameBeforeABarrierOnlyTheFirstIsToldAsKnown() {
        List<String> told = new ArrayList<>();
        ArrivalSequencer<String> order =
                new ArrivalSequencer<>(
                        new ArrivalSequencer.Carrier<>() {
                            @Override
                            public void barrier(Object key) {
                                told.add("barrier " + key);
                            }

                            @Override
                            public void taken(String batch, boolean turnKnown) {
                                told.add(batch + " " + turnKnown);
                            }
                        });
        order.came("free", null);
        order.came("a", "k");
        order.came("b", "k");
        order.passed("k");
        order.came("c", "k");
        assertThat(told)
                .containsExactly("free true", "barrier k", "b false", "a true", "barrier k");
        assertThat(order.unsettled()).isEqualTo(1);
    }
}
