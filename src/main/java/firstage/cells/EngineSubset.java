package firstage.cells;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The part of the endpoint list that this manager may use. What its cell gains and others may not
 * have released is kept until they have; what its cell does not serve is not kept at all, so that a
 * manager holds its cell's engines and no more.
 */
public final class EngineSubset<T> {
    private final CellDirectory cells;
    private final ToLongFunction<T> id;
    private final Function<T, String> zone;
    private final Predicate<T> isGone;
    private final Map<Long, T> awaitedCount = new LinkedHashMap<>();

    /** How an entry of the list gives its engine's id and zone, and whether the engine is gone. */
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
     * The entries that this manager may use; {@code replacesAll}: they take the place of all
     * before.
     */
    public List<T> filter(boolean replacesAll, List<T> entries) {
        if (replacesAll) {
            awaitedCount.clear();
        }
        List<T> passed = new ArrayList<>();
        for (T entry : entries) {
            long engine = id.applyAsLong(entry);
            if (cells.mayUse(engine, zone.apply(entry))) {
                passed.add(entry);
            } else if (!isGone.test(entry) && cells.awaits(engine, zone.apply(entry))) {
                awaitedCount.put(engine, entry);
            } else {
                awaitedCount.remove(engine);
            }
        }
        return passed;
    }

    /** The kept entries that may be used now; they are not kept any longer. */
    public List<T> takeReleased() {
        List<T> passed =
                awaitedCount.values().stream()
                        .filter(entry -> cells.mayUse(id.applyAsLong(entry), zone.apply(entry)))
                        .toList();
        passed.forEach(entry -> awaitedCount.remove(id.applyAsLong(entry)));
        return passed;
    }

    /** How many engines are waited for. */
    public int awaitedCount() {
        return awaitedCount.size();
    }
}
