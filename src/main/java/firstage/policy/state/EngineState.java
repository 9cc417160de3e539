package firstage.policy.state;

import firstage.policy.api.EndpointUpdate.Endpoint;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An engine as this workload manager sees it. The first fields are those of the endpoint list; each
 * other group belongs to one rule of {@link firstage.policy}. Times are in ticks.
 */
public final class EngineState {
    public final int id;

    // ---- The endpoint list.

    /** The same at every manager. */
    public long stableHash;

    public int zone;

    /** The idempotency cell that it stands in. */
    public int cell;

    public Lifecycle lifecycle = Lifecycle.GONE;

    /** 0 for long ago. */
    public long startedAt;

    /** This manager's share of what it bears while it warms up; 0: by the settings. */
    public double warmUpShare;

    /** Since when it is known to have left, with no attempt in flight; 0 if it has not. */
    private long goneSince;

    // ---- Its size, and the limits of this manager (ConcurrencyLimiter).

    public int machineType;

    /** 0 until it is known. */
    public int cores;

    public double memoryMb;

    /** How much memory this manager's attempts may reserve. */
    public double memorySliceMb;

    /** How many threads they may use. */
    public double threadLimit;

    /** There was a sign of saturation; it is taken to last until then. */
    public long saturatedUntil;

    public long lastShrunkAt;

    // ---- What this manager has in flight here.

    public double reservedMb;
    public int reservedThreads;

    /** In the order of their start. */
    public final List<Attempt> attemptsInFlight = new ArrayList<>();

    /** When an attempt was last sent here; 0 for never. */
    public long lastAttemptAt;

    // ---- Health (OutlierDetector).

    public EngineHealth health = EngineHealth.AVAILABLE;

    /** Other managers probe it, and tell when it is available. */
    public boolean probedByOthers;

    /**
     * This manager probes it for all, or others found it available: attempts lost here before do
     * not keep from probing.
     */
    public boolean mayProbeNow;

    /** How long it is left alone after the next ejection. */
    public long backoff;

    public long backoffUntil;
    public long lastResponseAt;

    /** When it last seemed to go down, and may have restarted; 0 if it did not. */
    public long suspectedRestartAt;

    /** Since its last success. */
    public int consecutiveFailures;

    // ---- Its own load reports (LoadReportTracker).

    public long loadReportedAt = Long.MIN_VALUE / 2;

    /** 1 is full. */
    public double reportedLoad;

    /** It reported that no request waits for memory. */
    public boolean memoryQueueEmpty;

    // ---- Latency (LatencyTracker) and table loads.

    /** Latencies over the best of the traffic class. */
    public final LogHistogram latencyRatios = new LogHistogram();

    /** Table groups that are held to be loaded here, and until when. */
    public final Map<Integer, Long> tableLoadsUntil = new HashMap<>();

    // ---- Warm-up (SlowStartBudget).

    /** Work sent while it warmed up, over the overload window. */
    public final SlidingWindowCounter warmUpWork;

    /** An engine that nothing is known of. */
    public EngineState(int id, long initialBackoff, SlidingWindowCounter warmUpWork) {
        this.backoff = initialBackoff;
        this.warmUpWork = warmUpWork;
        this.id = id;
    }

    /** Takes over what the endpoint list says; true where that tells of a restart. */
    public boolean applyEndpoint(Endpoint entry) {
        boolean restarted = entry.startedAt() > startedAt && stableHash != 0;
        stableHash = entry.stableHash();
        zone = entry.zone();
        cell = entry.cell();
        lifecycle = entry.lifecycle();
        warmUpShare = entry.warmUpShare();
        startedAt = Math.max(startedAt, entry.startedAt());
        if (restarted) {
            tableLoadsUntil.clear();
        }
        return restarted;
    }

    /**
     * It reported on one of its attempts; one that was sent before a suspected restart proves that
     * there was none.
     */
    public void recordProgress(long now, Attempt attempt) {
        lastResponseAt = now;
        attempt.lastProgressAt = now;
        suspectedRestartAt = attempt.sentAt < suspectedRestartAt ? 0 : suspectedRestartAt;
    }

    /** Its latest start, as listed or suspected; 0 for long ago. */
    public long lastStartAt() {
        return Math.max(startedAt, suspectedRestartAt);
    }

    /**
     * For how many ticks it has been off the endpoint list with no attempt in flight, from the
     * first call on.
     */
    public long goneFor(long now) {
        boolean left = lifecycle == Lifecycle.GONE && attemptsInFlight.isEmpty();
        goneSince = !left ? 0 : goneSince == 0 ? now : goneSince;
        return left ? now - goneSince : 0;
    }

    /** Reserves what the attempt needs, which is sent now. */
    public void reserve(Attempt attempt) {
        lastAttemptAt = attempt.sentAt;
        reservedMb += attempt.grantMb;
        reservedThreads += attempt.request.classStats.trafficClass.threads();
        attemptsInFlight.add(attempt);
    }

    /** Releases what the attempt reserved. */
    public void release(Attempt attempt) {
        if (attemptsInFlight.remove(attempt)) {
            reservedMb = attemptsInFlight.isEmpty() ? 0 : reservedMb - attempt.grantMb;
            reservedThreads -= attempt.request.classStats.trafficClass.threads();
        }
    }

    /** Whether this manager has an attempt of this priority in flight here. */
    public boolean hasAttemptOfPriority(int priority) {
        return attemptsInFlight.stream().anyMatch(attempt -> attempt.priority == priority);
    }

    /** Whether this table group is known to be loaded here. */
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

    /** A hash of this engine and a number, from 0 to 1, the same at every manager. */
    public double hashFraction(int salt) {
        long hash = stableHash * 0x9E3779B97F4A7C15L ^ salt * 0xC2B2AE3D27D4EB4FL;
        hash = (hash ^ (hash >>> 29)) * 0xBF58476D1CE4E5B9L;
        return ((hash ^ (hash >>> 32)) & 0xFFFF) / 65_536.0;
    }
}
