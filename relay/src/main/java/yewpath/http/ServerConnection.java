package yewpath.http;

import java.net.InetSocketAddress;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.loop.Limits;
import yewpath.loop.Loop;

/** This side's end of a connection to another server: one request at a time, never sent twice by itself. */
public final class ServerConnection implements Link.Owner {
    /** What follows a request, exactly one of {@code whole} and {@code failed} at last. */
    public interface Answer {
        /** Runs just before the first byte leaves; false where none is to leave any more, and whoever asked knows. */
        default boolean leaving() {
            return true;
        }

        /** Some of a body has come; it may be taken out of the parser. */
        default void part(Parser answer) {}

        /** Tells whose an answer is that has come whole; one that is not of this request is not handed on. */
        default Recognition recognise(Parser answer) {
            return Recognition.OWN_AND_LAST;
        }

        void whole(Parser answer);

        /** Without an answer; {@code sent} tells whether the last byte had been written. */
        void failed(boolean sent, Parser answer);
    }

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    private final Loop loop;
    private final Limits limits;
    private final InetSocketAddress address;
    private final Parser parser;
    private final AnswerHistory history = new AnswerHistory();
    private IoFuture<StreamConnection> opening;
    private Loop.Timer openWithin;
    private Link link;
    private Answer answer;
    private byte[] request;
    private boolean closed;
    private boolean kept;
    private boolean left;
    private boolean foreignSeen;
    private Runnable afterEnd = () -> {};

    /** Connects to the address at the first request; answers are read up to this size. */
    public ServerConnection(Loop loop, Limits limits, InetSocketAddress address, int bodyMost) {
        this.loop = loop;
        this.limits = limits;
        this.address = address;
        parser = new Parser(false, limits.headMost(), bodyMost);
    }

    /** To run once this connection is of no use any more, whichever side ended it. */
    public void afterEnd(Runnable act) {
        afterEnd = act;
    }

    /** Sends one request and hands its answer on; one request at a time. */
    public void ask(byte[] bytes, Answer then) {
        request = bytes;
        left = false;
        answer = then;
        parser.next();
        if (link != null) {
            kept = true;
            send();
            return;
        }
        openWithin = loop.after(limits.connectWithin(), () -> close(CloseReason.CONNECT_TIMED_OUT));
        opening = loop.thread().openStreamConnection(address, this::opened, OPTIONS);
        opening.addNotifier((future, none) -> {
            if (future.getStatus() == IoFuture.Status.FAILED) {
                close(CloseReason.CONNECT_FAILED);
            }
        }, null);
    }

    private void opened(StreamConnection connection) {
        if (closed) {
            IoUtils.safeClose(connection);
            return;
        }
        openWithin.callOff();
        link = new Link(connection, limits.ringFirst(), limits.ringMost(), this);
        send();
    }

    private void send() {
        if (!answer.leaving()) {
            return;
        }
        byte[] bytes = request;
        request = null;
        left = true;
        link.write(bytes);
    }

    /** The status that an answer's first line says, though the rest stays away or can't be read; 0 before. */
    public int answersWith() {
        return parser.statusSaid();
    }

    /** Whether the request that is out went on a connection kept from an earlier one, and nothing has come since. */
    public boolean isKeptInVain() {
        return kept && parser.untouched();
    }

    /**
     * Whether nothing has come since the last answer. Guards against what belongs to that answer, a second copy of
     * it above all, being read as the answer to the next request.
     */
    public boolean isQuiet() {
        return link != null && link.isQuiet();
    }

    /** Whether the request that is out, or was last, is the first on its connection. */
    public boolean isFirst() {
        return !kept;
    }

    /** The answers that came on this connection. */
    public AnswerHistory history() {
        return history;
    }

    /** Whether the first byte of the request has been written. */
    public boolean hasLeft() {
        return left;
    }

    /** Whether the last byte of the request has been written. */
    public boolean isSent() {
        return left && link.allWritten();
    }

    @Override
    public void came() {
        while (answer != null && !closed) {
            boolean whole;
            try {
                whole = parser.read(link.in);
            } catch (HttpFault garbled) {
                close(CloseReason.UNREADABLE_ANSWER);
                return;
            }
            if (!whole) {
                answer.part(parser);
                return;
            }
            if (parser.status() >= 200) {
                finish();
            } else {
                parser.next();
            }
        }
        if (!closed && link.in.size() > 0) {
            // What they belong to cannot be told.
            close(CloseReason.UNASKED_BYTES);
        }
    }

    private void finish() {
        switch (answer.recognise(parser)) {
            case FOREIGN -> {
                Log.log(Event.RESPONSE_STALE, address, parser.status());
                foreignSeen = true;
                parser.next();
                answer.part(parser);
            }
            case UNCERTAIN -> {
                Log.log(Event.RESPONSE_REPEATED, address, parser.status());
                close(CloseReason.UNMATCHED_ANSWER);
            }
            case OWN -> finish(!foreignSeen);
            default -> finish(false);
        }
    }

    private void finish(boolean keep) {
        Answer then = answer;
        answer = null;
        boolean again = keep && parser.lasting() && link.in.size() == 0 && isSent() && !link.isEnded();
        if (!again) {
            close(CloseReason.NOT_KEPT);
        }
        then.whole(parser);
    }

    @Override
    public void over(boolean broken) {
        if (!broken && answer != null && parser.ended()) {
            finish();
        }
        close(broken ? CloseReason.RESET : CloseReason.ENDED);
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Reads what has come by now, which may end what is asked. */
    public void look() {
        if (link != null) {
            link.look();
        }
    }

    public boolean isClosed() {
        return closed;
    }

    /** Closes the connection; a request under way ends without an answer. */
    public void close(CloseReason reason) {
        if (closed) {
            return;
        }
        boolean sent = isSent();
        closed = true;
        if (Log.isEnabled(Event.CONNECTION_CLOSED)) {
            Log.log(Event.CONNECTION_CLOSED, address, reason, sent && answer != null);
        }
        if (openWithin != null) {
            openWithin.callOff();
        }
        if (link != null) {
            link.close();
        } else if (opening != null) {
            opening.cancel();
        }
        afterEnd.run();
        Answer then = answer;
        answer = null;
        if (then != null) {
            then.failed(sent, parser);
        }
    }

    /** Closes without a word to whoever waits for an answer. */
    public void drop() {
        answer = null;
        close(CloseReason.CALL_OVER);
    }
}
