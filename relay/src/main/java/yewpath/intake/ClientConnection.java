package yewpath.intake;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.BufferedConnection;
import yewpath.http.CloseReason;
import yewpath.http.HttpMessageBuilder;
import yewpath.http.HttpParseException;
import yewpath.http.HttpParser;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;
import yewpath.loop.TurnQueue;

/**
 * The connection of one client. Reads a request, sends its response, then reads the next request. Requests are
 * handled in turns, between which the other connections have theirs: one turn handles at most one request, and
 * only a part of a request of very many lines. The next request waits until the client has read enough that the
 * response to the last one could be written.
 */
final class ClientConnection implements BufferedConnection.Listener {
    /**
     * The eviction cost of a connection that waits for a response: it is never closed to make room for
     * another.
     */
    static final int NOT_EVICTABLE = 4;
    private static final int COST_OF_INCOMPLETE_REQUEST = 3;
    private static final int COST_OF_NEW_CONNECTION = 2;
    private static final int COST_OF_RECENT_REQUEST = 1;
    private static final byte[] CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n"
        .getBytes(StandardCharsets.ISO_8859_1);

    private final EventLoop eventLoop;
    private final Limits limits;
    private final MessageIntake intake;
    private final TurnQueue turns;
    private final Consumer<ClientConnection> closeHandler;
    private final HttpParser parser;
    private final BufferedConnection connection;
    private final long connectedAtMicros;
    /** Time of the last change: connected, request begun, request complete, response sent, or refused. */
    private long lastActivityMicros;
    private int discardedBytes;
    private boolean hasSentRequest;
    private boolean responsePending;
    /**
     * The last response has been written; input is read and discarded until the client or a limit ends it.
     */
    private boolean lingering;
    private boolean continueSent;
    /** Whether the next turn is queued behind the connections that are ready now. */
    private boolean turnScheduled;

    /**
     * Starts to read from an accepted connection.
     *
     * @param turns runs the turns of all connections after their first ones
     * @param closeHandler called once the connection is closed
     */
    ClientConnection(EventLoop eventLoop, Limits limits, MessageIntake intake, TurnQueue turns,
        StreamConnection channel, Consumer<ClientConnection> closeHandler) {
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.intake = intake;
        this.turns = turns;
        this.closeHandler = closeHandler;
        parser = new HttpParser(true, limits.maxHeadBytes(), limits.maxBodyBytes());
        connectedAtMicros = lastActivityMicros = eventLoop.nowMicros();
        connection = new BufferedConnection(channel, limits.initialRingBytes(), limits.maxRingBytes(), this);
    }

    private boolean isBetweenRequests() {
        return !responsePending && parser.isBeforeFirstByte() && connection.input.size() == 0;
    }

    /**
     * Returns how costly closing this connection would be, from 0 to {@link #NOT_EVICTABLE}. Clients that
     * connect and send nothing, or stay connected after a request, must not use up the connections of the
     * others: a client that wants to send a request does so at once, and clients expect an idle connection to
     * be closed after 2 s.
     */
    int evictionCost(long nowMicros) {
        if (responsePending) {
            return NOT_EVICTABLE;
        }
        if (!isBetweenRequests()) {
            return COST_OF_INCOMPLETE_REQUEST;
        }
        long idleMicros = nowMicros - lastActivityMicros;
        return idleMicros > (hasSentRequest ? limits.idleBeforeEvictionMicros()
            : limits.silenceBeforeEvictionMicros()) ? 0
                : hasSentRequest ? COST_OF_RECENT_REQUEST : COST_OF_NEW_CONNECTION;
    }

    /** Reads what has been received meanwhile; returns whether the eviction cost is still the same. */
    boolean hasSameEvictionCostAfterReading(long nowMicros) {
        int costBefore = evictionCost(nowMicros);
        connection.readAvailable();
        return connection.isClosed() || evictionCost(nowMicros) == costBefore;
    }

    /** Returns the time of the last activity in microseconds of the loop's clock. */
    long lastActivityMicros() {
        return lastActivityMicros;
    }

    /** Closes the connection or refuses its request if one of the timeouts has expired. */
    void checkTimeouts(long nowMicros) {
        long elapsedMicros = nowMicros - lastActivityMicros;
        if (lingering && elapsedMicros > limits.lingerMicros()) {
            close(CloseReason.REFUSED);
        } else if (!connection.isAllWritten() && elapsedMicros > limits.requestTimeoutMicros()) {
            close(CloseReason.RESPONSE_NOT_READ);
        } else if (!lingering && isBetweenRequests()
            && elapsedMicros > (hasSentRequest ? limits.clientIdleTimeoutMicros()
                : limits.silentClientTimeoutMicros())
            && hasSameEvictionCostAfterReading(nowMicros)) {
            close(CloseReason.IDLE);
        } else if (isRequestOverdue(nowMicros) && isRequestOverdueAfterReading(nowMicros)) {
            refuse(408);
        }
    }

    private boolean isRequestOverdue(long nowMicros) {
        return !lingering && !responsePending && !isBetweenRequests()
            && nowMicros - (hasSentRequest ? lastActivityMicros : connectedAtMicros) > limits
                .requestTimeoutMicros();
    }

    /**
     * Reads what has been received meanwhile; returns whether the request is still overdue, and not because its
     * rest waits for a turn. The size of a request is limited, so a client can't make use of that.
     */
    private boolean isRequestOverdueAfterReading(long nowMicros) {
        connection.readAvailable();
        return !connection.isClosed() && !turnScheduled && isRequestOverdue(nowMicros);
    }

    /**
     * Closes the connection if it is idle, after reading what has been received meanwhile. A client whose
     * request crosses the close can conclude that the request was not read, and repeat it. A new connection
     * is left open for the time in which a client normally sends its first request.
     */
    void closeIfIdle(long nowMicros) {
        if (!hasSentRequest && nowMicros - connectedAtMicros < limits.silenceBeforeEvictionMicros()) {
            return;
        }
        connection.readAvailable();
        if (!lingering && !connection.isClosed() && isBetweenRequests()) {
            close(CloseReason.SHUTDOWN);
        }
    }

    /**
     * The last step of a shutdown: closes an idle connection and refuses an incomplete request with status
     * 503. A connection that waits for a response is left alone, since the response follows in the next
     * round.
     */
    void closeUnlessResponsePending() {
        connection.readAvailable();
        if (responsePending || lingering || connection.isClosed()) {
            return;
        }
        if (isBetweenRequests()) {
            close(CloseReason.SHUTDOWN);
        } else {
            refuse(503);
        }
    }

    @Override
    public void onBytesReceived() {
        if (lingering) {
            discardedBytes += connection.input.size();
            connection.input.skip(connection.input.size());
            if (discardedBytes > limits.maxLingerBytes()) {
                // The client had time to receive the response; reading unlimited input would delay the other
                // clients.
                close(CloseReason.REFUSED);
            }
            return;
        }
        if (!turnScheduled) {
            takeTurn();
        }
    }

    @Override
    public void onAllWritten() {
        scheduleTurn();
    }

    /** Queues the next turn if the client has sent something that can be handled now. */
    private void scheduleTurn() {
        if (!turnScheduled && mayHandleInput()) {
            turnScheduled = true;
            turns.add(() -> {
                turnScheduled = false;
                takeTurn();
            });
        }
    }

    private boolean mayHandleInput() {
        return !responsePending && !lingering && !connection.isClosed() && connection.isAllWritten()
            && connection.input.size() > 0;
    }

    private void takeTurn() {
        if (!mayHandleInput()) {
            return;
        }
        try {
            lastActivityMicros = parser.isBeforeFirstByte() ? eventLoop.nowMicros() : lastActivityMicros;
            if (parser.parse(connection.input)) {
                responsePending = hasSentRequest = true;
                lastActivityMicros = eventLoop.nowMicros();
                handleRequest();
            } else {
                sendContinue();
                if (parser.isPaused()) {
                    scheduleTurn();
                }
                connection.resumeReading();
            }
        } catch (HttpParseException fault) {
            refuse(fault.status);
        }
    }

    private void sendContinue() {
        if (!continueSent && parser.isHeadComplete()
            && "100-continue".equalsIgnoreCase(parser.header("Expect"))) {
            continueSent = true;
            connection.write(CONTINUE_RESPONSE);
        }
    }

    @Override
    public void onEndOfInput(boolean broken) {
        if (!broken && lingering && !connection.isAllWritten()) {
            // The client ended only its sending direction and may still read the response; a timeout closes
            // the connection if it does not.
            return;
        }
        // A client that ends its connection no longer waits: a request without a response is void.
        close(broken ? CloseReason.RESET_BY_PEER : CloseReason.CLOSED_BY_PEER);
    }

    /** Closes the connection at once and informs the close handler. */
    void close(CloseReason reason) {
        if (Log.isEnabled(Event.CLIENT_CLOSED)) {
            Log.log(Event.CLIENT_CLOSED, reason, responsePending);
        }
        connection.close();
        closeHandler.accept(this);
    }

    private void handleRequest() {
        String path = parser.target().split("\\?", 2)[0];
        if (path.equals("/health/ready") || path.equals("/health/live") || path.equals("/stats")) {
            if (!parser.method().equals("GET")) {
                respond(HttpMessageBuilder.response(405).header("Allow", "GET"), new byte[0]);
            } else if (path.equals("/stats")) {
                respond(HttpMessageBuilder.response(200).header("Content-Type", "application/json"),
                    intake.statistics());
            } else {
                respond(
                    HttpMessageBuilder.response(path.equals("/health/live") || intake.isReady() ? 200 : 503),
                    new byte[0]);
            }
            return;
        }
        String messageClass = path.startsWith("/") ? path.substring(1).split("/", 2)[0] : "";
        if (!intake.isKnownClass(messageClass)) {
            respondWithError(404);
        } else if (!parser.method().equals("POST")) {
            respond(HttpMessageBuilder.response(405).header("Allow", "POST"), new byte[0]);
        } else {
            submitMessage(messageClass);
        }
    }

    private void submitMessage(String messageClass) {
        String id = parser.header("Request-Id");
        long timeoutMicros = HeaderFields.parseMicros(parser.header("Request-Timeout"));
        String destination = HeaderFields.parseDestination(parser.header("X-Addressing"));
        if (id == null || id.isEmpty() || id.length() > limits.maxIdLength() || timeoutMicros < 0
            || destination == null) {
            respondWithError(400);
            return;
        }
        Submission submission = new Submission(id, messageClass, parser.header("Tenant"),
            parser.header("Affinity-Key"), parser.header("Idempotency-Key"), destination,
            parser.removeBody());
        intake.submit(submission, timeoutMicros, new SubmissionReply());
    }

    /** Answers the request that submitted a message. */
    private final class SubmissionReply implements MessageIntake.Reply {
        @Override
        public boolean send(int status, long retryAfterMicros) {
            HttpMessageBuilder response = HttpMessageBuilder.response(status);
            if (retryAfterMicros > 0) {
                response.header("Retry-After", HeaderFields.formatSeconds(retryAfterMicros));
            }
            respond(response, new byte[0]);
            return !connection.isClosed();
        }

        @Override
        public boolean isClientGone() {
            return connection.isClosed() || connection.isInputEnded();
        }
    }

    private void respondWithError(int status) {
        Log.log(Event.CLIENT_REFUSED, status);
        respond(HttpMessageBuilder.response(status), new byte[0]);
    }

    private void respond(HttpMessageBuilder response, byte[] body) {
        if (connection.isClosed()) {
            return;
        }
        boolean isLastResponse = !parser.isKeepAlive() || intake.isClosing();
        if (isLastResponse) {
            response.header("Connection", "close");
        }
        connection.write(response.build(body));
        responsePending = continueSent = false;
        lastActivityMicros = eventLoop.nowMicros();
        parser.startNextMessage();
        if (isLastResponse) {
            startLingering();
        } else {
            scheduleTurn();
        }
        connection.resumeReading();
    }

    /**
     * Sends an error response to a request that is invalid or incomplete; the connection can't be used after
     * that.
     */
    private void refuse(int status) {
        Log.log(Event.CLIENT_REFUSED, status);
        connection
            .write(HttpMessageBuilder.response(status).header("Connection", "close").buildWithEmptyBody());
        startLingering();
    }

    /**
     * Ends the sending direction and reads on for a while. Closing the connection while received bytes are
     * unread would reset it, and the client could lose the response.
     */
    private void startLingering() {
        lingering = true;
        lastActivityMicros = eventLoop.nowMicros();
        connection.input.skip(connection.input.size());
        connection.shutdownOutput();
        connection.resumeReading();
    }
}
