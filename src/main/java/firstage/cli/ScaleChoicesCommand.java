package firstage.cli;

import firstage.scale.DecisionCost;
import firstage.simulation.InvalidPlanException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code scale choices}. */
@Command(
        name = "choices",
        mixinStandardHelpOptions = true,
        description = "Tells what the decisions cost a batch by how many engines a manager knows.")
final class ScaleChoicesCommand implements Callable<Integer> {
    private static final int MAX_COUNT = 10_000;

    @Option(
            names = "--engines",
            split = ",",
            defaultValue = "43,264,430,4300",
            paramLabel = "N",
            description = "engines known (${DEFAULT-VALUE})")
    private List<Integer> engines;

    @Option(
            names = "--managers",
            defaultValue = "160",
            paramLabel = "N",
            description = "over whom an engine is shared (${DEFAULT-VALUE})")
    private int managers;

    @Override
    public Integer call() {
        for (int engineCount : engines) {
            if (isImpossible(engineCount) || isImpossible(managers)) {
                throw new InvalidPlanException(
                        "--engines "
                                + engineCount
                                + ", --managers "
                                + managers
                                + ": one is impossible; 1 to "
                                + MAX_COUNT
                                + " would do");
            }
            System.out.println(DecisionCost.play(engineCount, managers));
        }
        return 0;
    }

    private static boolean isImpossible(int count) {
        return count < 1 || count > MAX_COUNT;
    }
}
