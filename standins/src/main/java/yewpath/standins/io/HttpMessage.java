package yewpath.standins.io;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One HTTP/1.1 message: its first line, headers by lower-case name, and body. */
public record HttpMessage(String line, Map<String, String> headers, byte[] body) {
    private static final byte[] NONE = {};

    public String method() {
        return line.substring(0, Math.max(0, line.indexOf(' ')));
    }

    public String target() {
        String[] parts = line.split(" ");
        return parts.length > 1 ? parts[1] : "";
    }

    /** Of an answer; 0 where it has none that can be read. */
    public int status() {
        String code = target();
        return code.matches("[0-9]{3}") ? Integer.parseInt(code) : 0;
    }

    public String header(String name) {
        return headers.get(name);
    }

    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** The bytes of a request or answer whose first line and headers (each "Name: value") are told. */
    public static byte[] encode(String line, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(line).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        byte[] bytes = head.append("Content-Length: ").append(body.length).append("\r\n\r\n").toString()
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        return all;
    }

    public static byte[] encodeResponse(int status, String... headers) {
        return encode("HTTP/1.1 " + status + " -", NONE, headers);
    }
}
