package yewpath.http;

import java.net.InetSocketAddress;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/** This side's end of a connection to another server: one request at a time, never sent twice by itself. */
public final class OutboundConnection implements BufferedConnection.Listener {
    /** What follows a request, exactly one of {@code whole} and {@code failed} at last. */
    public interface ResponseHandler {
        /** Runs just before the first byte leaves; false where none is to leave any more, and whoever asked knows. */
        default boolean beforeSend() {
            return true;
        }

        /** Some of a body has come; it may be taken out of the parser. */
        default void onPartialResponse(HttpParser answer) {}

        /** Tells whose an answer is that has come whole; one that is not of this request is not handed on. */
        default ResponseMatch matchResponse(HttpParser answer) {
            return ResponseMatch.CURRENT_THEN_CLOSE;
        }

        void onResponse(HttpParser answer);

        /** Without an answer; {@code sent} tells whether the last byte had been written. */
        void onFailure(boolean sent, HttpParser answer);
    }

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    private final EventLoop loop;
    private final Limits limits;
    private final InetSocketAddress address;
    private final HttpParser parser;
    private final ResponseHistory history = new ResponseHistory();
    private IoFuture<StreamConnection> opening;
    private EventLoop.Timer openWithin;
    private BufferedConnection link;
    private OutboundConnection.ResponseHandler answer;
    private byte[] request;
    private boolean closed;
    private boolean kept;
    private boolean left;
    private boolean foreignSeen;
    private Runnable afterEnd = () -> {};

    /** Connects to the address at the first request; answers are read up to this size. */
    public OutboundConnection(EventLoop loop, Limits limits, InetSocketAddress address, int bodyMost) {
        this.loop = loop;
        this.limits = limits;
        this.address = address;
        parser = new HttpParser(false, limits.maxHeadBytes(), bodyMost);
    }

    /** To run once this connection is of no use any more, whichever side ended it. */
    public void onClose(Runnable act) {
        afterEnd = act;
    }

    /** Sends one request and hands its answer on; one request at a time. */
    public void sendRequest(byte[] bytes, OutboundConnection.ResponseHandler then) {
        request = bytes;
        left = false;
        answer = then;
        parser.startNextMessage();
        if (link != null) {
            kept = true;
            writeRequest();
            return;
        }
        openWithin = loop.schedule(limits.connectTimeoutMicros(), () -> close(CloseReason.CONNECT_TIMED_OUT));
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
        openWithin.cancel();
        link = new BufferedConnection(connection, limits.initialRingBytes(), limits.maxRingBytes(), this);
        writeRequest();
    }

    private void writeRequest() {
        if (!answer.beforeSend()) {
            return;
        }
        byte[] bytes = request;
        request = null;
        left = true;
        link.write(bytes);
    }

    /** The status that an answer's first line says, though the rest stays away or can't be read; 0 before. */
    public int receivedStatus() {
        return parser.receivedStatus();
    }

    /** Whether the request that is out went on a connection kept from an earlier one, and nothing has come since. */
    public boolean isReusedWithoutResponse() {
        return kept && parser.isBeforeFirstByte();
    }

    /**
     * Whether nothing has come since the last answer. Guards against what belongs to that answer, a second copy of
     * it above all, being read as the answer to the next request.
     */
    public boolean hasNoPendingInput() {
        return link != null && link.hasNoPendingInput();
    }

    /** Whether the request that is out, or was last, is the first on its connection. */
    public boolean isFirstRequest() {
        return !kept;
    }

    /** The answers that came on this connection. */
    public ResponseHistory responseHistory() {
        return history;
    }

    /** Whether the first byte of the request has been written. */
    public boolean isSendStarted() {
        return left;
    }

    /** Whether the last byte of the request has been written. */
    public boolean isSendComplete() {
        return left && link.isAllWritten();
    }

    @Override
    public void onBytesReceived() {
        while (answer != null && !closed) {
            boolean whole;
            try {
                whole = parser.parse(link.input);
            } catch (HttpParseException garbled) {
                close(CloseReason.MALFORMED_RESPONSE);
                return;
            }
            if (!whole) {
                answer.onPartialResponse(parser);
                return;
            }
            if (parser.status() >= 200) {
                finish();
            } else {
                parser.startNextMessage();
            }
        }
        if (!closed && link.input.size() > 0) {
            // What they belong to cannot be told.
            close(CloseReason.UNSOLICITED_BYTES);
        }
    }

    private void finish() {
        switch (answer.matchResponse(parser)) {
            case EARLIER_REQUEST -> {
                Log.tell(Event.ANSWER_FOREIGN, address, parser.status());
                foreignSeen = true;
                parser.startNextMessage();
                answer.onPartialResponse(parser);
            }
            case UNCERTAIN -> {
                Log.tell(Event.ANSWER_UNCERTAIN, address, parser.status());
                close(CloseReason.AMBIGUOUS_RESPONSE);
            }
            case CURRENT -> finish(!foreignSeen);
            default -> finish(false);
        }
    }

    private void finish(boolean keep) {
        OutboundConnection.ResponseHandler then = answer;
        answer = null;
        boolean again = keep && parser.isKeepAlive() && link.input.size() == 0 && isSendComplete()
            && !link.isInputEnded();
        if (!again) {
            close(CloseReason.NOT_REUSABLE);
        }
        then.onResponse(parser);
    }

    @Override
    public void onEndOfInput(boolean broken) {
        if (!broken && answer != null && parser.endOfInput()) {
            finish();
        }
        close(broken ? CloseReason.RESET_BY_PEER : CloseReason.CLOSED_BY_PEER);
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Reads what has come by now, which may end what is asked. */
    public void readAvailable() {
        if (link != null) {
            link.readAvailable();
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
        boolean sent = isSendComplete();
        closed = true;
        if (Log.tells(Event.CONNECTION_CLOSED)) {
            Log.tell(Event.CONNECTION_CLOSED, address, reason, sent && answer != null);
        }
        if (openWithin != null) {
            openWithin.cancel();
        }
        if (link != null) {
            link.close();
        } else if (opening != null) {
            opening.cancel();
        }
        afterEnd.run();
        OutboundConnection.ResponseHandler then = answer;
        answer = null;
        if (then != null) {
            then.onFailure(sent, parser);
        }
    }

    /** Closes without a word to whoever waits for an answer. */
    public void closeWithoutNotifying() {
        answer = null;
        close(CloseReason.CALL_FINISHED);
    }
}
