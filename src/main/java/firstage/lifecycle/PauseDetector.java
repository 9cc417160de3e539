package firstage.lifecycle;

import firstage.util.Ticks;
import java.util.ArrayDeque;

/**
 * Detects pauses of the I/O thread by a heartbeat that comes late: the process was stopped, or the
 * machine or the thread was busy. Input that is read after a pause may have arrived as early as the
 * start of the pause, until everything that arrived during the pause has been read.
 *
 * <table>
 * <caption>State, event, next state, action</caption>
 * <tr><td>running</td><td>a heartbeat is overdue</td><td>paused</td>
 *     <td>request a read barrier</td></tr>
 * <tr><td>paused</td><td>a heartbeat is overdue</td><td>paused</td>
 *     <td>request another read barrier</td></tr>
 * <tr><td>any</td><td>reads are blocked</td><td>paused</td>
 *     <td>request another read barrier</td></tr>
 * <tr><td>paused</td><td>the last read barrier is passed</td><td>running</td><td>-</td></tr>
 * <tr><td>paused</td><td>another read barrier is passed</td><td>paused, since the time of its
 *     request at the earliest</td><td>-</td></tr>
 * </table>
 *
 * <p>Times are ticks. All calls come on one thread.
 */
public final class PauseDetector {
    /** Interval between two heartbeats, in ticks. */
    public static final long HEARTBEAT_INTERVAL = Ticks.ofMillis(30);

    /** Lateness of a heartbeat, in ticks, above which the thread counts as paused. */
    private static final long MAX_HEARTBEAT_DELAY = Ticks.ofMillis(20);

    private static final long NOT_PAUSED = -1;

    /** Actions of the detector. */
    public interface PauseActions {
        /**
         * Requests that {@link PauseDetector#onBacklogRead} is called once everything that has
         * arrived until now is read.
         */
        void requestReadBarrier();
    }

    private final PauseActions actions;

    /**
     * Time of the heartbeat before the last; input that had arrived by then was read by the time of
     * the last heartbeat.
     */
    private long previousHeartbeat;

    private long lastHeartbeat;
    private long pausedSince = NOT_PAUSED;

    /** Times at which the read barriers that are not passed yet were requested. */
    private final ArrayDeque<Long> pendingBarriers = new ArrayDeque<>();

    /** Creates a detector; nothing can have arrived before {@code now}. */
    public PauseDetector(PauseActions actions, long now) {
        this.actions = actions;
        previousHeartbeat = now;
        lastHeartbeat = now;
    }

    /** Records a heartbeat; to be called every {@link #HEARTBEAT_INTERVAL}. */
    public void onHeartbeat(long now) {
        detect(now);
        previousHeartbeat = lastHeartbeat;
        lastHeartbeat = now;
    }

    /**
     * Records that some input is not read until a read barrier is passed; such input may have
     * arrived since the heartbeat before the last.
     */
    public void onReadsBlocked(long now) {
        detect(now);
        catchUpSince(previousHeartbeat, now);
    }

    /**
     * Records that everything that had arrived when the oldest pending read barrier was requested
     * was read. What is not read yet has arrived later, even if a thread that is busy all the time
     * always has another barrier pending.
     */
    public void onBacklogRead(long now) {
        detect(now);
        long readUntil = pendingBarriers.remove();
        pausedSince = pendingBarriers.isEmpty() ? NOT_PAUSED : Math.max(pausedSince, readUntil);
    }

    /** Returns whether some input that arrived during a pause may not be read yet. */
    public boolean isCatchingUp(long now) {
        detect(now);
        return pausedSince != NOT_PAUSED;
    }

    /** Returns the earliest moment at which input that is read now can have arrived. */
    public long earliestArrival(long now) {
        return isCatchingUp(now) ? pausedSince : now;
    }

    private void detect(long now) {
        if (now - lastHeartbeat <= HEARTBEAT_INTERVAL + MAX_HEARTBEAT_DELAY) {
            return;
        }
        long pauseStart = previousHeartbeat;
        previousHeartbeat = now;
        lastHeartbeat = now;
        catchUpSince(pauseStart, now);
    }

    private void catchUpSince(long since, long now) {
        pausedSince = pausedSince == NOT_PAUSED ? since : pausedSince;
        pendingBarriers.add(now);
        actions.requestReadBarrier();
    }
}
