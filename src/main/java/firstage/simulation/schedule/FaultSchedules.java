package firstage.simulation.schedule;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.LongStream;

/** Many schedules, on all cores; the same seeds give the same verdict. */
public final class FaultSchedules {
    private FaultSchedules() {}

    /**
     * Seeds of the schedules that broke something, with what; at most the first {@code show} are
     * kept.
     */
    public static Map<Long, List<String>> play(
            long from, long count, InjectedDefect fault, int show) {
        ConcurrentSkipListMap<Long, List<String>> broken = new ConcurrentSkipListMap<>();
        LongStream.range(from, from + count)
                .parallel()
                .forEach(
                        seed -> {
                            List<String> what;
                            try {
                                what = FaultSchedule.play(seed, fault);
                            } catch (RuntimeException thrown) {
                                what =
                                        List.of(
                                                "thrown: "
                                                        + thrown
                                                        + " at "
                                                        + thrown.getStackTrace()[0]);
                            }
                            if (!what.isEmpty()) {
                                broken.put(seed, what);
                                if (broken.size() > show) {
                                    broken.pollLastEntry();
                                }
                            }
                        });
        return new TreeMap<>(broken);
    }
}
