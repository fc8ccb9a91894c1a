package yewpath.directory;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.Caller;
import yewpath.http.Parser;
import yewpath.http.Writer;
import yewpath.loop.Limits;
import yewpath.loop.Loop;

/** Follows discovery's list from the version known; whatever fails, the last list stays in use. */
public final class Watch {
    private final Loop loop;
    private final Limits limits;
    private InetSocketAddress discovery;
    private final Listing.Hearer hearer;
    private final Runnable failed;
    private long version;
    private Caller caller;
    private Loop.Timer again;
    private long backoff;
    private boolean answered;
    private boolean answering;

    /** {@code failed} hears that a watch or a fetch has ended; it may be null where nobody asks by itself. */
    public Watch(Loop loop, Limits limits, InetSocketAddress discovery, long version, Listing.Hearer hearer,
                 Runnable failed) {
        this.loop = loop;
        this.limits = limits;
        this.discovery = discovery;
        this.version = version;
        this.hearer = hearer;
        this.failed = failed;
    }

    public void follow() {
        if (again != null) {
            again.callOff();
        }
        if (caller != null) {
            caller.drop();
        }
        ask("/registry/instances?follow=1&since=" + version, true);
    }

    /** Whether discovery has once told this life what has changed since the list that it started with. */
    public boolean hasAnswered() {
        return answered;
    }

    /** The list stays in use; what has changed since is asked for at the new address. */
    public void move(InetSocketAddress address) {
        discovery = address;
        backoff = 0;
        if (caller != null) {
            follow();
        }
    }

    public void fetch() {
        ask("/registry/instances", false);
    }

    private void ask(String target, boolean following) {
        Caller asked = new Caller(loop, limits, discovery, limits.lineMost());
        caller = following ? asked : caller;
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        Loop.Timer[] quiet = {loop.after(limits.watchSilence(), asked::close)};
        byte[] request = Writer.request("GET", target, discovery).done();
        asked.ask(request, new Caller.Answer() {
            @Override
            public void part(Parser answer) {
                if (following && answer.headKnown() && answer.status() == 200) {
                    quiet[0].callOff();
                    quiet[0] = loop.after(limits.watchSilence(), asked::close);
                    lines(answer.takeBody(), line, asked);
                    if (!answering) {
                        // Where nothing has changed no line follows the head; where something has, it may be apart.
                        answering = true;
                        loop.after(limits.answerRest(), Watch.this::hasNews);
                    }
                }
            }

            @Override
            public void whole(Parser answer) {
                quiet[0].callOff();
                if (answer.status() == 200) {
                    lines(answer.takeBody(), line, asked);
                    heard(line);
                }
                asked.close();
                if (following || answer.status() != 200) {
                    ended(following);
                }
            }

            @Override
            public void failed(boolean sent, Parser answer) {
                quiet[0].callOff();
                ended(following);
            }
        });
    }

    private void lines(byte[] bytes, ByteArrayOutputStream line, Caller from) {
        for (byte b : bytes) {
            if (b == '\n') {
                heard(line);
            } else {
                line.write(b);
            }
        }
        if (line.size() > limits.lineMost()) {
            from.close();
        }
    }

    private void heard(ByteArrayOutputStream line) {
        byte[] bytes = line.toByteArray();
        line.reset();
        if (new String(bytes, StandardCharsets.ISO_8859_1).isBlank()) {
            hasNews();
            return;
        }
        try {
            Listing list = Listing.read(bytes);
            loop.gather(() -> {
                list.playTo(hearer);
                version = list.version;
                backoff = 0;
            });
            hasNews();
        } catch (IllegalArgumentException garbled) {
            resync(garbled);
        }
    }

    /** In the round that has played what there was to tell. */
    private void hasNews() {
        if (!answered) {
            loop.gather(() -> answered = true);
        }
    }

    /** What was missed comes again: the watch is taken up anew from the last version understood. */
    private void resync(IllegalArgumentException garbled) {
        Log.tell(Event.DIRECTORY_GARBLED, garbled.getMessage());
        if (caller != null) {
            caller.close();
        }
    }

    private void ended(boolean following) {
        if (failed != null) {
            failed.run();
        } else if (following) {
            backoff = Math.min(limits.retryMost(), Math.max(limits.retryFirst(), 2 * backoff));
            Log.tell(Event.DIRECTORY_LOST, backoff / 1000);
            again = loop.after(backoff, this::follow);
        }
    }
}
