package yewpath.directory;

import java.net.InetSocketAddress;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.ServerConnection;
import yewpath.http.CloseReason;
import yewpath.http.Parser;
import yewpath.http.Writer;
import yewpath.json.JsonObjectSplitter;
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
    private ServerConnection connection;
    private Loop.Timer again;
    private long backoff;
    private boolean everAnswered;

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

    /** Opens the watch anew from the version known last. */
    public void follow() {
        if (again != null) {
            again.callOff();
        }
        if (connection != null) {
            connection.drop();
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
        ServerConnection asked = new ServerConnection(loop, limits, discovery, limits.lineMost());
        connection = following ? asked : connection;
        byte[] request = Writer.request("GET", target, discovery).done();
        asked.ask(request, new Telling(asked, following));
    }

    /** One answer of discovery, as long as it lasts. */
    private final class Telling implements ServerConnection.Answer {
        private final ServerConnection from;
        private final boolean following;
        private final JsonObjectSplitter values = new JsonObjectSplitter(this::object, this::emptyLine);
        private Loop.Timer quiet;
        private final long askedAt = loop.now();
        private boolean headHeard;
        private boolean answered;

        Telling(ServerConnection from, boolean following) {
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
                quiet.callOff();
            }
            quiet = loop.after(limits.watchSilence(), () -> from.close(CloseReason.SILENT));
        }

        @Override
        public void part(Parser answer) {
            if (!following || !answer.headKnown() || answer.status() != 200) {
                return;
            }
            if (!headHeard) {
                headHeard = true;
                isAlive();
                loop.after(limits.answerRest(), this::nothingFollows);
            }
            feed(answer);
        }

        /** Where nothing has changed no object follows the head; where something has, it may be apart, and in pieces. */
        private void nothingFollows() {
            if (!from.isClosed() && !values.isIncomplete()) {
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
                loop.gather(() -> {
                    hearer.begins(false);
                    hearer.ends();
                });
            }
            hasNews();
        }

        @Override
        public void whole(Parser answer) {
            quiet.callOff();
            if (answer.status() == 200) {
                feed(answer);
                if (values.isIncomplete()) {
                    Log.log(Event.DIRECTORY_INVALID, "cut off in the middle of an object");
                }
            }
            from.close(CloseReason.NOT_KEPT);
            if (following || answer.status() != 200) {
                ended(following);
            }
        }

        @Override
        public void failed(boolean sent, Parser answer) {
            quiet.callOff();
            ended(following);
        }

        /** What can't be understood is told again: the watch is taken up anew from the last version understood. */
        private void feed(Parser answer) {
            try {
                values.feed(answer.takeBody(), limits.lineMost());
            } catch (IllegalArgumentException garbled) {
                Log.log(Event.DIRECTORY_INVALID, garbled.getMessage());
                from.close(CloseReason.UNREADABLE_LIST);
            }
        }

        private void emptyLine() {
            isAlive();
            // A watch that has lived for longer than the pause before it is no longer one that keeps failing.
            backoff = loop.now() - askedAt > backoff ? 0 : backoff;
            answers();
        }

        private void object(byte[] bytes) {
            Listing list = Listing.read(bytes);
            answered = true;
            isAlive();
            loop.gather(() -> {
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
            loop.gather(() -> everAnswered = true);
        }
    }

    private void ended(boolean following) {
        if (failed != null) {
            failed.run();
        } else if (following) {
            backoff = Math.min(limits.retryMost(), Math.max(limits.retryFirst(), 2 * backoff));
            Log.log(Event.DIRECTORY_WATCH_ENDED, backoff / 1000);
            again = loop.after(backoff, this::follow);
        }
    }
}
