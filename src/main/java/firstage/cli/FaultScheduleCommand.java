package firstage.cli;

import firstage.simulation.schedule.FaultSchedules;
import firstage.simulation.schedule.InjectedDefect;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * {@code fault-schedule FIRST COUNT [DEFECT]}: runs seeded fault schedules and prints which of them
 * violated which rule.
 */
final class FaultScheduleCommand {
    private static final int MAX_BROKEN_SHOWN = 10;
    private static final int BROKEN_STATUS = 1;
    private static final double NANOS_PER_SECOND = 1e9;

    private FaultScheduleCommand() {}

    /**
     * Runs the schedules.
     *
     * @param arguments the first seed, the number of schedules, and the defect to inject, if any
     * @return the exit code: 0 if all rules were kept, 1 if one was violated, 2 if an argument
     *     can't be used
     */
    static int run(List<String> arguments) {
        try {
            return runSchedules(arguments);
        } catch (IllegalArgumentException exception) {
            System.err.println("fault-schedule: " + Main.firstLineOfMessage(exception));
            return Main.INVALID_INPUT_STATUS;
        }
    }

    private static int runSchedules(List<String> arguments) {
        long firstSeed = wholeNumber(arguments.get(0));
        long count = wholeNumber(arguments.get(1));
        if (count < 1) {
            throw new IllegalArgumentException(count + " is not a valid COUNT; use 1 or more");
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
                "%d schedules from seed %d in %.1f s, defect %s: %s%n",
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
        } catch (NumberFormatException exception) {
            throw new IllegalArgumentException(
                    text
                            + " is not a whole number; FIRST is the first seed, COUNT the number of"
                            + " schedules");
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
                                                + " is not a defect; the defects are "
                                                + Arrays.toString(InjectedDefect.values())));
    }
}
