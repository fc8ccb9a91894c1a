package yewpath.directory;

import java.net.InetSocketAddress;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.CloseReason;
import yewpath.http.HttpMessageBuilder;
import yewpath.http.HttpParser;
import yewpath.http.OutboundConnection;
import yewpath.json.Values;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/** Follows discovery's list from the version known; whatever fails, the last list stays in use. */
public final class Watch {
    private final EventLoop loop;
    private final Limits limits;
    private InetSocketAddress discovery;
    private final Listing.Hearer hearer;
    private final Runnable failed;
    private long version;
    private OutboundConnection connection;
    private EventLoop.Timer again;
    private long backoff;
    private boolean everAnswered;

    /** {@code failed} hears that a watch or a fetch has ended; it may be null where nobody asks by itself. */
    public Watch(EventLoop loop, Limits limits, InetSocketAddress discovery, long version,
        Listing.Hearer hearer,
        Runnable failed) {
        this.loop = loop;
        this.limits = limits;
        this.discovery = discovery;
        this.version = version;
        this.hearer = hearer;
        this.failed = failed;
    }

    /** Opens the watch anew from the version known last. */
    public void follow() {
        if (again != null) {
            again.cancel();
        }
        if (connection != null) {
            connection.closeWithoutNotifying();
        }
        ask("/registry/instances?follow=1&since=" + version, true);
    }

    /** Whether discovery has once told this life what has changed since the list that it started with. */
    public boolean hasAnswered() {
        return everAnswered;
    }

    /** The list stays in use; what has changed since is asked for at the new address. */
    public void move(InetSocketAddress address) {
        discovery = address;
        backoff = 0;
        if (connection != null) {
            follow();
        }
    }

    public void fetch() {
        ask("/registry/instances", false);
    }

    private void ask(String target, boolean following) {
        OutboundConnection asked = new OutboundConnection(loop, limits, discovery,
            limits.maxDiscoveryLineBytes());
        connection = following ? asked : connection;
        byte[] request = HttpMessageBuilder.request("GET", target, discovery).build();
        asked.sendRequest(request, new Telling(asked, following));
    }

    /** One answer of discovery, as long as it lasts. */
    private final class Telling implements OutboundConnection.ResponseHandler {
        private final OutboundConnection from;
        private final boolean following;
        private final Values values = new Values(this::object, this::emptyLine);
        private EventLoop.Timer quiet;
        private final long askedAt = loop.nowMicros();
        private boolean headHeard;
        private boolean answered;

        Telling(OutboundConnection from, boolean following) {
            this.from = from;
            this.following = following;
            isAlive();
        }

        /**
         * Silence is counted from the last that was whole: the head, an empty line or an object. Guards against a watch
         * whose bytes still drip, or that broke off in the middle of a line, and that will never tell anything again.
         */
        private void isAlive() {
            if (quiet != null) {
                quiet.cancel();
            }
            quiet = loop.schedule(limits.discoverySilenceTimeoutMicros(),
                () -> from.close(CloseReason.SILENT));
        }

        @Override
        public void onPartialResponse(HttpParser answer) {
            if (!following || !answer.isHeadComplete() || answer.status() != 200) {
                return;
            }
            if (!headHeard) {
                headHeard = true;
                isAlive();
                loop.schedule(limits.responseCompletionTimeoutMicros(), this::nothingFollows);
            }
            feed(answer);
        }

        /** Where nothing has changed no object follows the head; where something has, it may be apart, and in pieces. */
        private void nothingFollows() {
            if (!from.isClosed() && !values.isInside()) {
                answers();
            }
        }

        /**
         * It lives and tells no news, which is a list of nothing. Guards against whoever asks for lists taking a watch on
         * which nothing changes for one that is not answered, and asking for it again and again.
         */
        private void answers() {
            if (!answered) {
                answered = true;
                loop.enqueue(() -> {
                    hearer.begins(false);
                    hearer.ends();
                });
            }
            hasNews();
        }

        @Override
        public void onResponse(HttpParser answer) {
            quiet.cancel();
            if (answer.status() == 200) {
                feed(answer);
                if (values.isInside()) {
                    Log.tell(Event.DIRECTORY_GARBLED, "cut off in the middle of an object");
                }
            }
            from.close(CloseReason.NOT_REUSABLE);
            if (following || answer.status() != 200) {
                ended(following);
            }
        }

        @Override
        public void onFailure(boolean sent, HttpParser answer) {
            quiet.cancel();
            ended(following);
        }

        /** What can't be understood is told again: the watch is taken up anew from the last version understood. */
        private void feed(HttpParser answer) {
            try {
                values.feed(answer.removeBody(), limits.maxDiscoveryLineBytes());
            } catch (IllegalArgumentException garbled) {
                Log.tell(Event.DIRECTORY_GARBLED, garbled.getMessage());
                from.close(CloseReason.MALFORMED_LIST);
            }
        }

        private void emptyLine() {
            isAlive();
            // A watch that has lived for longer than the pause before it is no longer one that keeps failing.
            backoff = loop.nowMicros() - askedAt > backoff ? 0 : backoff;
            answers();
        }

        private void object(byte[] bytes) {
            Listing list = Listing.read(bytes);
            answered = true;
            isAlive();
            loop.enqueue(() -> {
                list.playTo(hearer);
                version = list.version;
                backoff = 0;
            });
            hasNews();
        }
    }

    /** In the round that has played what there was to tell. */
    private void hasNews() {
        if (!everAnswered) {
            loop.enqueue(() -> everAnswered = true);
        }
    }

    private void ended(boolean following) {
        if (failed != null) {
            failed.run();
        } else if (following) {
            backoff = Math.min(limits.maxRetryDelayMicros(),
                Math.max(limits.initialRetryDelayMicros(), 2 * backoff));
            Log.tell(Event.DIRECTORY_LOST, backoff / 1000);
            again = loop.schedule(backoff, this::follow);
        }
    }
}
