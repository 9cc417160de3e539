package firstage.policy.state;

import firstage.policy.api.EndpointUpdate.Endpoint;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An engine as this workload manager sees it. */
public final class EngineState {
    public final int index;
    public long mark;
    public int zone;
    public int kind;
    public int cell;
    public Lifecycle standing = Lifecycle.GONE;
    public long since;

    /** Of what it bears while it is cold, this manager's part; 0: by the settings. */
    public double coldPart;

    /** Since when it is known to have left, with nothing out; 0 if it has not. */
    private long leftSince;

    public int cores;
    public double memory;
    public double slice;
    public double bound;

    /** What this manager has reserved here: MB and threads. */
    public double reserved;

    public int threads;
    public final List<Attempt> flights = new ArrayList<>();
    public EngineHealth health = EngineHealth.AVAILABLE;

    /** Another manager tries it, and tells when it is well. */
    public boolean othersTry;

    /**
     * It is tried for all others, or they found it well: what was lost there before does not keep
     * from trying.
     */
    public boolean triesForAll;

    /** When a batch last went there; 0 for never. */
    public long sentAt;

    public long rest;
    public long restUntil;
    public long heard;

    /** When it last seemed to have gone down, and may have started anew; 0 if it did not. */
    public long downAt;

    /** Errors since it last returned a batch. */
    public int errors;

    public long pressedUntil;

    /** When it last told of its load, and how crowded it said it was: 1 is full. */
    public long toldAt = Long.MIN_VALUE / 2;

    public double crowd;

    /** It told that no batch waits in its line for memory. */
    public boolean noLine;

    public long shrunk;

    /** Latency over the best of its group. */
    public final LogHistogram slow = new LogHistogram();

    /** Tables that a load holds here, and until when it is taken so. */
    public final Map<Integer, Long> loaded = new HashMap<>();

    /** Work sent while cold, over the fall window. */
    public final SlidingWindowCounter cold;

    public EngineState(int index, long rest, SlidingWindowCounter cold) {
        this.rest = rest;
        this.cold = cold;
        this.index = index;
    }

    /** What the list says of it; true where it says so of a new start. */
    public boolean listed(Endpoint entry) {
        boolean restarted = entry.startedAt() > since && mark != 0;
        mark = entry.stableHash();
        zone = entry.zone();
        cell = entry.cell();
        standing = entry.lifecycle();
        coldPart = entry.warmUpShare();
        since = Math.max(since, entry.startedAt());
        if (restarted) {
            loaded.clear();
        }
        return restarted;
    }

    /**
     * One of its dispatches was spoken of; what was out before it seemed to go down proves that it
     * did not.
     */
    public void spoke(long now, Attempt f) {
        heard = now;
        f.heard = now;
        downAt = f.sent < downAt ? 0 : downAt;
    }

    /** Its latest start, told or feared; 0 for long ago. */
    public long start() {
        return Math.max(since, downAt);
    }

    /**
     * How long it has been off the list with nothing out; asked now and then, it counts from the
     * first time.
     */
    public long leftFor(long now) {
        boolean left = standing == Lifecycle.GONE && flights.isEmpty();
        leftSince = !left ? 0 : leftSince == 0 ? now : leftSince;
        return left ? now - leftSince : 0;
    }

    /** Reserves what the dispatch needs. */
    public void take(Attempt f) {
        reserved += f.grant;
        threads += f.batch.group.is.threads();
        flights.add(f);
    }

    /** Frees what the dispatch reserved. */
    public void land(Attempt f) {
        if (flights.remove(f)) {
            reserved = flights.isEmpty() ? 0 : reserved - f.grant;
            threads -= f.batch.group.is.threads();
        }
    }

    /** Whether a batch of this priority runs here. */
    public boolean runs(int priority) {
        return flights.stream().anyMatch(f -> f.priority == priority);
    }

    /** Whether a load is known to hold these tables here. */
    public boolean holdsLoad(long now, int tables) {
        if (loaded.getOrDefault(tables, 0L) > now) {
            return true;
        }
        for (Attempt f : flights) {
            if (f.batch.is.tableGroup() == tables && f.batch.group.is.tableLoad()) {
                return true;
            }
        }
        return false;
    }

    /** A number from 0 to 1, the same at every manager, that mixes this engine with the tables. */
    public double affinity(int tables) {
        long h = mark * 0x9E3779B97F4A7C15L ^ tables * 0xC2B2AE3D27D4EB4FL;
        h = (h ^ (h >>> 29)) * 0xBF58476D1CE4E5B9L;
        return ((h ^ (h >>> 32)) & 0xFFFF) / 65_536.0;
    }
}
