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
import yewpath.http.ServerConnection;
import yewpath.http.CloseReason;
import yewpath.http.Parser;
import yewpath.http.Writer;
import yewpath.json.Json;
import yewpath.ledger.Entry;
import yewpath.loop.Limits;
import yewpath.loop.Loop;

/** Tells the platform of envelopes that ended undelivered, again and again until it has heard. */
public final class Notices {
    private final Loop loop;
    private final Limits limits;
    private InetSocketAddress platform;
    private final Consumer<Entry> told;
    private final ArrayDeque<Entry> owed = new ArrayDeque<>();
    private ServerConnection connection;
    private boolean busy;
    private int underWay;
    private Loop.Timer pause;
    private long backoff;
    private int atOnce;

    /** Sends to this platform; {@code told} hears of each notice that was acknowledged. */
    public Notices(Loop loop, Limits limits, InetSocketAddress platform, Consumer<Entry> told) {
        this.loop = loop;
        this.limits = limits;
        this.platform = platform;
        this.told = told;
        atOnce = limits.noticesAtOnce();
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
            pause.callOff();
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
            connection = new ServerConnection(loop, limits, platform, limits.bodyMost());
        }
        byte[] request = Writer.request("POST", "/v1/outcomes", platform)
            .with("Content-Type", "application/json").done(Json.write(out -> {
                for (Entry entry : batch) {
                    line(out, entry);
                }
            }));
        // Longer after each failure, or a platform that is only slow would never be heard.
        Loop.Timer within = loop.after(limits.noticeWithin() + backoff,
            () -> connection.close(CloseReason.NO_ANSWER));
        connection.ask(request, new ServerConnection.Answer() {
            @Override
            public void whole(Parser answer) {
                within.callOff();
                answered(batch, answer.status());
            }

            @Override
            public void failed(boolean sent, Parser answer) {
                within.callOff();
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
            Log.log(Event.NOTICE_REFUSED, batch.get(0).id);
        }
        atOnce = limits.noticesAtOnce();
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
        backoff = Math.min(limits.retryMost(), Math.max(limits.retryFirst(), 2 * backoff));
        Log.log(Event.NOTICE_UNACKNOWLEDGED, batch.size(), backoff / 1000);
        pause = loop.after(backoff, this::goOn);
    }

    private void goOn() {
        pause = null;
        busy = false;
        next();
    }
}
