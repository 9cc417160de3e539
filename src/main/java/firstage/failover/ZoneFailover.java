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
 * Decides which zones the fleet uses. Each manager reports for each zone which percentage of the
 * engines that it has observed lately is ejected. A zone that most observers of most other zones
 * report as failed is evacuated by all managers, including those that have not probed its engines
 * themselves. While a zone is evacuated, one probe owner for each of its engines keeps probing that
 * engine. When most of the engines have responded for a while, managers return one after another
 * over the time that engines take to warm up. A zone that fails again stays evacuated for twice as
 * long each time.
 *
 * <p>States of a zone: IN_USE; EVACUATED (only probe owners send to it); RETURNING (managers return
 * one after another, in the order of their rendezvous rank). Invariants, except for an operator's
 * order: where there are more than two zones, a zone is never evacuated on the reports of one other
 * zone alone, since these indicate a broken link between the two; a zone is never evacuated if
 * fewer than a third of all zones would stay in use. A manager that was paused reports nothing
 * until it has new observations. Times are in ticks.
 */
public final class ZoneFailover {
    /** Reported value for a zone that this manager has not observed. */
    public static final int UNKNOWN = 255;

    /**
     * Reported value for a zone that this manager has evacuated and does not probe itself. Managers
     * that still use the zone count it as failed, so that a manager with late observations follows
     * the others.
     */
    private static final int EVACUATED_MARK = 250;

    /**
     * Reported value for a zone that this manager is returning to but has not yet sent to. It
     * counts as healthy, so that all managers start to return together.
     */
    private static final int RETURNING_MARK = 240;

    /** Largest reported percentage; a larger value is UNKNOWN or one of the marks above. */
    private static final int MAX_PERCENT = 100;

    /**
     * Minimum percentage of ejected engines for a zone to count as failed; a release or the loss of
     * a rack ejects fewer.
     */
    private static final int FAILED_PERCENT = 60;

    /**
     * Maximum percentage of ejected engines for a zone to count as healthy; engines that are still
     * ejected are left to outlier detection.
     */
    private static final int HEALTHY_PERCENT = 50;

    /**
     * Minimum number of observed engines for a report: the state of a single engine is no evidence
     * about its zone.
     */
    private static final int MIN_OBSERVED_ENGINES = 2;

    /** Maximum age of an engine's last response for it to count as observed. */
    private static final long MAX_OBSERVATION_AGE = Ticks.ofSeconds(3);

    /** Time in which a typical request returns; a younger attempt is no sign of a failure. */
    private static final long RESPONSE_TIME = Ticks.ofSeconds(2);

    /** Time for which a failure must be reported before the zone is evacuated. */
    private static final long FAILURE_CONFIRMATION = Ticks.ofMillis(500);

    /**
     * Time for which a zone must be healthy before managers return; longer than the healthy phases
     * of a zone that flaps quickly.
     */
    private static final long RECOVERY_CONFIRMATION = Ticks.ofSeconds(2);

    /**
     * Minimum time that a zone stays evacuated after a first failure; doubles with each further
     * failure.
     */
    private static final long FIRST_HOLD_TIME = Ticks.ofSeconds(10);

    /** Maximum time that a zone stays evacuated after repeated failures. */
    private static final long MAX_HOLD_TIME = Ticks.ofSeconds(60);

    /** Time in use after which the next failure counts as the first. */
    private static final long FAILURE_MEMORY = Ticks.ofSeconds(60);

    /**
     * Minimum duration of the return to a zone; the return takes longer if engines take longer to
     * warm up.
     */
    private static final long MIN_RAMP = Ticks.ofSeconds(2);

    /** Interval between two probes of an engine by its probe owner. */
    private static final long PROBE_INTERVAL = Ticks.ofSeconds(2);

    /** Minimum fraction of all zones that stay in use. */
    private static final double MIN_ZONES_IN_USE = 1 / 3.0;

    /**
     * Time between two evaluations above which this manager counts as paused and its observations
     * as out of date.
     */
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
     * Operator's order for a zone: NONE, the zone's health decides; LEAVE, evacuated regardless of
     * its health; HOLD, kept in use regardless of its health. The ordinal is sent to other
     * managers.
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

    /** Reported value for a zone without observations, by its state. */
    private static final Map<State, Integer> REPORT_WITHOUT_OBSERVATION =
            Map.of(
                    State.IN_USE, UNKNOWN,
                    State.EVACUATED, EVACUATED_MARK,
                    State.RETURNING, RETURNING_MARK);

    /** Defects that tests inject one at a time, to prove that the checks detect them. */
    public enum InjectedDefect {
        NONE,
        /** One report of a failure is enough to evacuate a zone. */
        ONE_IS_ENOUGH,
        /** All zones may be evacuated at the same time. */
        ALL_MAY_GO,
        /** All managers return to a zone at once. */
        ALL_AT_ONCE,
        /** A zone that failed has no hold time. */
        NO_HOLD,
        /** Observations from before a pause are reported. */
        STILL_COUNTS,
        /** No manager probes the engines of an evacuated zone. */
        NOBODY_TRIES,
        /** Orders in the rows of managers are ignored. */
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
        private long enteredAt;
        private long failedSince = -1;
        private long healthySince = -1;
        private long holdTime = FIRST_HOLD_TIME;
        private Order order = Order.NONE;

        /**
         * Time of the order by the clock of the manager that received it, in steps of 10 ms; 0 for
         * no order.
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

    /**
     * Creates the failover logic of one manager; all zones are in use at first.
     *
     * @param self name of this manager
     * @param ownZone index of this manager's zone
     * @param warmUpDuration time that engines take to warm up, in ticks
     */
    public ZoneFailover(
            String self,
            int ownZone,
            int zoneCount,
            long warmUpDuration,
            ZoneActions actions,
            InjectedDefect defect) {
        this.self = self;
        this.ownZone = ownZone;
        this.ramp = Math.max(MIN_RAMP, warmUpDuration);
        this.actions = actions;
        this.defect = defect;
        this.zones = new ZoneState[zoneCount];
        Arrays.setAll(this.zones, z -> new ZoneState());
    }

    /** Records the names of the alive managers. */
    public void onViewChanged(List<String> names) {
        view = List.copyOf(names);
    }

    /**
     * Records what this manager observes of an engine: whether it is ejected, when a request was
     * last sent to it and when it last responded.
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

    /** Removes an engine that is no longer in the endpoint list. */
    public void removeEngine(long engine) {
        engines.remove(engine);
    }

    /**
     * Records whether other managers probe this engine because of its own health ({@link
     * firstage.overload.ProbeCoordinator}).
     *
     * @param backoffOver whether the engine may be probed now, without waiting for its backoff
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

    /** Records an operator's order to this manager; it is passed on to all managers. */
    public void setOrder(long now, int zone, Order order) {
        zones[zone].order = order;
        zones[zone].orderedAt = LoadSheddingLevel.timestamp(now);
    }

    /**
     * Returns the known orders, to be sent with the load row, as triples of zone, ordinal of the
     * order, and time.
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

    /**
     * Applies the orders in the rows. For each zone the latest order wins, so that a manager that
     * restarts recovers the order that it had received.
     */
    private void applyOrders(List<LoadRow> rows) {
        for (LoadRow row : rows) {
            for (int i = 0;
                    i + 2 < row.zoneOrders().length && defect != InjectedDefect.ORDER_FORGOTTEN;
                    i += 3) {
                int zone = row.zoneOrders()[i];
                int order = row.zoneOrders()[i + 1];
                int orderedAt = row.zoneOrders()[i + 2];
                boolean valid =
                        zone >= 0
                                && zone < zones.length
                                && order >= 0
                                && order < Order.values().length;
                if (valid
                        && (zones[zone].orderedAt == 0 || orderedAt - zones[zone].orderedAt > 0)) {
                    zones[zone].order = Order.values()[order];
                    zones[zone].orderedAt = orderedAt;
                }
            }
        }
    }

    /**
     * Returns the values that this manager reports: by zone, the percentage of its observed engines
     * that are ejected, or UNKNOWN or a mark if it has not observed enough engines.
     */
    public int[] reportedPercent(long now) {
        detectPause(now);
        int[] ejected = new int[zones.length];
        int[] observed = new int[zones.length];
        int[] total = new int[zones.length];
        engines.forEach(
                (engine, observation) -> {
                    ZoneState zone = zones[observation.zone];
                    // In an evacuated zone, only the engines that this manager probes count.
                    boolean counts = zone.state == State.IN_USE || !observation.avoided;
                    boolean respondedLately =
                            observation.lastResponseAt
                                    > (zone.state == State.IN_USE
                                            ? now - MAX_OBSERVATION_AGE
                                            : zone.enteredAt);
                    boolean isEjected =
                            observation.ejected
                                    && (zone.state != State.RETURNING
                                            || observation.lastAttemptAt > zone.enteredAt
                                                    && now - observation.lastAttemptAt
                                                            > RESPONSE_TIME);
                    total[observation.zone]++;
                    observed[observation.zone] += counts && (isEjected || respondedLately) ? 1 : 0;
                    ejected[observation.zone] += counts && isEjected ? 1 : 0;
                });
        int[] percentByZone = new int[zones.length];
        for (int zone = 0; zone < zones.length; zone++) {
            int minObserved =
                    zones[zone].state == State.EVACUATED
                            ? 1
                            : Math.min(MIN_OBSERVED_ENGINES, total[zone]);
            boolean insufficient =
                    observed[zone] == 0
                            || observed[zone] < minObserved
                            || now < observationsStaleUntil;
            percentByZone[zone] =
                    !insufficient
                            ? MAX_PERCENT * ejected[zone] / observed[zone]
                            : REPORT_WITHOUT_OBSERVATION.get(zones[zone].state);
        }
        return percentByZone;
    }

    /**
     * Detects a pause of this manager: after one, its observations are out of date, and many
     * timeouts have expired at once.
     */
    private void detectPause(long now) {
        if (evaluatedAt >= 0
                && now - evaluatedAt > PAUSE_THRESHOLD
                && defect != InjectedDefect.STILL_COUNTS) {
            observationsStaleUntil = now + MAX_OBSERVATION_AGE;
        }
        evaluatedAt = now;
    }

    private boolean ownsProbe(long engine) {
        return defect != InjectedDefect.NOBODY_TRIES
                && RendezvousHash.countBefore(engine, view, self) == 0;
    }

    /**
     * Decides on all zones. To be called about every 100 ms with all fresh rows, this manager's own
     * included.
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
     * Returns whether most observers of most other zones report the zone as failed. At least two
     * zones have to report it, unless there is only one other zone.
     */
    private boolean failedByReports(int zone, List<LoadRow> rows) {
        // Once the zone is evacuated, only observations count, not the mark of managers that avoid
        // it.
        int countedMark = zones[zone].state == State.IN_USE ? EVACUATED_MARK : MAX_PERCENT;
        int zonesReporting = 0;
        int zonesReportingFailure = 0;
        for (int observerZone = 0; observerZone < zones.length; observerZone++) {
            int observer = observerZone;
            if (observer != zone) {
                int[] reports =
                        rows.stream()
                                .filter(row -> row.zone() == observer)
                                .mapToInt(row -> reportedPercent(row, zone))
                                .filter(percent -> percent <= MAX_PERCENT || percent == countedMark)
                                .toArray();
                long failureReports =
                        Arrays.stream(reports).filter(percent -> percent >= FAILED_PERCENT).count();
                zonesReporting += reports.length > 0 ? 1 : 0;
                zonesReportingFailure +=
                        2 * failureReports > reports.length
                                        || defect == InjectedDefect.ONE_IS_ENOUGH
                                                && failureReports > 0
                                ? 1
                                : 0;
            }
        }
        int minZones = defect == InjectedDefect.ONE_IS_ENOUGH ? 1 : Math.min(2, zones.length - 1);
        return zonesReportingFailure >= minZones
                && (2 * zonesReportingFailure > zonesReporting
                        || defect == InjectedDefect.ONE_IS_ENOUGH);
    }

    private static int reportedPercent(LoadRow row, int zone) {
        return zone < row.ejectedPercent().length ? row.ejectedPercent()[zone] : UNKNOWN;
    }

    /**
     * Returns whether the managers that probe the engines of the zone find most of them healthy.
     */
    private static boolean healthyByReports(int zone, List<LoadRow> rows) {
        int[] reports =
                rows.stream()
                        .mapToInt(row -> reportedPercent(row, zone))
                        .filter(percent -> percent <= MAX_PERCENT || percent == RETURNING_MARK)
                        .map(percent -> percent == RETURNING_MARK ? 0 : percent)
                        .toArray();
        return reports.length > 0
                && Arrays.stream(reports).average().orElse(MAX_PERCENT) <= HEALTHY_PERCENT;
    }

    private void evaluate(long now, int zoneIndex, boolean failed, List<LoadRow> rows) {
        ZoneState zone = zones[zoneIndex];
        boolean healthy = healthyByReports(zoneIndex, rows);
        zone.failedSince = !failed ? -1 : zone.failedSince < 0 ? now : zone.failedSince;
        zone.healthySince = !healthy ? -1 : zone.healthySince < 0 ? now : zone.healthySince;
        boolean inHoldTime =
                now - zone.enteredAt < zone.holdTime && defect != InjectedDefect.NO_HOLD;
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
                                                        && !inHoldTime
                                                ? Event.HEALTHY
                                                : zone.state == State.RETURNING
                                                                && now - zone.enteredAt >= ramp
                                                        ? Event.RAMP_COMPLETE
                                                        : null;
        for (Transition transition : TRANSITIONS) {
            if (transition.state == zone.state && transition.event == event) {
                if (transition.next == State.EVACUATED) {
                    // A zone that fails while managers return, or soon after, is evacuated for
                    // longer.
                    boolean failedAgain =
                            transition.state == State.RETURNING
                                    || zone.enteredAt > 0 && now - zone.enteredAt < FAILURE_MEMORY;
                    zone.holdTime =
                            event == Event.ORDERED
                                    ? 0
                                    : failedAgain
                                            ? Math.min(MAX_HOLD_TIME, 2 * zone.holdTime)
                                            : FIRST_HOLD_TIME;
                }
                zone.state = transition.next;
                zone.enteredAt = now;
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
                                    && now < zone.enteredAt + rampPosition(observation.zone) * ramp
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

    /** Returns the fraction of the ramp, 0 to 1, after which this manager uses the zone again. */
    private double rampPosition(int zone) {
        return (double) RendezvousHash.countBefore(zone, view, self) / Math.max(1, view.size());
    }

    /** Returns the operators' orders in force, by zone. */
    public Map<Integer, Order> activeOrders() {
        Map<Integer, Order> orders = new TreeMap<>();
        for (int zone = 0; zone < zones.length; zone++) {
            if (zones[zone].order != Order.NONE) {
                orders.put(zone, zones[zone].order);
            }
        }
        return orders;
    }

    /** Returns the zones that are evacuated or returning. */
    public List<Integer> evacuatedZones() {
        return IntStream.range(0, zones.length)
                .filter(zone -> zones[zone].state != State.IN_USE)
                .boxed()
                .toList();
    }

    /** Returns this manager's own zone. */
    public int ownZone() {
        return ownZone;
    }
}
