package yewpath.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The content that a configuration file may have: keys, tables, arrays of tables and one table with free
 * keys.
 */
public final class FileSchema {
    final Map<String, Key> keys = new LinkedHashMap<>();
    final Map<String, String> tables;
    final Map<String, List<Key>> tableArrays;
    final String freeTable;

    /**
     * Creates a schema.
     *
     * @param keys the keys of single tables
     * @param tables the name of each table, with a description
     * @param tableArrays the keys of each table that may occur several times ([[name]]); their paths omit
     *     the name
     * @param freeTable the table whose keys may have any name and hold numbers or lists of numbers; null
     *     for none
     */
    public FileSchema(List<Key> keys, Map<String, String> tables, Map<String, List<Key>> tableArrays,
        String freeTable) {
        keys.forEach(key -> this.keys.put(key.path, key));
        this.tables = tables;
        this.tableArrays = tableArrays;
        this.freeTable = freeTable;
    }
}
