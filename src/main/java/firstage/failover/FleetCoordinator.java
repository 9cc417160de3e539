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
 * What one manager decides together with the others: who probes an unhealthy engine, the
 * load-shedding threshold, and the zones in use. The simulation runs the same class as {@code
 * serve}. Times are in ticks.
 */
public final class FleetCoordinator {
    /** Defects that tests put in, one for each part. */
    public record InjectedDefects(
            ProbeCoordinator.InjectedDefect probes,
            LoadSheddingLevel.InjectedDefect level,
            ZoneFailover.InjectedDefect zones) {
        public static final InjectedDefects NONE =
                new InjectedDefects(
                        ProbeCoordinator.InjectedDefect.NONE,
                        LoadSheddingLevel.InjectedDefect.NONE,
                        ZoneFailover.InjectedDefect.NONE);

        /**
         * By its name in lower case with dashes, of the first part that has it; null for an unknown
         * name.
         */
        public static InjectedDefects named(String name) {
            Stream<InjectedDefects> all =
                    Stream.of(
                                    Arrays.stream(ProbeCoordinator.InjectedDefect.values())
                                            .map(
                                                    defects ->
                                                            new InjectedDefects(
                                                                    defects,
                                                                    NONE.level,
                                                                    NONE.zones)),
                                    Arrays.stream(LoadSheddingLevel.InjectedDefect.values())
                                            .map(
                                                    defects ->
                                                            new InjectedDefects(
                                                                    NONE.probes,
                                                                    defects,
                                                                    NONE.zones)),
                                    Arrays.stream(ZoneFailover.InjectedDefect.values())
                                            .map(
                                                    defects ->
                                                            new InjectedDefects(
                                                                    NONE.probes,
                                                                    NONE.level,
                                                                    defects)))
                            .flatMap(part -> part);
            String word = name.toUpperCase(Locale.ROOT).replace('-', '_');
            return all.filter(
                            defects ->
                                    List.of(
                                                    defects.probes.name(),
                                                    defects.level.name(),
                                                    defects.zones.name())
                                            .contains(word))
                    .findFirst()
                    .orElse(null);
        }
    }

    private final ProbeCoordinator probes;
    private final LoadSheddingLevel level;
    private final ZoneFailover zones;

    /**
     * {@code zone}: this manager's, of so many; {@code goal}: the shortest response goal; {@code
     * warm}: how long engines take to warm up; {@code period} between two probes of the membership,
     * which carries the digests.
     */
    public FleetCoordinator(
            String self,
            int zone,
            int zoneCount,
            long latencyObjective,
            long warmUpDuration,
            long period,
            ZoneActions zoneActions,
            SheddingActions sheddingActions,
            InjectedDefects defects) {
        zones = new ZoneFailover(self, zone, zoneCount, warmUpDuration, zoneActions, defects.zones);
        probes = new ProbeCoordinator(self, period, zones::setProbedByOthers, defects.probes);
        level = new LoadSheddingLevel(self, latencyObjective, sheddingActions, defects.level);
    }

    /** The alive managers. */
    public void onViewChanged(List<String> names) {
        probes.onViewChanged(names);
        level.onViewChanged(names);
        zones.onViewChanged(names);
    }

    /**
     * What this manager observes of an engine: whether it is ejected, when a request was last sent
     * to it and when it last responded.
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

    /** The engine is no longer in the endpoint list. */
    public void removeEngine(long engine) {
        probes.removeEngine(engine);
        zones.removeEngine(engine);
    }

    /**
     * Decides anew, to be called each 100 ms or so, from this manager's demand and what the others
     * reported.
     */
    public void evaluate(long now, DemandHistogram demand) {
        probes.evaluate(now);
        level.measure(now, demand);
        level.setZoneObservations(
                zones.ownZone(), zones.reportedPercent(now), zones.ordersToSend());
        level.evaluate(now);
        zones.evaluate(now, level.freshRows(now));
    }

    /** What this manager sends with each membership message. */
    public byte[] encodeDigest(long now) {
        List<OverloadDigest.EngineReport> reports = probes.localReports(now);
        return OverloadDigest.encode(
                reports, level.rowsToSend(now, OverloadDigest.rows(reports.size())));
    }

    /** What another sent; bytes that can't be read are dropped. */
    public void onDigest(long now, String from, byte[] digest) {
        OverloadDigest.Contents contents = OverloadDigest.decode(digest);
        probes.onReports(now, from, contents.reports());
        level.onRows(now, contents.rows());
    }

    /** An operator's order on a zone. */
    public void setZoneOrder(long now, int zone, ZoneFailover.Order order) {
        zones.setOrder(now, zone, order);
    }

    /** By zone, what operators want. */
    public Map<Integer, ZoneFailover.Order> zoneOrders() {
        return zones.activeOrders();
    }

    /** The zones that are evacuated or on the return. */
    public List<Integer> evacuatedZones() {
        return zones.evacuatedZones();
    }

    /** How many engines are left to others to probe. */
    public long withheldProbes() {
        return probes.withheldCount();
    }

    /** The priority band below which all requests are refused; 0 for none. */
    public int sheddingThreshold() {
        return level.threshold();
    }
}
