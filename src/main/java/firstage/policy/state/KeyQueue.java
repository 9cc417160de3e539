package firstage.policy.state;

import java.util.ArrayDeque;

/** Open requests of one ordering key, in their order of arrival. */
public final class KeyQueue {
    public final ArrayDeque<RequestState> openRequests = new ArrayDeque<>();

    /** Time until which no new request of the key may start, in ticks. */
    public long quietUntil;

    /** Returns whether the key has no open request and its pause is over. */
    public boolean isIdle(long now) {
        return openRequests.isEmpty() && now >= quietUntil;
    }
}
