package firstage.cli;

import firstage.simulation.schedule.FaultSchedules;
import firstage.simulation.schedule.InjectedDefect;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * {@code fault-schedule FIRST COUNT [DEFECT]}: plays seeded fault schedules, and says which broke
 * what.
 */
final class FaultScheduleCommand {
    private static final int MAX_BROKEN_SHOWN = 10;
    private static final int BROKEN_STATUS = 1;
    private static final double NANOS_PER_SECOND = 1e9;

    private FaultScheduleCommand() {}

    /**
     * Plays the schedules.
     *
     * @param arguments the first seed, the number of schedules, and the defect to inject, if any
     * @return the exit code: 0 where all rules were kept, 1 where one broke, 2 where an argument
     *     can't be used
     */
    static int run(List<String> arguments) {
        try {
            return play(arguments);
        } catch (IllegalArgumentException fault) {
            System.err.println("fault-schedule: " + Main.oneLine(fault));
            return Main.UNUSABLE_STATUS;
        }
    }

    private static int play(List<String> arguments) {
        long firstSeed = wholeNumber(arguments.get(0));
        long count = wholeNumber(arguments.get(1));
        if (count < 1) {
            throw new IllegalArgumentException(
                    count + " schedules prove nothing; 1 or more would do");
        }
        InjectedDefect defect =
                arguments.size() > 2 ? defect(arguments.get(2)) : InjectedDefect.NONE;
        long start = System.nanoTime();
        Map<Long, List<String>> broken =
                FaultSchedules.run(firstSeed, count, defect, MAX_BROKEN_SHOWN);
        broken.forEach(
                (seed, rules) ->
                        System.out.println("seed " + seed + ": " + String.join("; ", rules)));
        System.out.printf(
                "%d schedules from seed %d in %.1f s, fault %s: %s%n",
                count,
                firstSeed,
                (System.nanoTime() - start) / NANOS_PER_SECOND,
                defect,
                broken.isEmpty() ? "all kept" : "broken");
        return broken.isEmpty() ? 0 : BROKEN_STATUS;
    }

    private static long wholeNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException fault) {
            throw new IllegalArgumentException(
                    text + " is no whole number; FIRST and COUNT are seeds and a count");
        }
    }

    private static InjectedDefect defect(String text) {
        return Arrays.stream(InjectedDefect.values())
                .filter(defect -> defect.name().equals(text))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        text
                                                + " is no fault; there are "
                                                + Arrays.toString(InjectedDefect.values())));
    }
}
