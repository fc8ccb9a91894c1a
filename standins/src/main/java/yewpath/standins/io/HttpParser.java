package yewpath.standins.io;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Messages out of bytes, as RFC 9112 has them, as far as the relay's protocol goes: bodies have a length. What is not
 * so is an IllegalArgumentException: a stand-in does not guess what the relay may have meant.
 */
public final class HttpParser {
    private static final int HEAD_MOST = 64 << 10;
    private byte[] bytes = new byte[512];
    private int size;
    /** Where the search for the head's end goes on, and what is known once it was found. */
    private int searched;
    private int bodyAt = -1;
    private int bodyLength;
    private String line;
    private Map<String, String> headers;

    public void append(ByteBuffer from) {
        int more = from.remaining();
        if (size + more > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + more));
        }
        from.get(bytes, size, more);
        size += more;
    }

    /** Whether something of a message that is not whole has come. */
    public boolean hasPartialMessage() {
        return size > 0;
    }

    /** The next message that is whole; null where more has to come. */
    public HttpMessage nextMessage() {
        if (bodyAt < 0 && !head()) {
            return null;
        }
        if (size - bodyAt < bodyLength) {
            return null;
        }
        HttpMessage whole = new HttpMessage(line, headers,
            Arrays.copyOfRange(bytes, bodyAt, bodyAt + bodyLength));
        int rest = size - bodyAt - bodyLength;
        System.arraycopy(bytes, bodyAt + bodyLength, bytes, 0, rest);
        size = rest;
        searched = 0;
        bodyAt = -1;
        return whole;
    }

    private boolean head() {
        for (; searched + 3 < size; searched++) {
            if (bytes[searched] == '\r' && bytes[searched + 1] == '\n' && bytes[searched + 2] == '\r'
                && bytes[searched + 3] == '\n') {
                fields(new String(bytes, 0, searched, StandardCharsets.ISO_8859_1).split("\r\n"));
                bodyAt = searched + 4;
                return true;
            }
        }
        if (size > HEAD_MOST) {
            throw new IllegalArgumentException("a head without end");
        }
        return false;
    }

    private void fields(String[] lines) {
        line = lines[0];
        headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new IllegalArgumentException("not a header: " + lines[i]);
            }
            headers.put(lines[i].substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                lines[i].substring(colon + 1).strip());
        }
        if (headers.containsKey("transfer-encoding")) {
            throw new IllegalArgumentException("a transfer coding where a length was to be");
        }
        String length = headers.getOrDefault("content-length", "0");
        if (!length.matches("[0-9]{1,9}")) {
            throw new IllegalArgumentException("not a length: " + length);
        }
        bodyLength = Integer.parseInt(length);
    }
}
