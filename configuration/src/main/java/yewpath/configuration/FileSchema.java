package yewpath.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a file may hold: keys by path, lists of tables by name, and tables whose keys are free. */
public final class FileSchema {
    final Map<String, Key> keys = new LinkedHashMap<>();
    final Map<String, String> tables;
    final Map<String, List<Key>> lists;
    final String free;

    /**
     * {@code tables} are names with what they are for. {@code lists} name tables that may stand several times
     * ([[name]]), whose keys have paths without the name. {@code free} is the table whose keys are numbers or lists of
     * numbers under any name; null for none.
     */
    public FileSchema(List<Key> keys, Map<String, String> tables, Map<String, List<Key>> lists, String free) {
        keys.forEach(key -> this.keys.put(key.path, key));
        this.tables = tables;
        this.lists = lists;
        this.free = free;
    }
}
