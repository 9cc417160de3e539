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
    private record Due(long due, int order) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void happensInTheOrderOfAHeap(long seed) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        long start = chance.nextLong(1L << 40);
        EventQueue calendar = new EventQueue(start);
        PriorityQueue<Due> heap =
                new PriorityQueue<>(
                        Comparator.comparingLong(Due::due).thenComparingInt(Due::order));
        List<Due> happened = new ArrayList<>();
        int[] order = {0};
        class Setter {
            void set() {
                long delay =
                        switch (chance.nextInt(6)) {
                            case 0 -> 0;
                            case 1 -> chance.nextLong(20);
                            case 2 -> chance.nextLong(2_000);
                            case 3 -> chance.nextLong(3_000_000);
                            case 4 -> chance.nextLong(1L << 31);
                            default -> chance.nextLong(1L << 33);
                        };
                Due due = new Due(calendar.now() + delay, order[0]++);
                heap.add(due);
                calendar.schedule(
                        delay,
                        () -> {
                            assertThat(calendar.now()).isEqualTo(due.due);
                            happened.add(due);
                            if (order[0] < 5_000) {
                                set();
                                if (chance.nextBoolean()) {
                                    set();
                                }
                            }
                        });
            }
        }
        Setter setter = new Setter();
        for (int i = 0; i < 50; i++) {
            setter.set();
        }
        for (long until = start; calendar.size() > 0; until += chance.nextLong(1L << 31)) {
            calendar.runUntil(until);
            assertThat(calendar.now()).isGreaterThanOrEqualTo(until);
        }
        List<Due> expected = new ArrayList<>();
        while (!heap.isEmpty()) {
            expected.add(heap.poll());
        }
        assertThat(happened).isEqualTo(expected);
    }
}
