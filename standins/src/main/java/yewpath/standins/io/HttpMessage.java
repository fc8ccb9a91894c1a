package yewpath.standins.io;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One HTTP/1.1 request or response.
 *
 * @param startLine the request line or status line, without its line break
 * @param headers header values by lower-case header name
 * @param body the body, empty if there is none
 */
public record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
    private static final byte[] EMPTY_BODY = {};

    /** Returns the method of a request. */
    public String method() {
        return startLine.substring(0, Math.max(0, startLine.indexOf(' ')));
    }

    /** Returns the target of a request, empty if the request line has none. */
    public String target() {
        String[] parts = startLine.split(" ");
        return parts.length > 1 ? parts[1] : "";
    }

    /** Returns the status code of a response, 0 if the status line holds no three-digit code. */
    public int status() {
        String code = target();
        return code.matches("[0-9]{3}") ? Integer.parseInt(code) : 0;
    }

    /** Returns the value of a header by its lower-case name, null if the message does not have it. */
    public String header(String name) {
        return headers.get(name);
    }

    /** Returns the body decoded as UTF-8. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns the bytes of a request or response. The Content-Length header is added.
     *
     * @param startLine the request line or status line
     * @param headers header lines, each as "Name: value"
     */
    public static byte[] encode(String startLine, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        byte[] headBytes = head.append("Content-Length: ").append(body.length).append("\r\n\r\n").toString()
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] messageBytes = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, messageBytes, headBytes.length, body.length);
        return messageBytes;
    }

    /** Returns the bytes of a response without a body; {@code headers} as for {@link #encode}. */
    public static byte[] encodeResponse(int status, String... headers) {
        return encode("HTTP/1.1 " + status + " -", EMPTY_BODY, headers);
    }
}
