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
 * Circuit breaker per engine, with the states of {@link EngineHealth}. An engine is ejected after
 * failures or silence, is half-open after a backoff that doubles each time, and is available again
 * after a success. Invariant: a half-open engine gets one idempotent request at a time, its probe.
 */
final class OutlierDetector {
    /** Delay before the first probe of an ejected engine; doubles with each further ejection. */
    static final long INITIAL_BACKOFF = Ticks.ofSeconds(1);

    private static final long MAX_BACKOFF = Ticks.ofSeconds(8);

    /**
     * Number of consecutive failures that eject an engine; fewer may be the fault of the requests.
     */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    /** Evidence about the health of an engine, derived from an event. */
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

    /**
     * Transitions in order of precedence; a state of null matches any state. A transition to the
     * current state is skipped.
     */
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

    /**
     * Signals of attempt outcomes. A timeout, a cancellation and an attempt that was not sent are
     * no evidence about the engine and have no signal.
     */
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

    /** Returns whether the health and the lifecycle of the engine permit requests. */
    static boolean isUsable(EngineState engine) {
        return engine.lifecycle == Lifecycle.ACTIVE
                && !engine.probedByOthers
                && (engine.health == EngineHealth.AVAILABLE
                        || engine.health == EngineHealth.HALF_OPEN);
    }

    /** Returns whether the engine is on the endpoint list but considered down or unresponsive. */
    static boolean isUnavailable(EngineState engine) {
        return engine.lifecycle == Lifecycle.ACTIVE
                && (engine.health == EngineHealth.UNAVAILABLE
                        || engine.health == EngineHealth.UNRESPONSIVE
                        || engine.health == EngineHealth.HALF_OPEN);
    }

    /**
     * Returns whether a usable engine admits a request of this effect; a half-open engine admits
     * only an idempotent request, as its probe, while no other probe is in flight.
     */
    static boolean admits(EngineState engine, Effect effect) {
        if (engine.health != EngineHealth.HALF_OPEN) {
            return true;
        }
        // For the probe owner, only attempts sent since the backoff ended count as the probe: older
        // ones were lost at the engine and may still be in flight.
        boolean probing =
                engine.mayProbeNow
                        ? engine.attemptsInFlight.stream()
                                .anyMatch(attempt -> attempt.sentAt >= engine.backoffUntil)
                        : !engine.attemptsInFlight.isEmpty();
        return !probing && effect == Effect.IDEMPOTENT;
    }

    /** Returns whether the next request to the engine is the only probe of the whole fleet. */
    static boolean isFleetProbe(EngineState engine) {
        return engine.mayProbeNow && engine.health == EngineHealth.HALF_OPEN;
    }

    /** Applies the outcome of an attempt to the engine's health, then counts any failure. */
    void onOutcome(long now, RequestState request, EngineState engine, AttemptOutcome outcome) {
        if (SIGNALS.containsKey(outcome)) {
            engine.lastResponseAt = now;
            onSignal(now, engine, SIGNALS.get(outcome));
        }
        countFailure(now, request, engine, outcome);
    }

    /**
     * Counts the failures of engines and ejects an engine after a few in a row. An engine that
     * fails requests at once is always free and would otherwise attract all requests. The failure
     * of an idempotent request counts only when a retry succeeds at another engine, as a request
     * that fails everywhere is no evidence against any engine.
     */
    private void countFailure(
            long now, RequestState request, EngineState engine, AttemptOutcome outcome) {
        EngineState faultyEngine = null;
        if (outcome == AttemptOutcome.SUCCEEDED) {
            engine.consecutiveFailures = 0;
            faultyEngine = request.firstFailedEngine == engine ? null : request.firstFailedEngine;
        } else if (outcome == AttemptOutcome.FAILED) {
            request.failedEngines += request.firstFailedEngine == engine ? 0 : 1;
            request.firstFailedEngine =
                    request.firstFailedEngine == null ? engine : request.firstFailedEngine;
            faultyEngine = request.trafficClass().effect() == Effect.IDEMPOTENT ? null : engine;
        }
        if (faultyEngine != null
                && ++faultyEngine.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            onSignal(now, faultyEngine, Signal.CONNECTION_BROKEN);
        }
    }

    /** Makes the engine half-open once its backoff is over, unless other managers probe it. */
    void checkBackoff(long now, EngineState engine) {
        if (engine.health != EngineHealth.AVAILABLE
                && now >= engine.backoffUntil
                && !engine.probedByOthers) {
            onSignal(now, engine, Signal.BACKOFF_OVER);
        }
    }

    /** Sets which managers may probe this engine; see {@code SchedulingPolicy}. */
    void onProbeOwnership(
            long now, EngineState engine, boolean probedByOthers, boolean mayProbeNow) {
        engine.probedByOthers = probedByOthers;
        engine.mayProbeNow = mayProbeNow;
        engine.backoffUntil = mayProbeNow ? now : engine.backoffUntil;
    }

    /** Applies the first transition that matches the signal and changes the state. */
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
