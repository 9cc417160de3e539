package firstage.lifecycle;

import firstage.util.Ticks;

/**
 * Finds pauses of the I/O thread: the process was stopped, the machine was busy, or the thread
 * itself was. A beat that comes late shows one. What is read after a pause may have arrived at its
 * beginning, until all that arrived meanwhile has been read.
 *
 * <table>
 * <caption>State, event, next state, action</caption>
 * <tr><td>running</td><td>a beat is overdue</td><td>paused</td><td>request a read barrier</td></tr>
 * <tr><td>paused</td><td>a beat is overdue</td><td>paused</td><td>request another</td></tr>
 * <tr><td>either</td><td>reads are blocked</td><td>paused</td><td>request another</td></tr>
 * <tr><td>paused</td><td>the last barrier was passed</td><td>running</td><td>-</td></tr>
 * </table>
 *
 * <p>Times are ticks. Calls come on one thread.
 */
public final class PauseDetector {
    /** Between two beats. */
    public static final long BEAT_INTERVAL = Ticks.ofMillis(30);

    /** A beat that is later than this shows a pause. */
    private static final long MAX_HEARTBEAT_DELAY = Ticks.ofMillis(20);

    private static final long NOT_PAUSED = -1;

    /** What the detector causes. */
    public interface PauseActions {
        /**
         * {@link PauseDetector#onBacklogRead} is to be called once all that has arrived until now
         * is read.
         */
        void requestReadBarrier();
    }

    private final PauseActions actions;

    /** All that had arrived by then was read by the last beat. */
    private long previousHeartbeat;

    private long lastHeartbeat;
    private long pausedSince = NOT_PAUSED;
    private int pendingBarriers;

    /** {@code now}: nothing can have arrived before. */
    public PauseDetector(PauseActions actions, long now) {
        this.actions = actions;
        previousHeartbeat = now;
        lastHeartbeat = now;
    }

    /** To be called each {@link #BEAT_INTERVAL}. */
    public void onBeat(long now) {
        detect(now);
        previousHeartbeat = lastHeartbeat;
        lastHeartbeat = now;
    }

    /** What arrives is not read, from now on or since the last beats, until a barrier is passed. */
    public void onReadsBlocked(long now) {
        detect(now);
        catchUpSince(previousHeartbeat);
    }

    /** All that had arrived when a read barrier was requested has been read. */
    public void onBacklogRead(long now) {
        detect(now);
        pendingBarriers--;
        if (pendingBarriers == 0) {
            pausedSince = NOT_PAUSED;
        }
    }

    /** Whether what arrived during a pause is not all read yet. */
    public boolean isCatchingUp(long now) {
        detect(now);
        return pausedSince != NOT_PAUSED;
    }

    /** The earliest moment at which something that is read now can have arrived. */
    public long earliestArrival(long now) {
        return isCatchingUp(now) ? pausedSince : now;
    }

    private void detect(long now) {
        if (now - lastHeartbeat <= BEAT_INTERVAL + MAX_HEARTBEAT_DELAY) {
            return;
        }
        long pauseStart = previousHeartbeat;
        previousHeartbeat = now;
        lastHeartbeat = now;
        catchUpSince(pauseStart);
    }

    private void catchUpSince(long since) {
        pausedSince = pausedSince == NOT_PAUSED ? since : pausedSince;
        pendingBarriers++;
        actions.requestReadBarrier();
    }
}
