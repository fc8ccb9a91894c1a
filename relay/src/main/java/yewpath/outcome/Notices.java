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
import yewpath.json.Tokens;
import yewpath.ledger.Entry;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/** Tells the platform of envelopes that ended undelivered, again and again until it has heard. */
public final class Notices {
    private final EventLoop loop;
    private final Limits limits;
    private InetSocketAddress platform;
    private final Consumer<Entry> told;
    private final ArrayDeque<Entry> owed = new ArrayDeque<>();
    private OutboundConnection connection;
    private boolean busy;
    private int underWay;
    private EventLoop.Timer pause;
    private long backoff;
    private int atOnce;

    /** Sends to this platform; {@code told} hears of each notice that was acknowledged. */
    public Notices(EventLoop loop, Limits limits, InetSocketAddress platform, Consumer<Entry> told) {
        this.loop = loop;
        this.limits = limits;
        this.platform = platform;
        this.told = told;
        atOnce = limits.maxNoticesPerRequest();
    }

    public void add(Entry entry) {
        owed.add(entry);
        next();
    }

    /**
     * What has no answer yet goes again, to the new address: hearing of an end twice does no harm. It goes at once: a
     * pause begun at the old address, or one that closing the connection there brings, is no reason for it to be late.
     */
    public void move(InetSocketAddress address) {
        platform = address;
        if (connection != null) {
            connection.close(CloseReason.REPLACED);
        }
        backoff = 0;
        if (pause != null) {
            pause.cancel();
            goOn();
        }
    }

    /** How many the platform has not heard yet, those under way included. */
    public int owed() {
        return owed.size() + underWay;
    }

    /** Whether the platform is being told, and has not failed to hear the last time. */
    public boolean isTelling() {
        return busy && pause == null && backoff == 0;
    }

    private void next() {
        if (busy || owed.isEmpty()) {
            return;
        }
        busy = true;
        List<Entry> batch = new ArrayList<>();
        while (!owed.isEmpty() && batch.size() < atOnce) {
            Entry entry = owed.poll();
            batch.add(entry);
        }
        underWay = batch.size();
        if (connection == null || connection.isClosed()) {
            connection = new OutboundConnection(loop, limits, platform, limits.maxBodyBytes());
        }
        byte[] request = HttpMessageBuilder.request("POST", "/v1/outcomes", platform)
            .header("Content-Type", "application/json").build(Tokens.write(out -> {
                for (Entry entry : batch) {
                    line(out, entry);
                }
            }));
        // Longer after each failure, or a platform that is only slow would never be heard.
        EventLoop.Timer within = loop.schedule(limits.noticeTimeoutMicros() + backoff,
            () -> connection.close(CloseReason.RESPONSE_TIMED_OUT));
        connection.sendRequest(request, new OutboundConnection.ResponseHandler() {
            @Override
            public void onResponse(HttpParser answer) {
                within.cancel();
                answered(batch, answer.status());
            }

            @Override
            public void onFailure(boolean sent, HttpParser answer) {
                within.cancel();
                again(batch);
            }
        });
    }

    private static void line(JsonGenerator out, Entry entry) throws IOException {
        out.writeStartObject();
        out.writeStringField("message", entry.id);
        out.writeStringField("outcome", entry.handedBack ? "handed_back" : "given_up");
        if (entry.handedBack && entry.pause > 0) {
            out.writeNumberField("retry_in_ms", (entry.pause + 999) / 1000);
        }
        out.writeEndObject();
        out.writeRaw('\n');
    }

    private void answered(List<Entry> batch, int status) {
        if (status == 400 && batch.size() > 1) {
            // One that cannot be read must not hold up the others: each goes by itself.
            atOnce = 1;
            again(batch);
            return;
        }
        if (status != 204 && status != 400) {
            again(batch);
            return;
        }
        if (status == 400) {
            Log.tell(Event.NOTICE_REFUSED, batch.get(0).id);
        }
        atOnce = limits.maxNoticesPerRequest();
        underWay = 0;
        busy = false;
        backoff = 0;
        batch.forEach(told);
        next();
    }

    private void again(List<Entry> batch) {
        underWay = 0;
        for (int i = batch.size() - 1; i >= 0; i--) {
            owed.addFirst(batch.get(i));
        }
        backoff = Math.min(limits.maxRetryDelayMicros(),
            Math.max(limits.initialRetryDelayMicros(), 2 * backoff));
        Log.tell(Event.NOTICE_UNHEARD, batch.size(), backoff / 1000);
        pause = loop.schedule(backoff, this::goOn);
    }

    private void goOn() {
        pause = null;
        busy = false;
        next();
    }
}
