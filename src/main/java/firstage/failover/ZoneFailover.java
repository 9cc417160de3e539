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
 * Decides which zones the fleet uses. Each manager reports, by zone, the percentage of the engines
 * it has observed lately that it has ejected. A zone that most observers of most other zones report
 * as failed is evacuated by all managers, including engines that they have not probed. Meanwhile
 * one probe owner for each engine goes on probing it. When most of them respond for a while,
 * managers return one after another over the time that engines take to warm up. A zone that fails
 * again stays evacuated for twice as long each time.
 *
 * <p>States of a zone: IN_USE; EVACUATED (only probe owners send to it); RETURNING (managers come
 * back by rendezvous rank along a ramp). Invariants: a zone is never evacuated on the reports of
 * one other zone alone where there are more, since that is a broken link between the two; nor where
 * fewer than a third of all zones would stay in use. A manager that was paused reports nothing
 * until it has observed anew. Times are in ticks.
 */
public final class ZoneFailover {
    /** Report on a zone of which this manager has no observation. */
    public static final int UNKNOWN = 255;

    /**
     * Report on a zone that this manager has evacuated and does not probe itself: one whose own
     * observations came late follows.
     */
    private static final int EVACUATED = 250;

    /**
     * Report on a zone that this manager is returning to and has not reached yet: so all start
     * together.
     */
    private static final int RETURNING = 240;

    /** Reports above are one of the marks above. */
    private static final int MAX_PERCENT = 100;

    /** Of a zone's known engines ejected: a release or a rack is less. */
    private static final int FAILED_PERCENT = 60;

    /** Up to this: the engines still ejected are left to outlier detection. */
    private static final int HEALTHY_PERCENT = 50;

    /** One engine alone says nothing of its zone. */
    private static final int MIN_KNOWN_ENGINES = 2;

    /** An engine's last response counts so long. */
    private static final long RECENT = Ticks.ofSeconds(3);

    /** A usual request has returned by then; before, an attempt says nothing. */
    private static final long RESPONSE_TIME = Ticks.ofSeconds(2);

    /** A failure is reported so long before the zone is evacuated. */
    private static final long FAILURE_CONFIRMATION = Ticks.ofMillis(500);

    /** A zone is healthy so long before managers return: longer than a short flap looks healthy. */
    private static final long RECOVERY_CONFIRMATION = Ticks.ofSeconds(2);

    /** Evacuated at least so long the first time; doubled with each failure. */
    private static final long FIRST_HOLD_TIME = Ticks.ofSeconds(10);

    /** The hold time grows up to this. */
    private static final long MAX_HOLD_TIME = Ticks.ofSeconds(60);

    /** In use so long, and the next failure counts as the first. */
    private static final long FAILURE_MEMORY = Ticks.ofSeconds(60);

    /** The return takes at least so long; else as long as engines take to warm up. */
    private static final long MIN_RAMP = Ticks.ofSeconds(2);

    /** Between two probes of an engine by its owner. */
    private static final long PROBE_INTERVAL = Ticks.ofSeconds(2);

    /** Of all zones stay in use at least. */
    private static final double MIN_ZONES_IN_USE = 1 / 3.0;

    /** Between two evaluations: after more, observations are out of date. */
    private static final long PAUSE_THRESHOLD = Ticks.ofSeconds(1);

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
     * What an operator wants of a zone: NONE, decided by its health; LEAVE, evacuated whatever its
     * health; HOLD, in use whatever its health. The ordinal is sent to other managers.
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

    /** What is reported of a zone without observations, by its state. */
    private static final Map<State, Integer> REPORT_WITHOUT_OBSERVATION =
            Map.of(State.IN_USE, UNKNOWN, State.EVACUATED, EVACUATED, State.RETURNING, RETURNING);

    /** Defects that tests put in one at a time, to show that they are found. */
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

        /** When, by the clock of the manager that was asked, in steps of 10 ms; 0 for no order. */
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

    /**
     * {@code ownZone}: this manager's zone; {@code warmUpDuration}: how long engines take to warm
     * up, in ticks.
     */
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

    /** The alive managers. */
    public void onViewChanged(List<String> names) {
        view = List.copyOf(names);
    }

    /**
     * What this manager observes of an engine: whether it is ejected, when a request was last sent
     * to it and when it last responded.
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

    /** The engine is no longer in the endpoint list. */
    public void removeEngine(long engine) {
        engines.remove(engine);
    }

    /**
     * Whether others probe this engine on account of its own health ({@link
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

    /** An operator's order to this manager; it is passed on to all. */
    public void setOrder(long now, int zone, Order order) {
        zones[zone].order = order;
        zones[zone].orderedAt = LoadSheddingLevel.timestamp(now);
    }

    /** The known orders, to be sent with the load row: zone, order and time of each. */
    public int[] ordersToSend() {
        return IntStream.range(0, zones.length)
                .filter(zone -> zones[zone].orderedAt != 0)
                .flatMap(
                        zone ->
                                IntStream.of(
                                        zone, zones[zone].order.ordinal(), zones[zone].orderedAt))
                .toArray();
    }

    /** The later order counts, so a manager that restarts learns its own order again. */
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
     * What this manager reports: by zone, the percentage of its known engines that are ejected, or
     * a mark.
     */
    public int[] reportedPercent(long now) {
        detectPause(now);
        int[] ejected = new int[zones.length];
        int[] known = new int[zones.length];
        int[] all = new int[zones.length];
        engines.forEach(
                (engine, observation) -> {
                    ZoneState zone = zones[observation.zone];
                    // Of an evacuated zone only the engines that this manager probes count.
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

    /** After a pause observations are out of date, and timeouts came due all at once. */
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
     * Decides on all zones; to be called each 100 ms or so with all fresh rows, its own included.
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
     * Whether most observers of most other zones, and of two where there are so many, report it as
     * failed.
     */
    private boolean failedByReports(int zone, List<LoadRow> rows) {
        // Of an evacuated zone only observations count, not the mark of those who avoid it.
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

    /** Whether those that probe its engines find most of them healthy. */
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
                    // Failed while returning, or soon after: evacuated longer.
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

    /** This manager's position on the return to a zone, from 0 to 1. */
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

    /** The zones that are evacuated or on the return. */
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
