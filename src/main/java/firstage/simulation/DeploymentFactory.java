package firstage.simulation;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Factory of the deployment that a simulated manager is started with. A deployment contains what
 * the fleet file states, and nothing that a run draws at random.
 */
final class DeploymentFactory {
    private static final double TICKS_PER_SECOND = 10_000;

    private DeploymentFactory() {}

    /**
     * Returns the deployment of one manager.
     *
     * @param rank the manager's number, from 0
     * @param capacityFactor factor by which the deployment overstates the cores and memory of
     *     engines
     */
    static Deployment of(FleetPlan plan, int rank, long seed, double capacityFactor) {
        List<TrafficClass> trafficClasses = new ArrayList<>();
        for (FleetPlan.TrafficClassPlan trafficClass : plan.trafficClasses()) {
            trafficClasses.add(
                    new TrafficClass(
                            trafficClass.latencyObjective(),
                            trafficClass.latencyObjectivePerWork(),
                            trafficClass.timeout(),
                            trafficClass.priorityWeight(),
                            trafficClass.lateValueShare(),
                            trafficClass.effect(),
                            trafficClass.idempotencyScope(),
                            trafficClass.idempotencyWindow(),
                            trafficClass.ordered(),
                            trafficClass.threads(),
                            trafficClass.tableLoad(),
                            trafficClass.blockedByTableLoads(),
                            Set.of(),
                            Set.of()));
        }
        FleetPlan.Engines engines = plan.engines();
        FleetPlan.Managers managers = plan.managers();
        // Tenant rates apply to the whole fleet, of which the plan simulates a part.
        double fleetRate = plan.traffic().rate() * managers.fleetSize() / managers.count();
        double totalShare = plan.tenants().stream().mapToDouble(FleetPlan.TenantPlan::share).sum();
        List<Double> rates =
                plan.tenants().size() < 2
                        ? List.of()
                        : plan.tenants().stream()
                                .map(
                                        tenant ->
                                                fleetRate
                                                        / TICKS_PER_SECOND
                                                        * tenant.share()
                                                        / totalShare)
                                .toList();
        return new Deployment(
                seed,
                managers.fleetSize(),
                rank,
                0,
                trafficClasses,
                List.of(
                        new Deployment.MachineType(
                                (int) Math.round(engines.cores() * capacityFactor),
                                engines.memoryMb() * capacityFactor)),
                rates,
                new Deployment.Capabilities(
                        managers.cancel(),
                        managers.hedging(),
                        true,
                        engines.grants(),
                        engines.priorities(),
                        managers.maxAttempts(),
                        2 * (long) TICKS_PER_SECOND),
                new Deployment.Rules(
                        engines.initialCapacityShare(),
                        Math.round(engines.warmUpDuration().high()),
                        plan.rules().overloadMultiple(),
                        plan.rules().overloadWindow(),
                        plan.rules().keyQuietPeriod(),
                        -1,
                        0,
                        (long) TICKS_PER_SECOND),
                0.4,
                engines.progressInterval(),
                false,
                false,
                managers.probes() ? 0.013 : -1,
                true,
                false);
    }
}
