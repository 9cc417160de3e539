package firstage.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps the wire's ids to small indices and back, so that state can stand in arrays. An index that
 * was released is given to another id.
 *
 * @param <T> the type of the ids
 */
public final class IdRegistry<T> {
    private static final int NO_INDEX = -1;

    private final Map<T, Integer> indexById = new HashMap<>();
    private final List<T> idByIndex = new ArrayList<>();
    private final List<Integer> freeIndices = new ArrayList<>();

    /** The index of an id, which gets one if it has none. */
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

    /** The index of an id, or -1 if it has none. */
    public int findIndex(T id) {
        return indexById.getOrDefault(id, NO_INDEX);
    }

    /** The id that has this index; null after its release. */
    public T idOf(int index) {
        return idByIndex.get(index);
    }

    /** How many ids have an index. */
    public int size() {
        return indexById.size();
    }

    /** Frees the index for another id. */
    public void release(int index) {
        indexById.remove(idByIndex.get(index));
        idByIndex.set(index, null);
        freeIndices.add(index);
    }
}
