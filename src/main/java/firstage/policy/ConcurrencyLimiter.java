package firstage.policy;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass;
import firstage.policy.state.Attempt;
import firstage.policy.state.EngineState;
import firstage.util.Ticks;
import java.util.Collection;
import java.util.List;

/**
 * How much of each engine this manager may use: threads up to a limit, and memory up to a slice.
 * Both start at its quota share, grow with calm results and shrink when the engine is saturated.
 */
final class ConcurrencyLimiter {
    /** The share of an engine's memory that all requests together may reserve. */
    private static final double POOL_SHARE = 0.75;

    /** Threads a core that all managers' limits together allow: beyond it less gets done. */
    private static final double THREADS_PER_CORE = 2;

    /** Threads a core below which the limits of all managers together are never lowered. */
    private static final double MIN_THREADS_PER_CORE = 1.3;

    /** Factor of a step: three halve, and one bad second closes nothing. */
    private static final double SHRINK_FACTOR = 0.8;

    /** Between steps: the last one must show in latencies first. */
    private static final long SHRINK_INTERVAL = Ticks.ofMillis(700);

    /** The share of a calm result's threads and grant by which the limits grow. */
    private static final double GROWTH = 0.5;

    /** Saturation outlives its last sign, so that the queue does not flood the engine. */
    private static final long SATURATION_HOLD = Ticks.ofSeconds(4);

    private final List<Deployment.MachineType> machineTypes;
    private double quotaShare;

    /** Threads of the quota share on the machine type with the most cores. */
    private double largestThreadShare;

    /**
     * @param managers how many managers share the engines
     */
    ConcurrencyLimiter(List<Deployment.MachineType> machineTypes, int managers) {
        this.machineTypes = machineTypes;
        quotaShare = 1.0 / managers;
        int cores = machineTypes.stream().mapToInt(Deployment.MachineType::cores).max().orElse(1);
        largestThreadShare = cores * THREADS_PER_CORE * quotaShare;
    }

    /** The share of each engine that this manager may use now. */
    double quotaShare() {
        return quotaShare;
    }

    /** Sets the engine's size and the initial limits; an unknown size counts as one core. */
    void initialise(EngineState engine, int machineType) {
        boolean known = machineType >= 0 && machineType < machineTypes.size();
        Deployment.MachineType size = known ? machineTypes.get(machineType) : null;
        engine.machineType = machineType;
        engine.cores = size == null || size.cores() <= 0 ? 1 : size.cores();
        engine.memoryMb =
                size == null || size.memoryMb() <= 0 ? Double.MAX_VALUE / 4 : size.memoryMb();
        engine.memorySliceMb = engine.memoryMb * POOL_SHARE * quotaShare;
        engine.threadLimit = engine.cores * THREADS_PER_CORE * quotaShare;
    }

    /** The quota share changed: all limits follow in proportion. */
    void onQuotaChanged(double newShare, Collection<EngineState> engines) {
        double ratio = newShare / quotaShare;
        largestThreadShare *= ratio;
        quotaShare = newShare;
        for (EngineState engine : engines) {
            engine.memorySliceMb = Math.min(engine.memoryMb, engine.memorySliceMb * ratio);
            engine.threadLimit = Math.min(maxThreads(engine), engine.threadLimit * ratio);
        }
    }

    private static double maxThreads(EngineState engine) {
        return engine.cores * THREADS_PER_CORE;
    }

    /** Whether the quota share of the largest engine is less than one such request. */
    boolean isShareBelowOneRequest(TrafficClass trafficClass) {
        return largestThreadShare < trafficClass.threads();
    }

    /** How many threads the engine bears of all managers, given the share of its capacity. */
    double threadCapacity(EngineState engine, double capacityShare) {
        return engine.cores * THREADS_PER_CORE * capacityShare;
    }

    /** Active threads over all that the engine bears; not a number where they are not reported. */
    static double threadLoad(EngineState engine, double activeThreads) {
        return activeThreads / engine.cores / THREADS_PER_CORE;
    }

    boolean hasMemory(EngineState engine, double grantMb, double capacityShare) {
        return engine.reservedMb + grantMb <= engine.memorySliceMb * capacityShare;
    }

    boolean hasThreads(EngineState engine, int threads, double capacityShare) {
        return engine.reservedThreads + threads <= engine.threadLimit * capacityShare;
    }

    /** Whether the engine as a whole has place beside what this manager runs there. */
    boolean isWithinEngine(EngineState engine, double grantMb, int threads) {
        return engine.reservedMb + grantMb <= engine.memoryMb
                && engine.reservedThreads + threads <= engine.cores * THREADS_PER_CORE;
    }

    /** Free memory of the slice over the initial slice; may be below 0. */
    double freeMemory(EngineState engine, double capacityShare) {
        return (engine.memorySliceMb * capacityShare - engine.reservedMb)
                / (engine.memoryMb * POOL_SHARE * quotaShare);
    }

    void markSaturated(long now, EngineState engine) {
        engine.saturatedUntil = now + SATURATION_HOLD;
    }

    /** Whether there was a sign of saturation lately; a slow engine counts as well. */
    boolean isSaturated(long now, EngineState engine, LatencyTracker latency) {
        return now < engine.saturatedUntil || latency.isSlow(engine);
    }

    /** Memory is short there. */
    void shrinkMemorySlice(long now, EngineState engine) {
        if (beginShrinkIfDue(now, engine)) {
            engine.memorySliceMb =
                    Math.max(
                            engine.memoryMb * POOL_SHARE * quotaShare / 2,
                            engine.memorySliceMb * SHRINK_FACTOR);
        }
    }

    /**
     * The engine is slow: lowers the thread limit by a step. Where the share is less than one
     * thread, a limit above what is reserved falls to that first.
     */
    void shrinkThreadLimit(long now, EngineState engine) {
        if (beginShrinkIfDue(now, engine)) {
            double used =
                    largestThreadShare < 1
                            ? Math.min(engine.threadLimit, engine.reservedThreads)
                            : engine.threadLimit;
            engine.threadLimit =
                    Math.max(
                            engine.cores * MIN_THREADS_PER_CORE * quotaShare, used * SHRINK_FACTOR);
        }
    }

    private static boolean beginShrinkIfDue(long now, EngineState engine) {
        boolean due = now - engine.lastShrunkAt >= SHRINK_INTERVAL;
        engine.lastShrunkAt = due ? now : engine.lastShrunkAt;
        return due;
    }

    /** A calm result; limits grow only while in use: an idle hour must not open the engine. */
    void grow(Attempt attempt) {
        EngineState engine = attempt.engine;
        int threads = attempt.request.trafficClass().threads();
        if (engine.reservedThreads + threads >= engine.threadLimit / 2) {
            engine.threadLimit =
                    Math.min(maxThreads(engine), engine.threadLimit + threads * GROWTH);
        }
        if (engine.reservedMb + attempt.grantMb >= engine.memorySliceMb / 2) {
            engine.memorySliceMb =
                    Math.min(engine.memoryMb, engine.memorySliceMb + attempt.grantMb * GROWTH);
        }
    }
}
