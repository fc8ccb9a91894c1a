package yewpath.configuration;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The values of a configuration file, with the defaults of the keys that the file does not set. The typed
 * getters throw NullPointerException for a key that has neither a value in the file nor a default.
 */
public final class SettingValues {
    private final Map<Key, Object> fileValues = new HashMap<>();
    private final Map<Key, String> locations = new HashMap<>();
    final Map<String, List<SettingValues>> tableArrays = new HashMap<>();
    final Map<String, List<Double>> freeNumbers = new LinkedHashMap<>();

    /** Adds a value of the file; {@code location} is "file:line". */
    void put(Key key, Object value, String location) {
        fileValues.put(key, value);
        locations.put(key, location);
    }

    /** Whether the file sets this key. */
    public boolean isSet(Key key) {
        return fileValues.containsKey(key);
    }

    /**
     * Returns the value of the file, else the default; null if the file does not set it and there is no
     * default.
     */
    public Object value(Key key) {
        return fileValues.getOrDefault(key, key.defaultValue);
    }

    /** Returns a count, a duration in microseconds or a size in bytes. */
    public long number(Key key) {
        return (Long) value(key);
    }

    /** Returns the value of a key of type {@link ValueType#FRACTION}. */
    public double fraction(Key key) {
        return (Double) value(key);
    }

    /** Returns the value of a key of type {@link ValueType#CHOICE} or {@link ValueType#STRING}. */
    public String string(Key key) {
        return (String) value(key);
    }

    /** Returns the value of a key of type {@link ValueType#BOOLEAN}. */
    public boolean flag(Key key) {
        return (Boolean) value(key);
    }

    /** Returns the value of a key of type {@link ValueType#STRING_LIST}. */
    @SuppressWarnings("unchecked")
    public List<String> strings(Key key) {
        return (List<String>) value(key);
    }

    /** Returns where the value comes from: "file:line", "default" or "derived". */
    public String origin(Key key) {
        return locations.getOrDefault(key, key.defaultValue == null ? "derived" : "default");
    }

    /** Returns the line number of a key that the file sets, 0 for any other key. */
    public int line(Key key) {
        String location = locations.get(key);
        return location == null ? 0 : Integer.parseInt(location.substring(location.lastIndexOf(':') + 1));
    }

    /** Returns the tables of an array of tables, in the order of the file; empty if there are none. */
    public List<SettingValues> tables(String name) {
        return tableArrays.getOrDefault(name, List.of());
    }

    /** Returns the keys of the table with free keys, each with its numbers. */
    public Map<String, List<Double>> freeNumbers() {
        return freeNumbers;
    }
}
