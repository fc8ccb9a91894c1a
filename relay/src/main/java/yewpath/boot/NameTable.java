package yewpath.boot;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Maps names to small indices and back. A released index is reused. */
public final class NameTable {
    private final Map<String, Integer> indices = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final ArrayDeque<Integer> freeIndices = new ArrayDeque<>();

    /** Returns the index of a name; a name that has none gets a new or a released one. */
    public int getOrAdd(String name) {
        Integer existing = indices.get(name);
        if (existing != null) {
            return existing;
        }
        int index;
        if (freeIndices.isEmpty()) {
            index = names.size();
            names.add(name);
        } else {
            index = freeIndices.poll();
            names.set(index, name);
        }
        indices.put(name, index);
        return index;
    }

    /** Returns the index of a name; -1 if it has none. */
    public int find(String name) {
        return indices.getOrDefault(name, -1);
    }

    /** Returns the name of an index; null if it was released. */
    public String name(int index) {
        return names.get(index);
    }

    /** Releases an index, which another name may then get. */
    public void release(int index) {
        indices.remove(names.get(index));
        names.set(index, null);
        freeIndices.add(index);
    }
}
