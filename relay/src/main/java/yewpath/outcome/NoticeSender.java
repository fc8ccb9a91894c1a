package yewpath.outcome;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.CloseReason;
import yewpath.http.HttpMessageBuilder;
import yewpath.http.HttpParser;
import yewpath.http.OutboundConnection;
import yewpath.json.Json;
import yewpath.ledger.LedgerEntry;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/**
 * Notifies the platform of messages that ended without delivery. Notices are sent in batches, one batch at a
 * time, and each is repeated until the platform acknowledges it.
 */
public final class NoticeSender {
    private final EventLoop loop;
    private final Limits limits;
    private InetSocketAddress platform;
    private final Consumer<LedgerEntry> onAcknowledged;
    private final ArrayDeque<LedgerEntry> queue = new ArrayDeque<>();
    private OutboundConnection connection;
    /** Whether a batch is in flight or waits for its retry. */
    private boolean busy;
    private int inFlightCount;
    /** Null unless a retry is scheduled. */
    private EventLoop.Timer retryTimer;
    private long backoffMicros;
    private int maxBatchSize;

    /**
     * Creates a sender that has nothing to send yet.
     *
     * @param platform the address of the platform
     * @param onAcknowledged called for each notice that the platform acknowledged, or refused for good
     */
    public NoticeSender(EventLoop loop, Limits limits, InetSocketAddress platform,
        Consumer<LedgerEntry> onAcknowledged) {
        this.loop = loop;
        this.limits = limits;
        this.platform = platform;
        this.onAcknowledged = onAcknowledged;
        maxBatchSize = limits.maxNoticesPerRequest();
    }

    /** Queues the notice of a message that ended without delivery. */
    public void add(LedgerEntry entry) {
        queue.add(entry);
        sendNextBatch();
    }

    /**
     * Changes the address of the platform. Notices without an answer are sent again to the new address, which
     * does no harm if the platform has received them before. They are sent at once: neither a retry delay
     * that began with the old address nor one caused by closing the connection to it may make them late.
     */
    public void setAddress(InetSocketAddress address) {
        platform = address;
        if (connection != null) {
            connection.close(CloseReason.REPLACED);
        }
        backoffMicros = 0;
        if (retryTimer != null) {
            retryTimer.cancel();
            retry();
        }
    }

    /** Returns how many notices the platform has not acknowledged, including those in flight. */
    public int unacknowledgedCount() {
        return queue.size() + inFlightCount;
    }

    /** Returns whether a batch is in flight and the one before it was acknowledged. */
    public boolean isSending() {
        return busy && retryTimer == null && backoffMicros == 0;
    }

    private void sendNextBatch() {
        if (busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        List<LedgerEntry> batch = new ArrayList<>();
        while (!queue.isEmpty() && batch.size() < maxBatchSize) {
            LedgerEntry entry = queue.poll();
            batch.add(entry);
        }
        inFlightCount = batch.size();
        if (connection == null || connection.isClosed()) {
            connection = new OutboundConnection(loop, limits, platform, limits.maxBodyBytes());
        }
        byte[] request = HttpMessageBuilder.request("POST", "/v1/outcomes", platform)
            .header("Content-Type", "application/json").build(Json.write(out -> {
                for (LedgerEntry entry : batch) {
                    writeNotice(out, entry);
                }
            }));
        // The timeout grows with each failure, because a slow platform could otherwise never answer in time.
        EventLoop.Timer timeout = loop.schedule(limits.noticeTimeoutMicros() + backoffMicros,
            () -> connection.close(CloseReason.RESPONSE_TIMED_OUT));
        connection.sendRequest(request, new OutboundConnection.ResponseHandler() {
            @Override
            public void onResponse(HttpParser answer) {
                timeout.cancel();
                handleAnswer(batch, answer.status());
            }

            @Override
            public void onFailure(boolean sent, HttpParser answer) {
                timeout.cancel();
                retryLater(batch);
            }
        });
    }

    private static void writeNotice(JsonGenerator out, LedgerEntry entry) throws IOException {
        out.writeStartObject();
        out.writeStringField("message", entry.id);
        out.writeStringField("outcome", entry.rejected ? "handed_back" : "given_up");
        if (entry.rejected && entry.retryAfterMicros > 0) {
            // Rounded up to whole milliseconds.
            out.writeNumberField("retry_in_ms", (entry.retryAfterMicros + 999) / 1000);
        }
        out.writeEndObject();
        out.writeRaw('\n');
    }

    private void handleAnswer(List<LedgerEntry> batch, int status) {
        if (status == 400 && batch.size() > 1) {
            // One notice that the platform cannot read must not block the others, so each is sent by itself.
            maxBatchSize = 1;
            retryLater(batch);
            return;
        }
        if (status != 204 && status != 400) {
            retryLater(batch);
            return;
        }
        if (status == 400) {
            Log.log(Event.NOTICE_REFUSED, batch.get(0).id);
        }
        maxBatchSize = limits.maxNoticesPerRequest();
        inFlightCount = 0;
        busy = false;
        backoffMicros = 0;
        batch.forEach(onAcknowledged);
        sendNextBatch();
    }

    /** Puts a batch back at the head of the queue in its order and schedules a retry. */
    private void retryLater(List<LedgerEntry> batch) {
        inFlightCount = 0;
        for (int i = batch.size() - 1; i >= 0; i--) {
            queue.addFirst(batch.get(i));
        }
        backoffMicros = Math.min(limits.maxRetryDelayMicros(),
            Math.max(limits.initialRetryDelayMicros(), 2 * backoffMicros));
        Log.log(Event.NOTICE_UNACKNOWLEDGED, batch.size(), backoffMicros / 1000);
        retryTimer = loop.schedule(backoffMicros, this::retry);
    }

    private void retry() {
        retryTimer = null;
        busy = false;
        sendNextBatch();
    }
}
