package firstage.overload;

import java.util.Collection;
import net.openhft.hashing.LongHashFunction;

/**
 * An order of managers for each thing, which all know alike without a word (Thaler and Ravishankar
 * 1998); XXH3.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** The rank of a manager for this thing; the highest comes first. */
    public static long rank(long thing, String name) {
        return LongHashFunction.xx3(thing).hashChars(name);
    }

    /** How many of these come before this one. */
    public static long countBefore(long thing, Collection<String> names, String self) {
        long ownRank = rank(thing, self);
        return names.stream().filter(name -> rank(thing, name) > ownRank).count();
    }
}
