package firstage.server;

import firstage.policy.api.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioExecutor;

/**
 * One batch between its client and the engines: all that the two sides know of each other. What
 * goes on unchanged is kept as the bytes that came.
 */
public final class RequestExchange {
    /** The client's side: exactly one of the three is called, once. */
    public interface Reply {
        void returned(List<byte[]> pages);

        void pushedBack(long comeBack);

        void errored();
    }

    /** The engines' side: a dispatch that is out. */
    public interface Dispatch {
        int number();

        int engine();

        void priority(int priority);

        /** Ends it with this outcome, once the engine was told or can't be. */
        void giveUp(AttemptOutcome how);
    }

    public final String id;
    public final String group;
    public final byte[] statement;

    /** When the client's time is up, on the clock of the decisions. */
    public final long notAfter;

    public final List<Dispatch> out = new ArrayList<>();

    /** Its index, as the decisions know it. */
    public int batch = -1;

    /** Its key, or null: others with the same may wait for it to be over. */
    public String key;

    /** How old its client's connection was when it was read, in ms. */
    public long connectionAge;

    /** Rings when the client's time is up. */
    public XnioExecutor.Key timeUp;

    public int dispatches;
    public int grantMb;
    public int priority = 1;

    /** Its client may be gone: nothing is to be sent for it. */
    public boolean away;

    /** Since when its client is on no line of ours; below 0 while it is. */
    private long absentSince = -1;

    private final Reply reply;
    private boolean over;

    public RequestExchange(String id, String group, byte[] statement, long notAfter, Reply reply) {
        this.id = id;
        this.group = group;
        this.statement = statement;
        this.notAfter = notAfter;
        this.reply = reply;
    }

    /** Whether the client has its answer or is owed none. */
    public boolean over() {
        return over;
    }

    /** Its client is on no line any more; the first time counts. */
    public void absent(long now) {
        absentSince = absentSince < 0 ? now : absentSince;
    }

    /** Its client is on a line again. */
    public void present() {
        absentSince = -1;
    }

    /** How long its client has been on no line; 0 while it is. */
    public long absentFor(long now) {
        return absentSince < 0 ? 0 : now - absentSince;
    }

    /** The client left. */
    public void left() {
        over = true;
    }

    public boolean returned(List<byte[]> pages) {
        boolean first = !over;
        over = true;
        if (first) {
            reply.returned(pages);
        }
        return first;
    }

    public boolean pushedBack(long comeBack) {
        boolean first = !over;
        over = true;
        if (first) {
            reply.pushedBack(comeBack);
        }
        return first;
    }

    public boolean errored() {
        boolean first = !over;
        over = true;
        if (first) {
            reply.errored();
        }
        return first;
    }
}
