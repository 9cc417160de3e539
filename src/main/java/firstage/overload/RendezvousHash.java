package firstage.overload;

import java.util.Collection;
import net.openhft.hashing.LongHashFunction;

/**
 * Orders managers by rendezvous hashing (Thaler and Ravishankar 1998), with XXH3: all compute the
 * same order for a key without a message.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** The rank of a manager for this key; the highest comes first. */
    public static long rank(long thing, String name) {
        return LongHashFunction.xx3(thing).hashChars(name);
    }

    /** How many of these come before this manager. */
    public static long countBefore(long thing, Collection<String> names, String self) {
        long ownRank = rank(thing, self);
        return names.stream().filter(name -> rank(thing, name) > ownRank).count();
    }
}
