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

/** Parses a TOML 1.0 configuration file, validates it against a schema and reports all errors together. */
public final class TomlFile {
    /** Checks conditions that involve several keys. Called only if each value by itself is valid. */
    public interface CrossCheck {
        /** Reports each violated condition to {@code errors}. */
        void check(SettingValues values, ErrorReporter errors);
    }

    /** Receives the errors of a file. */
    public interface ErrorReporter {
        /** Adds an error; {@code line} is 0 if the error belongs to no single line. */
        void report(int line, String message);
    }

    /** Larger files are refused: reading a device or a dump would exhaust a small heap. */
    private static final long MAX_FILE_BYTES = 1 << 20;

    private record FileError(int line, String message) {}

    private final FileSchema schema;
    private final String fileName;
    private final List<FileError> errors = new ArrayList<>();
    private final SettingValues values = new SettingValues();

    private TomlFile(FileSchema schema, String fileName) {
        this.schema = schema;
        this.fileName = fileName;
    }

    /**
     * Reads and validates a file.
     *
     * @throws ConfigurationException if the file can't be read or contains errors; holds all of them
     */
    public static SettingValues read(String path, FileSchema schema, CrossCheck crossCheck)
        throws ConfigurationException {
        try {
            Path file = Path.of(path);
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new ConfigurationException(
                    List.of(path + ": larger than " + MAX_FILE_BYTES
                        + " bytes, the limit of a configuration file"));
            }
            return parse(path, Files.readString(file), schema, crossCheck);
        } catch (NoSuchFileException e) {
            throw new ConfigurationException(List.of(path + ": no such file"));
        } catch (CharacterCodingException e) {
            throw new ConfigurationException(List.of(path + ": not UTF-8"));
        } catch (IOException e) {
            throw new ConfigurationException(List.of(path + ": cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Validates the text of a file.
     *
     * @param fileName the file name that error messages show
     * @throws ConfigurationException if the text contains errors; holds all of them
     */
    public static SettingValues parse(String fileName, String text, FileSchema schema, CrossCheck crossCheck)
        throws ConfigurationException {
        return new TomlFile(schema, fileName).validate(Toml.parse(text), crossCheck);
    }

    private SettingValues validate(TomlParseResult toml, CrossCheck crossCheck)
        throws ConfigurationException {
        toml.errors().forEach(error -> addError(error.position(), error.getMessage()));
        if (errors.isEmpty()) {
            // A text with syntax errors is parsed only in part; its missing parts would be reported as more
            // errors.
            readTable(toml, "", new HashSet<>());
        }
        if (errors.isEmpty()) {
            crossCheck.check(values, this::addError);
        }
        if (!errors.isEmpty()) {
            errors.sort(Comparator.comparingInt(FileError::line));
            throw new ConfigurationException(errors.stream().map(FileError::message).toList());
        }
        return values;
    }

    private void addError(TomlPosition position, String message) {
        addError(position == null ? 0 : position.line(), message);
    }

    private void addError(int line, String message) {
        errors.add(new FileError(line, fileName + (line > 0 ? ":" + line : "") + ": " + message));
    }

    private void readTable(TomlTable table, String parentPath, Set<String> reportedPaths) {
        for (String name : table.keySet()) {
            String path = parentPath.isEmpty() ? name : parentPath + '.' + name;
            List<String> tomlPath = List.of(name);
            TomlPosition position = table.inputPositionOf(tomlPath);
            Object value = table.get(tomlPath);
            Key key = schema.keys.get(path);
            if (key != null) {
                readValue(key, "", value, position, values);
            } else if (schema.tableArrays.containsKey(path)) {
                readTableArray(path, value, position);
            } else if (path.equals(schema.freeTable) && value instanceof TomlTable freeTable) {
                readFreeTable(freeTable, path);
            } else if (value instanceof TomlTable childTable && schema.tables.containsKey(path)) {
                readTable(childTable, path, reportedPaths);
            } else if (reportedPaths.add(path)) {
                addUnknownNameError(path, value instanceof TomlTable, position,
                    value instanceof TomlTable ? schema.tables.keySet() : schema.keys.keySet());
            }
        }
    }

    private void readValue(Key key, String pathPrefix, Object value, TomlPosition position,
        SettingValues target) {
        try {
            target.put(key, key.parse(value), fileName + ":" + position.line());
        } catch (IllegalArgumentException invalid) {
            addError(position,
                pathPrefix + key.path + " " + invalid.getMessage() + "; it is " + display(value));
        }
    }

    private void readTableArray(String path, Object value, TomlPosition position) {
        if (!(value instanceof TomlArray array)
            || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            addError(position,
                path + " should be tables, each headed by [[" + path + "]]; it is " + display(value));
            return;
        }
        List<SettingValues> tables = new ArrayList<>();
        values.tableArrays.put(path, tables);
        for (int i = 0; i < array.size(); i++) {
            TomlTable table = array.getTable(i);
            SettingValues tableValues = new SettingValues();
            tables.add(tableValues);
            for (String name : table.keySet()) {
                TomlPosition keyPosition = table.inputPositionOf(List.of(name));
                Key key = schema.tableArrays.get(path).stream().filter(known -> known.path.equals(name))
                    .findFirst()
                    .orElse(null);
                if (key != null) {
                    readValue(key, path + ".", table.get(List.of(name)), keyPosition, tableValues);
                } else {
                    addUnknownNameError(path + "." + name, false, keyPosition,
                        schema.tableArrays.get(path).stream().map(known -> path + "." + known.path).toList());
                }
            }
            for (Key required : schema.tableArrays.get(path)) {
                if (required.defaultValue == null && !tableValues.isSet(required)
                    && table.get(List.of(required.path)) == null) {
                    addError(array.inputPositionOf(i),
                        path + "." + required.path + " is missing: " + required.description);
                }
            }
        }
    }

    private void readFreeTable(TomlTable table, String tablePath) {
        for (String name : table.dottedKeySet()) {
            Object value = table.get(name);
            List<Object> elements = value instanceof TomlArray array ? array.toList() : List.of(value);
            if (elements.isEmpty() || !elements.stream().allMatch(Number.class::isInstance)) {
                addError(table.inputPositionOf(name),
                    tablePath + "." + name + " should be a number or a list of numbers; it is "
                        + display(value));
            } else {
                values.freeNumbers.put(name.replace("\"", ""),
                    elements.stream().map(element -> ((Number) element).doubleValue()).toList());
            }
        }
    }

    /**
     * Describes a value in at most 63 characters, without control characters that would affect a terminal.
     */
    private static String display(Object value) {
        String text = value instanceof TomlTable ? "a table" : value instanceof TomlArray ? "a list"
            : value instanceof String string ? '"' + string + '"' : String.valueOf(value);
        text = text.replaceAll("\\p{Cntrl}", "?");
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private void addUnknownNameError(String path, boolean isTable, TomlPosition position,
        Iterable<String> knownPaths) {
        String nearest = null;
        int smallestDistance = Integer.MAX_VALUE;
        for (String knownPath : knownPaths) {
            // A key in the wrong table counts as two edits, about as near as a misspelled key.
            int distance = Math.min(editDistance(path, knownPath),
                2 + editDistance(lastSegment(path), lastSegment(knownPath)));
            if (distance < smallestDistance) {
                smallestDistance = distance;
                nearest = knownPath;
            }
        }
        addError(position, "unknown " + (isTable ? "table " : "key ") + display(path).replace("\"", "")
            + (nearest != null && smallestDistance <= Math.max(2, path.length() / 2)
                ? "; the nearest known is " + nearest : ""));
    }

    private static int editDistance(String left, String right) {
        return LevenshteinDistance.getDefaultInstance().apply(left, right);
    }

    private static String lastSegment(String path) {
        return path.substring(path.lastIndexOf('.') + 1);
    }
}
