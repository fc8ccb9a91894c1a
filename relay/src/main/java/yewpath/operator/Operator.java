package yewpath.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** What the operator's file says, over what holds where it says nothing. Never changes: a new file makes a new one. */
public final class Operator {
    /** No file: all as it stands in the catalogue. */
    public static final Operator STANDARD = new Operator(Map.of(), Map.of());

    private final Map<Key, Object> told;
    /** Where each told value stands, as "file:line". */
    private final Map<Key, String> places;

    Operator(Map<Key, Object> told, Map<Key, String> places) {
        this.told = new HashMap<>(told);
        this.places = new HashMap<>(places);
    }

    /** Null where neither the file nor the catalogue names a figure. */
    public Object value(Key key) {
        return told.getOrDefault(key, key.standard);
    }

    /** Of counts, spans (microseconds) and sizes (bytes). */
    public long figure(Key key) {
        return (Long) value(key);
    }

    /** {@code derived} holds where the file says nothing. */
    public long figureOr(Key key, long derived) {
        return told.containsKey(key) ? figure(key) : derived;
    }

    public double part(Key key) {
        return (Double) value(key);
    }

    public String word(Key key) {
        return (String) value(key);
    }

    /** "file:line", "default" or "derived". */
    public String origin(Key key) {
        return places.getOrDefault(key, key.standard == null ? "derived" : "default");
    }

    /** The keys whose values differ, of those that a running relay takes up, or of the others. */
    public List<String> changes(Operator anew, boolean live) {
        List<String> paths = new ArrayList<>();
        for (Key key : Catalogue.all()) {
            if (key.live == live && !Objects.equals(value(key), anew.value(key))) {
                paths.add(key.path);
            }
        }
        return paths;
    }
}
