package firstage.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the order of events with that of a priority queue, over delays from 0 to days. */
class EventQueueTest {
    private record DueEvent(long due, int order) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void eventsRunInTheOrderOfAPriorityQueue(long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        long start = random.nextLong(1L << 40);
        EventQueue events = new EventQueue(start);
        PriorityQueue<DueEvent> expectedQueue =
                new PriorityQueue<>(
                        Comparator.comparingLong(DueEvent::due).thenComparingInt(DueEvent::order));
        List<DueEvent> executed = new ArrayList<>();
        int[] nextOrder = {0};
        class Scheduler {
            void scheduleOne() {
                long delay =
                        switch (random.nextInt(6)) {
                            case 0 -> 0;
                            case 1 -> random.nextLong(20);
                            case 2 -> random.nextLong(2_000);
                            case 3 -> random.nextLong(3_000_000);
                            case 4 -> random.nextLong(1L << 31);
                            default -> random.nextLong(1L << 33);
                        };
                DueEvent due = new DueEvent(events.now() + delay, nextOrder[0]++);
                expectedQueue.add(due);
                events.schedule(
                        delay,
                        () -> {
                            assertThat(events.now()).isEqualTo(due.due);
                            executed.add(due);
                            if (nextOrder[0] < 5_000) {
                                scheduleOne();
                                if (random.nextBoolean()) {
                                    scheduleOne();
                                }
                            }
                        });
            }
        }
        Scheduler scheduler = new Scheduler();
        for (int i = 0; i < 50; i++) {
            scheduler.scheduleOne();
        }
        for (long until = start; events.size() > 0; until += random.nextLong(1L << 31)) {
            events.runUntil(until);
            assertThat(events.now()).isGreaterThanOrEqualTo(until);
        }
        List<DueEvent> expected = new ArrayList<>();
        while (!expectedQueue.isEmpty()) {
            expected.add(expectedQueue.poll());
        }
        assertThat(executed).isEqualTo(expected);
    }
}
