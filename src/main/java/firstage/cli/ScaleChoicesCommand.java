package firstage.cli;

import firstage.scale.DecisionCost;
import firstage.simulation.InvalidPlanException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code scale choices}: measures the cost of decisions. */
@Command(
        name = "choices",
        mixinStandardHelpOptions = true,
        description =
                "Measures what the decisions on a batch cost, by the number of engines known.")
final class ScaleChoicesCommand implements Callable<Integer> {
    private static final int MAX_COUNT = 10_000;

    @Option(
            names = "--engines",
            split = ",",
            defaultValue = "43,264,430,4300",
            paramLabel = "N",
            description = "numbers of engines that a manager knows (${DEFAULT-VALUE})")
    private List<Integer> engines;

    @Option(
            names = "--managers",
            defaultValue = "160",
            paramLabel = "N",
            description = "number of managers that share an engine (${DEFAULT-VALUE})")
    private int managers;

    @Override
    public Integer call() {
        for (int engineCount : engines) {
            if (isOutOfRange(engineCount) || isOutOfRange(managers)) {
                throw new InvalidPlanException(
                        "--engines "
                                + engineCount
                                + ", --managers "
                                + managers
                                + ": one is out of range; use 1 to "
                                + MAX_COUNT
                                + " for both");
            }
            System.out.println(DecisionCost.measure(engineCount, managers));
        }
        return 0;
    }

    private static boolean isOutOfRange(int count) {
        return count < 1 || count > MAX_COUNT;
    }
}
