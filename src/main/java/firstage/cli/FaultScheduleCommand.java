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
    private static final int SHOWN = 10;

    private FaultScheduleCommand() {}

    /** The exit code: 0 where nothing broke, 1 where something did. */
    static int run(List<String> args) {
        long from = whole(args.get(0));
        long count = whole(args.get(1));
        if (count < 1) {
            throw new IllegalArgumentException(
                    count + " schedules prove nothing; 1 or more would do");
        }
        InjectedDefect fault = args.size() > 2 ? fault(args.get(2)) : InjectedDefect.NONE;
        long start = System.nanoTime();
        Map<Long, List<String>> broken = FaultSchedules.play(from, count, fault, SHOWN);
        broken.forEach(
                (seed, what) ->
                        System.out.println("seed " + seed + ": " + String.join("; ", what)));
        System.out.printf(
                "%d schedules from seed %d in %.1f s, fault %s: %s%n",
                count,
                from,
                (System.nanoTime() - start) / 1e9,
                fault,
                broken.isEmpty() ? "all kept" : "broken");
        return broken.isEmpty() ? 0 : 1;
    }

    private static long whole(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException fault) {
            throw new IllegalArgumentException(
                    text + " is no whole number; FIRST and COUNT are seeds and a count");
        }
    }

    private static InjectedDefect fault(String text) {
        return Arrays.stream(InjectedDefect.values())
                .filter(f -> f.name().equals(text))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        text
                                                + " is no fault; there are "
                                                + Arrays.toString(InjectedDefect.values())));
    }
}
