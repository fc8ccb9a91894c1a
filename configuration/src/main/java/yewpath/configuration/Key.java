package yewpath.configuration;

import java.util.List;

/**
 * A setting that a configuration file may contain, with its type, default, allowed values and description.
 */
public final class Key {
    /** Dotted path in the file, such as {@code clients.backlog}. */
    public final String path;
    /** Type of the value, which also decides its unit in memory. */
    public final ValueType type;
    /**
     * Default in the in-memory unit; null if it is derived from other values, which the description names.
     */
    public final Object defaultValue;
    /** Smallest allowed number, in the in-memory unit. */
    public final double minimum;
    /** Largest allowed number, in the in-memory unit. */
    public final double maximum;
    /** Allowed words; empty unless the type is {@link ValueType#CHOICE}. */
    public final List<String> choices;
    /** Whether a running relay applies a changed value on SIGHUP; otherwise the change needs a restart. */
    public final boolean reloadable;
    /** One sentence for the reference page. */
    public final String description;

    private Key(String path, ValueType type, Object defaultValue, double minimum, double maximum,
        List<String> choices,
        boolean reloadable,
        String description) {
        this.path = path;
        this.type = type;
        this.defaultValue = defaultValue;
        this.minimum = minimum;
        this.maximum = maximum;
        this.choices = choices;
        this.reloadable = reloadable;
        this.description = description;
    }

    /**
     * Creates a key with a numeric value.
     *
     * @param defaultValue default in the in-memory unit of {@code type}; null if it is derived
     * @param minimum smallest allowed value in the same unit
     * @param maximum largest allowed value in the same unit
     */
    public static Key number(String path, ValueType type, Object defaultValue, double minimum, double maximum,
        boolean reloadable, String description) {
        return new Key(path, type, defaultValue, minimum, maximum, List.of(), reloadable, description);
    }

    /** Creates a key whose value is one of {@code choices}. */
    public static Key choice(String path, String defaultValue, List<String> choices, boolean reloadable,
        String description) {
        return new Key(path, ValueType.CHOICE, defaultValue, 0, 0, choices, reloadable, description);
    }

    /**
     * Creates a key of type string, boolean or string list, which accepts every value of its type.
     *
     * @param defaultValue default; null if there is none
     */
    public static Key unbounded(String path, ValueType type, Object defaultValue, String description) {
        return new Key(path, type, defaultValue, 0, 0, List.of(), false, description);
    }

    /** Returns the name of the table that contains this key: the path up to the first dot. */
    public String table() {
        return path.substring(0, path.indexOf('.'));
    }

    /**
     * Converts a value of the file to its in-memory form.
     *
     * @throws IllegalArgumentException if the type or range is wrong; the message says what is expected
     */
    Object parse(Object fileValue) {
        Object value = type.parse(fileValue);
        if (type == ValueType.CHOICE && !choices.contains(value) || value instanceof Number number
            && !(number.doubleValue() >= minimum && number.doubleValue() <= maximum)) {
            throw new IllegalArgumentException("should be " + range());
        }
        return value;
    }

    /** Describes the allowed values, such as "from 1 to 65535". */
    public String range() {
        if (type == ValueType.STRING || type == ValueType.BOOLEAN || type == ValueType.STRING_LIST) {
            return type.expectedForm;
        }
        if (type == ValueType.CHOICE) {
            return "one of " + String.join(", ", choices);
        }
        return "from " + formatBound(minimum) + " to " + formatBound(maximum);
    }

    private String formatBound(double bound) {
        return type == ValueType.FRACTION ? type.format(bound) : type.format((long) bound).replace("\"", "");
    }

    /** Returns the default as written in a file, or "derived" if it depends on other values. */
    public String formattedDefault() {
        return defaultValue == null ? "derived" : type.format(defaultValue);
    }
}
