package firstage.failover;

import firstage.overload.LoadSheddingLevel;
import firstage.overload.OverloadDigest;
import firstage.overload.ProbeCoordinator;
import firstage.overload.SheddingActions;
import firstage.policy.api.DemandHistogram;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Decisions that a manager takes together with the others: which manager probes an unhealthy
 * engine, the load-shedding threshold, and the zones in use. The simulation and {@code serve} run
 * the same class. Times are in ticks.
 */
public final class FleetCoordinator {
    /** Defects that tests inject, one for each part. */
    public record InjectedDefects(
            ProbeCoordinator.InjectedDefect probes,
            LoadSheddingLevel.InjectedDefect sheddingLevel,
            ZoneFailover.InjectedDefect zones) {
        public static final InjectedDefects NONE =
                new InjectedDefects(
                        ProbeCoordinator.InjectedDefect.NONE,
                        LoadSheddingLevel.InjectedDefect.NONE,
                        ZoneFailover.InjectedDefect.NONE);

        /**
         * Returns the defects for a name in lower case with dashes, from the first part that has a
         * defect of this name; null for an unknown name.
         */
        public static InjectedDefects named(String name) {
            Stream<InjectedDefects> candidates =
                    Stream.of(
                                    Arrays.stream(ProbeCoordinator.InjectedDefect.values())
                                            .map(
                                                    defect ->
                                                            new InjectedDefects(
                                                                    defect,
                                                                    NONE.sheddingLevel,
                                                                    NONE.zones)),
                                    Arrays.stream(LoadSheddingLevel.InjectedDefect.values())
                                            .map(
                                                    defect ->
                                                            new InjectedDefects(
                                                                    NONE.probes,
                                                                    defect,
                                                                    NONE.zones)),
                                    Arrays.stream(ZoneFailover.InjectedDefect.values())
                                            .map(
                                                    defect ->
                                                            new InjectedDefects(
                                                                    NONE.probes,
                                                                    NONE.sheddingLevel,
                                                                    defect)))
                            .flatMap(part -> part);
            String constantName = name.toUpperCase(Locale.ROOT).replace('-', '_');
            return candidates
                    .filter(
                            defects ->
                                    List.of(
                                                    defects.probes.name(),
                                                    defects.sheddingLevel.name(),
                                                    defects.zones.name())
                                            .contains(constantName))
                    .findFirst()
                    .orElse(null);
        }
    }

    private final ProbeCoordinator probes;
    private final LoadSheddingLevel sheddingLevel;
    private final ZoneFailover zones;

    /**
     * Creates the coordinator of one manager.
     *
     * @param self name of this manager
     * @param zone index of this manager's zone, below {@code zoneCount}
     * @param latencyObjective shortest latency objective of the traffic classes
     * @param warmUpDuration time that engines take to warm up
     * @param probeInterval time between two probes of the membership, which carries the digests
     */
    public FleetCoordinator(
            String self,
            int zone,
            int zoneCount,
            long latencyObjective,
            long warmUpDuration,
            long probeInterval,
            ZoneActions zoneActions,
            SheddingActions sheddingActions,
            InjectedDefects defects) {
        zones = new ZoneFailover(self, zone, zoneCount, warmUpDuration, zoneActions, defects.zones);
        probes =
                new ProbeCoordinator(self, probeInterval, zones::setProbedByOthers, defects.probes);
        sheddingLevel =
                new LoadSheddingLevel(
                        self, latencyObjective, sheddingActions, defects.sheddingLevel);
    }

    /** Records the names of the alive managers. */
    public void onViewChanged(List<String> names) {
        probes.onViewChanged(names);
        sheddingLevel.onViewChanged(names);
        zones.onViewChanged(names);
    }

    /**
     * Records what this manager observes of an engine: whether it is ejected, when a request was
     * last sent to it and when it last responded.
     */
    public void updateEngine(
            long now,
            int zone,
            long engine,
            boolean ejected,
            long lastAttemptAt,
            long lastResponseAt) {
        probes.updateEngine(now, engine, ejected, lastAttemptAt, lastResponseAt);
        zones.updateEngine(zone, engine, ejected, lastAttemptAt, lastResponseAt);
    }

    /** Removes an engine that is no longer in the endpoint list. */
    public void removeEngine(long engine) {
        probes.removeEngine(engine);
        zones.removeEngine(engine);
    }

    /**
     * Evaluates all decisions from this manager's demand and the reports of the others. To be
     * called about every 100 ms.
     */
    public void evaluate(long now, DemandHistogram demand) {
        probes.evaluate(now);
        sheddingLevel.measure(now, demand);
        sheddingLevel.setZoneObservations(
                zones.ownZone(), zones.reportedPercent(now), zones.ordersToSend());
        sheddingLevel.evaluate(now);
        zones.evaluate(now, sheddingLevel.freshRows(now));
    }

    /** Returns the digest that this manager sends with each membership message. */
    public byte[] encodeDigest(long now) {
        List<OverloadDigest.EngineReport> reports = probes.localReports(now);
        return OverloadDigest.encode(
                reports, sheddingLevel.rowsToSend(now, OverloadDigest.maxRows(reports.size())));
    }

    /** Applies the digest of another manager; a digest that can't be read is ignored. */
    public void onDigest(long now, String from, byte[] digest) {
        OverloadDigest.Contents contents = OverloadDigest.decode(digest);
        probes.onReports(now, from, contents.reports());
        sheddingLevel.onRows(now, contents.rows());
    }

    /** Records an operator's order for a zone. */
    public void setZoneOrder(long now, int zone, ZoneFailover.Order order) {
        zones.setOrder(now, zone, order);
    }

    /** Returns the operators' orders in force, by zone. */
    public Map<Integer, ZoneFailover.Order> zoneOrders() {
        return zones.activeOrders();
    }

    /** Returns the zones that are evacuated or returning. */
    public List<Integer> evacuatedZones() {
        return zones.evacuatedZones();
    }

    /** Returns the number of engines whose probes are left to other managers. */
    public long withheldProbes() {
        return probes.withheldCount();
    }

    /** Returns the priority band below which all requests are refused; 0 for none. */
    public int sheddingThreshold() {
        return sheddingLevel.threshold();
    }
}
