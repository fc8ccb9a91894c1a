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

/** Formats log lines: the fields as a JSON object, and the line that contains them as text or JSON. */
final class LineFormat {
    /** Longer texts are cut: ids and paths from outside could fill the disk by their length. */
    private static final int MAX_TEXT_LENGTH = 256;
    private static final int MAX_STACK_TRACE_LENGTH = 4_000;
    /** Escapes all characters beyond ASCII, which include control characters and lone surrogates. */
    private static final JsonFactory FACTORY = JsonFactory.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII)
        .build();
    private static final DateTimeFormatter TIME_FORMAT = DateTimeFormatter
        .ofPattern("yyyy-MM-dd HH:mm:ss.SSS")
        .withZone(ZoneOffset.UTC);

    private LineFormat() {}

    /** Returns a JSON object that has one member for each name; members whose value is null are omitted. */
    static String formatFields(String[] names, Object... values) {
        StringWriter text = new StringWriter(128);
        // The generator writes characters instead of bytes: as bytes, a lone surrogate would be an error.
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            generator.writeStartObject();
            for (int i = 0; i < names.length; i++) {
                Object value = values[i];
                if (value instanceof Long || value instanceof Integer) {
                    generator.writeNumberField(names[i], ((Number) value).longValue());
                } else if (value instanceof Double number) {
                    generator.writeNumberField(names[i], number);
                } else if (value instanceof Boolean flag) {
                    generator.writeBooleanField(names[i], flag);
                } else if (value instanceof List<?> list) {
                    generator.writeArrayFieldStart(names[i]);
                    for (Object element : list) {
                        generator.writeString(truncate(String.valueOf(element), MAX_TEXT_LENGTH));
                    }
                    generator.writeEndArray();
                } else if (value instanceof Throwable thrown) {
                    generator.writeStringField(names[i],
                        truncate(formatStackTrace(thrown), MAX_STACK_TRACE_LENGTH));
                } else if (value != null) {
                    generator.writeStringField(names[i], truncate(value.toString(), MAX_TEXT_LENGTH));
                }
            }
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        // DEL is the only control character that JSON does not require to be escaped.
        return text.toString().replace("\u007f", "\\u007F");
    }

    private static String truncate(String text, int maxLength) {
        return text.length() <= maxLength ? text : text.substring(0, maxLength) + "...";
    }

    /** Returns the exception, its causes and their stack frames in a single line. */
    private static String formatStackTrace(Throwable thrown) {
        StringBuilder trace = new StringBuilder();
        for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
            trace.append(trace.isEmpty() ? "" : " | caused by ").append(cause);
            for (StackTraceElement frame : cause.getStackTrace()) {
                if (trace.length() > MAX_STACK_TRACE_LENGTH) {
                    break;
                }
                trace.append(" < ").append(frame.getClassName()).append('.').append(frame.getMethodName())
                    .append(':')
                    .append(frame.getLineNumber());
            }
        }
        return trace.toString();
    }

    /** Returns a whole line with its line feed; {@code fields} is the result of {@link #formatFields}. */
    static String formatLine(boolean json, Instant time, Level level, String event, String fields) {
        if (!json) {
            return TIME_FORMAT.format(time) + ' ' + level + ' ' + event
                + (fields.equals("{}") ? "" : ' ' + fields)
                + '\n';
        }
        return "{\"time\":\"" + time + "\",\"level\":\"" + level.name().toLowerCase(java.util.Locale.ROOT)
            + "\",\"event\":\"" + event + '"'
            + (fields.equals("{}") ? "" : "," + fields.substring(1, fields.length() - 1))
            + "}\n";
    }
}
