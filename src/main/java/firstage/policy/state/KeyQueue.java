package firstage.policy.state;

import java.util.ArrayDeque;

/** The line of one key. */
public final class KeyQueue {
    public final ArrayDeque<RequestState> line = new ArrayDeque<>();
    public long restUntil;

    public boolean isOver(long now) {
        return line.isEmpty() && now >= restUntil;
    }
}
