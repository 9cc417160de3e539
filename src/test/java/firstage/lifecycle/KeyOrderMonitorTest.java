package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the violations that the monitor reports, and the order of arrivals that the sequencer
 * determines.
 */
class KeyOrderMonitorTest {
    private final KeyOrderMonitor monitor = new KeyOrderMonitor();

    @Test
    void attempts_oneAtATimeInOrder_areAllowed() {
        monitor.onRequest("k", "a");
        monitor.onRequest("k", "b");
        assertThat(monitor.onAttemptStarted(0, "k", "a")).isTrue();
        monitor.onAttemptEnded(10, "k", "a", 0);
        assertThat(monitor.onAttemptStarted(11, "k", "a"))
                .as("a retry of the same request")
                .isTrue();
        monitor.onAttemptEnded(20, "k", "a", 0);
        monitor.onRequestEnded("k", "a");
        assertThat(monitor.onAttemptStarted(21, "k", "b")).isTrue();
    }

    @Test
    void attempts_outOfOrderOrBesideAnother_areReported() {
        monitor.onRequest("k", "a");
        monitor.onRequest("k", "b");
        assertThat(monitor.onAttemptStarted(0, "k", "b"))
                .as("sent before an earlier request of its key")
                .isFalse();
        monitor.onAttemptEnded(1, "k", "b", 0);
        monitor.onRequestEnded("k", "a");
        assertThat(monitor.onAttemptStarted(2, "k", "b")).isTrue();
        monitor.onAttemptEnded(3, "k", "b", 100);
        monitor.onRequestEnded("k", "b");
        monitor.onRequest("k", "c");
        assertThat(monitor.onAttemptStarted(50, "k", "c"))
                .as("sent while the engine may still hold the previous request")
                .isFalse();
        monitor.onAttemptEnded(51, "k", "c", 0);
        assertThat(monitor.onAttemptStarted(103, "k", "c")).isTrue();
        monitor.onRequest("k", "d");
        assertThat(monitor.onAttemptStarted(104, "k", "d"))
                .as("sent while another attempt of its key is in flight")
                .isFalse();
    }

    @Test
    void sequencer_twoBeforeBarrier_onlyFirstHasKnownOrder() {
        List<String> effects = new ArrayList<>();
        ArrivalSequencer<String> sequencer =
                new ArrivalSequencer<>(
                        new ArrivalSequencer.ArrivalActions<>() {
                            @Override
                            public void requestReadBarrier(Object key) {
                                effects.add("barrier " + key);
                            }

                            @Override
                            public void deliver(String request, boolean orderKnown) {
                                effects.add(request + " " + orderKnown);
                            }
                        });
        sequencer.onRequestRead("free", null);
        sequencer.onRequestRead("a", "k");
        sequencer.onRequestRead("b", "k");
        sequencer.onReadBarrierPassed("k");
        sequencer.onRequestRead("c", "k");
        assertThat(effects)
                .containsExactly("free true", "barrier k", "b false", "a true", "barrier k");
        assertThat(sequencer.undeliveredCount()).isEqualTo(1);
    }
}
