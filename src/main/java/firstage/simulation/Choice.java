package firstage.simulation;

import firstage.failover.Together;
import firstage.policy.Brain;
import firstage.policy.api.Deployment;
import firstage.policy.api.Host;
import firstage.policy.api.WorkloadManager;
import java.util.List;
import java.util.Locale;

/**
 * What decides in a run: the real decisions, or a textbook policy. {@code bounds} tells the
 * decisions that each engine has so many times its cores and memory, which opens their bounds as a
 * wrong setting would. {@code peers}, null where there are none: managers know each other, by the
 * truth, tell each other what takes its time on its way, and these faults are put back.
 */
public record Choice(
        String name,
        PlainPolicy.Kind plain,
        double bounds,
        Together.Faults peers,
        boolean coldBySettings) {
    private static final String BRAIN = "brain";
    private static final String COLD = BRAIN + ":cold=settings";
    private static final String PEERS = BRAIN + ":peers";

    /**
     * {@code brain}, {@code brain:bounds=4}, {@code random}, {@code round-robin}, ...; a fault
     * names what would do.
     */
    public static Choice of(String text) {
        if (text.equals(BRAIN)) {
            return new Choice(text, null, 1, null, false);
        }
        if (text.equals(COLD)) {
            return new Choice(text, null, 1, null, true);
        }
        if (text.equals(PEERS)) {
            return new Choice(text, null, 1, Together.Faults.NONE, false);
        }
        if (text.startsWith(PEERS + "=")
                && Together.Faults.of(text.substring(PEERS.length() + 1)) != null) {
            return new Choice(
                    text, null, 1, Together.Faults.of(text.substring(PEERS.length() + 1)), false);
        }
        if (text.startsWith(BRAIN + ":bounds=")) {
            try {
                double bounds = Double.parseDouble(text.substring((BRAIN + ":bounds=").length()));
                if (bounds > 0 && bounds <= 1_000) {
                    return new Choice(text, null, bounds, null, false);
                }
            } catch (NumberFormatException fault) {
                // Told below.
            }
            throw new FleetFault(
                    0, "'" + text + "': bounds takes a number above 0, such as brain:bounds=4");
        }
        for (PlainPolicy.Kind kind : PlainPolicy.Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(text)) {
                return new Choice(text, kind, 1, null, false);
            }
        }
        throw new FleetFault(
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

    WorkloadManager start(Deployment deployment, Host host) {
        return plain == null
                ? new Brain(deployment, host)
                : new PlainPolicy(plain, deployment, host);
    }
}
