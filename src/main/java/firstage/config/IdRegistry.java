package firstage.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns small indices to the wire's ids and maps them back, so that state can be held in arrays.
 * A released index is assigned to another id.
 *
 * @param <T> the type of the ids
 */
public final class IdRegistry<T> {
    private static final int NO_INDEX = -1;

    private final Map<T, Integer> indexById = new HashMap<>();
    private final List<T> idByIndex = new ArrayList<>();
    private final List<Integer> freeIndices = new ArrayList<>();

    /** Returns the index of an id, assigning one if it has none. */
    public int indexFor(T id) {
        Integer known = indexById.get(id);
        if (known != null) {
            return known;
        }
        int index =
                freeIndices.isEmpty()
                        ? idByIndex.size()
                        : freeIndices.remove(freeIndices.size() - 1);
        if (index == idByIndex.size()) {
            idByIndex.add(id);
        } else {
            idByIndex.set(index, id);
        }
        indexById.put(id, index);
        return index;
    }

    /** Returns the index of an id, or -1 if it has none. */
    public int findIndex(T id) {
        return indexById.getOrDefault(id, NO_INDEX);
    }

    /** Returns the id that has this index; null after its release. */
    public T idOf(int index) {
        return idByIndex.get(index);
    }

    /** Returns the number of ids that have an index. */
    public int size() {
        return indexById.size();
    }

    /** Releases an index, which may then be assigned to another id. */
    public void release(int index) {
        indexById.remove(idByIndex.get(index));
        idByIndex.set(index, null);
        freeIndices.add(index);
    }
}
