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
 * JSON as a stream of tokens: nothing is built of a text but what its reader keeps. What can't be read is an
 * IllegalArgumentException whose message names the place.
 */
public final class Json {
    /** Reads the value at whose first token the parser stands, to its last token. */
    public interface ValueReader<T> {
        T read(JsonParser at) throws IOException;
    }

    /** What is to be written. */
    public interface ContentWriter {
        void writeTo(JsonGenerator out) throws IOException;
    }

    /** Takes one member of an object; the parser stands at the first token of its value. */
    public interface MemberReader {
        void read(String name, JsonParser at) throws IOException;
    }

    private static final JsonFactory FACTORY = JsonFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(64).build())
        // Names come from outside and differ without end: kept for good they would fill the heap.
        .disable(JsonFactory.Feature.INTERN_FIELD_NAMES).disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
        .build();

    private Json() {}

    /** Reads a text that is one JSON value and nothing else. */
    public static <T> T parse(byte[] bytes, ValueReader<T> reader) {
        try (JsonParser at = FACTORY.createParser(bytes)) {
            if (at.nextToken() == null) {
                throw error(at, "nothing to read");
            }
            T value = reader.read(at);
            if (at.nextToken() != null) {
                throw error(at, "something after the value");
            }
            return value;
        } catch (IOException e) {
            throw garbled(e);
        }
    }

    /** Reads a text whose bytes are fed to it as they come. */
    static JsonParser incremental() throws IOException {
        return FACTORY.createNonBlockingByteArrayParser();
    }

    static IllegalArgumentException garbled(IOException e) {
        if (e instanceof JsonProcessingException garbled) {
            var place = garbled.getLocation();
            return new IllegalArgumentException(garbled.getOriginalMessage()
                + (place == null ? "" : " at line " + place.getLineNr() + ", column " + place.getColumnNr()));
        }
        // Bytes in memory are read without I/O; what is left are bytes that are no text (not UTF-8).
        return new IllegalArgumentException(e.getMessage());
    }

    /** What is at fault where the parser stands. */
    public static IllegalArgumentException error(JsonParser at, String what) {
        var place = at.currentTokenLocation();
        return new IllegalArgumentException(
            what + " at line " + place.getLineNr() + ", column " + place.getColumnNr());
    }

    /** Calls {@code member} with the parser at the first token of each value of an object. */
    public static void readObject(JsonParser at, MemberReader member) throws IOException {
        if (at.currentToken() != JsonToken.START_OBJECT) {
            throw error(at, "not an object");
        }
        while (at.nextToken() != JsonToken.END_OBJECT) {
            String name = at.currentName();
            at.nextToken();
            member.read(name, at);
        }
    }

    /** {@code element} is called with the parser at the first token of each element. */
    public static void readArray(JsonParser at, ValueReader<?> element) throws IOException {
        if (at.currentToken() != JsonToken.START_ARRAY) {
            throw error(at, "not a list");
        }
        while (at.nextToken() != JsonToken.END_ARRAY) {
            element.read(at);
        }
    }

    /** Returns the string that the parser stands at. */
    public static String readString(JsonParser at) throws IOException {
        if (at.currentToken() != JsonToken.VALUE_STRING) {
            throw error(at, "not a string");
        }
        return at.getText();
    }

    /** Returns the number that the parser stands at. */
    public static double readNumber(JsonParser at) throws IOException {
        if (!at.currentToken().isNumeric()) {
            throw error(at, "not a number");
        }
        return at.getDoubleValue();
    }

    /** Paths to values: lists of plain values joined by commas, lists of objects by number and with a count. */
    public static void flatten(String path, JsonParser at, BiConsumer<String, String> into)
        throws IOException {
        JsonToken token = at.currentToken();
        if (token == JsonToken.START_OBJECT) {
            readObject(at, (name, value) -> flatten(path.isEmpty() ? name : path + '.' + name, value, into));
        } else if (token == JsonToken.START_ARRAY) {
            StringJoiner plain = new StringJoiner(",");
            int[] count = {0};
            readArray(at, element -> {
                if (element.currentToken().isScalarValue()) {
                    plain.add(element.getText());
                } else {
                    flatten(path + '.' + count[0], element, into);
                }
                return count[0]++;
            });
            into.accept(path, plain.toString());
            into.accept(path + ".count", String.valueOf(count[0]));
        } else if (token != JsonToken.VALUE_NULL) {
            into.accept(path, at.getText());
        }
    }

    /** The bytes, in UTF-8, of what is written. */
    public static byte[] write(ContentWriter written) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            // Values that follow each other are lines here, each ended by its writer.
            out.setRootValueSeparator(null);
            written.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
