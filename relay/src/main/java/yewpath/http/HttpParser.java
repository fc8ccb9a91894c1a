package yewpath.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * An incremental parser for HTTP/1.1 requests or responses. It consumes the bytes of a ring buffer as they
 * arrive and parses one message at a time; {@link #startNextMessage} prepares it for the next message on the
 * connection.
 */
public final class HttpParser {
    /**
     * The next part of the message to parse. The order matters: the stages after {@code HEADERS} have a
     * complete head.
     */
    private enum Stage {
        START_LINE,
        HEADERS,
        FIXED_LENGTH_BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        BODY_UNTIL_CLOSE,
        COMPLETE
    }

    /**
     * How many lines of a request are parsed in one call. Guards against connections that delay all others
     * with requests of very many short lines.
     */
    private static final int MAX_REQUEST_LINES_PER_CALL = 64;
    /** A larger body array is released once its content has been removed. */
    private static final int MAX_RETAINED_BODY_BYTES = 4096;

    private final boolean parsesRequests;
    private final int maxHeadBytes;
    private final int maxBodyBytes;
    private final HeaderBlock headers = new HeaderBlock();
    private Stage stage = Stage.START_LINE;
    private int headBytes;
    private int scannedBytes;
    private long remainingBytes;
    private byte[] body = {};
    private int bodySize;
    private String method;
    private String target;
    private int status;
    private boolean keepAlive;
    private boolean paused;

    /**
     * Creates a parser for requests or for responses.
     *
     * @param maxHeadBytes the largest size of a head, of the lines between two chunks of a body, and of the
     * trailers
     * @param maxBodyBytes the largest size of a body that has been received and not been removed yet
     */
    public HttpParser(boolean parsesRequests, int maxHeadBytes, int maxBodyBytes) {
        this.parsesRequests = parsesRequests;
        this.maxHeadBytes = maxHeadBytes;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the method of a request whose start line has been parsed. */
    public String method() {
        return method;
    }

    /** Returns the target of a request whose start line has been parsed. */
    public String target() {
        return target;
    }

    /** Returns the status code of a response whose start line has been parsed. */
    public int status() {
        return status;
    }

    /**
     * Returns the status code as soon as the status line has been parsed, even if the rest is malformed; 0
     * before.
     */
    public int receivedStatus() {
        return stage == Stage.START_LINE ? 0 : status;
    }

    /** Returns whether the connection can be used further after this message. */
    public boolean isKeepAlive() {
        return keepAlive;
    }

    /** Returns whether the head of the message has been parsed completely. */
    public boolean isHeadComplete() {
        return stage.ordinal() > Stage.HEADERS.ordinal();
    }

    /** Returns whether the parser has seen no byte of the message. */
    public boolean isBeforeFirstByte() {
        return stage == Stage.START_LINE && headBytes == 0 && scannedBytes == 0;
    }

    /** Returns the first value of a header, or null; header names are compared without regard to case. */
    public String header(String name) {
        List<String> values = headers.values(name);
        return values.isEmpty() ? null : values.get(0);
    }

    /** Returns a copy of the part of the body that has been received and not been removed. */
    public byte[] body() {
        return Arrays.copyOf(body, bodySize);
    }

    /**
     * Returns the part of the body that has been received since the last call, and removes it from the
     * parser.
     */
    public byte[] removeBody() {
        byte[] removed = body();
        body = bodySize > MAX_RETAINED_BODY_BYTES ? new byte[0] : body;
        bodySize = 0;
        return removed;
    }

    /** Discards the current message, so that the next message on the same connection can be parsed. */
    public void startNextMessage() {
        headers.clear();
        stage = Stage.START_LINE;
        headBytes = scannedBytes = bodySize = 0;
        body = new byte[0];
    }

    /** Returns whether the last call of {@link #parse} left lines in the buffer for the next call. */
    public boolean isPaused() {
        return paused;
    }

    /**
     * Parses as much of the message as the buffer holds, and removes the parsed bytes from the buffer. Of a
     * request with very many lines, one call parses only a part; {@link #isPaused} tells so.
     *
     * @return whether the message is complete
     * @throws HttpParseException if the message is malformed or exceeds a size limit
     */
    public boolean parse(RingBuffer input) throws HttpParseException {
        paused = false;
        int lineCount = 0;
        while (stage != Stage.COMPLETE) {
            if (stage == Stage.FIXED_LENGTH_BODY || stage == Stage.CHUNK_DATA
                || stage == Stage.BODY_UNTIL_CLOSE) {
                if (!readBody(input)) {
                    return false;
                }
                continue;
            }
            if (parsesRequests && lineCount == MAX_REQUEST_LINES_PER_CALL) {
                paused = true;
                return false;
            }
            lineCount++;
            String line = readLine(input);
            if (line == null) {
                return false;
            }
            switch (stage) {
                case START_LINE -> {
                    // An empty line before a request is skipped, as RFC 9112, section 2.2, asks for.
                    if (!line.isEmpty() || !parsesRequests) {
                        parseStartLine(line);
                        stage = Stage.HEADERS;
                    }
                }
                case HEADERS -> {
                    if (line.isEmpty()) {
                        selectBodyFraming();
                    } else {
                        parseHeader(line);
                    }
                }
                case CHUNK_SIZE -> parseChunkSize(line);
                case CHUNK_END -> {
                    require(line.isEmpty(), "chunk data is longer than the chunk size");
                    stage = Stage.CHUNK_SIZE;
                }
                default -> stage = line.isEmpty() ? Stage.COMPLETE : stage;
            }
        }
        return true;
    }

    /**
     * Handles the end of the input. Returns whether the message is complete; it may end with the connection.
     */
    public boolean endOfInput() {
        stage = stage == Stage.BODY_UNTIL_CLOSE ? Stage.COMPLETE : stage;
        return stage == Stage.COMPLETE;
    }

    /** Returns the next line without its line break, or null if it has not been received completely. */
    private String readLine(RingBuffer input) throws HttpParseException {
        int end = input.indexOf((byte) '\n', scannedBytes);
        if (end < 0) {
            scannedBytes = input.size();
            if (headBytes + scannedBytes > maxHeadBytes) {
                throw new HttpParseException(431, "head exceeds the maximum size");
            }
            return null;
        }
        scannedBytes = 0;
        headBytes += end + 1;
        if (headBytes > maxHeadBytes) {
            throw new HttpParseException(431, "head exceeds the maximum size");
        }
        boolean endsInCrLf = end > 0 && input.byteAt(end - 1) == '\r';
        int length = endsInCrLf ? end - 1 : end;
        byte[] line = new byte[end + 1];
        input.remove(line, 0, end + 1);
        // The status line of a response is accepted even if it is badly formed, because the status code still
        // counts.
        if (parsesRequests || stage != Stage.START_LINE) {
            require(endsInCrLf, "line does not end in CR LF");
            for (int i = 0; i < length; i++) {
                require(line[i] >= ' ' || line[i] == '\t' || line[i] < 0,
                    "line contains a control character");
            }
        }
        return new String(line, 0, length, StandardCharsets.ISO_8859_1);
    }

    private static void require(boolean condition, String errorMessage) throws HttpParseException {
        if (!condition) {
            throw new HttpParseException(400, errorMessage);
        }
    }

    private void parseStartLine(String line) throws HttpParseException {
        String[] parts = line.split(" ", parsesRequests ? -1 : 3);
        String version = parsesRequests ? parts[parts.length - 1] : parts[0];
        require(version.equals("HTTP/1.1") || version.equals("HTTP/1.0"),
            "version in the start line is neither HTTP/1.1 nor HTTP/1.0");
        keepAlive = version.equals("HTTP/1.1");
        if (parsesRequests) {
            require(parts.length == 3 && isToken(parts[0]) && !parts[1].isEmpty(),
                "request line is not \"METHOD TARGET VERSION\"");
            method = parts[0];
            target = parts[1];
        } else {
            require(parts.length > 1 && parts[1].matches("[1-5][0-9][0-9]"),
                "status line has no status code from 100 to 599");
            status = Integer.parseInt(parts[1]);
        }
    }

    private void parseHeader(String line) throws HttpParseException {
        int colon = line.indexOf(':');
        require(colon > 0 && isToken(line.substring(0, colon)),
            "header line does not begin with a name and a colon");
        headers.add(line);
    }

    /** Returns whether the text is a token as RFC 9110, section 5.6.2, defines it. */
    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character <= ' ' || character >= 127 || "\"(),/:;<=>?@[\\]{}".indexOf(character) >= 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Evaluates the headers that tell where the body ends and whether the connection stays open. */
    private void selectBodyFraming() throws HttpParseException {
        List<String> contentLengths = headers.values("Content-Length");
        require(contentLengths.isEmpty()
            || contentLengths.size() == 1 && contentLengths.get(0).matches("[0-9]{1,15}"),
            "Content-Length is repeated or not a number of 1 to 15 digits");
        List<String> transferEncodings = headers.values("Transfer-Encoding");
        require(transferEncodings.isEmpty()
            || transferEncodings.size() == 1 && transferEncodings.get(0).equalsIgnoreCase("chunked"),
            "Transfer-Encoding is repeated or not \"chunked\"");
        for (String connectionOptions : headers.values("Connection")) {
            String options = connectionOptions.toLowerCase();
            keepAlive = options.contains("close") ? false : keepAlive || options.contains("keep-alive");
        }
        // With both headers, two implementations may disagree on where the message ends (request smuggling).
        require(contentLengths.isEmpty() || transferEncodings.isEmpty(),
            "both Content-Length and Transfer-Encoding are set");
        headBytes = 0;
        if (!parsesRequests && (status < 200 || status == 204 || status == 304)) {
            stage = Stage.COMPLETE;
        } else if (!transferEncodings.isEmpty()) {
            stage = Stage.CHUNK_SIZE;
        } else if (!contentLengths.isEmpty() || parsesRequests) {
            remainingBytes = contentLengths.isEmpty() ? 0 : Long.parseLong(contentLengths.get(0));
            checkBodySize(remainingBytes);
            stage = remainingBytes == 0 ? Stage.COMPLETE : Stage.FIXED_LENGTH_BODY;
        } else {
            keepAlive = false;
            remainingBytes = Long.MAX_VALUE;
            stage = Stage.BODY_UNTIL_CLOSE;
        }
    }

    private void parseChunkSize(String line) throws HttpParseException {
        int extension = line.indexOf(';');
        String size = (extension < 0 ? line : line.substring(0, extension)).strip();
        require(isHexadecimal(size) && size.length() <= 8,
            "chunk size is not a number of 1 to 8 hexadecimal digits");
        remainingBytes = Long.parseLong(size, 16);
        checkBodySize(remainingBytes);
        headBytes = 0;
        stage = remainingBytes == 0 ? Stage.TRAILERS : Stage.CHUNK_DATA;
    }

    private static boolean isHexadecimal(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            boolean isLetter = character >= 'a' && character <= 'f' || character >= 'A' && character <= 'F';
            if (!isLetter && (character < '0' || character > '9')) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private void checkBodySize(long additionalBytes) throws HttpParseException {
        if (bodySize + additionalBytes > maxBodyBytes) {
            throw new HttpParseException(413, "body exceeds the maximum size");
        }
    }

    private boolean readBody(RingBuffer input) throws HttpParseException {
        int count = (int) Math.min(remainingBytes, input.size());
        checkBodySize(count);
        if (bodySize + count > body.length) {
            // Grows with the bytes received, not with the announced length: a peer can announce any length at
            // no cost.
            long doubled = Math.min(2L * (bodySize + count), bodySize + remainingBytes);
            body = Arrays.copyOf(body, (int) Math.max(doubled, bodySize + count));
        }
        input.remove(body, bodySize, count);
        bodySize += count;
        remainingBytes -= count;
        if (remainingBytes == 0) {
            stage = stage == Stage.CHUNK_DATA ? Stage.CHUNK_END : Stage.COMPLETE;
        }
        return remainingBytes == 0;
    }
}
