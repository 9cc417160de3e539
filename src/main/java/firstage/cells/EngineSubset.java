package firstage.cells;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Part of the endpoint list that this manager may use. Entries of engines that its cell gains, but
 * that other cells may not have released, are kept until the engines are released. Entries of
 * engines that its cell does not serve are not kept at all, so that a manager holds the engines of
 * its cell and no more.
 */
public final class EngineSubset<T> {
    private final CellDirectory cells;
    private final ToLongFunction<T> id;
    private final Function<T, String> zone;
    private final Predicate<T> isGone;
    private final Map<Long, T> awaitedEntries = new LinkedHashMap<>();

    /**
     * Creates the filter for one kind of entry.
     *
     * @param id returns the id of an entry's engine
     * @param zone returns the zone of an entry's engine
     * @param isGone returns whether an entry reports its engine as gone
     */
    public EngineSubset(
            CellDirectory cells,
            ToLongFunction<T> id,
            Function<T, String> zone,
            Predicate<T> isGone) {
        this.cells = cells;
        this.id = id;
        this.zone = zone;
        this.isGone = isGone;
    }

    /**
     * Returns those of the entries that this manager may use now.
     *
     * @param replacesAll whether the entries replace all earlier ones
     */
    public List<T> filter(boolean replacesAll, List<T> entries) {
        if (replacesAll) {
            awaitedEntries.clear();
        }
        List<T> usable = new ArrayList<>();
        for (T entry : entries) {
            long engine = id.applyAsLong(entry);
            if (cells.mayUse(engine, zone.apply(entry))) {
                usable.add(entry);
            } else if (!isGone.test(entry) && cells.awaitsRelease(engine, zone.apply(entry))) {
                awaitedEntries.put(engine, entry);
            } else {
                awaitedEntries.remove(engine);
            }
        }
        return usable;
    }

    /** Removes and returns the kept entries that may be used now. */
    public List<T> takeReleased() {
        List<T> usable =
                awaitedEntries.values().stream()
                        .filter(entry -> cells.mayUse(id.applyAsLong(entry), zone.apply(entry)))
                        .toList();
        usable.forEach(entry -> awaitedEntries.remove(id.applyAsLong(entry)));
        return usable;
    }

    /** Returns the number of engines whose release is awaited. */
    public int awaitedCount() {
        return awaitedEntries.size();
    }
}
