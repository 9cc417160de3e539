package firstage.failover;

import firstage.overload.LoadSheddingLevel;
import firstage.overload.OverloadDigest;
import firstage.overload.ProbeCoordinator;
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
    public record Faults(
            ProbeCoordinator.Fault trials,
            LoadSheddingLevel.Fault level,
            ZoneFailover.Fault zones) {
        public static final Faults NONE =
                new Faults(
                        ProbeCoordinator.Fault.NONE,
                        LoadSheddingLevel.Fault.NONE,
                        ZoneFailover.Fault.NONE);

        /**
         * By its name in lower case with dashes, of the first part that has it; null where none
         * has.
         */
        public static Faults of(String name) {
            Stream<Faults> all =
                    Stream.of(
                                    Arrays.stream(ProbeCoordinator.Fault.values())
                                            .map(f -> new Faults(f, NONE.level, NONE.zones)),
                                    Arrays.stream(LoadSheddingLevel.Fault.values())
                                            .map(f -> new Faults(NONE.trials, f, NONE.zones)),
                                    Arrays.stream(ZoneFailover.Fault.values())
                                            .map(f -> new Faults(NONE.trials, NONE.level, f)))
                            .flatMap(part -> part);
            String word = name.toUpperCase(Locale.ROOT).replace('-', '_');
            return all.filter(
                            f ->
                                    List.of(f.trials.name(), f.level.name(), f.zones.name())
                                            .contains(word))
                    .findFirst()
                    .orElse(null);
        }
    }

    private final ProbeCoordinator trials;
    private final LoadSheddingLevel level;
    private final ZoneFailover zones;

    /**
     * {@code zone}: this manager's, of so many; {@code goal}: the shortest response goal; {@code
     * warm}: how long engines take to warm up; {@code period} between two probes of the membership,
     * which carries the digests.
     */
    public FleetCoordinator(
            String me,
            int zone,
            int zoneCount,
            long goal,
            long warm,
            long period,
            ZoneFailover.Effects away,
            LoadSheddingLevel.Effects cut,
            Faults faults) {
        zones = new ZoneFailover(me, zone, zoneCount, warm, away, faults.zones);
        trials = new ProbeCoordinator(me, period, zones::othersTry, faults.trials);
        level = new LoadSheddingLevel(me, goal, cut, faults.level);
    }

    /** Who is here. */
    public void viewed(List<String> names) {
        trials.viewed(names);
        level.viewed(names);
        zones.viewed(names);
    }

    /**
     * How this manager's decisions hold an engine of the list; {@code triedAt}, {@code heardAt}:
     * when a batch last went there, when it last spoke.
     */
    public void holds(long now, int zone, long engine, boolean closed, long triedAt, long heardAt) {
        trials.holds(now, engine, closed, triedAt, heardAt);
        zones.holds(zone, engine, closed, triedAt, heardAt);
    }

    /** The engine is off the list. */
    public void forget(long engine) {
        trials.forget(engine);
        zones.forget(engine);
    }

    /**
     * Works all of it out, each tenth of a second or so, from what this manager was asked for and
     * the others told.
     */
    public void look(long now, DemandHistogram demand) {
        trials.look(now);
        level.measure(now, demand);
        level.sees(zones.mine(), zones.sees(now), zones.orders());
        level.look(now);
        zones.look(now, level.table(now));
    }

    /** What this manager tells with each message of the membership. */
    public byte[] digest(long now) {
        List<OverloadDigest.Word> words = trials.words(now);
        return OverloadDigest.write(words, level.rows(now, OverloadDigest.rows(words.size())));
    }

    /** What another told; what can't be read says nothing. */
    public void digested(long now, String from, byte[] digest) {
        OverloadDigest.Told told = OverloadDigest.read(digest);
        trials.heard(now, from, told.words());
        level.heard(now, told.rows());
    }

    /** An operator's order on a zone. */
    public void order(long now, int zone, ZoneFailover.Order order) {
        zones.order(now, zone, order);
    }

    /** By zone, what operators want. */
    public Map<Integer, ZoneFailover.Order> ordered() {
        return zones.ordered();
    }

    /** The zones that are left, or on the way back. */
    public List<Integer> zonesOut() {
        return zones.out();
    }

    /** How many engines' trials are withheld from this manager. */
    public long withheld() {
        return trials.withheld();
    }

    /** The band of worth below which all is refused; 0 where nothing is. */
    public int cut() {
        return level.cut();
    }
}
