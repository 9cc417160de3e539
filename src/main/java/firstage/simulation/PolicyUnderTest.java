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
    private static final String BRAIN = "brain";
    private static final String COLD = BRAIN + ":cold=settings";
    private static final String PEERS = BRAIN + ":peers";

    /**
     * {@code brain}, {@code brain:bounds=4}, {@code random}, {@code round-robin}, ...; a fault
     * names what would do.
     */
    public static PolicyUnderTest of(String text) {
        if (text.equals(BRAIN)) {
            return new PolicyUnderTest(text, null, 1, null, false);
        }
        if (text.equals(COLD)) {
            return new PolicyUnderTest(text, null, 1, null, true);
        }
        if (text.equals(PEERS)) {
            return new PolicyUnderTest(text, null, 1, FleetCoordinator.InjectedDefects.NONE, false);
        }
        if (text.startsWith(PEERS + "=")
                && FleetCoordinator.InjectedDefects.named(text.substring(PEERS.length() + 1))
                        != null) {
            return new PolicyUnderTest(
                    text,
                    null,
                    1,
                    FleetCoordinator.InjectedDefects.named(text.substring(PEERS.length() + 1)),
                    false);
        }
        if (text.startsWith(BRAIN + ":bounds=")) {
            try {
                double bounds = Double.parseDouble(text.substring((BRAIN + ":bounds=").length()));
                if (bounds > 0 && bounds <= 1_000) {
                    return new PolicyUnderTest(text, null, bounds, null, false);
                }
            } catch (NumberFormatException fault) {
                // Told below.
            }
            throw new InvalidPlanException(
                    0, "'" + text + "': bounds takes a number above 0, such as brain:bounds=4");
        }
        for (BaselinePolicy.Kind kind : BaselinePolicy.Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(text)) {
                return new PolicyUnderTest(text, kind, 1, null, false);
            }
        }
        throw new InvalidPlanException(
                0, "'" + text + "' is no choice; there are " + String.join(", ", names()));
    }

    /** What {@link #of} knows. */
    public static List<String> names() {
        return List.of(
                BRAIN,
                COLD,
                PEERS,
                PEERS + "=FAULT",
                BRAIN + ":bounds=N",
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
