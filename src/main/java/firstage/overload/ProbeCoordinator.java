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
 * Decides which managers probe an unhealthy engine and which avoid it. If several managers report
 * an engine as ejected, the other managers avoid it unless it has recently responded to them. Of
 * the managers that ejected the engine, one keeps probing it: the probe owner by rendezvous hashing
 * (Thaler and Ravishankar 1998). After a successful probe the other managers return in steps, each
 * step with twice as many managers as the one before, so that only few are affected if the engine
 * is overloaded again. An engine that only one manager has ejected concerns that manager alone: the
 * link between the two is broken, not the engine. If reports of others would make this manager
 * avoid too many engines, the reports are ignored.
 *
 * <p>States of this manager's right to send to an engine: OWN (decided by its own outlier
 * detection), WITHHELD (probing is left to the probe owner), RETURNING (another manager readmitted
 * the engine; this manager waits for its step). Invariant: only reports that are fresh by this
 * manager's own clock withhold the right; without such reports the manager decides alone. Times are
 * in ticks.
 */
public final class ProbeCoordinator {
    /**
     * Number of managers that must have ejected an engine before the engine counts as faulty, since
     * one or two managers may share a broken link; a small fleet needs fewer.
     */
    private static final int REPORTERS_NEEDED = 3;

    /** Minimum lifetime of a report: several probe rounds of a small fleet. */
    private static final long MIN_REPORT_LIFETIME = Ticks.ofSeconds(3);

    /** Lifetime of a report in probe rounds; a round exchanges messages with every manager. */
    private static final double REPORT_PROBE_ROUNDS = 1.5;

    /** Interval between two probes of an engine by its owner, regardless of the fleet size. */
    private static final long PROBE_INTERVAL = Ticks.ofSeconds(2);

    /** Time for which a response to this manager outweighs the reports of others. */
    private static final long RECENT_RESPONSE = Ticks.ofSeconds(2);

    /**
     * Maximum fraction of engines avoided because of others' reports; if more are reported, the
     * cause is not the engines.
     */
    private static final double MAX_AVOIDED_FRACTION = 0.34;

    /** Time after which an owner that had no request to probe with is skipped. */
    private static final long OWNER_IDLE_TIMEOUT = Ticks.ofSeconds(12);

    /** Interval between two steps of the return, longer than a short request takes. */
    private static final long RETURN_STEP = Ticks.ofMillis(250);

    /** Time for which a manager relies only on its own observations after its step. */
    private static final long INDEPENDENT_AFTER_RETURN = Ticks.ofSeconds(5);

    /** Time for which a readmission is reported: longer than all steps take in a large fleet. */
    private static final long READMISSION_REPORTED_FOR = Ticks.ofSeconds(6);

    private enum State {
        OWN,
        WITHHELD,
        RETURNING
    }

    private enum Event {
        /** Enough managers have ejected the engine, and another manager is the probe owner. */
        PROBED_BY_OTHER,

        /** This manager is the probe owner. */
        PROBE_OWNER,

        /** The reports of others do not apply: this manager decides alone. */
        NOT_SHARED,

        /** Another manager readmitted the engine. */
        READMITTED,

        /** This manager's step of the return is due. */
        STEP_DUE
    }

    private record Transition(State state, Event event, State next) {}

    /**
     * Transitions of this manager's right to send to an engine. A combination of state and event
     * that is not listed changes nothing.
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

    /** Defects that tests inject one at a time, to prove that the checks detect them. */
    public enum InjectedDefect {
        NONE,

        /** Each manager that ejected an engine considers itself its probe owner. */
        ALL_OWN,

        /** Reports never expire. */
        WORDS_NEVER_END,

        /** All managers return in the first step. */
        ALL_AT_ONCE,

        /** The report of a single manager suffices, and no manager owns the probes. */
        ALONE_IS_SHARED
    }

    private record ReceivedReport(EngineReport report, long receivedAt) {}

    private static final class EngineProbing {
        private State sendRight = State.OWN;
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

    /**
     * Creates the coordinator of one manager.
     *
     * @param self name of this manager
     * @param period interval between two probes of the membership, whose messages carry the reports
     */
    public ProbeCoordinator(String self, long period, ProbeActions actions, InjectedDefect defect) {
        this.self = self;
        this.period = period;
        this.actions = actions;
        this.defect = defect;
    }

    /** Sets the names of the alive managers, and drops the reports of all others. */
    public void onViewChanged(List<String> names) {
        view = new HashSet<>(names);
        reportsByManager.keySet().retainAll(view);
        reportLifetime =
                Math.max(MIN_REPORT_LIFETIME, (long) (REPORT_PROBE_ROUNDS * names.size() * period));
    }

    /** Replaces all earlier reports of another manager. */
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
     * Records this manager's observations of an engine.
     *
     * @param ejected whether this manager has ejected the engine
     * @param lastAttemptAt when this manager last sent a request to the engine
     * @param lastResponseAt when the engine last responded to this manager
     */
    public void updateEngine(
            long now, long engine, boolean ejected, long lastAttemptAt, long lastResponseAt) {
        EngineProbing engineState = engines.computeIfAbsent(engine, e -> new EngineProbing());
        if (engineState.ejected && !ejected) {
            engineState.readmittedAt = now;
            engineState.sendRight = State.OWN;
        }
        engineState.ejected = ejected;
        engineState.lastAttemptAt = Math.max(engineState.lastAttemptAt, lastAttemptAt);
        engineState.lastResponseAt = Math.max(engineState.lastResponseAt, lastResponseAt);
    }

    /** Removes an engine that is no longer in the endpoint list. */
    public void removeEngine(long engine) {
        engines.remove(engine);
    }

    /**
     * Returns this manager's reports: the engines that it has ejected and those that were recently
     * readmitted, in turn if there are more than fit into a digest.
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
                        // A manager that learned of a readmission from others reports it, too, so
                        // that all managers know it after a few rounds.
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

    /** Decides who probes each unhealthy engine; to be called about every 100 ms. */
    public void evaluate(long now) {
        Set<Long> suspects = new HashSet<>();
        engines.forEach(
                (engine, engineState) -> {
                    if (engineState.ejected || engineState.sendRight != State.OWN) {
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
                                engine ->
                                        !engines.get(engine).ejected
                                                && reporters(now, engine).size()
                                                        >= reportersNeeded())
                        .count();
        boolean tooManyEjected = ejectedByOthers > MAX_AVOIDED_FRACTION * engines.size();
        suspects.forEach(engine -> evaluate(now, engine, engines.get(engine), tooManyEjected));
    }

    private int reportersNeeded() {
        return Math.max(2, Math.min(REPORTERS_NEEDED, (view.size() + 1) / 2));
    }

    /** Returns the other managers that have ejected the engine, according to fresh reports. */
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

    private void evaluate(
            long now, long engine, EngineProbing engineState, boolean tooManyEjected) {
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
        // If only others have ejected the engine, a recent response to this manager outweighs their
        // reports. The reports are ignored if too many engines would be avoided.
        boolean shared =
                now >= engineState.independentUntil
                                && reporters.size() >= reportersNeeded()
                                && (engineState.ejected
                                        || !tooManyEjected
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
        // A readmission that is older than this manager's last failed attempt is outdated.
        boolean readmitted = engineState.readmissionReportedAt > engineState.lastAttemptAt;
        Event event =
                readmitted && engineState.sendRight != State.OWN
                        ? engineState.sendRight == State.RETURNING && now >= engineState.stepAt
                                ? Event.STEP_DUE
                                : Event.READMITTED
                        : !shared
                                ? Event.NOT_SHARED
                                : owner
                                        ? Event.PROBE_OWNER
                                        : readmitted ? null : Event.PROBED_BY_OTHER;
        for (Transition transition : TRANSITIONS) {
            if (transition.state == engineState.sendRight
                    && transition.event == event
                    && transition.next != engineState.sendRight) {
                engineState.sendRight = transition.next;
                if (engineState.sendRight == State.RETURNING) {
                    // Step n consists of the next 2^n managers in the engine's order.
                    long managersBefore = RendezvousHash.countBefore(engine, view, self);
                    int step =
                            defect == InjectedDefect.ALL_AT_ONCE
                                    ? 0
                                    : Long.SIZE - Long.numberOfLeadingZeros(managersBefore + 1) - 1;
                    engineState.stepAt = now + step * RETURN_STEP;
                }
                // After its step the manager relies on its own observations; reports may be old.
                engineState.independentUntil =
                        event == Event.STEP_DUE
                                ? now + INDEPENDENT_AFTER_RETURN
                                : engineState.independentUntil;
                actions.setProbedByOthers(
                        engine, engineState.sendRight != State.OWN, event == Event.STEP_DUE);
                return;
            }
        }
        if (event == Event.PROBE_OWNER
                && shared
                && now - engineState.lastAttemptAt >= PROBE_INTERVAL) {
            actions.setProbedByOthers(engine, false, true);
        }
    }

    /** Returns the number of engines whose probes are left to other managers. */
    public long withheldCount() {
        return engines.values().stream()
                .filter(engineState -> engineState.sendRight != State.OWN)
                .count();
    }
}
