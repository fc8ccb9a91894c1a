package yewpath.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Puts messages together; names and values come from this program or from a parsed head, never with line ends. */
public final class HttpMessageBuilder {
    private static final byte[] NOTHING = {};
    private final StringBuilder head = new StringBuilder();

    private HttpMessageBuilder(String first) {
        head.append(first).append("\r\n");
    }

    public static HttpMessageBuilder request(String method, String target, InetSocketAddress to) {
        return new HttpMessageBuilder(method + ' ' + target + " HTTP/1.1").header("Host",
            to.getHostString() + ':' + to.getPort());
    }

    public static HttpMessageBuilder response(int status) {
        return new HttpMessageBuilder("HTTP/1.1 " + status + ' ' + reason(status));
    }

    public HttpMessageBuilder header(String name, Object value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    public byte[] build() {
        head.append("\r\n");
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the message with its length and this body. */
    public byte[] build(byte[] body) {
        byte[] start = header("Content-Length", body.length).build();
        byte[] whole = Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        return whole;
    }

    public byte[] buildWithEmptyBody() {
        return build(NOTHING);
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
