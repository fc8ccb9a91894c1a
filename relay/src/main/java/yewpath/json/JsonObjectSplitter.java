package yewpath.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * Cuts bytes that come piece by piece into objects and the empty lines between them. An object may stand on one line or
 * be indented over many; one that can't come to its end any more is found out at the first byte that says so.
 */
public final class JsonObjectSplitter {
    private final Consumer<byte[]> object;
    private final Runnable emptyLine;
    private final ByteArrayOutputStream begun = new ByteArrayOutputStream();
    private JsonParser parser;
    /** Whether the line that goes on ended an object, and so is no empty one. */
    private boolean lineTaken;

    public JsonObjectSplitter(Consumer<byte[]> object, Runnable emptyLine) {
        this.object = object;
        this.emptyLine = emptyLine;
    }

    /** Whether an object has begun that is not whole. */
    public boolean isIncomplete() {
        return parser != null;
    }

    /** Throws IllegalArgumentException at what is no object, or at one longer than {@code most}; of no use after that. */
    public void feed(byte[] bytes, int most) {
        for (int at = 0; at < bytes.length;) {
            at = parser == null && isSpace(bytes[at]) ? space(bytes, at) : inside(bytes, at);
            if (begun.size() > most) {
                throw new IllegalArgumentException("an object longer than " + most + " bytes");
            }
        }
    }

    private static boolean isSpace(byte b) {
        return b == ' ' || b == '\t' || b == '\r' || b == '\n';
    }

    private int space(byte[] bytes, int at) {
        if (bytes[at] == '\n') {
            if (!lineTaken) {
                emptyLine.run();
            }
            lineTaken = false;
        }
        return at + 1;
    }

    /** Returns where the object ends, or these bytes do. */
    private int inside(byte[] bytes, int from) {
        try {
            parser = parser == null ? Json.incremental() : parser;
            ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, from, bytes.length);
            for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser
                .nextToken()) {
                if (token == JsonToken.END_OBJECT && parser.getParsingContext().inRoot()) {
                    int end = from + (int) parser.currentLocation().getByteOffset() - begun.size();
                    begun.write(bytes, from, end - from);
                    whole();
                    return end;
                }
                if (token.isScalarValue() && parser.getParsingContext().inRoot()
                    || token == JsonToken.START_ARRAY
                        && parser.getParsingContext().getParent().inRoot()) {
                    throw new IllegalArgumentException("not an object");
                }
            }
        } catch (IOException garbled) {
            throw Json.garbled(garbled);
        }
        begun.write(bytes, from, bytes.length - from);
        return bytes.length;
    }

    private void whole() throws IOException {
        parser.close();
        parser = null;
        lineTaken = true;
        byte[] bytes = begun.toByteArray();
        begun.reset();
        object.accept(bytes);
    }
}
