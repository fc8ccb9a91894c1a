package yewpath.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds HTTP/1.1 requests and responses. Header names and values are not checked for line breaks: callers
 * pass only text of this program or text that {@link HttpParser} has accepted in a head.
 */
public final class HttpMessageBuilder {
    private static final byte[] EMPTY_BODY = {};
    private final StringBuilder head = new StringBuilder();

    private HttpMessageBuilder(String startLine) {
        head.append(startLine).append("\r\n");
    }

    /** Starts a request with a {@code Host} header for the server at {@code address}. */
    public static HttpMessageBuilder request(String method, String target, InetSocketAddress address) {
        return new HttpMessageBuilder(method + ' ' + target + " HTTP/1.1").header("Host",
            address.getHostString() + ':' + address.getPort());
    }

    /** Starts a response with this status code. */
    public static HttpMessageBuilder response(int status) {
        return new HttpMessageBuilder("HTTP/1.1 " + status + ' ' + reasonPhrase(status));
    }

    /** Appends a header and returns this builder. */
    public HttpMessageBuilder header(String name, Object value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /** Returns the message without a body and without a {@code Content-Length} header. */
    public byte[] build() {
        head.append("\r\n");
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the message with this body and its {@code Content-Length}. */
    public byte[] build(byte[] body) {
        byte[] headBytes = header("Content-Length", body.length).build();
        byte[] message = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    /** Returns the message with a {@code Content-Length} of 0. */
    public byte[] buildWithEmptyBody() {
        return build(EMPTY_BODY);
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 503 -> "Service Unavailable";
            default -> "Other";
        };
    }
}
