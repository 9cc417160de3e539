package firstage.policy.state;

import firstage.policy.api.IncomingRequest;
import java.util.ArrayList;
import java.util.List;

/** A batch that is open, or closed with a dispatch still out. */
public final class RequestState {
    public final IncomingRequest is;
    public final TrafficClassStats group;

    /** Place in the order of arrival at this manager. */
    public final long order;

    public final long taken;

    /** Its key where its group keeps order, else -1. */
    public final int key;

    public long goalAt;
    public int dispatches;
    public boolean overShare;

    /** Of its worth (door.Demand). */
    public int band;

    /**
     * Of the dispatches that are over, one may have run; the first such was sent then, to that
     * engine.
     */
    public boolean mayHaveRun;

    public long firstRun;
    public EngineState firstEngine;
    public EngineState last;

    /** Engines that it erred at, and the first of them. */
    public int errors;

    public EngineState erredAt;
    public boolean closed;

    /** Its client may have left: it is not to be sent. */
    public boolean away;

    /** The engines asked for their load before it goes, and when. */
    public List<EngineState> looked = List.of();

    public long lookedAt;
    public final List<Attempt> out = new ArrayList<>();

    public RequestState(IncomingRequest is, TrafficClassStats group, long order, long taken) {
        this.is = is;
        this.group = group;
        this.order = order;
        this.taken = taken;
        this.key = group.is.ordered() ? is.orderingKey() : -1;
    }

    /** A dispatch that is over may have run. */
    public void ran(Attempt f) {
        if (!mayHaveRun || f.sent < firstRun) {
            firstRun = f.sent;
            firstEngine = f.engine;
        }
        mayHaveRun = true;
    }

    /**
     * When the earliest dispatch was sent that may have run or is still out; {@code now} without
     * any.
     */
    public long firstSent(long now) {
        long first = mayHaveRun ? firstRun : now;
        for (Attempt f : out) {
            first = Math.min(first, f.sent);
        }
        return first;
    }

    /** The told estimate, as the group runs at its best, else the work of a usual batch. */
    public double expectedWork() {
        return is.estimatedWork() > 0 ? is.estimatedWork() * group.best() : group.usualWork();
    }

    /** How long that takes on its threads. */
    public long expectedRun() {
        return (long) expectedWork() / group.is.threads();
    }

    /** The told estimate of its memory, else the group's mean; 0 without both. */
    public double memoryFigure() {
        return is.estimatedMemoryMb() > 0 ? is.estimatedMemoryMb() : group.memory.or(0);
    }

    /** Whether all engines it looked at have told of their load since. */
    public boolean toldAll() {
        return looked.stream().allMatch(e -> e.toldAt >= lookedAt);
    }

    public Attempt flight(int number) {
        for (Attempt f : out) {
            if (f.number == number) {
                return f;
            }
        }
        return null;
    }
}
