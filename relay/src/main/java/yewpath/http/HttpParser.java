package yewpath.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads one HTTP/1.1 message after another from a ring, as far as its bytes have come. */
public final class HttpParser {
    private enum Stage {
        START,
        HEADERS,
        FIXED,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        TO_END,
        WHOLE
    }

    private final boolean requests;
    private final int headMost;
    private final int bodyMost;
    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();
    private Stage stage = Stage.START;
    private int headBytes;
    private int scanned;
    private long left;
    private byte[] body = {};
    private int bodySize;
    private String method;
    private String target;
    private int status;
    private boolean lasting;

    /** Parses requests or answers whose head and body stay within these sizes. */
    public HttpParser(boolean requests, int headMost, int bodyMost) {
        this.requests = requests;
        this.headMost = headMost;
        this.bodyMost = bodyMost;
    }

    public String method() {
        return method;
    }

    public String target() {
        return target;
    }

    public int status() {
        return status;
    }

    /** Of an answer whose first line has come, whatever follows it; 0 before. */
    public int receivedStatus() {
        return stage == Stage.START ? 0 : status;
    }

    /** Whether the connection outlives this message. */
    public boolean isKeepAlive() {
        return lasting;
    }

    public boolean isHeadComplete() {
        return stage.ordinal() > Stage.HEADERS.ordinal();
    }

    public boolean isBeforeFirstByte() {
        return stage == Stage.START && headBytes == 0 && scanned == 0;
    }

    /** Returns the first value of a header, compared without regard to case, or null. */
    public String header(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** The body as far as it has come. */
    public byte[] body() {
        return Arrays.copyOf(body, bodySize);
    }

    /** The body as far as it has come; what was taken is not given again. */
    public byte[] removeBody() {
        byte[] taken = body();
        body = bodySize > 4096 ? new byte[0] : body;
        bodySize = 0;
        return taken;
    }

    /** Forgets the message read so far, to read another on the same connection. */
    public void startNextMessage() {
        names.clear();
        values.clear();
        stage = Stage.START;
        headBytes = scanned = bodySize = 0;
        body = new byte[0];
    }

    /** True once the message is whole; its bytes have then left the ring. */
    public boolean parse(RingBuffer in) throws HttpParseException {
        while (stage != Stage.WHOLE) {
            if (stage == Stage.FIXED || stage == Stage.CHUNK || stage == Stage.TO_END) {
                if (!readBody(in)) {
                    return false;
                }
                continue;
            }
            String line = line(in);
            if (line == null) {
                return false;
            }
            switch (stage) {
                case START -> {
                    // A stray empty line before a request is skipped, as RFC 9112 2.2 asks for.
                    if (!line.isEmpty() || !requests) {
                        start(line);
                        stage = Stage.HEADERS;
                    }
                }
                case HEADERS -> {
                    if (line.isEmpty()) {
                        frame();
                    } else {
                        headerLine(line);
                    }
                }
                case CHUNK_SIZE -> chunkSize(line);
                case CHUNK_END -> {
                    need(line.isEmpty(), "a chunk longer than its size");
                    stage = Stage.CHUNK_SIZE;
                }
                default -> stage = line.isEmpty() ? Stage.WHOLE : stage;
            }
        }
        return true;
    }

    /** Tells of the connection's end; true where that completes the message. */
    public boolean endOfInput() {
        stage = stage == Stage.TO_END ? Stage.WHOLE : stage;
        return stage == Stage.WHOLE;
    }

    private String line(RingBuffer in) throws HttpParseException {
        int end = in.indexOf((byte) '\n', scanned);
        if (end < 0) {
            scanned = in.size();
            if (headBytes + scanned > headMost) {
                throw new HttpParseException(431, "head too long");
            }
            return null;
        }
        scanned = 0;
        headBytes += end + 1;
        if (headBytes > headMost) {
            throw new HttpParseException(431, "head too long");
        }
        boolean whole = end > 0 && in.byteAt(end - 1) == '\r';
        int length = whole ? end - 1 : end;
        byte[] line = new byte[end + 1];
        in.remove(line, 0, end + 1);
        // What an answer's first line says holds however badly it is written.
        if (requests || stage != Stage.START) {
            need(whole, "a line that does not end in CR LF");
            for (int i = 0; i < length; i++) {
                need(line[i] >= ' ' || line[i] == '\t' || line[i] < 0, "a control character");
            }
        }
        return new String(line, 0, length, StandardCharsets.ISO_8859_1);
    }

    private static void need(boolean met, String otherwise) throws HttpParseException {
        if (!met) {
            throw new HttpParseException(400, otherwise);
        }
    }

    private void start(String line) throws HttpParseException {
        String[] parts = line.split(" ", requests ? -1 : 3);
        String version = requests ? parts[parts.length - 1] : parts[0];
        need(version.equals("HTTP/1.1") || version.equals("HTTP/1.0"), "not HTTP/1.1");
        lasting = version.equals("HTTP/1.1");
        if (requests) {
            need(parts.length == 3 && isToken(parts[0]) && !parts[1].isEmpty(), "a bad request line");
            method = parts[0];
            target = parts[1];
        } else {
            need(parts.length > 1 && parts[1].matches("[1-5][0-9][0-9]"), "a bad status line");
            status = Integer.parseInt(parts[1]);
        }
    }

    private void headerLine(String line) throws HttpParseException {
        int colon = line.indexOf(':');
        need(colon > 0 && isToken(line.substring(0, colon)), "a bad header line");
        names.add(line.substring(0, colon));
        values.add(line.substring(colon + 1).strip());
    }

    private static boolean isToken(String word) {
        for (int i = 0; i < word.length(); i++) {
            char c = word.charAt(i);
            if (c <= ' ' || c >= 127 || "\"(),/:;<=>?@[\\]{}".indexOf(c) >= 0) {
                return false;
            }
        }
        return !word.isEmpty();
    }

    private void frame() throws HttpParseException {
        String length = null;
        String coding = null;
        for (int i = 0; i < names.size(); i++) {
            String name = names.get(i);
            if (name.equalsIgnoreCase("Content-Length")) {
                need(length == null && values.get(i).matches("[0-9]{1,15}"), "an ambiguous length");
                length = values.get(i);
            } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
                need(coding == null && values.get(i).equalsIgnoreCase("chunked"), "an unknown coding");
                coding = values.get(i);
            } else if (name.equalsIgnoreCase("Connection")) {
                String word = values.get(i).toLowerCase();
                lasting = word.contains("close") ? false : lasting || word.contains("keep-alive");
            }
        }
        // Two ways of telling where a message ends let two readers disagree on it.
        need(length == null || coding == null, "both a length and a coding");
        headBytes = 0;
        if (!requests && (status < 200 || status == 204 || status == 304)) {
            stage = Stage.WHOLE;
        } else if (coding != null) {
            stage = Stage.CHUNK_SIZE;
        } else if (length != null || requests) {
            left = length == null ? 0 : Long.parseLong(length);
            tooLong(left);
            stage = left == 0 ? Stage.WHOLE : Stage.FIXED;
        } else {
            lasting = false;
            left = Long.MAX_VALUE;
            stage = Stage.TO_END;
        }
    }

    private void chunkSize(String line) throws HttpParseException {
        String size = line.split(";", 2)[0].strip();
        need(size.matches("[0-9a-fA-F]{1,8}"), "a bad chunk size");
        left = Long.parseLong(size, 16);
        tooLong(left);
        headBytes = 0;
        stage = left == 0 ? Stage.TRAILERS : Stage.CHUNK;
    }

    private void tooLong(long more) throws HttpParseException {
        if (bodySize + more > bodyMost) {
            throw new HttpParseException(413, "body too long");
        }
    }

    private boolean readBody(RingBuffer in) throws HttpParseException {
        int count = (int) Math.min(left, in.size());
        tooLong(count);
        if (bodySize + count > body.length) {
            // Grows with what has come, not with what was announced: announcing costs the other side nothing.
            long twice = Math.min(2L * (bodySize + count), bodySize + left);
            body = Arrays.copyOf(body, (int) Math.max(twice, bodySize + count));
        }
        in.remove(body, bodySize, count);
        bodySize += count;
        left -= count;
        if (left == 0) {
            stage = stage == Stage.CHUNK ? Stage.CHUNK_END : Stage.WHOLE;
        }
        return left == 0;
    }
}
