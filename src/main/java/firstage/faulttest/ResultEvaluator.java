package firstage.faulttest;

import firstage.emulator.FaultInjectingProxy;
import firstage.emulator.RealTimeLoop;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlan.Fault;
import firstage.simulation.InvalidPlanException;
import firstage.simulation.Scoreboard;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Computes a run's figures, compares them with the plan's expectations and builds the result. */
final class ResultEvaluator {
    /** Limit of the loop's lateness (99th percentile); a run that exceeds it is void. */
    private static final double MAX_LATENESS_99TH_MS = 25;

    /**
     * Least earned share of the priority weight requested in a second for the second to count as
     * recovered.
     */
    private static final double RECOVERED_SHARE = 0.9;

    private static final int RECOVERED_SECONDS = 3;
    private static final int TICKS_PER_SECOND = 10_000;

    /** Names of the figures computed here, as plans write them in expectations. */
    private static final List<String> FIGURES =
            List.of(
                    "further a first",
                    "retries a batch",
                    "probes an engine and s",
                    "lost",
                    "late",
                    "quiet after s",
                    "processor s a manager",
                    "late 99th ms",
                    "late most ms");

    private final FleetPlan plan;
    private final RunRecorder recorder;
    private final Scoreboard scoreboard;
    private final RealTimeLoop loop;
    private final FaultInjectingProxy proxy;

    ResultEvaluator(
            FleetPlan plan,
            RunRecorder recorder,
            Scoreboard scoreboard,
            RealTimeLoop loop,
            FaultInjectingProxy proxy) {
        this.plan = plan;
        this.recorder = recorder;
        this.scoreboard = scoreboard;
        this.loop = loop;
        this.proxy = proxy;
    }

    /**
     * Checks that a plan has expectations only on figures that a fault test computes.
     *
     * @throws InvalidPlanException if not; its message names the line and the known figures
     */
    static void checkExpectations(FleetPlan plan) {
        List<String> known = new ArrayList<>(new Scoreboard(plan, 0).figures().keySet());
        plan.zones().forEach(zone -> known.add("zone " + zone));
        known.addAll(FIGURES);
        for (FleetPlan.Expectation expectation : plan.expectations()) {
            if (!known.contains(expectation.figure())) {
                throw new InvalidPlanException(
                        expectation.line(),
                        "expect: no figure '"
                                + expectation.figure()
                                + "'; known: "
                                + String.join(", ", known));
            }
        }
    }

    /**
     * Returns the result of the run.
     *
     * @param processorSeconds processor time that all managers used together
     */
    FaultTestResult evaluate(double processorSeconds, List<String> violations) {
        Map<String, Double> figures = figures(processorSeconds);
        return new FaultTestResult(figures, violations, missedExpectations(figures), voidReason());
    }

    private Map<String, Double> figures(double processorSeconds) {
        Map<String, Double> figures = new LinkedHashMap<>(scoreboard.figures());
        for (String zone : plan.zones()) {
            figures.put(
                    "zone " + zone,
                    recorder.sum("earned " + zone) / Math.max(1e-9, recorder.sum("asked " + zone)));
        }
        double firstAttempts = Math.max(1, recorder.sum("first dispatches"));
        double seconds = plan.length() / 1e4;
        figures.put("further a first", recorder.sum("further dispatches") / firstAttempts);
        figures.put(
                "retries a batch",
                recorder.sum("client retries") / Math.max(1, recorder.sum("tries")));
        figures.put(
                "probes an engine and s",
                recorder.sum("probes") / plan.engines().count() / seconds);
        figures.put("lost", recorder.sum("lost"));
        figures.put("late", recorder.sum("late"));
        figures.put("quiet after s", recoverySeconds());
        figures.put("processor s a manager", processorSeconds / plan.managers().count());
        figures.put("late 99th ms", lateness99thMs());
        figures.put("late most ms", loop.latenessHistogram().getMaxValue() / 1e3);
        return figures;
    }

    private List<String> missedExpectations(Map<String, Double> figures) {
        List<String> missed = new ArrayList<>();
        for (FleetPlan.Expectation expectation : plan.expectations()) {
            double value = figures.get(expectation.figure());
            if (value < expectation.min() || value > expectation.max()) {
                missed.add(
                        String.format(
                                Locale.ROOT,
                                "%s is %.4f, expected %s",
                                expectation.figure(),
                                value,
                                value < expectation.min()
                                        ? "at least " + expectation.min()
                                        : "at most " + expectation.max()));
            }
        }
        return missed;
    }

    private Optional<String> voidReason() {
        if (proxy.failure() != null) {
            return Optional.of("the proxy ended: " + proxy.failure());
        }
        double lateness = lateness99thMs();
        return lateness <= MAX_LATENESS_99TH_MS
                ? Optional.empty()
                : Optional.of(
                        String.format(
                                Locale.ROOT,
                                "the emulators were %.0f ms late (99th percentile), at most %.0f"
                                        + " are allowed: run fewer managers, or use a machine with"
                                        + " more free processor time",
                                lateness,
                                MAX_LATENESS_99TH_MS));
    }

    private double lateness99thMs() {
        return loop.latenessHistogram().getValueAtPercentile(99) / 1e3;
    }

    /**
     * Returns the seconds from the last fault's end until three consecutive seconds are recovered;
     * -1 if that never happens, 0 if fewer than three seconds remain.
     */
    private double recoverySeconds() {
        long lastFaultEnd = 0;
        for (Fault fault : plan.faults()) {
            lastFaultEnd =
                    Math.max(
                            lastFaultEnd,
                            fault.interval() > 0 ? plan.length() : fault.at() + fault.length());
        }
        int from = (int) (lastFaultEnd / TICKS_PER_SECOND);
        int last = (int) (plan.length() / TICKS_PER_SECOND);
        for (int second = from; second + RECOVERED_SECONDS <= last; second++) {
            if (isRecoveredFrom(second)) {
                return second - from;
            }
        }
        return from + RECOVERED_SECONDS > last ? 0 : -1;
    }

    private boolean isRecoveredFrom(int first) {
        for (int second = first; second < first + RECOVERED_SECONDS; second++) {
            if (recorder.valueInSecond(second, "earned")
                    < RECOVERED_SHARE * recorder.valueInSecond(second, "asked")) {
                return false;
            }
        }
        return true;
    }
}
