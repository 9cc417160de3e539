package firstage.overload;

import java.util.Collection;
import net.openhft.hashing.LongHashFunction;

/**
 * Orders managers by rendezvous hashing (Thaler and Ravishankar 1998) with XXH3: all managers
 * compute the same order for a key without exchanging messages.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the rank of a manager for this key; the manager with the highest rank comes first.
     */
    public static long rank(long key, String name) {
        return LongHashFunction.xx3(key).hashChars(name);
    }

    /** Returns how many of the named managers come before this manager for the key. */
    public static long countBefore(long key, Collection<String> names, String self) {
        long ownRank = rank(key, self);
        return names.stream().filter(name -> rank(key, name) > ownRank).count();
    }
}
