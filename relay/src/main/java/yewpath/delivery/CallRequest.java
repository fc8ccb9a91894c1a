package yewpath.delivery;

import com.fasterxml.jackson.core.Base64Variants;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import yewpath.http.HttpMessageBuilder;
import yewpath.json.Json;

/** The bytes of a call's request, for one message or for several. */
final class CallRequest {
    private CallRequest() {}

    /** {@code within}: for how long the answer is waited for, in microseconds. */
    static byte[] bytes(InetSocketAddress address, List<Call.Attempt> attempts, long within) {
        return attempts.size() == 1 ? single(address, attempts.get(0), within)
            : bulk(address, attempts, within);
    }

    private static byte[] single(InetSocketAddress address, Call.Attempt one, long within) {
        HttpMessageBuilder head = HttpMessageBuilder.request("POST", "/inbox", address)
            .header("Request-Id", one.id())
            .header("Request-Timeout", within + "u");
        if (one.affinityKey() != null) {
            head.header("Affinity-Key", one.affinityKey());
        }
        if (one.idempotencyKey() != null) {
            // Without it an endpoint would take a second shot for another envelope.
            head.header("Idempotency-Key", one.idempotencyKey());
        }
        return head.build(one.body());
    }

    /**
     * Who lives longest stands first. Guards against a platform that knows a call by its first envelope: told that this
     * one is at its end, it takes the call for over, and what the answer then says of the others counts for nothing.
     */
    private static byte[] bulk(InetSocketAddress address, List<Call.Attempt> attempts, long within) {
        List<Call.Attempt> ordered = new ArrayList<>(attempts);
        ordered.sort(Comparator.comparingLong(Call.Attempt::deadlineMicros).reversed());
        byte[] items = Json.write(out -> {
            out.writeStartArray();
            for (Call.Attempt one : ordered) {
                out.writeStartObject();
                out.writeStringField("id", one.id());
                if (one.idempotencyKey() != null || one.affinityKey() != null) {
                    out.writeStringField("key",
                        one.idempotencyKey() != null ? one.idempotencyKey() : one.affinityKey());
                }
                out.writeFieldName("body");
                out.writeBinary(Base64Variants.MIME_NO_LINEFEEDS, one.body(), 0, one.body().length);
                out.writeEndObject();
            }
            out.writeEndArray();
        });
        return HttpMessageBuilder.request("POST", "/inbox/bulk", address)
            .header("Request-Timeout", within + "u")
            .header("Content-Type", "application/json").build(items);
    }
}
