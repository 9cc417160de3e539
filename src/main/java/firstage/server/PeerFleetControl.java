package firstage.server;

import firstage.config.ManagerConfig;
import firstage.config.PeerConfig;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.SchedulingPolicy;
import firstage.server.ServerEvents.DiscoveredEndpoint;
import firstage.server.membership.MembershipTransport;
import java.io.IOException;
import java.util.List;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Connects the membership protocol and the scheduler: reports the scheduler's view of the engines
 * to the fleet ten times a second, and passes the quota share, the probe ownership and the shedding
 * threshold from the fleet to the scheduler. Owned by the I/O thread.
 */
final class PeerFleetControl implements FleetControl {
    private static final long REPORT_PERIOD_MS = 100;

    private final TickClock clock;
    private final Counters counters;
    private final SchedulerLoop loop;
    private final EngineDirectory directory;
    private final MembershipTransport membership;
    private double quotaShare;

    PeerFleetControl(
            PeerConfig peers,
            ManagerConfig config,
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            SchedulerLoop loop,
            EngineDirectory directory) {
        this.clock = clock;
        this.counters = counters;
        this.loop = loop;
        this.directory = directory;
        membership =
                new MembershipTransport(
                        peers,
                        config,
                        System.currentTimeMillis(),
                        io,
                        clock,
                        counters,
                        this::onProbeOwnership,
                        this::onSheddingThreshold,
                        released -> directory.update(EndpointUpdate.Kind.DELTA, released, this));
        quotaShare = 1.0 / config.deployment().managers();
    }

    @Override
    public void listen(XnioWorker worker) throws IOException {
        membership.listen(worker);
    }

    @Override
    public void start() {
        membership.start();
        reportToFleet();
    }

    @Override
    public void leave() {
        membership.leave();
    }

    @Override
    public void close() {
        membership.close();
    }

    @Override
    public void updateQuotaShare() {
        if (membership.share() != quotaShare) {
            quotaShare = membership.share();
            loop.scheduler().onQuotaChanged(clock.now(), quotaShare);
        }
    }

    @Override
    public List<DiscoveredEndpoint> usableEndpoints(
            EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints) {
        return membership.usableEndpoints(kind, endpoints);
    }

    @Override
    public double warmUpShare(DiscoveredEndpoint endpoint) {
        return membership.warmUpShare(endpoint);
    }

    @Override
    public void onEngineReleased(long engineId) {
        membership.fleetCoordinator().removeEngine(engineId);
    }

    private void onProbeOwnership(long engineId, boolean probedByOthers, boolean mayProbeNow) {
        counters.count(probedByOthers ? "engines left to a probe owner" : "engines taken back");
        int engine = directory.find(engineId);
        if (engine >= 0) {
            loop.dispatch(
                    "probe ownership",
                    scheduler ->
                            scheduler.onProbeOwnership(
                                    clock.now(), engine, probedByOthers, mayProbeNow));
        }
    }

    private void onSheddingThreshold(long now, int band, double admittedShare) {
        loop.dispatch("cut", scheduler -> scheduler.onSheddingThreshold(now, band, admittedShare));
    }

    private void reportToFleet() {
        SchedulingPolicy scheduler = loop.scheduler();
        directory.forEach(
                engine ->
                        membership
                                .fleetCoordinator()
                                .updateEngine(
                                        clock.now(),
                                        directory.zone(engine),
                                        directory.id(engine),
                                        scheduler.isUnavailable(engine),
                                        scheduler.lastAttemptAt(engine),
                                        scheduler.lastResponseAt(engine)));
        membership.fleetCoordinator().evaluate(clock.now(), scheduler.demand(clock.now()));
        loop.runLater(REPORT_PERIOD_MS, this::reportToFleet);
    }
}
