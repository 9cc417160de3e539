package firstage.simulation.schedule;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.LongStream;

/** Runs many fault schedules on all cores; the same seeds give the same violations. */
public final class FaultSchedules {
    private FaultSchedules() {}

    /**
     * Runs {@code count} schedules with consecutive seeds, beginning with {@code firstSeed}.
     *
     * @return the violations of the schedules that had any, by seed; those of the lowest {@code
     *     maxShown} seeds at most
     */
    public static Map<Long, List<String>> run(
            long firstSeed, long count, InjectedDefect defect, int maxShown) {
        ConcurrentSkipListMap<Long, List<String>> violationsBySeed = new ConcurrentSkipListMap<>();
        LongStream.range(firstSeed, firstSeed + count)
                .parallel()
                .forEach(
                        seed -> {
                            List<String> violations;
                            try {
                                violations = FaultSchedule.run(seed, defect);
                            } catch (RuntimeException exception) {
                                violations =
                                        List.of(
                                                "thrown: "
                                                        + exception
                                                        + " at "
                                                        + exception.getStackTrace()[0]);
                            }
                            if (!violations.isEmpty()) {
                                violationsBySeed.put(seed, violations);
                                if (violationsBySeed.size() > maxShown) {
                                    violationsBySeed.pollLastEntry();
                                }
                            }
                        });
        return new TreeMap<>(violationsBySeed);
    }
}
