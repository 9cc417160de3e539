package firstage.cli;

import firstage.simulation.FleetPlan;
import firstage.simulation.PolicyUnderTest;
import firstage.simulation.SimulationResult;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code fleet run}: simulates one choice. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Simulates one choice and prints its figures.")
final class FleetRunCommand extends FleetOptions implements Callable<Integer> {
    @Option(
            names = "--choice",
            defaultValue = "scheduler",
            description = "the policy that decides (${DEFAULT-VALUE})")
    private String choice;

    @Override
    public Integer call() throws IOException {
        FleetPlan plan = readPlan();
        List<SimulationResult> results = simulate(plan, List.of(PolicyUnderTest.of(choice)));
        System.out.println(origin(plan) + ", " + choice + " (engines simulated)");
        FleetTables.print(System.out, results);
        if (out().isPresent()) {
            FleetFiles.write(out().get(), origin(plan), results, Optional.empty());
        }
        boolean rulesKept = results.stream().allMatch(result -> result.violations().isEmpty());
        return rulesKept ? 0 : FleetCommand.RULE_BROKEN_STATUS;
    }
}
