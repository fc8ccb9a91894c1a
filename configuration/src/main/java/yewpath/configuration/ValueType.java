package yewpath.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.tomlj.TomlArray;

/** How a value is written in the file, what it is inside the relay, and how it is shown again. */
public enum ValueType {
    /** A whole number: Long. */
    COUNT("a whole number such as 64"),
    /** A time: Long, in microseconds; in the file a text with a unit, since a bare number can be mistaken. */
    DURATION("a time with its unit such as \"250 ms\" (us, ms, s, min, h)"),
    /** A size: Long, in bytes. */
    SIZE("a size with its unit such as \"64 KiB\" (B, KiB, MiB, GiB)"),
    /** A part of something: Double. */
    FRACTION("a number such as 0.4"),
    /** One of a few words: String. */
    CHOICE("one of the words named"),
    /** Any text: String. */
    STRING("a text in quotes"),
    /** Yes or no: Boolean. */
    BOOLEAN("true or false"),
    /** Texts: a list of String. */
    STRING_LIST("a list of texts such as [\"a\", \"b\"]");

    private static final Map<String, Long> SPANS = units("us", 1L, "ms", 1_000L, "s", 1_000_000L, "min",
        60_000_000L,
        "h", 3_600_000_000L);
    private static final Map<String, Long> SIZES = units("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB",
        1L << 30);

    /** Said where a value is not written so. */
    public final String expectedForm;

    ValueType(String expectedForm) {
        this.expectedForm = expectedForm;
    }

    private static Map<String, Long> units(Object... pairs) {
        Map<String, Long> units = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            units.put((String) pairs[i], (Long) pairs[i + 1]);
        }
        return units;
    }

    /** The value inside; throws IllegalArgumentException, with what would be right, for any other kind of value. */
    public Object parse(Object written) {
        Object value = switch (this) {
            case COUNT -> written instanceof Long ? written : null;
            case FRACTION -> written instanceof Long whole ? (Object) whole.doubleValue()
                : written instanceof Double ? written
                    : null;
            case CHOICE, STRING -> written instanceof String ? written : null;
            case BOOLEAN -> written instanceof Boolean ? written : null;
            case STRING_LIST ->
                written instanceof TomlArray list && list.toList().stream().allMatch(String.class::isInstance)
                    ? List.copyOf(list.toList()) : null;
            case DURATION -> written instanceof String text ? measure(text, SPANS) : null;
            case SIZE -> written instanceof String text ? measure(text, SIZES) : null;
        };
        if (value == null) {
            throw new IllegalArgumentException("should be " + expectedForm);
        }
        return value;
    }

    private static Long measure(String text, Map<String, Long> units) {
        String[] parts = text.strip().split("(?<=[0-9])\\s*(?=[A-Za-z])", 2);
        Long unit = parts.length == 2 ? units.get(parts[1]) : null;
        if (unit == null || !parts[0].matches("[0-9]{1,12}(\\.[0-9]{1,6})?")) {
            return null;
        }
        return Math.round(Double.parseDouble(parts[0]) * unit);
    }

    /** As it would be written in the file. */
    public String format(Object value) {
        return switch (this) {
            case COUNT, FRACTION, BOOLEAN, STRING_LIST -> String.valueOf(value);
            case CHOICE, STRING -> '"' + (String) value + '"';
            case DURATION -> '"' + inUnits((Long) value, SPANS) + '"';
            case SIZE -> '"' + inUnits((Long) value, SIZES) + '"';
        };
    }

    /** In the largest unit that leaves at least 1 and no more than three decimals. */
    private static String inUnits(long value, Map<String, Long> units) {
        List<Map.Entry<String, Long>> largestLast = new ArrayList<>(units.entrySet());
        for (int i = largestLast.size() - 1; i > 0; i--) {
            long unit = largestLast.get(i).getValue();
            if (value >= unit && value * 10 % unit == 0) {
                return String.format(Locale.ROOT, value % unit == 0 ? "%.0f %s" : "%.1f %s",
                    value / (double) unit,
                    largestLast.get(i).getKey());
            }
        }
        return value + " " + largestLast.get(0).getKey();
    }
}
