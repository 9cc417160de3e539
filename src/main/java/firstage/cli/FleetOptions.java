package firstage.cli;

import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import firstage.simulation.FleetSimulation;
import firstage.simulation.InvalidPlanException;
import firstage.simulation.PolicyUnderTest;
import firstage.simulation.SimulationResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Options common to the sub-commands of {@code fleet}, and the runs that they describe. */
class FleetOptions {
    @Parameters(index = "0", paramLabel = "FILE", description = "the fleet file")
    private Path file;

    @Option(
            names = "--seeds",
            defaultValue = "8",
            description = "number of runs of each choice (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--seed", defaultValue = "1", description = "the first seed (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "folder for tables (CSV, JSON) and a chart")
    private Path out;

    /** Reads the plan from the file. */
    FleetPlan readPlan() throws IOException {
        if (seeds < 1) {
            throw new InvalidPlanException("--seeds " + seeds + " is out of range; use 1 or more");
        }
        try {
            return FleetPlanReader.read(Files.readString(file));
        } catch (NoSuchFileException exception) {
            throw new InvalidPlanException(file + " does not exist; name a fleet file");
        } catch (InvalidPlanException exception) {
            throw exception.inFile(file.toString());
        }
    }

    /**
     * Simulates each choice with each seed, on all cores. The results are in the order of the
     * choices, and for each choice in the order of the seeds.
     */
    List<SimulationResult> simulate(FleetPlan plan, List<PolicyUnderTest> choices) {
        AtomicInteger finished = new AtomicInteger();
        int runs = seeds * choices.size();
        boolean interactive = System.console() != null;
        return IntStream.range(0, runs)
                .parallel()
                .mapToObj(
                        run -> {
                            SimulationResult result =
                                    FleetSimulation.run(
                                            plan, choices.get(run / seeds), seed + run % seeds);
                            int finishedRuns = finished.incrementAndGet();
                            if (interactive) {
                                System.err.printf("\r%d of %d runs", finishedRuns, runs);
                            }
                            return result;
                        })
                .toList();
    }

    /** Returns the number of runs of each choice. */
    int seeds() {
        return seeds;
    }

    /** Returns the folder for tables and a chart, if any. */
    Optional<Path> out() {
        return Optional.ofNullable(out);
    }

    /** Returns the plan, seeds and version that produced the figures. */
    String origin(FleetPlan plan) {
        return plan.name()
                + ", "
                + file.getFileName()
                + ", seeds "
                + seed
                + " to "
                + (seed + seeds - 1)
                + ", firstage "
                + version();
    }

    private static String version() {
        String version = FleetCommand.class.getPackage().getImplementationVersion();
        return version == null ? "of this tree" : version;
    }
}
