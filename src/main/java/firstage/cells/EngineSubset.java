package firstage.cells;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Of the list of engines what this manager may use. What its cell gains and others may not have
 * given up is kept until they have; what its cell does not serve is not kept at all, so that a
 * manager holds its cell's engines and no more, however many there are.
 */
public final class EngineSubset<T> {
    private final CellDirectory cells;
    private final ToLongFunction<T> id;
    private final Function<T, String> zone;
    private final Predicate<T> isGone;
    private final Map<Long, T> awaitedCount = new LinkedHashMap<>();

    /** How an entry of the list tells its engine's id and zone, and that the engine is gone. */
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

    /** What of this is told on; {@code whole}: it takes the place of all that was told before. */
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

    /** What was kept and may be used now. */
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
