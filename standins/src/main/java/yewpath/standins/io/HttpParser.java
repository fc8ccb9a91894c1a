package yewpath.standins.io;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Parses HTTP/1.1 messages (RFC 9112) out of the bytes of one connection. It supports what the relay's
 * protocol uses: the length of a body is given by Content-Length, and transfer codings are not allowed.
 * Anything else throws IllegalArgumentException: a test server does not guess what the relay may have meant.
 */
public final class HttpParser {
    private static final int MAX_HEAD_BYTES = 64 << 10;
    private byte[] bytes = new byte[512];
    private int size;
    /** Where the search for the blank line that ends the head continues. */
    private int searchPosition;
    /** Offset of the body; -1 until the end of the head has been found. */
    private int bodyOffset = -1;
    private int bodyLength;
    private String startLine;
    private Map<String, String> headers;

    /** Adds bytes that were received; consumes the whole buffer. */
    public void append(ByteBuffer received) {
        int added = received.remaining();
        if (size + added > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + added));
        }
        received.get(bytes, size, added);
        size += added;
    }

    /** Returns whether bytes are buffered that {@link #nextMessage} has not returned as a message yet. */
    public boolean hasPartialMessage() {
        return size > 0;
    }

    /**
     * Removes and returns the next complete message.
     *
     * @return null if more bytes are needed
     * @throws IllegalArgumentException if the bytes are not a supported HTTP message
     */
    public HttpMessage nextMessage() {
        if (bodyOffset < 0 && !parseHead()) {
            return null;
        }
        if (size - bodyOffset < bodyLength) {
            return null;
        }
        HttpMessage message = new HttpMessage(startLine, headers,
            Arrays.copyOfRange(bytes, bodyOffset, bodyOffset + bodyLength));
        int remaining = size - bodyOffset - bodyLength;
        System.arraycopy(bytes, bodyOffset + bodyLength, bytes, 0, remaining);
        size = remaining;
        searchPosition = 0;
        bodyOffset = -1;
        return message;
    }

    /** Returns false if the end of the head has not been received yet. */
    private boolean parseHead() {
        for (; searchPosition + 3 < size; searchPosition++) {
            if (bytes[searchPosition] == '\r' && bytes[searchPosition + 1] == '\n'
                && bytes[searchPosition + 2] == '\r' && bytes[searchPosition + 3] == '\n') {
                parseHeadLines(
                    new String(bytes, 0, searchPosition, StandardCharsets.ISO_8859_1).split("\r\n"));
                bodyOffset = searchPosition + 4;
                return true;
            }
        }
        if (size > MAX_HEAD_BYTES) {
            throw new IllegalArgumentException(
                "the HTTP head does not end within " + MAX_HEAD_BYTES + " bytes");
        }
        return false;
    }

    private void parseHeadLines(String[] lines) {
        startLine = lines[0];
        headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new IllegalArgumentException("header line without a name and a colon: " + lines[i]);
            }
            headers.put(lines[i].substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                lines[i].substring(colon + 1).strip());
        }
        if (headers.containsKey("transfer-encoding")) {
            throw new IllegalArgumentException(
                "Transfer-Encoding is not supported; the body needs a Content-Length");
        }
        String length = headers.getOrDefault("content-length", "0");
        if (!length.matches("[0-9]{1,9}")) {
            throw new IllegalArgumentException(
                "Content-Length must be a number of at most 9 digits, not " + length);
        }
        bodyLength = Integer.parseInt(length);
    }
}
