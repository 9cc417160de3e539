package firstage.simulation;

import firstage.failover.FleetCoordinator;
import firstage.policy.WorkloadScheduler;
import firstage.policy.api.Deployment;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.SchedulingPolicy;
import java.util.List;
import java.util.Locale;

/**
 * The policy that managers run in a simulation: the scheduler, or a textbook baseline.
 *
 * @param name the name by which it was chosen
 * @param baseline the baseline, or null for the scheduler
 * @param capacityFactor the factor by which the scheduler's settings overstate the cores and memory
 *     of engines, which loosens its limits as a wrong setting would
 * @param coordinationDefects the defects to inject into the coordination of the managers, which
 *     runs over links with the plan's delay; null where managers do not know each other
 * @param warmUpBySettings whether cold engines are warmed up by the share of the settings, rather
 *     than by that of the cells
 */
public record PolicyUnderTest(
        String name,
        BaselinePolicy.Kind baseline,
        double capacityFactor,
        FleetCoordinator.InjectedDefects coordinationDefects,
        boolean warmUpBySettings) {
    private static final String SCHEDULER = "scheduler";

    /** Name of {@link #SCHEDULER} in earlier versions, still accepted. */
    private static final String SCHEDULER_ALIAS = "brain";

    private static final String COLD_BY_SETTINGS = ":cold=settings";
    private static final String PEERS = ":peers";
    private static final String BOUNDS = ":bounds=";
    private static final double MAX_CAPACITY_FACTOR = 1_000;

    /**
     * Parses a choice such as {@code scheduler}, {@code scheduler:bounds=4}, {@code random} or
     * {@code round-robin}.
     *
     * @throws InvalidPlanException if there is no such choice; the message lists the valid ones
     */
    public static PolicyUnderTest of(String text) {
        for (String scheduler : List.of(SCHEDULER, SCHEDULER_ALIAS)) {
            if (text.equals(scheduler) || text.startsWith(scheduler + ":")) {
                return scheduler(text, text.substring(scheduler.length()));
            }
        }
        for (BaselinePolicy.Kind kind : BaselinePolicy.Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(text)) {
                return new PolicyUnderTest(text, kind, 1, null, false);
            }
        }
        throw unknown(text);
    }

    private static PolicyUnderTest scheduler(String text, String variant) {
        if (variant.isEmpty()) {
            return new PolicyUnderTest(text, null, 1, null, false);
        }
        if (variant.equals(COLD_BY_SETTINGS)) {
            return new PolicyUnderTest(text, null, 1, null, true);
        }
        if (variant.equals(PEERS)) {
            return new PolicyUnderTest(text, null, 1, FleetCoordinator.InjectedDefects.NONE, false);
        }
        if (variant.startsWith(PEERS + "=")) {
            FleetCoordinator.InjectedDefects defects =
                    FleetCoordinator.InjectedDefects.named(variant.substring(PEERS.length() + 1));
            if (defects != null) {
                return new PolicyUnderTest(text, null, 1, defects, false);
            }
        }
        if (variant.startsWith(BOUNDS)) {
            return new PolicyUnderTest(
                    text,
                    null,
                    capacityFactor(text, variant.substring(BOUNDS.length())),
                    null,
                    false);
        }
        throw unknown(text);
    }

    private static double capacityFactor(String text, String factorText) {
        try {
            double factor = Double.parseDouble(factorText);
            if (factor > 0 && factor <= MAX_CAPACITY_FACTOR) {
                return factor;
            }
        } catch (NumberFormatException exception) {
            // Reported below.
        }
        throw new InvalidPlanException(
                "'"
                        + text
                        + "': bounds takes a number above 0 and up to 1000, such as"
                        + " scheduler:bounds=4");
    }

    private static InvalidPlanException unknown(String text) {
        return new InvalidPlanException(
                "'" + text + "' is not a choice; choices are " + String.join(", ", names()));
    }

    /** Returns the choices that {@link #of} accepts. */
    public static List<String> names() {
        return List.of(
                SCHEDULER,
                SCHEDULER + COLD_BY_SETTINGS,
                SCHEDULER + PEERS,
                SCHEDULER + PEERS + "=FAULT",
                SCHEDULER + BOUNDS + "N",
                "random",
                "round-robin",
                "least-outstanding",
                "two-choices");
    }

    SchedulingPolicy createPolicy(Deployment deployment, PolicyActions actions) {
        return baseline == null
                ? new WorkloadScheduler(deployment, actions)
                : new BaselinePolicy(baseline, deployment, actions);
    }
}
