package firstage.cli;

import firstage.simulation.FleetPlan;
import firstage.simulation.InvalidPlanException;
import firstage.simulation.PairedComparison;
import firstage.simulation.PolicyUnderTest;
import firstage.simulation.SimulationResult;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code fleet compare}: simulates two choices and compares them. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description =
                "Simulates two choices with the same seeds and prints which is better, or that the"
                        + " runs do not show it.")
final class FleetCompareCommand extends FleetOptions implements Callable<Integer> {
    private static final int LEFT_BETTER_STATUS = 10;
    private static final int RIGHT_BETTER_STATUS = 11;

    @Option(names = "--left", required = true, description = "one choice")
    private String left;

    @Option(names = "--right", required = true, description = "the other choice")
    private String right;

    @Override
    public Integer call() throws IOException {
        FleetPlan plan = readPlan();
        if (seeds() < 2) {
            throw new InvalidPlanException(
                    "--seeds " + seeds() + " is too few to compare; use 2 or more");
        }
        List<SimulationResult> results =
                simulate(plan, List.of(PolicyUnderTest.of(left), PolicyUnderTest.of(right)));
        PairedComparison comparison =
                new PairedComparison(
                        results.subList(0, seeds()), results.subList(seeds(), 2 * seeds()));
        System.out.println(
                origin(plan) + ": left " + left + ", right " + right + " (engines simulated)");
        FleetTables.print(System.out, comparison);
        if (out().isPresent()) {
            FleetFiles.write(out().get(), origin(plan), results, Optional.of(comparison));
        }
        return switch (comparison.verdict()) {
            case LEFT -> LEFT_BETTER_STATUS;
            case RIGHT -> RIGHT_BETTER_STATUS;
            case NONE -> 0;
            case BROKEN -> FleetCommand.RULE_BROKEN_STATUS;
        };
    }
}
