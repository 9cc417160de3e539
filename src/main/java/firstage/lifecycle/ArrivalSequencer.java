package firstage.lifecycle;

import java.util.HashMap;
import java.util.Map;

/**
 * In which order batches of one key came, as far as it can be known (rule 5 counts from the last
 * byte at this machine, not from when it is read). A batch with a key is told to the decisions only
 * when all that had come before it was read has been read, too. Another of its key that turns up
 * meanwhile may have come before or after it: its turn can't be told, and it is told as such, ahead
 * of the first, so that at most one of them ever runs.
 *
 * <table>
 * <caption>State of a key, event, next state, effect</caption>
 * <tr><td>clear</td><td>a batch came</td><td>unsettled</td><td>ask for a barrier</td></tr>
 * <tr><td>unsettled</td><td>another came</td><td>unsettled</td><td>tell it, turn unknown</td></tr>
 * <tr><td>unsettled</td><td>the barrier was passed</td><td>clear</td>
 *     <td>tell the first, turn known</td></tr>
 * </table>
 */
public final class ArrivalSequencer<B> {
    /** Carries the effects out. */
    public interface Carrier<B> {
        /**
         * To be answered by {@link ArrivalSequencer#passed} once all that has come until now is
         * read and told.
         */
        void barrier(Object key);

        /** The batch is taken; where its turn is unknown it must not run. */
        void taken(B batch, boolean turnKnown);
    }

    private final Carrier<B> carrier;
    private final Map<Object, B> unsettled = new HashMap<>();

    public ArrivalSequencer(Carrier<B> carrier) {
        this.carrier = carrier;
    }

    /** A batch was read whole; {@code key} null where nobody waits for its turn. */
    public void came(B batch, Object key) {
        if (key == null) {
            carrier.taken(batch, true);
        } else if (unsettled.putIfAbsent(key, batch) == null) {
            carrier.barrier(key);
        } else {
            carrier.taken(batch, false);
        }
    }

    /** All that had come when the barrier was asked for has been told. */
    public void passed(Object key) {
        B first = unsettled.remove(key);
        if (first != null) {
            carrier.taken(first, true);
        }
    }

    /** Batches that were read and not told yet. */
    public int unsettled() {
        return unsettled.size();
    }
}
