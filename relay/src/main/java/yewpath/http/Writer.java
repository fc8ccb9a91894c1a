package yewpath.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Puts messages together; names and values come from this program or from a parsed head, never with line ends. */
public final class Writer {
    private static final byte[] NOTHING = {};
    private final StringBuilder head = new StringBuilder();

    private Writer(String first) {
        head.append(first).append("\r\n");
    }

    public static Writer request(String method, String target, InetSocketAddress to) {
        return new Writer(method + ' ' + target + " HTTP/1.1").with("Host",
            to.getHostString() + ':' + to.getPort());
    }

    public static Writer answer(int status) {
        return new Writer("HTTP/1.1 " + status + ' ' + reason(status));
    }

    public Writer with(String name, Object value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    public byte[] done() {
        head.append("\r\n");
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the message with its length and this body. */
    public byte[] done(byte[] body) {
        byte[] start = with("Content-Length", body.length).done();
        byte[] whole = Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        return whole;
    }

    public byte[] empty() {
        return done(NOTHING);
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 503 -> "Service Unavailable";
            default -> "Other";
        };
    }
}
