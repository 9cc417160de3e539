package firstage.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Maps the wire's ids to small indices and back; released indices serve again. */
public final class IdRegistry<T> {
    private final Map<T, Integer> byId = new HashMap<>();
    private final List<T> ids = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();

    public int of(T id) {
        Integer known = byId.get(id);
        if (known != null) {
            return known;
        }
        int index = free.isEmpty() ? ids.size() : free.remove(free.size() - 1);
        if (index == ids.size()) {
            ids.add(id);
        } else {
            ids.set(index, id);
        }
        byId.put(id, index);
        return index;
    }

    /** The index of {@code id}, or -1 if it has none. */
    public int find(T id) {
        return byId.getOrDefault(id, -1);
    }

    public T id(int index) {
        return ids.get(index);
    }

    /** How many ids have an index. */
    public int inUse() {
        return byId.size();
    }

    public void release(int index) {
        byId.remove(ids.get(index));
        ids.set(index, null);
        free.add(index);
    }
}
