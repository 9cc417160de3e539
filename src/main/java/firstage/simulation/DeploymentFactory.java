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
        for (FleetPlan.TrafficClassPlan g : plan.trafficClasses()) {
            groups.add(
                    new TrafficClass(
                            g.latencyObjective(),
                            g.latencyObjectivePerWork(),
                            g.timeout(),
                            g.priorityWeight(),
                            g.lateValueShare(),
                            g.effect(),
                            g.idempotencyScope(),
                            g.idempotencyWindow(),
                            g.ordered(),
                            g.threads(),
                            g.tableLoad(),
                            g.blockedByTableLoads(),
                            Set.of(),
                            Set.of()));
        }
        FleetPlan.Engines e = plan.engines();
        FleetPlan.Managers m = plan.managers();
        // Customers' rates are of the whole fleet, of which so much is played.
        double mean = plan.traffic().rate() * m.fleetSize() / m.count();
        double shares = plan.tenants().stream().mapToDouble(FleetPlan.TenantPlan::share).sum();
        List<Double> rates =
                plan.tenants().size() < 2
                        ? List.of()
                        : plan.tenants().stream()
                                .map(c -> mean / SECOND * c.share() / shares)
                                .toList();
        return new Deployment(
                seed,
                m.fleetSize(),
                rank,
                0,
                groups,
                List.of(
                        new Deployment.MachineType(
                                (int) Math.round(e.cores() * bounds), e.memoryMb() * bounds)),
                rates,
                new Deployment.Capabilities(
                        m.cancel(),
                        m.hedging(),
                        true,
                        e.grants(),
                        e.priorities(),
                        m.maxAttempts(),
                        2 * (long) SECOND),
                new Deployment.Rules(
                        e.initialCapacityShare(),
                        Math.round(e.warmUpDuration().high()),
                        plan.rules().overloadMultiple(),
                        plan.rules().overloadWindow(),
                        plan.rules().keyQuietPeriod(),
                        -1,
                        0,
                        (long) SECOND),
                0.4,
                e.progressInterval(),
                false,
                false,
                m.probes() ? 0.013 : -1,
                true,
                false);
    }
}
