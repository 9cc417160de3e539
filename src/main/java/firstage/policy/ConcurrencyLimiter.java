package firstage.policy;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass;
import firstage.policy.state.Attempt;
import firstage.policy.state.EngineState;
import firstage.util.Ticks;
import java.util.Collection;
import java.util.List;

/**
 * Limits on the threads and the memory that this manager may use at each engine. Both start at the
 * manager's quota share, grow with results of low latency, and shrink while the engine is
 * saturated.
 */
final class ConcurrencyLimiter {
    /** Share of an engine's memory that the requests of all managers together may reserve. */
    private static final double RESERVABLE_MEMORY_SHARE = 0.75;

    /** Threads per core that the limits of all managers allow together; more lower throughput. */
    private static final double THREADS_PER_CORE = 2;

    /** Threads per core below which the limits of all managers together are never lowered. */
    private static final double MIN_THREADS_PER_CORE = 1.3;

    /**
     * Factor by which one step lowers a limit. Three steps halve the limit, so that a single second
     * of high latency does not block an engine.
     */
    private static final double SHRINK_FACTOR = 0.8;

    /** Minimum time between two such steps; a step has to show in latencies before the next one. */
    private static final long SHRINK_INTERVAL = Ticks.ofMillis(700);

    /** Growth of the limits after a low-latency result, as a share of its threads and its grant. */
    private static final double GROWTH_SHARE = 0.5;

    /**
     * Time for which an engine counts as saturated after the last sign of saturation, so that the
     * queue does not flood the engine as soon as the signs end.
     */
    private static final long SATURATION_HOLD = Ticks.ofSeconds(4);

    private final List<Deployment.MachineType> machineTypes;
    private double quotaShare;

    /** Number of threads in the quota share of the machine type with the most cores. */
    private double largestMachineThreadShare;

    /**
     * Creates the limiter of one manager.
     *
     * @param managers number of managers that share the engines
     */
    ConcurrencyLimiter(List<Deployment.MachineType> machineTypes, int managers) {
        this.machineTypes = machineTypes;
        quotaShare = 1.0 / managers;
        int cores = machineTypes.stream().mapToInt(Deployment.MachineType::cores).max().orElse(1);
        largestMachineThreadShare = cores * THREADS_PER_CORE * quotaShare;
    }

    /** Returns the share of each engine that this manager may use now. */
    double quotaShare() {
        return quotaShare;
    }

    /**
     * Sets the size of an engine and its initial limits. An unknown size counts as one core and
     * unlimited memory.
     */
    void initialise(EngineState engine, int machineType) {
        boolean known = machineType >= 0 && machineType < machineTypes.size();
        Deployment.MachineType size = known ? machineTypes.get(machineType) : null;
        engine.machineType = machineType;
        engine.cores = size == null || size.cores() <= 0 ? 1 : size.cores();
        engine.memoryMb =
                size == null || size.memoryMb() <= 0 ? Double.MAX_VALUE / 4 : size.memoryMb();
        engine.memorySliceMb = engine.memoryMb * RESERVABLE_MEMORY_SHARE * quotaShare;
        engine.threadLimit = engine.cores * THREADS_PER_CORE * quotaShare;
    }

    /** Sets the quota share and changes all limits in proportion. */
    void onQuotaChanged(double newShare, Collection<EngineState> engines) {
        double ratio = newShare / quotaShare;
        largestMachineThreadShare *= ratio;
        quotaShare = newShare;
        for (EngineState engine : engines) {
            engine.memorySliceMb = Math.min(engine.memoryMb, engine.memorySliceMb * ratio);
            engine.threadLimit = Math.min(maxThreads(engine), engine.threadLimit * ratio);
        }
    }

    private static double maxThreads(EngineState engine) {
        return engine.cores * THREADS_PER_CORE;
    }

    /** Returns whether the quota share of even the largest engine is too small for one request. */
    boolean isShareBelowOneRequest(TrafficClass trafficClass) {
        return largestMachineThreadShare < trafficClass.threads();
    }

    /**
     * Returns how many threads of all managers the engine can run with this share of its capacity.
     */
    double threadCapacity(EngineState engine, double capacityShare) {
        return engine.cores * THREADS_PER_CORE * capacityShare;
    }

    /**
     * Returns the active threads as a share of all that the engine can run; NaN if not reported.
     */
    static double threadLoad(EngineState engine, double activeThreads) {
        return activeThreads / engine.cores / THREADS_PER_CORE;
    }

    boolean hasMemory(EngineState engine, double grantMb, double capacityShare) {
        return engine.reservedMb + grantMb <= engine.memorySliceMb * capacityShare;
    }

    boolean hasThreads(EngineState engine, int threads, double capacityShare) {
        return engine.reservedThreads + threads <= engine.threadLimit * capacityShare;
    }

    /** Returns whether the request fits the whole engine, next to this manager's other attempts. */
    boolean isWithinEngine(EngineState engine, double grantMb, int threads) {
        return engine.reservedMb + grantMb <= engine.memoryMb
                && engine.reservedThreads + threads <= engine.cores * THREADS_PER_CORE;
    }

    /** Returns the free memory of the slice as a share of the initial slice; may be negative. */
    double freeMemoryShare(EngineState engine, double capacityShare) {
        return (engine.memorySliceMb * capacityShare - engine.reservedMb)
                / (engine.memoryMb * RESERVABLE_MEMORY_SHARE * quotaShare);
    }

    void markSaturated(long now, EngineState engine) {
        engine.saturatedUntil = now + SATURATION_HOLD;
    }

    /** Returns whether the engine showed a sign of saturation recently, or is slow. */
    boolean isSaturated(long now, EngineState engine, LatencyTracker latency) {
        return now < engine.saturatedUntil || latency.isSlow(engine);
    }

    /** Lowers the memory slice by a step, for an engine that is short of memory. */
    void shrinkMemorySlice(long now, EngineState engine) {
        if (beginShrinkIfDue(now, engine)) {
            engine.memorySliceMb =
                    Math.max(
                            engine.memoryMb * RESERVABLE_MEMORY_SHARE * quotaShare / 2,
                            engine.memorySliceMb * SHRINK_FACTOR);
        }
    }

    /**
     * Lowers the thread limit by a step, for an engine that is slow. If the quota share of even the
     * largest engine is less than one thread, the step starts from the reserved threads where these
     * are below the limit.
     */
    void shrinkThreadLimit(long now, EngineState engine) {
        if (beginShrinkIfDue(now, engine)) {
            double currentLimit =
                    largestMachineThreadShare < 1
                            ? Math.min(engine.threadLimit, engine.reservedThreads)
                            : engine.threadLimit;
            engine.threadLimit =
                    Math.max(
                            engine.cores * MIN_THREADS_PER_CORE * quotaShare,
                            currentLimit * SHRINK_FACTOR);
        }
    }

    private static boolean beginShrinkIfDue(long now, EngineState engine) {
        boolean due = now - engine.lastShrunkAt >= SHRINK_INTERVAL;
        engine.lastShrunkAt = due ? now : engine.lastShrunkAt;
        return due;
    }

    /**
     * Raises the limits after a result of low latency. Only limits that are at least half used
     * grow, so that an idle period does not raise them to the maximum.
     */
    void grow(Attempt attempt) {
        EngineState engine = attempt.engine;
        int threads = attempt.request.trafficClass().threads();
        if (engine.reservedThreads + threads >= engine.threadLimit / 2) {
            engine.threadLimit =
                    Math.min(maxThreads(engine), engine.threadLimit + threads * GROWTH_SHARE);
        }
        if (engine.reservedMb + attempt.grantMb >= engine.memorySliceMb / 2) {
            engine.memorySliceMb =
                    Math.min(
                            engine.memoryMb, engine.memorySliceMb + attempt.grantMb * GROWTH_SHARE);
        }
    }
}
