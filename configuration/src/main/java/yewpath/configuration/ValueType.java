package yewpath.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.tomlj.TomlArray;

/** The type of a setting: its form in the file and its type and unit in memory. */
public enum ValueType {
    /** A whole number; Long in memory. */
    COUNT("a whole number such as 64"),
    /**
     * A duration; Long in microseconds in memory. The file requires a unit, since a bare number is ambiguous.
     */
    DURATION("a time with its unit such as \"250 ms\" (us, ms, s, min, h)"),
    /** A size; Long in bytes in memory. */
    SIZE("a size with its unit such as \"64 KiB\" (B, KiB, MiB, GiB)"),
    /** A fraction or another number with decimals; Double in memory. */
    FRACTION("a number such as 0.4"),
    /** One of a fixed set of words; String in memory. */
    CHOICE("one of the words allowed for this key"),
    /** Any string; String in memory. */
    STRING("a string in quotes"),
    /** True or false; Boolean in memory. */
    BOOLEAN("true or false"),
    /** A list of strings; List of String in memory. */
    STRING_LIST("a list of strings such as [\"a\", \"b\"]");

    private static final Map<String, Long> MICROSECONDS_BY_UNIT = units("us", 1L, "ms", 1_000L, "s",
        1_000_000L,
        "min",
        60_000_000L,
        "h", 3_600_000_000L);
    private static final Map<String, Long> BYTES_BY_UNIT = units("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20,
        "GiB",
        1L << 30);

    /** The form that a value must have, for error messages. */
    public final String expectedForm;

    ValueType(String expectedForm) {
        this.expectedForm = expectedForm;
    }

    private static Map<String, Long> units(Object... namesAndFactors) {
        Map<String, Long> units = new LinkedHashMap<>();
        for (int i = 0; i < namesAndFactors.length; i += 2) {
            units.put((String) namesAndFactors[i], (Long) namesAndFactors[i + 1]);
        }
        return units;
    }

    /**
     * Converts a value of the file to its in-memory form.
     *
     * @throws IllegalArgumentException if it does not have the form of this type; the message says what
     *     is expected
     */
    public Object parse(Object fileValue) {
        Object value = switch (this) {
            case COUNT -> fileValue instanceof Long ? fileValue : null;
            case FRACTION -> fileValue instanceof Long whole ? (Object) whole.doubleValue()
                : fileValue instanceof Double ? fileValue
                    : null;
            case CHOICE, STRING -> fileValue instanceof String ? fileValue : null;
            case BOOLEAN -> fileValue instanceof Boolean ? fileValue : null;
            case STRING_LIST ->
                fileValue instanceof TomlArray list
                    && list.toList().stream().allMatch(String.class::isInstance)
                        ? List.copyOf(list.toList()) : null;
            case DURATION ->
                fileValue instanceof String text ? parseWithUnit(text, MICROSECONDS_BY_UNIT) : null;
            case SIZE -> fileValue instanceof String text ? parseWithUnit(text, BYTES_BY_UNIT) : null;
        };
        if (value == null) {
            throw new IllegalArgumentException("should be " + expectedForm);
        }
        return value;
    }

    /**
     * Returns the number in the smallest unit; null if the text is not a number followed by one of the units.
     */
    private static Long parseWithUnit(String text, Map<String, Long> units) {
        String[] parts = text.strip().split("(?<=[0-9])\\s*(?=[A-Za-z])", 2);
        Long factor = parts.length == 2 ? units.get(parts[1]) : null;
        if (factor == null || !parts[0].matches("[0-9]{1,12}(\\.[0-9]{1,6})?")) {
            return null;
        }
        return Math.round(Double.parseDouble(parts[0]) * factor);
    }

    /** Formats an in-memory value as it is written in a file. */
    public String format(Object value) {
        return switch (this) {
            case COUNT, FRACTION, BOOLEAN, STRING_LIST -> String.valueOf(value);
            case CHOICE, STRING -> '"' + (String) value + '"';
            case DURATION -> '"' + formatWithUnit((Long) value, MICROSECONDS_BY_UNIT) + '"';
            case SIZE -> '"' + formatWithUnit((Long) value, BYTES_BY_UNIT) + '"';
        };
    }

    /** Formats in the largest unit in which the value is at least 1 and has at most one decimal. */
    private static String formatWithUnit(long value, Map<String, Long> units) {
        List<Map.Entry<String, Long>> ascendingUnits = new ArrayList<>(units.entrySet());
        for (int i = ascendingUnits.size() - 1; i > 0; i--) {
            long factor = ascendingUnits.get(i).getValue();
            if (value >= factor && value * 10 % factor == 0) {
                return String.format(Locale.ROOT, value % factor == 0 ? "%.0f %s" : "%.1f %s",
                    value / (double) factor,
                    ascendingUnits.get(i).getKey());
            }
        }
        return value + " " + ascendingUnits.get(0).getKey();
    }
}
