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
    public static Map<Long, List<String>> run(
            long firstSeed, long count, InjectedDefect defect, int maxShown) {
        ConcurrentSkipListMap<Long, List<String>> findings = new ConcurrentSkipListMap<>();
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
                                findings.put(seed, violations);
                                if (findings.size() > maxShown) {
                                    findings.pollLastEntry();
                                }
                            }
                        });
        return new TreeMap<>(findings);
    }
}
