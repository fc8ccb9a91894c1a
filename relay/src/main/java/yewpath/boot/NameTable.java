package yewpath.boot;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Ids to small indices and back; an index is used again once its id has been let go. */
public final class NameTable {
    private final Map<String, Integer> indices = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final ArrayDeque<Integer> free = new ArrayDeque<>();

    /** Returns the index of a name, a new or reused one where it has none yet. */
    public int getOrAdd(String name) {
        Integer known = indices.get(name);
        if (known != null) {
            return known;
        }
        int index;
        if (free.isEmpty()) {
            index = names.size();
            names.add(name);
        } else {
            index = free.poll();
            names.set(index, name);
        }
        indices.put(name, index);
        return index;
    }

    public int find(String name) {
        return indices.getOrDefault(name, -1);
    }

    public String name(int index) {
        return names.get(index);
    }

    /** Frees an index; another name may get it. */
    public void release(int index) {
        indices.remove(names.get(index));
        names.set(index, null);
        free.add(index);
    }
}
