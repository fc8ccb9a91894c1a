package yewpath.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import yewpath.configuration.Key;
import yewpath.configuration.SettingValues;

/** The settings of one operator's file, with the defaults of all other keys. Immutable. */
public final class OperatorSettings {
    /** The settings without an operator's file. */
    public static final OperatorSettings DEFAULTS = new OperatorSettings(new SettingValues());

    private final SettingValues values;

    OperatorSettings(SettingValues values) {
        this.values = values;
    }

    /**
     * Returns the value in its in-memory unit; null if the file does not set the key and it has no default.
     */
    public Object value(Key key) {
        return values.value(key);
    }

    /** Returns a count, a duration in microseconds or a size in bytes. */
    public long number(Key key) {
        return values.number(key);
    }

    /** Like {@link #number}, but returns {@code derived} if the file does not set the key. */
    public long numberOr(Key key, long derived) {
        return values.isSet(key) ? values.number(key) : derived;
    }

    /** Returns the value of a key whose type is a fraction. */
    public double fraction(Key key) {
        return values.fraction(key);
    }

    /** Returns the value of a key whose type is a choice. */
    public String string(Key key) {
        return values.string(key);
    }

    /** Returns where the value comes from: "file:line", "default" or "derived". */
    public String origin(Key key) {
        return values.origin(key);
    }

    /**
     * Returns the paths of the keys whose values differ from those of other settings.
     *
     * @param reloadable whether to compare the keys that a running relay reloads, or those that need a
     *     restart
     */
    public List<String> changedKeys(OperatorSettings other, boolean reloadable) {
        List<String> paths = new ArrayList<>();
        for (Key key : OperatorKeys.all()) {
            if (key.reloadable == reloadable && !Objects.equals(value(key), other.value(key))) {
                paths.add(key.path);
            }
        }
        return paths;
    }
}
