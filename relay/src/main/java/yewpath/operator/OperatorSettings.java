package yewpath.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import yewpath.configuration.Key;
import yewpath.configuration.SettingValues;

/** What is in force: the operator's file over the catalogue. Never changes: a new file makes a new one. */
public final class OperatorSettings {
    /** No file: all as it stands in the catalogue. */
    public static final OperatorSettings STANDARD = new OperatorSettings(new SettingValues());

    private final SettingValues values;

    OperatorSettings(SettingValues values) {
        this.values = values;
    }

    /** Null where neither the file nor the catalogue names a figure. */
    public Object value(Key key) {
        return values.value(key);
    }

    /** Of counts, spans (microseconds) and sizes (bytes). */
    public long number(Key key) {
        return values.number(key);
    }

    /** {@code derived} holds where the file says nothing. */
    public long numberOr(Key key, long derived) {
        return values.isSet(key) ? values.number(key) : derived;
    }

    public double fraction(Key key) {
        return values.fraction(key);
    }

    public String string(Key key) {
        return values.string(key);
    }

    /** "file:line", "default" or "derived". */
    public String origin(Key key) {
        return values.origin(key);
    }

    /** The keys whose values differ, of those that a running relay takes up, or of the others. */
    public List<String> changedKeys(OperatorSettings anew, boolean live) {
        List<String> paths = new ArrayList<>();
        for (Key key : OperatorKeys.all()) {
            if (key.reloadable == live && !Objects.equals(value(key), anew.value(key))) {
                paths.add(key.path);
            }
        }
        return paths;
    }
}
