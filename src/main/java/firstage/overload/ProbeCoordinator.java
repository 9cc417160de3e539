package firstage.overload;

import firstage.overload.OverloadDigest.EngineReport;
import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides who probes an unhealthy engine and who avoids it. Where several managers report an engine
 * as ejected, the others avoid it unless they have had a response from it lately. One of those that
 * ejected it, the probe owner by rendezvous hashing (Thaler and Ravishankar 1998), goes on probing
 * it. After a success the others follow in steps, twice as many in each, so that a step that
 * overloads it again affects few. An engine that only one manager has ejected is that manager's own
 * matter: its link is broken, not the engine. Where most engines would be avoided on others'
 * reports, the reports do not count.
 *
 * <p>States of this manager's right to send to an engine: OWN (decided by its own outlier
 * detection); WITHHELD (left to the probe owner); RETURNING (readmitted elsewhere, waits for its
 * step). Invariant: the right is withheld only by reports that are fresh by this manager's own
 * clock; without any it decides alone. Times are in ticks.
 */
public final class ProbeCoordinator {
    /**
     * Managers that have it ejected before it counts as the engine: one or two may share a broken
     * link.
     */
    private static final int REPORTERS_NEEDED = 3;

    /** A report counts at least so long: some probe rounds of a small fleet. */
    private static final long MIN_REPORT_LIFETIME = Ticks.ofSeconds(3);

    /** A report counts so many rounds in which each manager hears each other. */
    private static final double REPORT_PROBE_ROUNDS = 1.5;

    /** Between two probes of an engine by its owner, whatever the fleet. */
    private static final long PROBE_INTERVAL = Ticks.ofSeconds(2);

    /** A response to this manager counts for more than others' reports so long. */
    private static final long RECENT_RESPONSE = Ticks.ofSeconds(2);

    /** Of the engines avoided on others' reports; beyond, it is not the engines. */
    private static final double MAX_AVOIDED_FRACTION = 0.34;

    /** An owner without a request to probe with is passed over after this. */
    private static final long OWNER_IDLE_TIMEOUT = Ticks.ofSeconds(12);

    /** Between steps of the return: a short request has returned by then. */
    private static final long RETURN_STEP = Ticks.ofMillis(250);

    /** After its step a manager goes by its own observations so long. */
    private static final long INDEPENDENT_AFTER_RETURN = Ticks.ofSeconds(5);

    /** A readmission is reported so long: all steps of a large fleet. */
    private static final long READMISSION_REPORTED_FOR = Ticks.ofSeconds(6);

    private enum State {
        OWN,
        WITHHELD,
        RETURNING
    }

    private enum Event {
        PROBED_BY_OTHER,
        PROBE_OWNER,
        NOT_SHARED,
        READMITTED,
        STEP_DUE
    }

    private record Transition(State state, Event event, State next) {}

    /**
     * State, event, next state: whether this manager's right to try an engine is its own, withheld,
     * or due by its step.
     */
    private static final Transition[] TRANSITIONS = {
        new Transition(State.OWN, Event.PROBED_BY_OTHER, State.WITHHELD),
        new Transition(State.WITHHELD, Event.PROBE_OWNER, State.OWN),
        new Transition(State.WITHHELD, Event.NOT_SHARED, State.OWN),
        new Transition(State.WITHHELD, Event.READMITTED, State.RETURNING),
        new Transition(State.RETURNING, Event.PROBED_BY_OTHER, State.WITHHELD),
        new Transition(State.RETURNING, Event.PROBE_OWNER, State.OWN),
        new Transition(State.RETURNING, Event.NOT_SHARED, State.OWN),
        new Transition(State.RETURNING, Event.STEP_DUE, State.OWN),
    };

    /** Defects that tests put in one at a time, to show that they are found. */
    public enum InjectedDefect {
        NONE,
        ALL_OWN,
        WORDS_NEVER_END,
        ALL_AT_ONCE,
        ALONE_IS_SHARED
    }

    private record ReceivedReport(EngineReport report, long receivedAt) {}

    private static final class EngineProbing {
        private State right = State.OWN;
        private boolean ejected;
        private long lastAttemptAt;
        private long lastResponseAt;
        private long readmissionReportedAt = Long.MIN_VALUE / 4;
        private long readmittedAt = Long.MIN_VALUE / 4;
        private long stepAt;
        private long independentUntil;
    }

    private final String self;
    private final ProbeActions actions;
    private final InjectedDefect defect;
    private final Map<Long, EngineProbing> engines = new HashMap<>();
    private final Map<String, Map<Long, ReceivedReport>> reportsByManager = new HashMap<>();
    private final long period;
    private Set<String> view = Set.of();
    private long reportLifetime = MIN_REPORT_LIFETIME;
    private int nextReport;

    /** {@code period}: between two probes of the membership, whose messages carry the reports. */
    public ProbeCoordinator(String self, long period, ProbeActions actions, InjectedDefect defect) {
        this.self = self;
        this.period = period;
        this.actions = actions;
        this.defect = defect;
    }

    /** The alive managers. */
    public void onViewChanged(List<String> names) {
        view = new HashSet<>(names);
        reportsByManager.keySet().retainAll(view);
        reportLifetime =
                Math.max(MIN_REPORT_LIFETIME, (long) (REPORT_PROBE_ROUNDS * names.size() * period));
    }

    /** What another reports now, in place of all that it reported before. */
    public void onReports(long now, String from, List<EngineReport> reports) {
        Map<Long, ReceivedReport> received = new HashMap<>();
        reports.forEach(report -> received.put(report.engine(), new ReceivedReport(report, now)));
        if (received.isEmpty()) {
            reportsByManager.remove(from);
        } else {
            reportsByManager.put(from, received);
        }
    }

    /**
     * What this manager observes of an engine: whether it is ejected, when a request was last sent
     * to it and when it last responded.
     */
    public void updateEngine(
            long now, long engine, boolean ejected, long lastAttemptAt, long lastResponseAt) {
        EngineProbing engineState = engines.computeIfAbsent(engine, e -> new EngineProbing());
        if (engineState.ejected && !ejected) {
            engineState.readmittedAt = now;
            engineState.right = State.OWN;
        }
        engineState.ejected = ejected;
        engineState.lastAttemptAt = Math.max(engineState.lastAttemptAt, lastAttemptAt);
        engineState.lastResponseAt = Math.max(engineState.lastResponseAt, lastResponseAt);
    }

    /** The engine is no longer in the endpoint list. */
    public void removeEngine(long engine) {
        engines.remove(engine);
    }

    /**
     * What this manager reports: the engines it has ejected and those it readmitted lately, by
     * turns where they are many.
     */
    public List<EngineReport> localReports(long now) {
        List<EngineReport> reports = new ArrayList<>();
        engines.forEach(
                (engine, engineState) -> {
                    long readmittedAt =
                            Math.max(engineState.readmittedAt, engineState.readmissionReportedAt);
                    if (engineState.ejected && readmittedAt <= engineState.lastAttemptAt) {
                        reports.add(
                                new EngineReport(
                                        engine,
                                        true,
                                        Math.max(0, now - engineState.lastAttemptAt)));
                    } else if (now - readmittedAt < READMISSION_REPORTED_FOR) {
                        // Passed on by who heard it, too, so that all know in a few rounds.
                        reports.add(new EngineReport(engine, false, now - readmittedAt));
                    }
                });
        reports.sort(Comparator.comparingLong(EngineReport::engine));
        if (reports.size() <= OverloadDigest.MAX_REPORTS) {
            return reports;
        }
        List<EngineReport> selected = new ArrayList<>();
        nextReport = (nextReport + OverloadDigest.MAX_REPORTS) % reports.size();
        for (int i = 0; i < OverloadDigest.MAX_REPORTS; i++) {
            selected.add(reports.get((nextReport + i) % reports.size()));
        }
        return selected;
    }

    private boolean isFresh(long now, ReceivedReport received) {
        return now - received.receivedAt < reportLifetime
                || defect == InjectedDefect.WORDS_NEVER_END;
    }

    /** Decides on all unhealthy engines; to be called each 100 ms or so. */
    public void evaluate(long now) {
        Set<Long> suspects = new HashSet<>();
        engines.forEach(
                (engine, engineState) -> {
                    if (engineState.ejected || engineState.right != State.OWN) {
                        suspects.add(engine);
                    }
                });
        reportsByManager
                .values()
                .forEach(
                        reports ->
                                reports.values().stream()
                                        .filter(received -> received.report.ejected())
                                        .forEach(
                                                received ->
                                                        suspects.add(received.report.engine())));
        suspects.retainAll(engines.keySet());
        long ejectedByOthers =
                suspects.stream()
                        .filter(
                                e ->
                                        !engines.get(e).ejected
                                                && reporters(now, e).size() >= reportersNeeded())
                        .count();
        boolean mostEjected = ejectedByOthers > MAX_AVOIDED_FRACTION * engines.size();
        suspects.forEach(engine -> evaluate(now, engine, engines.get(engine), mostEjected));
    }

    private int reportersNeeded() {
        return Math.max(2, Math.min(REPORTERS_NEEDED, (view.size() + 1) / 2));
    }

    /** Who else has it ejected, by fresh reports. */
    private List<String> reporters(long now, long engine) {
        List<String> reporters = new ArrayList<>();
        reportsByManager.forEach(
                (manager, reports) -> {
                    ReceivedReport received = reports.get(engine);
                    if (received != null && isFresh(now, received) && received.report.ejected()) {
                        reporters.add(manager);
                    }
                });
        return reporters;
    }

    private void evaluate(long now, long engine, EngineProbing engineState, boolean mostEjected) {
        List<String> reporters = reporters(now, engine);
        List<String> probingReporters =
                new ArrayList<>(
                        reporters.stream()
                                .filter(
                                        manager ->
                                                reportsByManager
                                                                        .get(manager)
                                                                        .get(engine)
                                                                        .report
                                                                        .age()
                                                                + now
                                                                - reportsByManager
                                                                        .get(manager)
                                                                        .get(engine)
                                                                        .receivedAt
                                                        < OWNER_IDLE_TIMEOUT)
                                .toList());
        reportsByManager
                .values()
                .forEach(
                        reports -> {
                            ReceivedReport received = reports.get(engine);
                            if (received != null
                                    && isFresh(now, received)
                                    && !received.report.ejected()) {
                                engineState.readmissionReportedAt =
                                        Math.max(
                                                engineState.readmissionReportedAt,
                                                received.receivedAt - received.report.age());
                            }
                        });
        if (engineState.ejected) {
            reporters.add(self);
            if (now - engineState.lastAttemptAt < OWNER_IDLE_TIMEOUT) {
                probingReporters.add(self);
            }
        }
        // Ejected by others only: a recent response to this manager counts for more, and where
        // most engines would be avoided the reports do not count.
        boolean shared =
                now >= engineState.independentUntil
                                && reporters.size() >= reportersNeeded()
                                && (engineState.ejected
                                        || !mostEjected
                                                && now - engineState.lastResponseAt
                                                        > RECENT_RESPONSE)
                        || defect == InjectedDefect.ALONE_IS_SHARED;
        boolean owner =
                engineState.ejected
                        && defect != InjectedDefect.ALONE_IS_SHARED
                        && (defect == InjectedDefect.ALL_OWN
                                || (probingReporters.isEmpty() ? reporters : probingReporters)
                                        .stream()
                                                .max(
                                                        Comparator.comparingLong(
                                                                manager ->
                                                                        RendezvousHash.rank(
                                                                                engine, manager)))
                                                .orElse(self)
                                                .equals(self));
        // A readmission before this manager's last failed attempt says nothing.
        boolean readmitted = engineState.readmissionReportedAt > engineState.lastAttemptAt;
        Event event =
                readmitted && engineState.right != State.OWN
                        ? engineState.right == State.RETURNING && now >= engineState.stepAt
                                ? Event.STEP_DUE
                                : Event.READMITTED
                        : !shared
                                ? Event.NOT_SHARED
                                : owner
                                        ? Event.PROBE_OWNER
                                        : readmitted ? null : Event.PROBED_BY_OTHER;
        for (Transition transition : TRANSITIONS) {
            if (transition.state == engineState.right
                    && transition.event == event
                    && transition.next != engineState.right) {
                engineState.right = transition.next;
                if (engineState.right == State.RETURNING) {
                    // Steps double: step n holds the next 2^n managers in the engine's order.
                    long managersBefore = RendezvousHash.countBefore(engine, view, self);
                    int step =
                            defect == InjectedDefect.ALL_AT_ONCE
                                    ? 0
                                    : Long.SIZE - Long.numberOfLeadingZeros(managersBefore + 1) - 1;
                    engineState.stepAt = now + step * RETURN_STEP;
                }
                // After its step it goes by its own observations: reports of others may be old.
                engineState.independentUntil =
                        event == Event.STEP_DUE
                                ? now + INDEPENDENT_AFTER_RETURN
                                : engineState.independentUntil;
                actions.setProbedByOthers(
                        engine, engineState.right != State.OWN, event == Event.STEP_DUE);
                return;
            }
        }
        if (event == Event.PROBE_OWNER
                && shared
                && now - engineState.lastAttemptAt >= PROBE_INTERVAL) {
            actions.setProbedByOthers(engine, false, true);
        }
    }

    /** How many engines are left to others to probe. */
    public long withheldCount() {
        return engines.values().stream()
                .filter(engineState -> engineState.right != State.OWN)
                .count();
    }
}
