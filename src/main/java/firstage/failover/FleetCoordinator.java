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
 * What one manager works out together with the others: who tries a sick engine, the level of
 * shedding, and the zones in use. One piece for all that carry it, so that the fleet model plays
 * what {@code serve} does. Times are tenths of a millisecond.
 */
public final class FleetCoordinator {
    /** Faults put back, one for each part. */
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
         * By its name in lower case with dashes, of the first part that has it; null where none
         * has.
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

    /** Who is here. */
    public void onViewChanged(List<String> names) {
        probes.onViewChanged(names);
        level.onViewChanged(names);
        zones.onViewChanged(names);
    }

    /**
     * How this manager's decisions hold an engine of the list; {@code triedAt}, {@code heardAt}:
     * when a batch last went there, when it last spoke.
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

    /** The engine is off the list. */
    public void removeEngine(long engine) {
        probes.removeEngine(engine);
        zones.removeEngine(engine);
    }

    /**
     * Works all of it out, each tenth of a second or so, from what this manager was asked for and
     * the others told.
     */
    public void evaluate(long now, DemandHistogram demand) {
        probes.evaluate(now);
        level.measure(now, demand);
        level.setZoneObservations(
                zones.ownZone(), zones.reportedPercent(now), zones.ordersToSend());
        level.evaluate(now);
        zones.evaluate(now, level.freshRows(now));
    }

    /** What this manager tells with each message of the membership. */
    public byte[] encodeDigest(long now) {
        List<OverloadDigest.EngineReport> reports = probes.localReports(now);
        return OverloadDigest.encode(
                reports, level.rowsToSend(now, OverloadDigest.rows(reports.size())));
    }

    /** What another told; what can't be read says nothing. */
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

    /** The zones that are left, or on the way back. */
    public List<Integer> evacuatedZones() {
        return zones.evacuatedZones();
    }

    /** How many engines' trials are withheld from this manager. */
    public long withheldProbes() {
        return probes.withheldCount();
    }

    /** The band of worth below which all is refused; 0 where nothing is. */
    public int sheddingThreshold() {
        return level.threshold();
    }
}
