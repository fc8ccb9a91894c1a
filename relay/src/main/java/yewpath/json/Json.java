package yewpath.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.StringJoiner;
import java.util.function.BiConsumer;

/**
 * Reads and writes JSON as a stream of tokens, without building a tree in memory. Invalid input is reported
 * by an IllegalArgumentException whose message contains the line and column.
 */
public final class Json {
    /** Reads one value. */
    public interface ValueReader<T> {
        /** Called with the parser at the first token of the value; must leave it at the last token. */
        T read(JsonParser parser) throws IOException;
    }

    /** Writes JSON content. */
    public interface ContentWriter {
        /** Writes any number of values. */
        void writeTo(JsonGenerator generator) throws IOException;
    }

    /** Reads one member of an object. */
    public interface MemberReader {
        /**
         * Called with the parser at the first token of the member's value; must leave it at the last token.
         */
        void read(String name, JsonParser parser) throws IOException;
    }

    private static final JsonFactory FACTORY = JsonFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(64).build())
        // Field names come from other programs and are unbounded in number: caching them would fill the heap.
        .disable(JsonFactory.Feature.INTERN_FIELD_NAMES).disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
        .build();

    private Json() {}

    /**
     * Parses a text that consists of exactly one JSON value.
     *
     * @throws IllegalArgumentException if the text is not valid JSON, is empty or contains more than one
     *     value
     */
    public static <T> T parse(byte[] bytes, ValueReader<T> reader) {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() == null) {
                throw error(parser, "the text is empty");
            }
            T value = reader.read(parser);
            if (parser.nextToken() != null) {
                throw error(parser, "unexpected content after the JSON value");
            }
            return value;
        } catch (IOException e) {
            throw invalidJson(e);
        }
    }

    /** Creates a non-blocking parser, which is fed with bytes as they arrive. */
    static JsonParser createIncrementalParser() throws IOException {
        return FACTORY.createNonBlockingByteArrayParser();
    }

    /** Converts an exception of the parser; the message contains line and column if they are known. */
    static IllegalArgumentException invalidJson(IOException e) {
        if (e instanceof JsonProcessingException syntaxError) {
            var location = syntaxError.getLocation();
            return new IllegalArgumentException(syntaxError.getOriginalMessage() + (location == null ? ""
                : " at line " + location.getLineNr() + ", column " + location.getColumnNr()));
        }
        // Reading from memory involves no I/O: any other IOException means that the bytes are not valid
        // UTF-8.
        return new IllegalArgumentException(e.getMessage());
    }

    /** Creates an exception for an error at the parser's current token. */
    public static IllegalArgumentException error(JsonParser parser, String problem) {
        var location = parser.currentTokenLocation();
        return new IllegalArgumentException(
            problem + " at line " + location.getLineNr() + ", column " + location.getColumnNr());
    }

    /**
     * Reads an object and calls {@code member} for each of its members.
     *
     * @throws IllegalArgumentException if the current token does not start an object
     */
    public static void readObject(JsonParser parser, MemberReader member) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw error(parser, "expected an object");
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            member.read(name, parser);
        }
    }

    /**
     * Reads an array and calls {@code element} for each of its elements.
     *
     * @throws IllegalArgumentException if the current token does not start an array
     */
    public static void readArray(JsonParser parser, ValueReader<?> element) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw error(parser, "expected an array");
        }
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            element.read(parser);
        }
    }

    /**
     * Returns the current token, which must be a string.
     *
     * @throws IllegalArgumentException if it is not a string
     */
    public static String readString(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw error(parser, "expected a string");
        }
        return parser.getText();
    }

    /**
     * Returns the current token, which must be a number.
     *
     * @throws IllegalArgumentException if it is not a number
     */
    public static double readNumber(JsonParser parser) throws IOException {
        if (!parser.currentToken().isNumeric()) {
            throw error(parser, "expected a number");
        }
        return parser.getDoubleValue();
    }

    /**
     * Converts a value to pairs of a dotted path and a text. The scalar elements of an array are joined by
     * commas under the path of the array, its other elements have their index in their path, and PATH.count
     * is the length of the array. Nulls are omitted.
     */
    public static void flatten(String path, JsonParser parser, BiConsumer<String, String> target)
        throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            readObject(parser,
                (name, value) -> flatten(path.isEmpty() ? name : path + '.' + name, value, target));
        } else if (token == JsonToken.START_ARRAY) {
            StringJoiner scalars = new StringJoiner(",");
            int[] count = {0};
            readArray(parser, element -> {
                if (element.currentToken().isScalarValue()) {
                    scalars.add(element.getText());
                } else {
                    flatten(path + '.' + count[0], element, target);
                }
                return count[0]++;
            });
            target.accept(path, scalars.toString());
            target.accept(path + ".count", String.valueOf(count[0]));
        } else if (token != JsonToken.VALUE_NULL) {
            target.accept(path, parser.getText());
        }
    }

    /** Returns the written JSON in UTF-8. */
    public static byte[] write(ContentWriter content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            // Consecutive values are separate lines, and the content writer ends each line itself.
            generator.setRootValueSeparator(null);
            content.writeTo(generator);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
