package yewpath.delivery;

import com.fasterxml.jackson.core.Base64Variants;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import yewpath.http.HttpMessageBuilder;
import yewpath.json.Json;

/** Encodes the HTTP request of a call, for one message or a batch. */
public final class CallRequest {
    /** The names, quotation marks and separators around the values of one message of a batch. */
    private static final int BATCH_ITEM_OVERHEAD_BYTES = 32;
    /** A character of an id or a key takes so many bytes at most, as JSON or as UTF-8. */
    private static final int MAX_BYTES_PER_CHARACTER = 6;

    private CallRequest() {}

    /** Returns the size that a message takes in the body of a batch, at most. */
    public static int maxBatchItemBytes(String id, String key, int bodyBytes) {
        int characters = id.length() + (key == null ? 0 : key.length());
        int encodedBodyBytes = (bodyBytes + 2) / 3 * 4;
        return BATCH_ITEM_OVERHEAD_BYTES + MAX_BYTES_PER_CHARACTER * characters + encodedBodyBytes;
    }

    /**
     * Returns the bytes of the request.
     *
     * @param timeoutMicros how long the relay waits for the response
     */
    static byte[] bytes(InetSocketAddress address, List<Call.Attempt> attempts, long timeoutMicros) {
        return attempts.size() == 1 ? single(address, attempts.get(0), timeoutMicros)
            : batch(address, attempts, timeoutMicros);
    }

    private static byte[] single(InetSocketAddress address, Call.Attempt attempt, long timeoutMicros) {
        HttpMessageBuilder request = HttpMessageBuilder.request("POST", "/inbox", address)
            .header("Request-Id", attempt.id())
            .header("Request-Timeout", timeoutMicros + "u");
        if (attempt.affinityKey() != null) {
            request.header("Affinity-Key", attempt.affinityKey());
        }
        if (attempt.idempotencyKey() != null) {
            // Without this header an endpoint would treat a second attempt as a different message.
            request.header("Idempotency-Key", attempt.idempotencyKey());
        }
        return request.build(attempt.body());
    }

    /**
     * Encodes a batch, the message with the latest deadline first. Guards against platforms that identify
     * a call by its first message: once the outcome of that message is reported, they treat the whole call
     * as ended and ignore what its response says about the other messages.
     */
    private static byte[] batch(InetSocketAddress address, List<Call.Attempt> attempts, long timeoutMicros) {
        List<Call.Attempt> ordered = new ArrayList<>(attempts);
        ordered.sort(Comparator.comparingLong(Call.Attempt::deadlineMicros).reversed());
        byte[] items = Json.write(out -> {
            out.writeStartArray();
            for (Call.Attempt attempt : ordered) {
                out.writeStartObject();
                out.writeStringField("id", attempt.id());
                if (attempt.idempotencyKey() != null || attempt.affinityKey() != null) {
                    out.writeStringField("key",
                        attempt.idempotencyKey() != null ? attempt.idempotencyKey() : attempt.affinityKey());
                }
                out.writeFieldName("body");
                out.writeBinary(Base64Variants.MIME_NO_LINEFEEDS, attempt.body(), 0, attempt.body().length);
                out.writeEndObject();
            }
            out.writeEndArray();
        });
        return HttpMessageBuilder.request("POST", "/inbox/bulk", address)
            .header("Request-Timeout", timeoutMicros + "u")
            .header("Content-Type", "application/json").build(items);
    }
}
