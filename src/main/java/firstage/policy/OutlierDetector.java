package firstage.policy;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.state.EngineHealth;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.util.Ticks;
import java.util.Map;

/**
 * The health of engines, as a circuit breaker with the states of {@link EngineHealth}: an engine is
 * ejected by what it shows, is half-open after a backoff that doubles, and available again after a
 * success. Invariant: a half-open engine gets one idempotent request at a time, its probe.
 */
final class OutlierDetector {
    /** Before the first probe of an ejected engine; doubled each time. */
    static final long INITIAL_BACKOFF = Ticks.ofSeconds(1);

    private static final long MAX_BACKOFF = Ticks.ofSeconds(8);

    /** These eject an engine: one request may fail, not three. */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    /** What an event shows of an engine. */
    enum Signal {
        SUCCESS,
        PROGRESS,
        REFUSAL,
        UNREACHABLE,
        CONNECTION_BROKEN,
        SILENCE,
        BACKOFF_OVER,
        RESTARTED
    }

    private enum Action {
        NONE,
        START_BACKOFF,
        RESET_BACKOFF
    }

    private record Transition(
            EngineHealth state, Signal signal, EngineHealth next, Action action) {}

    /** State (null: any), signal, next state, action; without effect where the state stays. */
    private static final Transition[] TRANSITIONS = {
        new Transition(null, Signal.SUCCESS, EngineHealth.AVAILABLE, Action.RESET_BACKOFF),
        new Transition(null, Signal.RESTARTED, EngineHealth.AVAILABLE, Action.RESET_BACKOFF),
        new Transition(null, Signal.REFUSAL, EngineHealth.REFUSING, Action.START_BACKOFF),
        new Transition(null, Signal.UNREACHABLE, EngineHealth.UNAVAILABLE, Action.START_BACKOFF),
        new Transition(
                null, Signal.CONNECTION_BROKEN, EngineHealth.UNAVAILABLE, Action.START_BACKOFF),
        new Transition(null, Signal.SILENCE, EngineHealth.UNRESPONSIVE, Action.START_BACKOFF),
        new Transition(
                EngineHealth.UNRESPONSIVE, Signal.PROGRESS, EngineHealth.HALF_OPEN, Action.NONE),
        new Transition(null, Signal.BACKOFF_OVER, EngineHealth.HALF_OPEN, Action.NONE),
    };

    /** What outcomes show; a time-out, a cancellation and what was not sent show nothing. */
    private static final Map<AttemptOutcome, Signal> SIGNALS =
            Map.of(
                    AttemptOutcome.SUCCEEDED,
                    Signal.SUCCESS,
                    AttemptOutcome.FAILED,
                    Signal.PROGRESS,
                    AttemptOutcome.CONNECT_FAILED,
                    Signal.UNREACHABLE,
                    AttemptOutcome.CONNECTION_LOST,
                    Signal.CONNECTION_BROKEN,
                    AttemptOutcome.REFUSED,
                    Signal.REFUSAL);

    /** Whether requests may go there as far as its health and life cycle say. */
    static boolean isUsable(EngineState engine) {
        return engine.lifecycle == Lifecycle.ACTIVE
                && !engine.probedByOthers
                && (engine.health == EngineHealth.AVAILABLE
                        || engine.health == EngineHealth.HALF_OPEN);
    }

    /** Whether it is on the endpoint list and held to be down or unresponsive. */
    static boolean isUnavailable(EngineState engine) {
        return engine.lifecycle == Lifecycle.ACTIVE
                && (engine.health == EngineHealth.UNAVAILABLE
                        || engine.health == EngineHealth.UNRESPONSIVE
                        || engine.health == EngineHealth.HALF_OPEN);
    }

    /** Whether a request of this effect may go to the engine, or be its probe. */
    static boolean admits(EngineState engine, Effect effect) {
        if (engine.health != EngineHealth.HALF_OPEN) {
            return true;
        }
        // The probe owner has lost attempts there that are still in flight: only its probe counts.
        boolean probing =
                engine.mayProbeNow
                        ? engine.attemptsInFlight.stream()
                                .anyMatch(attempt -> attempt.sentAt >= engine.backoffUntil)
                        : !engine.attemptsInFlight.isEmpty();
        return !probing && effect == Effect.IDEMPOTENT;
    }

    /** Whether the next request there is the one probe for the whole fleet. */
    static boolean isFleetProbe(EngineState engine) {
        return engine.mayProbeNow && engine.health == EngineHealth.HALF_OPEN;
    }

    /** An attempt ended; first what that shows of the engine, then who is blamed for a failure. */
    void onOutcome(long now, RequestState request, EngineState engine, AttemptOutcome outcome) {
        if (SIGNALS.containsKey(outcome)) {
            engine.lastResponseAt = now;
            onSignal(now, engine, SIGNALS.get(outcome));
        }
        countFailure(now, request, engine, outcome);
    }

    /**
     * An engine that fails at once is always free and would attract every request: a few in a row
     * eject it. A request that may go elsewhere is retried there first: where it fails there, too,
     * that shows nothing of engines.
     */
    private void countFailure(
            long now, RequestState request, EngineState engine, AttemptOutcome outcome) {
        EngineState blamed = null;
        if (outcome == AttemptOutcome.SUCCEEDED) {
            engine.consecutiveFailures = 0;
            blamed = request.firstFailedEngine == engine ? null : request.firstFailedEngine;
        } else if (outcome == AttemptOutcome.FAILED) {
            request.failedEngines += request.firstFailedEngine == engine ? 0 : 1;
            request.firstFailedEngine =
                    request.firstFailedEngine == null ? engine : request.firstFailedEngine;
            blamed = request.trafficClass().effect() == Effect.IDEMPOTENT ? null : engine;
        }
        if (blamed != null && ++blamed.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            onSignal(now, blamed, Signal.CONNECTION_BROKEN);
        }
    }

    /** Ends the backoff of this engine when its time has come, unless others probe it. */
    void checkBackoff(long now, EngineState engine) {
        if (engine.health != EngineHealth.AVAILABLE
                && now >= engine.backoffUntil
                && !engine.probedByOthers) {
            onSignal(now, engine, Signal.BACKOFF_OVER);
        }
    }

    /** The fleet says who probes this engine; see {@code SchedulingPolicy}. */
    void onProbeOwnership(
            long now, EngineState engine, boolean probedByOthers, boolean mayProbeNow) {
        engine.probedByOthers = probedByOthers;
        engine.mayProbeNow = mayProbeNow;
        engine.backoffUntil = mayProbeNow ? now : engine.backoffUntil;
    }

    /** Takes the first transition that fits and changes the state. */
    void onSignal(long now, EngineState engine, Signal signal) {
        for (Transition transition : TRANSITIONS) {
            if ((transition.state == null || transition.state == engine.health)
                    && transition.signal == signal
                    && transition.next != engine.health) {
                apply(now, engine, transition);
                return;
            }
        }
    }

    private static void apply(long now, EngineState engine, Transition transition) {
        engine.health = transition.next;
        if (transition.next == EngineHealth.UNAVAILABLE) {
            engine.suspectedRestartAt = now;
        }
        if (transition.next == EngineHealth.AVAILABLE) {
            engine.probedByOthers = false;
            engine.mayProbeNow = false;
        }
        if (transition.action == Action.START_BACKOFF) {
            engine.backoffUntil = now + engine.backoff;
            engine.backoff = Math.min(MAX_BACKOFF, engine.backoff * 2);
        } else if (transition.action == Action.RESET_BACKOFF) {
            engine.backoff = INITIAL_BACKOFF;
        }
    }
}
