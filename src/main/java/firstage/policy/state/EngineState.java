package firstage.policy.state;

import firstage.policy.api.EndpointUpdate.Endpoint;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * State of an engine as known to this workload manager. The fields are grouped by the class of
 * {@link firstage.policy} that maintains them. Times are in ticks.
 */
public final class EngineState {
    public final int id;

    // ---- Endpoint list

    /** Hash of the engine that is the same at every manager; 0 until the engine was listed. */
    public long stableHash;

    public int zone;

    /** Idempotency cell of the engine. */
    public int cell;

    public Lifecycle lifecycle = Lifecycle.GONE;

    /** Start of the engine according to the endpoint list; 0 if long ago. */
    public long startedAt;

    /**
     * This manager's share of the capacity during warm-up; 0 for an equal share of all managers.
     */
    public double warmUpShare;

    /** Time since which the engine has been gone with no attempt in flight; 0 otherwise. */
    private long goneSince;

    // ---- Size of the engine and limits of this manager (ConcurrencyLimiter)

    public int machineType;

    /** Number of cores; 0 until it is known. */
    public int cores;

    public double memoryMb;

    /** Memory that this manager's attempts together may reserve. */
    public double memorySliceMb;

    /** Number of threads that this manager's attempts together may use. */
    public double threadLimit;

    /** Time until which the engine counts as saturated, after the last sign of saturation. */
    public long saturatedUntil;

    /** Time at which a limit was last lowered. */
    public long lastShrunkAt;

    // ---- Attempts of this manager in flight

    public double reservedMb;
    public int reservedThreads;

    /** Attempts in flight at this engine, in the order of their start. */
    public final List<Attempt> attemptsInFlight = new ArrayList<>();

    /** Time at which an attempt was last sent to the engine; 0 if never. */
    public long lastAttemptAt;

    // ---- Health (OutlierDetector)

    public EngineHealth health = EngineHealth.AVAILABLE;

    /** Whether other managers probe the engine and report when it is available. */
    public boolean probedByOthers;

    /**
     * Whether this manager is the probe owner, or others found the engine available. If set,
     * attempts that were lost at the engine and are still in flight do not prevent a probe.
     */
    public boolean mayProbeNow;

    /** Duration of the next backoff, after which an ejected engine is probed. */
    public long backoff;

    public long backoffUntil;
    public long lastResponseAt;

    /** Time at which the engine last seemed to go down and may have restarted; 0 if never. */
    public long suspectedRestartAt;

    /** Number of failures attributed to the engine since its last success. */
    public int consecutiveFailures;

    // ---- Load reports of the engine (LoadReportTracker)

    public long loadReportedAt = Long.MIN_VALUE / 2;

    /** Load according to the latest report: 0 is idle, 1 or more is full. */
    public double reportedLoad;

    /** Whether no request waits for memory at the engine, by the latest report. */
    public boolean memoryQueueEmpty;

    // ---- Latency (LatencyTracker) and table loads

    /** Ratios of latencies to the best latency of the traffic class. */
    public final LogHistogram latencyRatios = new LogHistogram();

    /**
     * Time until which the load of each table group is assumed to run at the engine. An entry of
     * the endpoint list does not end a load: the engine's process may live on.
     */
    public final Map<Integer, Long> tableLoadsUntil = new HashMap<>();

    // ---- Warm-up (SlowStartBudget)

    /** Work sent to the engine during its warm-up, counted over the overload window. */
    public final SlidingWindowCounter warmUpWork;

    /** Creates the state of an engine that is not listed yet. */
    public EngineState(int id, long initialBackoff, SlidingWindowCounter warmUpWork) {
        this.backoff = initialBackoff;
        this.warmUpWork = warmUpWork;
        this.id = id;
    }

    /** Applies an entry of the endpoint list. Returns whether the entry shows a restart. */
    public boolean applyEndpoint(Endpoint endpoint) {
        boolean restarted = endpoint.startedAt() > startedAt && stableHash != 0;
        stableHash = endpoint.stableHash();
        zone = endpoint.zone();
        cell = endpoint.cell();
        lifecycle = endpoint.lifecycle();
        warmUpShare = endpoint.warmUpShare();
        startedAt = Math.max(startedAt, endpoint.startedAt());
        return restarted;
    }

    /**
     * Records a report of the engine on one of its attempts. A report on an attempt that was sent
     * before a suspected restart proves that the engine did not restart.
     */
    public void recordProgress(long now, Attempt attempt) {
        lastResponseAt = now;
        attempt.lastProgressAt = now;
        suspectedRestartAt = attempt.sentAt < suspectedRestartAt ? 0 : suspectedRestartAt;
    }

    /** Returns the latest start of the engine, listed or suspected; 0 if long ago. */
    public long lastStartAt() {
        return Math.max(startedAt, suspectedRestartAt);
    }

    /**
     * Returns for how many ticks the engine has been off the endpoint list with no attempt in
     * flight. The time counts from the first call that finds the engine in this state.
     */
    public long goneFor(long now) {
        boolean gone = lifecycle == Lifecycle.GONE && attemptsInFlight.isEmpty();
        goneSince = !gone ? 0 : goneSince == 0 ? now : goneSince;
        return gone ? now - goneSince : 0;
    }

    /** Adds an attempt that is sent now and reserves its memory grant and threads. */
    public void reserve(Attempt attempt) {
        lastAttemptAt = attempt.sentAt;
        reservedMb += attempt.grantMb;
        reservedThreads += attempt.request.classStats.trafficClass.threads();
        attemptsInFlight.add(attempt);
    }

    /** Removes an attempt and releases its memory grant and threads. */
    public void release(Attempt attempt) {
        if (attemptsInFlight.remove(attempt)) {
            reservedMb = attemptsInFlight.isEmpty() ? 0 : reservedMb - attempt.grantMb;
            reservedThreads -= attempt.request.classStats.trafficClass.threads();
        }
    }

    /** Returns whether this manager has an attempt of this priority in flight at the engine. */
    public boolean hasAttemptOfPriority(int priority) {
        return attemptsInFlight.stream().anyMatch(attempt -> attempt.priority == priority);
    }

    /** Returns whether this table group is known to be loading at the engine. */
    public boolean hasTableLoad(long now, int tableGroup) {
        if (tableLoadsUntil.getOrDefault(tableGroup, 0L) > now) {
            return true;
        }
        for (Attempt attempt : attemptsInFlight) {
            if (attempt.request.incoming.tableGroup() == tableGroup
                    && attempt.request.classStats.trafficClass.tableLoad()) {
                return true;
            }
        }
        return false;
    }

    /** Returns a hash of the engine and the salt, in [0, 1); the same at every manager. */
    public double hashFraction(int salt) {
        long hash = stableHash * 0x9E3779B97F4A7C15L ^ salt * 0xC2B2AE3D27D4EB4FL;
        hash = (hash ^ (hash >>> 29)) * 0xBF58476D1CE4E5B9L;
        return ((hash ^ (hash >>> 32)) & 0xFFFF) / 65_536.0;
    }
}
