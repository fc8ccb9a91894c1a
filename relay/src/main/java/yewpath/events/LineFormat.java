package yewpath.events;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import org.tinylog.Level;

/** One line: fields as a JSON object, and the line around them in either form. */
final class LineFormat {
    /** Guards against ids and paths from outside that fill a disk by their length. */
    private static final int LONGEST = 256, LONGEST_TRACE = 4_000;
    /** Characters beyond ASCII are escaped: control characters of any kind and lone surrogates among them. */
    private static final JsonFactory FACTORY = JsonFactory.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII)
        .build();
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS")
        .withZone(ZoneOffset.UTC);

    private LineFormat() {}

    /** A JSON object; one value for each of the event's fields, of which those that are null are left out. */
    static String fields(String[] names, Object... values) {
        StringWriter text = new StringWriter(128);
        // Written to characters, not bytes: a lone surrogate then is escaped like any other and is no error.
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            out.writeStartObject();
            for (int i = 0; i < names.length; i++) {
                Object value = values[i];
                if (value instanceof Long || value instanceof Integer) {
                    out.writeNumberField(names[i], ((Number) value).longValue());
                } else if (value instanceof Double figure) {
                    out.writeNumberField(names[i], figure);
                } else if (value instanceof Boolean flag) {
                    out.writeBooleanField(names[i], flag);
                } else if (value instanceof List<?> list) {
                    out.writeArrayFieldStart(names[i]);
                    for (Object one : list) {
                        out.writeString(cut(String.valueOf(one), LONGEST));
                    }
                    out.writeEndArray();
                } else if (value instanceof Throwable thrown) {
                    out.writeStringField(names[i], cut(trace(thrown), LONGEST_TRACE));
                } else if (value != null) {
                    out.writeStringField(names[i], cut(value.toString(), LONGEST));
                }
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        // The one control character that JSON lets stand as it is.
        return text.toString().replace("\u007f", "\\u007F");
    }

    private static String cut(String text, int most) {
        return text.length() <= most ? text : text.substring(0, most) + "...";
    }

    private static String trace(Throwable thrown) {
        StringBuilder out = new StringBuilder();
        for (Throwable at = thrown; at != null; at = at.getCause()) {
            out.append(out.isEmpty() ? "" : " | by ").append(at);
            for (StackTraceElement frame : at.getStackTrace()) {
                if (out.length() > LONGEST_TRACE) {
                    break;
                }
                out.append(" < ").append(frame.getClassName()).append('.').append(frame.getMethodName())
                    .append(':')
                    .append(frame.getLineNumber());
            }
        }
        return out.toString();
    }

    static String of(boolean json, Instant at, Level level, String event, String fields) {
        if (!json) {
            return TIME.format(at) + ' ' + level + ' ' + event + (fields.equals("{}") ? "" : ' ' + fields)
                + '\n';
        }
        return "{\"time\":\"" + at + "\",\"level\":\"" + level.name().toLowerCase(java.util.Locale.ROOT)
            + "\",\"event\":\"" + event + '"'
            + (fields.equals("{}") ? "" : "," + fields.substring(1, fields.length() - 1))
            + "}\n";
    }
}
