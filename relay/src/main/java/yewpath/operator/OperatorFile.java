package yewpath.operator;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads the operator's file (TOML 1.0) and finds every fault in it at once. */
public final class OperatorFile {
    /** What is wrong with a file: a line for each fault, with file, line and path. */
    public static final class Faults extends Exception {
        private static final long serialVersionUID = 1L;
        private final ArrayList<String> lines;

        Faults(List<String> lines) {
            super(String.join("\n", lines), null, false, false);
            this.lines = new ArrayList<>(lines);
        }

        public List<String> lines() {
            return List.copyOf(lines);
        }
    }

    /** Past this it is no file of settings; guards against reading a device or a dump into a small heap. */
    private static final long MOST = 1 << 20;

    private record Fault(int line, String text) { }

    private final String name;
    private final List<Fault> faults = new ArrayList<>();
    private final Map<Key, Object> told = new HashMap<>();
    private final Map<Key, String> places = new HashMap<>();

    private OperatorFile(String name) {
        this.name = name;
    }

    /** {@code path} may be null, which leaves all as it stands in the catalogue. */
    public static Operator read(String path) throws Faults {
        if (path == null) {
            return Operator.STANDARD;
        }
        OperatorFile file = new OperatorFile(path);
        try {
            Path at = Path.of(path);
            if (Files.size(at) > MOST) {
                throw new Faults(List.of(path + ": over " + MOST + " bytes, so no file of settings"));
            }
            return file.read(Toml.parse(Files.readString(at)));
        } catch (NoSuchFileException e) {
            throw new Faults(List.of(path + ": no such file"));
        } catch (CharacterCodingException e) {
            throw new Faults(List.of(path + ": not UTF-8"));
        } catch (IOException e) {
            throw new Faults(List.of(path + ": cannot be read: " + e.getMessage()));
        }
    }

    /** The same of a text that stands in no file; {@code name} is what faults call it. */
    public static Operator parse(String name, String text) throws Faults {
        return new OperatorFile(name).read(Toml.parse(text));
    }

    private Operator read(TomlParseResult toml) throws Faults {
        toml.errors().forEach(error -> fault(error.position(), error.getMessage()));
        if (faults.isEmpty()) {
            // Of a text that can't be parsed only pieces are there: what they lack would be told as faults too.
            table(toml, "", new HashSet<>());
        }
        if (faults.isEmpty()) {
            together();
        }
        if (!faults.isEmpty()) {
            faults.sort(Comparator.comparingInt(Fault::line));
            throw new Faults(faults.stream().map(Fault::text).toList());
        }
        return new Operator(told, places);
    }

    private void fault(TomlPosition at, String text) {
        int line = at == null ? 0 : at.line();
        faults.add(new Fault(line, name + (line > 0 ? ":" + line : "") + ": " + text));
    }

    private void table(TomlTable table, String above, Set<String> seen) {
        for (String key : table.keySet()) {
            String path = above.isEmpty() ? key : above + '.' + key;
            List<String> single = List.of(key);
            TomlPosition at = table.inputPositionOf(single);
            Object value = table.get(single);
            Key known = Catalogue.find(path);
            if (known != null) {
                entry(known, value, at);
            } else if (value instanceof TomlTable inner && Catalogue.tables().containsKey(path)) {
                table(inner, path, seen);
            } else if (seen.add(path)) {
                unknown(path, value instanceof TomlTable, at);
            }
        }
    }

    private void entry(Key key, Object value, TomlPosition at) {
        try {
            told.put(key, key.read(value));
            places.put(key, name + ":" + at.line());
        } catch (IllegalArgumentException unfit) {
            fault(at, key.path + " " + unfit.getMessage() + "; it is " + shown(value));
        }
    }

    private static String shown(Object value) {
        String text = value instanceof TomlTable ? "a table" : value instanceof TomlArray ? "a list"
            : value instanceof String word ? '"' + word + '"' : String.valueOf(value);
        // The file may hold anything; what is told of it is a line on a terminal.
        text = text.replaceAll("\\p{Cntrl}", "?");
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private void unknown(String path, boolean table, TomlPosition at) {
        String nearest = null;
        int least = Integer.MAX_VALUE;
        List<String> names = new ArrayList<>();
        if (table) {
            names.addAll(Catalogue.tables().keySet());
        } else {
            Catalogue.all().forEach(key -> names.add(key.path));
        }
        for (String name : names) {
            // A key under the wrong table is as near as one with a letter missing.
            int far = Math.min(distance(path, name), 2 + distance(last(path), last(name)));
            if (far < least) {
                least = far;
                nearest = name;
            }
        }
        fault(at, "unknown " + (table ? "table " : "key ") + shown(path).replace("\"", "")
            + (nearest != null && least <= Math.max(2, path.length() / 2) ? "; the nearest known is " + nearest : ""));
    }

    private static int distance(String one, String other) {
        return LevenshteinDistance.getDefaultInstance().apply(one, other);
    }

    private static String last(String path) {
        return path.substring(path.lastIndexOf('.') + 1);
    }

    /** What must fit together, each fault at the line of a key that is told. */
    private void together() {
        Operator all = new Operator(told, places);
        if (all.part(Catalogue.LEDGER_LIVE) + all.part(Catalogue.LEDGER_ANEW) > 0.98) {
            unfit(Catalogue.LEDGER_ANEW, Catalogue.LEDGER_LIVE, "together exceed 0.98 of the disk");
        }
        if (all.part(Catalogue.LEDGER_LIVE) >= all.part(Catalogue.LEDGER_ANEW)) {
            unfit(Catalogue.LEDGER_LIVE, Catalogue.LEDGER_ANEW, "the first must be less, or the file is written anew each time");
        }
        ordered(all, Catalogue.RING_FIRST, Catalogue.RING_MOST);
        ordered(all, Catalogue.RETRY_FIRST, Catalogue.RETRY_MOST);
        ordered(all, Catalogue.DRAIN_FRESH, Catalogue.DRAIN_MOST);
        ordered(all, Catalogue.DRAIN_LEAST, Catalogue.DRAIN_MOST);
    }

    private void ordered(Operator all, Key less, Key more) {
        if (all.figure(less) > all.figure(more)) {
            unfit(less, more, "the first exceeds the second (" + less.type.show(all.value(less)) + ", "
                + more.type.show(all.value(more)) + ")");
        }
    }

    private void unfit(Key one, Key other, String why) {
        String place = places.getOrDefault(one, places.get(other));
        int line = Integer.parseInt(place.substring(place.lastIndexOf(':') + 1));
        fault(TomlPosition.positionAt(line, 1), one.path + " and " + other.path + ": " + why);
    }
}
