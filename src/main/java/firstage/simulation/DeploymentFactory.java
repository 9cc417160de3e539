package firstage.simulation;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * What a manager of the fleet is told of its deployment: what a fleet file states, nothing that a
 * run drew.
 */
final class DeploymentFactory {
    private static final double SECOND = 10_000;

    private DeploymentFactory() {}

    /** {@code bounds}: engines are told to have so many times their cores and memory. */
    static Deployment of(FleetPlan plan, int rank, long seed, double bounds) {
        List<TrafficClass> groups = new ArrayList<>();
        for (FleetPlan.Group g : plan.groups()) {
            groups.add(
                    new TrafficClass(
                            g.goal(),
                            g.stretch(),
                            g.limit(),
                            g.utility(),
                            g.lateValue(),
                            g.effect(),
                            g.scope(),
                            g.window(),
                            g.ordered(),
                            g.threads(),
                            g.load(),
                            g.yields(),
                            Set.of(),
                            Set.of()));
        }
        FleetPlan.Engines e = plan.engines();
        FleetPlan.Managers m = plan.managers();
        // Customers' rates are of the whole fleet, of which so much is played.
        double mean = plan.traffic().rate() * m.of() / m.count();
        double shares = plan.customers().stream().mapToDouble(FleetPlan.Customer::share).sum();
        List<Double> rates =
                plan.customers().size() < 2
                        ? List.of()
                        : plan.customers().stream()
                                .map(c -> mean / SECOND * c.share() / shares)
                                .toList();
        return new Deployment(
                seed,
                m.of(),
                rank,
                0,
                groups,
                List.of(
                        new Deployment.MachineType(
                                (int) Math.round(e.cores() * bounds), e.memoryMb() * bounds)),
                rates,
                new Deployment.Capabilities(
                        m.callOff(),
                        m.secondCopies(),
                        true,
                        e.grants(),
                        e.priorities(),
                        m.dispatches(),
                        2 * (long) SECOND),
                new Deployment.Rules(
                        e.coldFrom(),
                        Math.round(e.warmAfter().high()),
                        plan.rules().tipMultiple(),
                        plan.rules().fall(),
                        plan.rules().keyRest(),
                        -1,
                        0,
                        (long) SECOND),
                0.4,
                e.notePace(),
                false,
                false,
                m.probes() ? 0.013 : -1,
                true,
                false);
    }
}
