package firstage.policy.state;

import firstage.policy.api.EndpointUpdate.Endpoint;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An engine as this workload manager sees it. */
public final class EngineState {
    public final int id;
    public long stableHash;
    public int zone;
    public int machineType;
    public int cell;
    public Lifecycle lifecycle = Lifecycle.GONE;
    public long startedAt;

    /** Of what it bears while it is cold, this manager's part; 0: by the settings. */
    public double warmUpShare;

    /** Since when it is known to have left, with nothing out; 0 if it has not. */
    private long goneSince;

    public int cores;
    public double memoryMb;
    public double memorySliceMb;
    public double threadLimit;

    /** What this manager has reserved here: MB and threads. */
    public double reservedMb;

    public int reservedThreads;
    public final List<Attempt> attemptsInFlight = new ArrayList<>();
    public EngineHealth health = EngineHealth.AVAILABLE;

    /** Another manager tries it, and tells when it is well. */
    public boolean probedByOthers;

    /**
     * It is tried for all others, or they found it well: what was lost there before does not keep
     * from trying.
     */
    public boolean probeOwner;

    /** When a batch last went there; 0 for never. */
    public long lastAttemptAt;

    public long backoff;
    public long backoffUntil;
    public long lastResponseAt;

    /** When it last seemed to have gone down, and may have started anew; 0 if it did not. */
    public long suspectedRestartAt;

    /** Errors since it last returned a batch. */
    public int consecutiveFailures;

    public long saturatedUntil;

    /** When it last told of its load, and how crowded it said it was: 1 is full. */
    public long loadReportedAt = Long.MIN_VALUE / 2;

    public double reportedLoad;

    /** It told that no batch waits in its line for memory. */
    public boolean memoryQueueEmpty;

    public long lastShrunkAt;

    /** Latency over the best of its group. */
    public final LogHistogram latencyRatios = new LogHistogram();

    /** Tables that a load holds here, and until when it is taken so. */
    public final Map<Integer, Long> tableLoadsUntil = new HashMap<>();

    /** Work sent while cold, over the fall window. */
    public final SlidingWindowCounter warmUpWork;

    public EngineState(int id, long initialBackoff, SlidingWindowCounter warmUpWork) {
        this.backoff = initialBackoff;
        this.warmUpWork = warmUpWork;
        this.id = id;
    }

    /** What the list says of it; true where it says so of a new start. */
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
     * One of its dispatches was spoken of; what was out before it seemed to go down proves that it
     * did not.
     */
    public void recordProgress(long now, Attempt attempt) {
        lastResponseAt = now;
        attempt.lastProgressAt = now;
        suspectedRestartAt = attempt.sentAt < suspectedRestartAt ? 0 : suspectedRestartAt;
    }

    /** Its latest start, told or feared; 0 for long ago. */
    public long lastStartAt() {
        return Math.max(startedAt, suspectedRestartAt);
    }

    /**
     * How long it has been off the list with nothing out; asked now and then, it counts from the
     * first time.
     */
    public long goneFor(long now) {
        boolean left = lifecycle == Lifecycle.GONE && attemptsInFlight.isEmpty();
        goneSince = !left ? 0 : goneSince == 0 ? now : goneSince;
        return left ? now - goneSince : 0;
    }

    /** Reserves what the dispatch needs. */
    public void reserve(Attempt attempt) {
        lastAttemptAt = attempt.sentAt;
        reservedMb += attempt.grantMb;
        reservedThreads += attempt.request.classStats.trafficClass.threads();
        attemptsInFlight.add(attempt);
    }

    /** Frees what the dispatch reserved. */
    public void release(Attempt attempt) {
        if (attemptsInFlight.remove(attempt)) {
            reservedMb = attemptsInFlight.isEmpty() ? 0 : reservedMb - attempt.grantMb;
            reservedThreads -= attempt.request.classStats.trafficClass.threads();
        }
    }

    /** Whether a batch of this priority runs here. */
    public boolean hasAttemptOfPriority(int priority) {
        return attemptsInFlight.stream().anyMatch(attempt -> attempt.priority == priority);
    }

    /** Whether a load is known to hold these tables here. */
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

    /** A number from 0 to 1, the same at every manager, that mixes this engine with the tables. */
    public double affinity(int tableGroup) {
        long hash = stableHash * 0x9E3779B97F4A7C15L ^ tableGroup * 0xC2B2AE3D27D4EB4FL;
        hash = (hash ^ (hash >>> 29)) * 0xBF58476D1CE4E5B9L;
        return ((hash ^ (hash >>> 32)) & 0xFFFF) / 65_536.0;
    }
}
