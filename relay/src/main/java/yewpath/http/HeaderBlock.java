package yewpath.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The header lines of one message, kept as the bytes that were received. Its memory follows the size of the
 * head and not the number of its headers: hundreds of connections may each hold a head of very many short ones.
 */
final class HeaderBlock {
    /** A larger array is released with the message that needed it. */
    private static final int MAX_RETAINED_BYTES = 1024;
    private static final byte LINE_END = '\n';

    private byte[] lines = {};
    private int size;

    /** Removes all headers. */
    void clear() {
        size = 0;
        lines = lines.length > MAX_RETAINED_BYTES ? new byte[0] : lines;
    }

    /** Adds a line, which consists of a name, a colon and a value, without its line break. */
    void add(String line) {
        byte[] bytes = line.getBytes(StandardCharsets.ISO_8859_1);
        int newSize = size + bytes.length + 1;
        if (newSize > lines.length) {
            lines = Arrays.copyOf(lines, newSize + newSize / 2);
        }
        System.arraycopy(bytes, 0, lines, size, bytes.length);
        lines[newSize - 1] = LINE_END;
        size = newSize;
    }

    /** Returns the values of a header in their order; names are compared without regard to case. */
    List<String> values(String name) {
        List<String> values = new ArrayList<>(1);
        int lineStart = 0;
        while (lineStart < size) {
            int lineEnd = lineStart;
            while (lines[lineEnd] != LINE_END) {
                lineEnd++;
            }
            if (hasName(lineStart, lineEnd, name)) {
                int valueStart = lineStart + name.length() + 1;
                values.add(new String(lines, valueStart, lineEnd - valueStart, StandardCharsets.ISO_8859_1)
                    .strip());
            }
            lineStart = lineEnd + 1;
        }
        return values;
    }

    private boolean hasName(int lineStart, int lineEnd, String name) {
        int colon = lineStart + name.length();
        if (colon >= lineEnd || lines[colon] != ':') {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            if (Character.toLowerCase(lines[lineStart + i]) != Character.toLowerCase(name.charAt(i))) {
                return false;
            }
        }
        return true;
    }
}
