package firstage.failover;

import firstage.overload.LoadRow;
import firstage.overload.LoadSheddingLevel;
import firstage.overload.RendezvousHash;
import firstage.util.Ticks;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Which zones the fleet uses. Each manager by itself finds out engine by engine that a zone is
 * gone, by batches that are lost at each, and comes back to all of it the moment the list says so.
 * Here each tells what share of each zone's engines it holds closed, of those it knows of late; a
 * zone that most observers of most other zones hold for bad is left by all, engines it was not
 * tried at included. One manager for each of its engines goes on trying it; when these are well for
 * a while, managers come back one after another over the time that engines take to warm up. A zone
 * that fails again is held out for twice as long each time.
 *
 * <p>A zone is never left by the evidence of one other zone where there are more: that is the way
 * between the two, and each engine's own health deals with it. Nor is one left where too few would
 * stay in use: if all is bad, leaving makes it worse. Who stood still or was cut off has no voice
 * until it looked around again. Times are tenths of a millisecond.
 */
public final class ZoneFailover {
    /** What is told of a zone that one knows nothing of. */
    public static final int UNKNOWN = 255;

    /**
     * Of one that it left, and whose engines others try: so one whose own evidence came too late
     * goes along.
     */
    private static final int EVACUATED = 250;

    /** Of one that it is on its way back to, and has not met yet: so all set out together. */
    private static final int RETURNING = 240;

    private static final int MAX_PERCENT = 100; // per cent: what is told beyond is one of the above
    private static final int FAILED_PERCENT =
            60; // per cent of its known engines closed: a release or a rack is less
    private static final int HEALTHY_PERCENT =
            50; // per cent: those that are closed still are engine health's matter
    private static final int MIN_KNOWN_ENGINES = 2; // engines: one alone tells of itself
    private static final long RECENT =
            Ticks.ofSeconds(3); // since an engine spoke: what is older says nothing of now
    private static final long RESPONSE_TIME =
            Ticks.ofSeconds(
                    2); // within this a usual batch comes back: before, a trial says nothing
    private static final long FAILURE_CONFIRMATION =
            Ticks.ofMillis(500); // a verdict lasts before it is acted on: one late answer passes
    private static final long RECOVERY_CONFIRMATION =
            Ticks.ofSeconds(2); // before the way back: a flap of 3 s does not look like it
    private static final long FIRST_HOLD_TIME =
            Ticks.ofSeconds(10); // out at least: four flaps in two minutes; doubled up to ...
    private static final long MAX_HOLD_TIME =
            Ticks.ofSeconds(60); // ... this: a zone that is well is back within a minute
    private static final long FAILURE_MEMORY =
            Ticks.ofSeconds(60); // in use so long, and the next failure counts as the first
    private static final long MIN_RAMP =
            Ticks.ofSeconds(2); // for the way back; else as long as engines take to warm up
    private static final long PROBE_INTERVAL =
            Ticks.ofSeconds(2); // by an engine's owner: a batch in two seconds, whatever the fleet
    private static final double MIN_ZONES_IN_USE = 1 / 3.0; // of all zones stay in use at least
    private static final long PAUSE_THRESHOLD =
            Ticks.ofSeconds(1); // between two looks: then what is known is old

    private enum State {
        IN_USE,
        EVACUATED,
        RETURNING
    }

    private enum Event {
        FAILED,
        HEALTHY,
        RAMP_COMPLETE,
        ORDERED
    }

    /**
     * What an operator wants of a zone: by its health, out whatever its health, or in whatever it
     * is.
     */
    public enum Order {
        NONE,
        LEAVE,
        HOLD
    }

    private record Transition(State state, Event event, State next) {}

    private static final Transition[] TRANSITIONS = {
        new Transition(State.IN_USE, Event.FAILED, State.EVACUATED),
        new Transition(State.IN_USE, Event.ORDERED, State.EVACUATED),
        new Transition(State.RETURNING, Event.ORDERED, State.EVACUATED),
        new Transition(State.EVACUATED, Event.HEALTHY, State.RETURNING),
        new Transition(State.RETURNING, Event.FAILED, State.EVACUATED),
        new Transition(State.RETURNING, Event.RAMP_COMPLETE, State.IN_USE),
    };

    /** What is told of a zone of which nothing is seen, by its state. */
    private static final Map<State, Integer> REPORT_WITHOUT_OBSERVATION =
            Map.of(State.IN_USE, UNKNOWN, State.EVACUATED, EVACUATED, State.RETURNING, RETURNING);

    /** Faults put back one at a time. */
    public enum InjectedDefect {
        NONE,
        ONE_IS_ENOUGH,
        ALL_MAY_GO,
        ALL_AT_ONCE,
        NO_HOLD,
        STILL_COUNTS,
        NOBODY_TRIES,
        ORDER_FORGOTTEN
    }

    private static final class EngineObservation {
        private final int zone;
        private boolean ejected;
        private long lastAttemptAt;
        private long lastResponseAt;
        private boolean probedByOthers;
        private boolean avoided;

        private EngineObservation(int zone) {
            this.zone = zone;
        }
    }

    private static final class ZoneState {
        private State state = State.IN_USE;
        private long since;
        private long failedSince = -1;
        private long healthySince = -1;
        private long holdTime = FIRST_HOLD_TIME;
        private Order order = Order.NONE;

        /**
         * Of the clock of the manager that was asked, in steps of 10 ms; 0 where nobody ever was.
         */
        private int orderedAt;
    }

    private final String self;
    private final int ownZone;
    private final long ramp;
    private final ZoneActions actions;
    private final InjectedDefect defect;
    private final ZoneState[] zones;
    private final Map<Long, EngineObservation> engines = new HashMap<>();
    private List<String> view = List.of();
    private long evaluatedAt = -1;
    private long observationsStaleUntil = Long.MIN_VALUE / 4;

    /** {@code ownZone}: this manager's zone; {@code warm}: how long engines take to warm up. */
    public ZoneFailover(
            String self,
            int ownZone,
            int zones,
            long warmUpDuration,
            ZoneActions actions,
            InjectedDefect defect) {
        this.self = self;
        this.ownZone = ownZone;
        this.ramp = Math.max(MIN_RAMP, warmUpDuration);
        this.actions = actions;
        this.defect = defect;
        this.zones = new ZoneState[zones];
        Arrays.setAll(this.zones, z -> new ZoneState());
    }

    /** Who is here. */
    public void onViewChanged(List<String> names) {
        view = List.copyOf(names);
    }

    /**
     * How this manager itself holds an engine of the list; {@code lastAttemptAt}, {@code
     * lastResponseAt}: when a batch last went there, when it last spoke.
     */
    public void updateEngine(
            int zone, long engine, boolean ejected, long lastAttemptAt, long lastResponseAt) {
        if (zone >= 0 && zone < zones.length) {
            EngineObservation observation =
                    engines.computeIfAbsent(engine, e -> new EngineObservation(zone));
            observation.ejected = ejected;
            observation.lastAttemptAt = lastAttemptAt;
            observation.lastResponseAt = lastResponseAt;
        }
    }

    /** It is off the list. */
    public void removeEngine(long engine) {
        engines.remove(engine);
    }

    /**
     * The engine by itself is left to others to try, or no longer ({@link
     * firstage.overload.ProbeCoordinator}).
     */
    public void setProbedByOthers(long engine, boolean probedByOthers, boolean backoffOver) {
        EngineObservation observation = engines.get(engine);
        if (observation == null) {
            actions.setAvoided(engine, probedByOthers, backoffOver);
            return;
        }
        observation.probedByOthers = probedByOthers;
        if (zones[observation.zone].state == State.IN_USE) {
            observation.avoided = probedByOthers;
            actions.setAvoided(engine, probedByOthers, backoffOver);
        }
    }

    /** An operator asked this manager; it tells the others, and each that hears it tells it on. */
    public void setOrder(long now, int zone, Order order) {
        zones[zone].order = order;
        zones[zone].orderedAt = LoadSheddingLevel.timestamp(now);
    }

    /**
     * The orders that are known, to be told with the rest; three figures each: zone, order, when.
     */
    public int[] ordersToSend() {
        return IntStream.range(0, zones.length)
                .filter(zone -> zones[zone].orderedAt != 0)
                .flatMap(
                        zone ->
                                IntStream.of(
                                        zone, zones[zone].order.ordinal(), zones[zone].orderedAt))
                .toArray();
    }

    /** The later order counts: so one that was asked and started anew hears its own again. */
    private void applyOrders(List<LoadRow> rows) {
        for (LoadRow row : rows) {
            for (int i = 0;
                    i + 2 < row.zoneOrders().length && defect != InjectedDefect.ORDER_FORGOTTEN;
                    i += 3) {
                int zone = row.zoneOrders()[i];
                int order = row.zoneOrders()[i + 1];
                int orderedAt = row.zoneOrders()[i + 2];
                boolean known =
                        zone >= 0
                                && zone < zones.length
                                && order >= 0
                                && order < Order.values().length;
                if (known
                        && (zones[zone].orderedAt == 0 || orderedAt - zones[zone].orderedAt > 0)) {
                    zones[zone].order = Order.values()[order];
                    zones[zone].orderedAt = orderedAt;
                }
            }
        }
    }

    /**
     * What this manager tells: by zone, per cent of the engines it knows of late that it holds
     * closed.
     */
    public int[] reportedPercent(long now) {
        detectPause(now);
        int[] ejected = new int[zones.length];
        int[] known = new int[zones.length];
        int[] all = new int[zones.length];
        engines.forEach(
                (engine, observation) -> {
                    ZoneState zone = zones[observation.zone];
                    // Of a zone that was left those count that this manager tries, and what came of
                    // it since.
                    boolean counts = zone.state == State.IN_USE || !observation.avoided;
                    boolean respondedLately =
                            observation.lastResponseAt
                                    > (zone.state == State.IN_USE ? now - RECENT : zone.since);
                    boolean isEjected =
                            observation.ejected
                                    && (zone.state != State.RETURNING
                                            || observation.lastAttemptAt > zone.since
                                                    && now - observation.lastAttemptAt
                                                            > RESPONSE_TIME);
                    all[observation.zone]++;
                    known[observation.zone] += counts && (isEjected || respondedLately) ? 1 : 0;
                    ejected[observation.zone] += counts && isEjected ? 1 : 0;
                });
        int[] percentByZone = new int[zones.length];
        for (int z = 0; z < zones.length; z++) {
            int minKnown =
                    zones[z].state == State.EVACUATED ? 1 : Math.min(MIN_KNOWN_ENGINES, all[z]);
            boolean nothingToReport =
                    known[z] == 0 || known[z] < minKnown || now < observationsStaleUntil;
            percentByZone[z] =
                    !nothingToReport
                            ? MAX_PERCENT * ejected[z] / known[z]
                            : REPORT_WITHOUT_OBSERVATION.get(zones[z].state);
        }
        return percentByZone;
    }

    /**
     * Who stood still knows nothing of now: what it holds is from before, or fell due in one
     * instant on waking.
     */
    private void detectPause(long now) {
        if (evaluatedAt >= 0
                && now - evaluatedAt > PAUSE_THRESHOLD
                && defect != InjectedDefect.STILL_COUNTS) {
            observationsStaleUntil = now + RECENT;
        }
        evaluatedAt = now;
    }

    private boolean ownsProbe(long engine) {
        return defect != InjectedDefect.NOBODY_TRIES
                && RendezvousHash.countBefore(engine, view, self) == 0;
    }

    /**
     * Looks at all zones, each tenth of a second or so; {@code rows}: of all that are fresh, its
     * own included.
     */
    public void evaluate(long now, List<LoadRow> rows) {
        detectPause(now);
        applyOrders(rows);
        boolean[] failed = new boolean[zones.length];
        int lostZones = 0;
        for (int zone = 0; zone < zones.length; zone++) {
            failed[zone] = failedByReports(zone, rows);
            lostZones += failed[zone] || zones[zone].state == State.EVACUATED ? 1 : 0;
        }
        boolean tooMany =
                zones.length - lostZones < Math.max(1, MIN_ZONES_IN_USE * zones.length)
                        && defect != InjectedDefect.ALL_MAY_GO;
        for (int zone = 0; zone < zones.length; zone++) {
            evaluate(
                    now,
                    zone,
                    failed[zone]
                            && !(tooMany && zones[zone].state == State.IN_USE)
                            && now >= observationsStaleUntil,
                    rows);
        }
        engines.forEach((engine, observation) -> updateAvoidance(now, engine, observation));
    }

    /**
     * Whether most observers of most other zones, and of two where there are so many, hold it for
     * bad.
     */
    private boolean failedByReports(int zone, List<LoadRow> rows) {
        // Of one that was left only what is seen counts, not who is away.
        int countedMark = zones[zone].state == State.IN_USE ? EVACUATED : MAX_PERCENT;
        int zonesReporting = 0;
        int zonesSayingFailed = 0;
        for (int observerZone = 0; observerZone < zones.length; observerZone++) {
            int observer = observerZone;
            if (observer != zone) {
                int[] reports =
                        rows.stream()
                                .filter(row -> row.zone() == observer)
                                .mapToInt(row -> reportedPercent(row, zone))
                                .filter(percent -> percent <= MAX_PERCENT || percent == countedMark)
                                .toArray();
                long sayingFailed =
                        Arrays.stream(reports).filter(percent -> percent >= FAILED_PERCENT).count();
                zonesReporting += reports.length > 0 ? 1 : 0;
                zonesSayingFailed +=
                        2 * sayingFailed > reports.length
                                        || defect == InjectedDefect.ONE_IS_ENOUGH
                                                && sayingFailed > 0
                                ? 1
                                : 0;
            }
        }
        int needed = defect == InjectedDefect.ONE_IS_ENOUGH ? 1 : Math.min(2, zones.length - 1);
        return zonesSayingFailed >= needed
                && (2 * zonesSayingFailed > zonesReporting
                        || defect == InjectedDefect.ONE_IS_ENOUGH);
    }

    private static int reportedPercent(LoadRow row, int zone) {
        return zone < row.ejectedPercent().length ? row.ejectedPercent()[zone] : UNKNOWN;
    }

    /** Whether those that try its engines find most of them well. */
    private static boolean healthyByReports(int zone, List<LoadRow> rows) {
        int[] reports =
                rows.stream()
                        .mapToInt(row -> reportedPercent(row, zone))
                        .filter(percent -> percent <= MAX_PERCENT || percent == RETURNING)
                        .map(percent -> percent == RETURNING ? 0 : percent)
                        .toArray();
        return reports.length > 0
                && Arrays.stream(reports).average().orElse(MAX_PERCENT) <= HEALTHY_PERCENT;
    }

    private void evaluate(long now, int zoneIndex, boolean failed, List<LoadRow> rows) {
        ZoneState zone = zones[zoneIndex];
        boolean healthy = healthyByReports(zoneIndex, rows);
        zone.failedSince = !failed ? -1 : zone.failedSince < 0 ? now : zone.failedSince;
        zone.healthySince = !healthy ? -1 : zone.healthySince < 0 ? now : zone.healthySince;
        boolean heldOut = now - zone.since < zone.holdTime && defect != InjectedDefect.NO_HOLD;
        Event event =
                zone.order == Order.LEAVE
                        ? Event.ORDERED
                        : zone.order == Order.HOLD && zone.state == State.EVACUATED
                                ? Event.HEALTHY
                                : failed
                                                && now - zone.failedSince >= FAILURE_CONFIRMATION
                                                && zone.order != Order.HOLD
                                        ? Event.FAILED
                                        : zone.state == State.EVACUATED
                                                        && healthy
                                                        && now - zone.healthySince
                                                                >= RECOVERY_CONFIRMATION
                                                        && !heldOut
                                                ? Event.HEALTHY
                                                : zone.state == State.RETURNING
                                                                && now - zone.since >= ramp
                                                        ? Event.RAMP_COMPLETE
                                                        : null;
        for (Transition transition : TRANSITIONS) {
            if (transition.state == zone.state && transition.event == event) {
                if (transition.next == State.EVACUATED) {
                    // Failed on its way back, or soon after: longer out. In use for long, it is
                    // forgiven.
                    boolean failedAgain =
                            transition.state == State.RETURNING
                                    || zone.since > 0 && now - zone.since < FAILURE_MEMORY;
                    zone.holdTime =
                            event == Event.ORDERED
                                    ? 0
                                    : failedAgain
                                            ? Math.min(MAX_HOLD_TIME, 2 * zone.holdTime)
                                            : FIRST_HOLD_TIME;
                }
                zone.state = transition.next;
                zone.since = now;
                zone.failedSince = -1;
                zone.healthySince = -1;
                actions.logZoneState(
                        zoneIndex,
                        transition.next.name().toLowerCase(Locale.ROOT).replace('_', '-'));
                return;
            }
        }
    }

    private void updateAvoidance(long now, long engine, EngineObservation observation) {
        ZoneState zone = zones[observation.zone];
        boolean probeOwner = zone.state != State.IN_USE && ownsProbe(engine);
        boolean avoided =
                switch (zone.state) {
                    case IN_USE -> observation.probedByOthers;
                    case EVACUATED -> !probeOwner;
                    case RETURNING ->
                            !probeOwner
                                    && now < zone.since + rampPosition(observation.zone) * ramp
                                    && defect != InjectedDefect.ALL_AT_ONCE;
                };
        boolean probesNow =
                probeOwner
                        && observation.ejected
                        && now - observation.lastAttemptAt >= PROBE_INTERVAL;
        if (avoided != observation.avoided || probesNow) {
            observation.avoided = avoided;
            actions.setAvoided(
                    engine, avoided, probesNow || !avoided && zone.state == State.RETURNING);
        }
    }

    /** This manager's place on the way back to a zone, from 0 to 1. */
    private double rampPosition(int zone) {
        return (double) RendezvousHash.countBefore(zone, view, self) / Math.max(1, view.size());
    }

    /** By zone, what operators want. */
    public Map<Integer, Order> activeOrders() {
        Map<Integer, Order> orders = new TreeMap<>();
        for (int zone = 0; zone < zones.length; zone++) {
            if (zones[zone].order != Order.NONE) {
                orders.put(zone, zones[zone].order);
            }
        }
        return orders;
    }

    /** The zones that are left, or on the way back. */
    public List<Integer> evacuatedZones() {
        return IntStream.range(0, zones.length)
                .filter(zone -> zones[zone].state != State.IN_USE)
                .boxed()
                .toList();
    }

    /** This manager's own zone. */
    public int ownZone() {
        return ownZone;
    }
}
