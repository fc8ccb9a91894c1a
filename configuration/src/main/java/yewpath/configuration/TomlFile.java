package yewpath.configuration;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads a file of settings (TOML 1.0) and finds every fault in it at once. */
public final class TomlFile {
    /** Checks of what must fit together, asked once each value is right by itself. */
    public interface CrossCheck {
        /** {@code fault} takes the line, 0 for none, and what is wrong. */
        void check(SettingValues all, ErrorReporter fault);
    }

    /** Where a fault is told. */
    public interface ErrorReporter {
        void report(int line, String what);
    }

    /** Past this it is no file of settings; guards against reading a device or a dump into a small heap. */
    private static final long MOST = 1 << 20;

    private record Told(int line, String text) {}

    private final FileSchema shape;
    private final String name;
    private final List<Told> faults = new ArrayList<>();
    private final SettingValues values = new SettingValues();

    private TomlFile(FileSchema shape, String name) {
        this.shape = shape;
        this.name = name;
    }

    /** Reads a file and checks it against its shape; all faults are reported at once. */
    public static SettingValues read(String path, FileSchema shape, CrossCheck together)
        throws ConfigurationException {
        try {
            Path at = Path.of(path);
            if (Files.size(at) > MOST) {
                throw new ConfigurationException(
                    List.of(path + ": over " + MOST + " bytes, so no file of settings"));
            }
            return parse(path, Files.readString(at), shape, together);
        } catch (NoSuchFileException e) {
            throw new ConfigurationException(List.of(path + ": no such file"));
        } catch (CharacterCodingException e) {
            throw new ConfigurationException(List.of(path + ": not UTF-8"));
        } catch (IOException e) {
            throw new ConfigurationException(List.of(path + ": cannot be read: " + e.getMessage()));
        }
    }

    /** The same of a text that stands in no file; {@code name} is what faults call it. */
    public static SettingValues parse(String name, String text, FileSchema shape, CrossCheck together)
        throws ConfigurationException {
        return new TomlFile(shape, name).read(Toml.parse(text), together);
    }

    private SettingValues read(TomlParseResult toml, CrossCheck together) throws ConfigurationException {
        toml.errors().forEach(error -> fault(error.position(), error.getMessage()));
        if (faults.isEmpty()) {
            // Of a text that can't be parsed only pieces are there: what they lack would be told as faults too.
            table(toml, "", new HashSet<>());
        }
        if (faults.isEmpty()) {
            together.check(values, this::fault);
        }
        if (!faults.isEmpty()) {
            faults.sort(Comparator.comparingInt(Told::line));
            throw new ConfigurationException(faults.stream().map(Told::text).toList());
        }
        return values;
    }

    private void fault(TomlPosition at, String text) {
        fault(at == null ? 0 : at.line(), text);
    }

    private void fault(int line, String text) {
        faults.add(new Told(line, name + (line > 0 ? ":" + line : "") + ": " + text));
    }

    private void table(TomlTable table, String above, Set<String> seen) {
        for (String key : table.keySet()) {
            String path = above.isEmpty() ? key : above + '.' + key;
            List<String> single = List.of(key);
            TomlPosition at = table.inputPositionOf(single);
            Object value = table.get(single);
            Key known = shape.keys.get(path);
            if (known != null) {
                entry(known, "", value, at, values);
            } else if (shape.lists.containsKey(path)) {
                list(path, value, at);
            } else if (path.equals(shape.free) && value instanceof TomlTable inner) {
                free(inner, path);
            } else if (value instanceof TomlTable inner && shape.tables.containsKey(path)) {
                table(inner, path, seen);
            } else if (seen.add(path)) {
                unknown(path, value instanceof TomlTable, at,
                    value instanceof TomlTable ? shape.tables.keySet() : shape.keys.keySet());
            }
        }
    }

    private void entry(Key key, String above, Object value, TomlPosition at, SettingValues into) {
        try {
            into.put(key, key.parse(value), name + ":" + at.line());
        } catch (IllegalArgumentException unfit) {
            fault(at, above + key.path + " " + unfit.getMessage() + "; it is " + shown(value));
        }
    }

    private void list(String path, Object value, TomlPosition at) {
        if (!(value instanceof TomlArray array)
            || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            fault(at, path + " should be tables, each headed by [[" + path + "]]; it is " + shown(value));
            return;
        }
        List<SettingValues> all = new ArrayList<>();
        values.lists.put(path, all);
        for (int i = 0; i < array.size(); i++) {
            TomlTable one = array.getTable(i);
            SettingValues into = new SettingValues();
            all.add(into);
            for (String key : one.keySet()) {
                TomlPosition place = one.inputPositionOf(List.of(key));
                Key known = shape.lists.get(path).stream().filter(k -> k.path.equals(key)).findFirst()
                    .orElse(null);
                if (known != null) {
                    entry(known, path + ".", one.get(List.of(key)), place, into);
                } else {
                    unknown(path + "." + key, false, place,
                        shape.lists.get(path).stream().map(k -> path + "." + k.path).toList());
                }
            }
            for (Key needed : shape.lists.get(path)) {
                if (needed.defaultValue == null && !into.isSet(needed)
                    && one.get(List.of(needed.path)) == null) {
                    fault(array.inputPositionOf(i),
                        path + "." + needed.path + " is missing: " + needed.description);
                }
            }
        }
    }

    private void free(TomlTable table, String above) {
        for (String key : table.dottedKeySet()) {
            Object value = table.get(key);
            List<Object> all = value instanceof TomlArray array ? array.toList() : List.of(value);
            if (all.isEmpty() || !all.stream().allMatch(Number.class::isInstance)) {
                fault(table.inputPositionOf(key),
                    above + "." + key + " should be a number or a list of numbers; it is " + shown(value));
            } else {
                values.free.put(key.replace("\"", ""),
                    all.stream().map(one -> ((Number) one).doubleValue()).toList());
            }
        }
    }

    private static String shown(Object value) {
        String text = value instanceof TomlTable ? "a table" : value instanceof TomlArray ? "a list"
            : value instanceof String word ? '"' + word + '"' : String.valueOf(value);
        // The file may hold anything; what is told of it is a line on a terminal.
        text = text.replaceAll("\\p{Cntrl}", "?");
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private void unknown(String path, boolean table, TomlPosition at, Iterable<String> names) {
        String nearest = null;
        int least = Integer.MAX_VALUE;
        for (String name : names) {
            // A key under the wrong table is as near as one with a letter missing.
            int far = Math.min(distance(path, name), 2 + distance(last(path), last(name)));
            if (far < least) {
                least = far;
                nearest = name;
            }
        }
        fault(at, "unknown " + (table ? "table " : "key ") + shown(path).replace("\"", "")
            + (nearest != null && least <= Math.max(2, path.length() / 2)
                ? "; the nearest known is " + nearest : ""));
    }

    private static int distance(String one, String other) {
        return LevenshteinDistance.getDefaultInstance().apply(one, other);
    }

    private static String last(String path) {
        return path.substring(path.lastIndexOf('.') + 1);
    }
}
