package firstage.policy.state;

import java.util.ArrayDeque;

/** The line of one key. */
public final class Turn {
    public final ArrayDeque<Batch> line = new ArrayDeque<>();
    public long restUntil;

    public boolean isOver(long now) {
        return line.isEmpty() && now >= restUntil;
    }
}
