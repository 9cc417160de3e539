package firstage.policy;

import firstage.policy.api.TrafficClass;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.state.Attempt;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import java.util.Set;

/**
 * Checks whether the rules and the engine's health allow a request to go to an engine, regardless
 * of the capacity within this manager's limits.
 */
final class EngineEligibility {
    private final SlowStartBudget slowStart;
    private final ConcurrencyLimiter limiter;

    EngineEligibility(SlowStartBudget slowStart, ConcurrencyLimiter limiter) {
        this.slowStart = slowStart;
        this.limiter = limiter;
    }

    boolean isEligible(long now, RequestState request, EngineState engine) {
        TrafficClass trafficClass = request.trafficClass();
        return OutlierDetector.isUsable(engine)
                && allows(trafficClass.zones(), engine.zone)
                && allows(trafficClass.machineTypes(), engine.machineType)
                && !hasAttemptAt(request, engine)
                && OutlierDetector.admits(engine, trafficClass.effect())
                && isInIdempotencyScope(request, engine)
                && !isBlockedByTableLoad(now, request, engine)
                && slowStart.allows(now, request, engine, limiter.quotaShare());
    }

    private static boolean allows(Set<Integer> allowed, int value) {
        return allowed.isEmpty() || allowed.contains(value);
    }

    private static boolean hasAttemptAt(RequestState request, EngineState engine) {
        for (Attempt attempt : request.attemptsInFlight) {
            if (attempt.engine == engine) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the engine is within the idempotency scope of the request. Engines recognise
     * a repetition of an idempotency key only within the scope of the engine of the first attempt.
     */
    private static boolean isInIdempotencyScope(RequestState request, EngineState engine) {
        TrafficClass trafficClass = request.trafficClass();
        boolean isRepetition = request.mayHaveRun || !request.attemptsInFlight.isEmpty();
        if (!isRepetition || trafficClass.effect() != Effect.IDEMPOTENT_WITH_KEY) {
            return true;
        }
        EngineState first =
                request.mayHaveRun
                        ? request.firstExecutionEngine
                        : request.attemptsInFlight.get(0).engine;
        return switch (trafficClass.idempotencyScope()) {
            case ZONE -> first.zone == engine.zone;
            case CELL -> first.cell == engine.cell;
            case ALL -> true;
        };
    }

    private static boolean isBlockedByTableLoad(
            long now, RequestState request, EngineState engine) {
        TrafficClass trafficClass = request.trafficClass();
        int tableGroup = request.incoming.tableGroup();
        return (trafficClass.blockedByTableLoads() || trafficClass.tableLoad())
                && tableGroup >= 0
                && engine.hasTableLoad(now, tableGroup);
    }
}
