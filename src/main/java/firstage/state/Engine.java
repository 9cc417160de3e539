package firstage.state;

import firstage.door.EngineList.Standing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An engine as this workload manager sees it. */
public final class Engine {
    public final int index;
    public long mark;
    public int zone;
    public int kind;
    public int cell;
    public Standing standing = Standing.LEFT;
    public long since;
    public int cores;
    public double memory;
    public double slice;
    public double bound;
    /** What this manager has reserved here: MB and threads. */
    public double reserved;
    public int threads;
    public final List<Flight> flights = new ArrayList<>();
    public Health health = Health.READY;
    public long rest;
    public long restUntil;
    public long heard;
    /** Errors since it last returned a batch. */
    public int errors;
    public long pressedUntil;
    /** When it last told of its load, and how crowded it said it was: 1 is full. */
    public long toldAt = Long.MIN_VALUE / 2;
    public double crowd;
    /** It told that no batch waits in its line. */
    public boolean noLine;
    public long shrunk;
    /** Latency over the best of its group. */
    public final Bins slow = new Bins();
    /** Tables that a load holds here, and until when it is taken so. */
    public final Map<Integer, Long> loaded = new HashMap<>();
    /** Work sent while cold, over the fall window. */
    public final Tally cold;

    public Engine(int index, long rest, Tally cold) {
        this.rest = rest;
        this.cold = cold;
        this.index = index;
    }

    /** A number from 0 to 1, the same at every manager, that mixes this engine with the tables. */
    public double affinity(int tables) {
        long h = mark * 0x9E3779B97F4A7C15L ^ tables * 0xC2B2AE3D27D4EB4FL;
        h = (h ^ (h >>> 29)) * 0xBF58476D1CE4E5B9L;
        return ((h ^ (h >>> 32)) & 0xFFFF) / 65_536.0;
    }
}
