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

/**
 * A connection from this process to another HTTP server. It carries one request at a time and never repeats a
 * request by itself. All methods must be called on the I/O thread of the event loop.
 */
public final class OutboundConnection implements BufferedConnection.Listener {
    /**
     * Receives the events of one request. A request ends with exactly one call of {@link #onResponse} or
     * {@link #onFailure}, unless {@link #closeWithoutNotifying} is called or {@link #beforeSend} returns
     * false.
     */
    public interface ResponseHandler {
        /**
         * Called just before the first byte of the request is written. Returns false if the request must not
         * be sent any more; the handler then has to close the connection itself.
         */
        default boolean beforeSend() {
            return true;
        }

        /**
         * A part of the response has been received; the handler may remove the received body from the parser.
         */
        default void onPartialResponse(HttpParser response) {}

        /**
         * Tells to which request a complete response belongs. Only a response to the current request is
         * passed on.
         */
        default ResponseMatch matchResponse(HttpParser response) {
            return ResponseMatch.CURRENT_THEN_CLOSE;
        }

        /** The response to the request has been received completely. */
        void onResponse(HttpParser response);

        /**
         * The connection has ended without a complete response. {@code sent} tells whether the last byte of
         * the request had been written; {@code response} holds what has been received of a response.
         */
        void onFailure(boolean sent, HttpParser response);
    }

    private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    private final EventLoop loop;
    private final Limits limits;
    private final InetSocketAddress address;
    private final HttpParser parser;
    private final ResponseHistory history = new ResponseHistory();
    private IoFuture<StreamConnection> connecting;
    private EventLoop.Timer connectTimer;
    private BufferedConnection connection;
    private ResponseHandler handler;
    private byte[] request;
    private boolean closed;
    private CloseReason closeReason;
    private boolean reused;
    private boolean sendStarted;
    private boolean earlierResponseReceived;
    private Runnable closeAction = () -> {};

    /**
     * Creates a connection that is opened by the first request.
     *
     * @param maxBodyBytes the largest body of a response; a longer one counts as malformed
     */
    public OutboundConnection(EventLoop loop, Limits limits, InetSocketAddress address, int maxBodyBytes) {
        this.loop = loop;
        this.limits = limits;
        this.address = address;
        parser = new HttpParser(false, limits.maxHeadBytes(), maxBodyBytes);
    }

    /** Sets an action to run when this connection is closed, by this side or by the peer. */
    public void onClose(Runnable action) {
        closeAction = action;
    }

    /** Sends a request, and connects first if it is the first one. The previous request must have ended. */
    public void sendRequest(byte[] requestBytes, ResponseHandler responseHandler) {
        request = requestBytes;
        sendStarted = false;
        handler = responseHandler;
        parser.startNextMessage();
        if (connection != null) {
            reused = true;
            writeRequest();
            return;
        }
        connectTimer = loop.schedule(limits.connectTimeoutMicros(),
            () -> close(CloseReason.CONNECT_TIMED_OUT));
        connecting = loop.thread().openStreamConnection(address, this::onConnected, SOCKET_OPTIONS);
        connecting.addNotifier((future, attachment) -> {
            if (future.getStatus() == IoFuture.Status.FAILED) {
                close(CloseReason.CONNECT_FAILED);
            }
        }, null);
    }

    private void onConnected(StreamConnection streamConnection) {
        if (closed) {
            IoUtils.safeClose(streamConnection);
            return;
        }
        connectTimer.cancel();
        connection = new BufferedConnection(streamConnection, limits.initialRingBytes(),
            limits.maxRingBytes(),
            this);
        writeRequest();
    }

    private void writeRequest() {
        if (!handler.beforeSend()) {
            return;
        }
        byte[] requestBytes = request;
        request = null;
        sendStarted = true;
        connection.write(requestBytes);
    }

    /**
     * Returns the status code of the response, even if the rest is missing or malformed; 0 before the status
     * line.
     */
    public int receivedStatus() {
        return parser.receivedStatus();
    }

    /** Returns whether the connection has served an earlier request and nothing has been received since. */
    public boolean isReusedWithoutResponse() {
        return reused && parser.isBeforeFirstByte();
    }

    /**
     * Returns whether the connection is open and nothing has been received since the last response. Guards
     * against bytes that belong to that response, such as a duplicate of it, being read as the response to
     * the next request.
     */
    public boolean hasNoPendingInput() {
        return connection != null && connection.hasNoPendingInput();
    }

    /** Returns whether the current or last request is the first one on this connection. */
    public boolean isFirstRequest() {
        return !reused;
    }

    /** Returns the history of the responses received on this connection; the handlers add to it. */
    public ResponseHistory responseHistory() {
        return history;
    }

    /** Returns whether the request has been passed to the socket, at least in part. */
    public boolean isSendStarted() {
        return sendStarted;
    }

    /** Returns whether the last byte of the request has been written to the socket. */
    public boolean isSendComplete() {
        return sendStarted && connection.isAllWritten();
    }

    @Override
    public void onBytesReceived() {
        while (handler != null && !closed) {
            boolean complete;
            try {
                complete = parser.parse(connection.input);
            } catch (HttpParseException malformed) {
                close(CloseReason.MALFORMED_RESPONSE);
                return;
            }
            if (!complete) {
                handler.onPartialResponse(parser);
                return;
            }
            if (parser.status() >= 200) {
                handleCompleteResponse();
            } else {
                parser.startNextMessage();
            }
        }
        if (!closed && connection.input.size() > 0) {
            // No request is outstanding, so these bytes cannot be matched to one.
            close(CloseReason.UNSOLICITED_BYTES);
        }
    }

    private void handleCompleteResponse() {
        switch (handler.matchResponse(parser)) {
            case EARLIER_REQUEST -> {
                Log.log(Event.RESPONSE_STALE, address, parser.status());
                earlierResponseReceived = true;
                parser.startNextMessage();
                handler.onPartialResponse(parser);
            }
            case UNCERTAIN -> {
                Log.log(Event.RESPONSE_REPEATED, address, parser.status());
                close(CloseReason.AMBIGUOUS_RESPONSE);
            }
            case CURRENT -> deliverResponse(!earlierResponseReceived);
            default -> deliverResponse(false);
        }
    }

    private void deliverResponse(boolean mayReuse) {
        ResponseHandler finishedHandler = handler;
        handler = null;
        boolean keepOpen = mayReuse && parser.isKeepAlive() && connection.input.size() == 0
            && isSendComplete()
            && !connection.isInputEnded();
        if (!keepOpen) {
            close(CloseReason.NOT_REUSABLE);
        }
        finishedHandler.onResponse(parser);
    }

    @Override
    public void onEndOfInput(boolean failed) {
        if (!failed && handler != null && parser.endOfInput()) {
            handleCompleteResponse();
        }
        close(failed ? CloseReason.RESET_BY_PEER : CloseReason.CLOSED_BY_PEER);
    }

    /** Returns the address of the server. */
    public InetSocketAddress address() {
        return address;
    }

    /** Reads and handles the bytes that the socket holds now, which may end the current request. */
    public void readAvailable() {
        if (connection != null) {
            connection.readAvailable();
        }
    }

    /** Returns whether the connection has been closed, by this side or by the peer. */
    public boolean isClosed() {
        return closed;
    }

    /** Returns why the connection was closed; null while it is open. */
    public CloseReason closeReason() {
        return closeReason;
    }

    /** Closes the connection and reports a failure to the handler of a request that has not ended. */
    public void close(CloseReason reason) {
        if (closed) {
            return;
        }
        boolean sent = isSendComplete();
        closed = true;
        closeReason = reason;
        if (Log.isEnabled(Event.CONNECTION_CLOSED)) {
            Log.log(Event.CONNECTION_CLOSED, address, reason, sent && handler != null);
        }
        if (connectTimer != null) {
            connectTimer.cancel();
        }
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
        closeAction.run();
        ResponseHandler failedHandler = handler;
        handler = null;
        if (failedHandler != null) {
            failedHandler.onFailure(sent, parser);
        }
    }

    /** Closes the connection without a call to the handler of the current request. */
    public void closeWithoutNotifying() {
        handler = null;
        close(CloseReason.CALL_FINISHED);
    }
}
