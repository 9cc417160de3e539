package firstage.simulation;

import firstage.failover.FleetCoordinator;
import firstage.policy.WorkloadScheduler;
import firstage.policy.api.Deployment;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.SchedulingPolicy;
import java.util.List;
import java.util.Locale;

/**
 * What decides in a run: the real decisions, or a textbook policy. {@code bounds} tells the
 * decisions that each engine has so many times its cores and memory, which opens their bounds as a
 * wrong setting would. {@code peers}, null where there are none: managers know each other, by the
 * truth, tell each other what takes its time on its way, and these faults are put back.
 */
public record PolicyUnderTest(
        String name,
        BaselinePolicy.Kind plain,
        double bounds,
        FleetCoordinator.InjectedDefects peers,
        boolean coldBySettings) {
    private static final String SCHEDULER = "scheduler";

    /** The word of earlier versions for {@link #SCHEDULER}, still understood. */
    private static final String SCHEDULER_ALIAS = "brain";

    private static final String COLD_BY_SETTINGS = ":cold=settings";
    private static final String PEERS = ":peers";
    private static final String BOUNDS = ":bounds=";
    private static final double MAX_BOUNDS = 1_000;

    /**
     * Reads a choice such as {@code scheduler}, {@code scheduler:bounds=4}, {@code random} or
     * {@code round-robin}.
     *
     * @throws InvalidPlanException where there is no such choice; the message names what would do
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
                    text, null, bounds(text, variant.substring(BOUNDS.length())), null, false);
        }
        throw unknown(text);
    }

    private static double bounds(String text, String number) {
        try {
            double bounds = Double.parseDouble(number);
            if (bounds > 0 && bounds <= MAX_BOUNDS) {
                return bounds;
            }
        } catch (NumberFormatException fault) {
            // Told below.
        }
        throw new InvalidPlanException(
                "'" + text + "': bounds takes a number above 0, such as scheduler:bounds=4");
    }

    private static InvalidPlanException unknown(String text) {
        return new InvalidPlanException(
                "'" + text + "' is no choice; there are " + String.join(", ", names()));
    }

    /** The choices that {@link #of} knows. */
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

    SchedulingPolicy start(Deployment deployment, PolicyActions host) {
        return plain == null
                ? new WorkloadScheduler(deployment, host)
                : new BaselinePolicy(plain, deployment, host);
    }
}
