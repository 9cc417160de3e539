package firstage.cli;

import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import firstage.simulation.FleetSimulation;
import firstage.simulation.InvalidPlanException;
import firstage.simulation.PairedComparison;
import firstage.simulation.PolicyUnderTest;
import firstage.simulation.SimulationResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code fleet}: plays a modelled fleet, and compares two choices on it. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        subcommands = {FleetCommand.Run.class, FleetCommand.Compare.class},
        description =
                "Plays a modelled fleet in virtual time; docs/operators/fleet.md says how to read"
                        + " it.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done, or no verdict",
            "2:a file or a choice can't be used",
            "3:a rule broke",
            "10:the left choice is better",
            "11:the right choice is better"
        })
final class FleetCommand implements Callable<Integer> {
    private static final int FAULT = 2;
    private static final int BROKEN = 3;
    private static final int LEFT = 10;
    private static final int RIGHT = 11;

    /** Runs it; the exit code tells the verdict. */
    static int run(String[] args) {
        return CommandRunner.run(new FleetCommand(), "fleet", args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return FAULT;
    }

    /** What all of them take. */
    static class Runs {
        @Parameters(index = "0", paramLabel = "FILE", description = "the fleet file")
        private Path file;

        @Option(
                names = "--seeds",
                defaultValue = "8",
                description = "how many runs of each choice (${DEFAULT-VALUE})")
        private int seeds;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "the first seed (${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--out",
                paramLabel = "DIR",
                description = "writes tables (CSV, JSON) and a chart there")
        private Path out;

        FleetPlan plan() throws IOException {
            if (seeds < 1) {
                throw new InvalidPlanException(
                        0, "--seeds " + seeds + " is impossible; 1 or more would do");
            }
            try {
                return FleetPlanReader.read(Files.readString(file));
            } catch (java.nio.file.NoSuchFileException fault) {
                throw new InvalidPlanException(0, file + " does not exist; name a fleet file");
            } catch (InvalidPlanException fault) {
                throw new InvalidPlanException(0, file + ":" + fault.getMessage());
            }
        }

        /** On all cores; in the order of the seeds, choice by choice. */
        List<SimulationResult> play(FleetPlan plan, List<PolicyUnderTest> choices) {
            AtomicInteger done = new AtomicInteger();
            int all = seeds * choices.size();
            boolean shows = System.console() != null;
            return IntStream.range(0, all)
                    .parallel()
                    .mapToObj(
                            i -> {
                                SimulationResult result =
                                        FleetSimulation.play(
                                                plan, choices.get(i / seeds), seed + i % seeds);
                                int n = done.incrementAndGet();
                                if (shows) {
                                    System.err.printf("\r%d of %d runs", n, all);
                                }
                                return result;
                            })
                    .toList();
        }

        int seeds() {
            return seeds;
        }

        Path out() {
            return out;
        }

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

    /** {@code fleet run}. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays one choice and prints its figures.")
    static final class Run extends Runs implements Callable<Integer> {
        @Option(
                names = "--choice",
                defaultValue = "scheduler",
                description = "what decides (${DEFAULT-VALUE})")
        private String choice;

        @Override
        public Integer call() throws IOException {
            FleetPlan plan = plan();
            List<SimulationResult> results = play(plan, List.of(PolicyUnderTest.of(choice)));
            System.out.println(origin(plan) + ", " + choice + " (engines simulated)");
            FleetTables.print(System.out, results);
            if (out() != null) {
                FleetTables.write(out(), origin(plan), results, null);
            }
            return results.stream().allMatch(r -> r.broken().isEmpty()) ? 0 : BROKEN;
        }
    }

    /** {@code fleet compare}. */
    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description =
                    "Plays two choices on the same seeds and says which is better, or that nobody"
                            + " can tell.")
    static final class Compare extends Runs implements Callable<Integer> {
        @Option(names = "--left", required = true, description = "one choice")
        private String left;

        @Option(names = "--right", required = true, description = "the other")
        private String right;

        @Override
        public Integer call() throws IOException {
            FleetPlan plan = plan();
            if (seeds() < 2) {
                throw new InvalidPlanException(
                        0, "--seeds " + seeds() + " is too few to compare; 2 or more would do");
            }
            List<SimulationResult> results =
                    play(plan, List.of(PolicyUnderTest.of(left), PolicyUnderTest.of(right)));
            PairedComparison comparison =
                    new PairedComparison(
                            results.subList(0, seeds()), results.subList(seeds(), 2 * seeds()));
            System.out.println(
                    origin(plan) + ": left " + left + ", right " + right + " (engines simulated)");
            FleetTables.print(System.out, comparison);
            if (out() != null) {
                FleetTables.write(out(), origin(plan), results, comparison);
            }
            return Map.of(
                            PairedComparison.Verdict.LEFT,
                            LEFT,
                            PairedComparison.Verdict.RIGHT,
                            RIGHT,
                            PairedComparison.Verdict.NONE,
                            0,
                            PairedComparison.Verdict.BROKEN,
                            BROKEN)
                    .get(comparison.verdict());
        }
    }
}
