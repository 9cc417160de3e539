package firstage.policy.state;

import java.util.ArrayDeque;

/** The open requests of one ordering key, in their order of arrival. */
public final class KeyQueue {
    public final ArrayDeque<RequestState> waiting = new ArrayDeque<>();

    /** Until when no new request of the key starts, in ticks. */
    public long quietUntil;

    /** Whether no request is open and the pause is over. */
    public boolean isIdle(long now) {
        return waiting.isEmpty() && now >= quietUntil;
    }
}
