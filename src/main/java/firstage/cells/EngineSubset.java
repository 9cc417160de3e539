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
    private final Predicate<T> gone;
    private final Map<Long, T> awaited = new LinkedHashMap<>();

    /** How an entry of the list tells its engine's id and zone, and that the engine is gone. */
    public EngineSubset(
            CellDirectory cells,
            ToLongFunction<T> id,
            Function<T, String> zone,
            Predicate<T> gone) {
        this.cells = cells;
        this.id = id;
        this.zone = zone;
        this.gone = gone;
    }

    /** What of this is told on; {@code whole}: it takes the place of all that was told before. */
    public List<T> pass(boolean whole, List<T> entries) {
        if (whole) {
            awaited.clear();
        }
        List<T> passed = new ArrayList<>();
        for (T e : entries) {
            long engine = id.applyAsLong(e);
            if (cells.uses(engine, zone.apply(e))) {
                passed.add(e);
            } else if (!gone.test(e) && cells.awaits(engine, zone.apply(e))) {
                awaited.put(engine, e);
            } else {
                awaited.remove(engine);
            }
        }
        return passed;
    }

    /** What was kept and may be used now. */
    public List<T> freed() {
        List<T> passed =
                awaited.values().stream()
                        .filter(e -> cells.uses(id.applyAsLong(e), zone.apply(e)))
                        .toList();
        passed.forEach(e -> awaited.remove(id.applyAsLong(e)));
        return passed;
    }

    /** How many engines are waited for. */
    public int awaited() {
        return awaited.size();
    }
}
