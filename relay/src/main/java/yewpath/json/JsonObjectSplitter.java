package yewpath.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * Splits a stream of bytes, which arrives in chunks of any size, into JSON objects and the empty lines
 * between them. An object may span several lines. Invalid JSON is detected at the first byte that makes it
 * invalid.
 */
public final class JsonObjectSplitter {
    private final Consumer<byte[]> objectHandler;
    private final Runnable emptyLineHandler;
    private final ByteArrayOutputStream partialObject = new ByteArrayOutputStream();
    /** Null between two objects. */
    private JsonParser parser;
    /** Whether an object ended on the current line, which therefore is not an empty line. */
    private boolean lineHasObject;

    /**
     * Creates a splitter that passes on the bytes of each complete object, and each empty line outside of
     * objects.
     */
    public JsonObjectSplitter(Consumer<byte[]> objectHandler, Runnable emptyLineHandler) {
        this.objectHandler = objectHandler;
        this.emptyLineHandler = emptyLineHandler;
    }

    /** Whether the bytes so far end inside an object. */
    public boolean isIncomplete() {
        return parser != null;
    }

    /**
     * Processes the next bytes of the stream.
     *
     * @param maxBytes the longest object that is accepted
     * @throws IllegalArgumentException if the stream contains anything but objects, or a longer object;
     *     the splitter can't be used after that
     */
    public void feed(byte[] bytes, int maxBytes) {
        for (int position = 0; position < bytes.length;) {
            position = parser == null && isWhitespace(bytes[position]) ? readWhitespace(bytes, position)
                : readObject(bytes, position);
            if (partialObject.size() > maxBytes) {
                throw new IllegalArgumentException("an object is longer than " + maxBytes + " bytes");
            }
        }
    }

    /** Returns whether these bytes of a stream are whitespace only, such as an empty line. */
    public static boolean isBlank(byte[] bytes) {
        for (byte character : bytes) {
            if (!isWhitespace(character)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isWhitespace(byte character) {
        return character == ' ' || character == '\t' || character == '\r' || character == '\n';
    }

    private int readWhitespace(byte[] bytes, int position) {
        if (bytes[position] == '\n') {
            if (!lineHasObject) {
                emptyLineHandler.run();
            }
            lineHasObject = false;
        }
        return position + 1;
    }

    /**
     * Returns the position after the end of the object, or the length of {@code bytes} if the object
     * continues.
     */
    private int readObject(byte[] bytes, int start) {
        try {
            parser = parser == null ? Json.createIncrementalParser() : parser;
            ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, start, bytes.length);
            for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser
                .nextToken()) {
                if (token == JsonToken.END_OBJECT && parser.getParsingContext().inRoot()) {
                    int end = start + (int) parser.currentLocation().getByteOffset() - partialObject.size();
                    partialObject.write(bytes, start, end - start);
                    completeObject();
                    return end;
                }
                if (token.isScalarValue() && parser.getParsingContext().inRoot()
                    || token == JsonToken.START_ARRAY
                        && parser.getParsingContext().getParent().inRoot()) {
                    throw new IllegalArgumentException("expected an object");
                }
            }
        } catch (IOException invalid) {
            throw Json.invalidJson(invalid);
        }
        partialObject.write(bytes, start, bytes.length - start);
        return bytes.length;
    }

    private void completeObject() throws IOException {
        parser.close();
        parser = null;
        lineHasObject = true;
        byte[] bytes = partialObject.toByteArray();
        partialObject.reset();
        objectHandler.accept(bytes);
    }
}
