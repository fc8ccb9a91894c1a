package yewpath.configuration;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a file says, over what holds where it says nothing. */
public final class SettingValues {
    private final Map<Key, Object> told = new HashMap<>();
    private final Map<Key, String> places = new HashMap<>();
    final Map<String, List<SettingValues>> lists = new HashMap<>();
    final Map<String, List<Double>> free = new LinkedHashMap<>();

    void put(Key key, Object value, String place) {
        told.put(key, value);
        places.put(key, place);
    }

    public boolean isSet(Key key) {
        return told.containsKey(key);
    }

    /** Null where neither the file nor the key names a value. */
    public Object value(Key key) {
        return told.getOrDefault(key, key.defaultValue);
    }

    /** Of counts, spans (microseconds) and sizes (bytes). */
    public long number(Key key) {
        return (Long) value(key);
    }

    public double fraction(Key key) {
        return (Double) value(key);
    }

    /** Of words and texts. */
    public String string(Key key) {
        return (String) value(key);
    }

    public boolean flag(Key key) {
        return (Boolean) value(key);
    }

    @SuppressWarnings("unchecked")
    public List<String> strings(Key key) {
        return (List<String>) value(key);
    }

    /** "file:line", "default" or "derived". */
    public String origin(Key key) {
        return places.getOrDefault(key, key.defaultValue == null ? "derived" : "default");
    }

    /** The line of a told key; 0 of another. */
    public int line(Key key) {
        String place = places.get(key);
        return place == null ? 0 : Integer.parseInt(place.substring(place.lastIndexOf(':') + 1));
    }

    /** The tables of a list, in the file's order. */
    public List<SettingValues> tables(String name) {
        return lists.getOrDefault(name, List.of());
    }

    /** The keys of the free table, each with its numbers. */
    public Map<String, List<Double>> freeNumbers() {
        return free;
    }
}
