package firstage.policy.state;

import java.util.ArrayDeque;

/** The line of one key. */
public final class KeyQueue {
    public final ArrayDeque<RequestState> waiting = new ArrayDeque<>();
    public long quietUntil;

    public boolean isIdle(long now) {
        return waiting.isEmpty() && now >= quietUntil;
    }
}
