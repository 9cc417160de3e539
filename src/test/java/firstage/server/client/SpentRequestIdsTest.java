package firstage.server.client;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.server.Counters;
import org.junit.jupiter.api.Test;

/** Tests which request ids are kept, and how many. */
class SpentRequestIdsTest {
    private static final int LIMIT = 100;

    private final Counters counters = new Counters();
    private final SpentRequestIds ids = new SpentRequestIds(counters, LIMIT);

    private static String id(long number) {
        return String.format("%016x", number);
    }

    @Test
    void add_beyondLimit_forgetsOldest() {
        for (long number = -LIMIT; number < LIMIT; number++) {
            ids.add(id(number), false);
        }
        assertThat(ids.contains(id(-1))).isFalse();
        assertThat(ids.contains(id(0))).isTrue();
        assertThat(ids.contains(id(LIMIT - 1))).isTrue();
        assertThat(counters.sum("request ids forgotten")).isEqualTo(LIMIT);
    }

    @Test
    void add_idsThatMayRunAgain_displaceNoOthers() {
        ids.add(id(1), false);
        for (long number = 1_000; number < 100_000; number++) {
            ids.add(id(number), true);
        }
        assertThat(ids.contains(id(1))).isTrue();
        assertThat(ids.contains(id(1_000))).isFalse();
    }
}
