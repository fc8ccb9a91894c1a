package yewpath.delivery;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import yewpath.PolicyActions;
import yewpath.http.CloseReason;
import yewpath.http.HttpParser;
import yewpath.http.OutboundConnection;
import yewpath.http.ResponseMatch;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/** A call in flight, with one attempt or several. Each attempt is notified of its end exactly once. */
public final class Call implements OutboundConnection.ResponseHandler {
    /** One attempt to deliver a message: what is sent of it, and what to do at its end. */
    public interface Attempt {
        /** The message's id. */
        String id();

        /** The key that orders the message; null if it has none. */
        String affinityKey();

        /** The key by which the endpoint recognizes a repeated message; null if it has none. */
        String idempotencyKey();

        /** The content of the message. */
        byte[] body();

        /** When the message expires, in microseconds. */
        long deadlineMicros();

        /** When the attempt is cancelled if it is not sent completely, in microseconds. */
        long sendByMicros();

        /** Called just before the first byte of the call is sent. */
        void beforeSend();

        /**
         * Called once, at the end of the attempt.
         *
         * @param outcome an outcome of {@link PolicyActions}
         * @param retryAfterMicros the time for which the endpoint asked not to send; 0 if there is none
         * @param finished whether the response ends the message, so that it is not attempted again
         * @param remainingShare the unused share of the limit by the load report; NaN if not reported
         * @param reportedLimit the limit by the load report; NaN if not reported
         */
        void onEnd(int outcome, long retryAfterMicros, boolean finished, double remainingShare,
            double reportedLimit);

        /** Called when all attempts of the call have ended, so that the call is no longer in flight. */
        void onCallEnd();
    }

    private static final int HTTP_OK = 200;

    private final EventLoop loop;
    private final Limits limits;
    private final Delivery delivery;
    final int endpoint;
    final OutboundConnection connection;
    private final Attempt[] attempts;
    private final EventLoop.Timer[] timeoutTimers;
    private final EventLoop.Timer[] sendByTimers;
    private final List<String> reportFields;
    /** The load report in the response of this call; NaN if there is none. */
    private double remainingShare = Double.NaN;
    private double reportedLimit = Double.NaN;
    /** The number of attempts that have not ended. */
    private int openAttempts;
    /** Limits the time to complete a response that has begun; null if none has. */
    private EventLoop.Timer completionTimer;
    private boolean sendRequested;
    /** The state of each message by its id, from the response to a batch. */
    private Map<String, String> stateById = Map.of();

    Call(EventLoop loop, Limits limits, Delivery delivery, int endpoint, OutboundConnection connection,
        List<Attempt> attempts,
        long deadlineMicros,
        List<String> reportFields) {
        this.loop = loop;
        this.limits = limits;
        this.delivery = delivery;
        this.endpoint = endpoint;
        this.reportFields = reportFields;
        this.connection = connection;
        this.attempts = attempts.toArray(Attempt[]::new);
        timeoutTimers = new EventLoop.Timer[this.attempts.length];
        sendByTimers = new EventLoop.Timer[this.attempts.length];
        openAttempts = this.attempts.length;
        for (int i = 0; i < timeoutTimers.length; i++) {
            Attempt attempt = this.attempts[i];
            // A single message may be repeated as soon as this call has ended. The attempts of a batch end
            // together, but none of them after the deadline of its message.
            timeoutTimers[i] = loop.schedule(
                Math.min(deadlineMicros, attempt.deadlineMicros()) - loop.nowMicros(),
                () -> abandon(attempt, PolicyActions.TIMEOUT));
            sendByTimers[i] = loop.schedule(attempt.sendByMicros() - loop.nowMicros(), this::cancelIfLate);
        }
    }

    /** Cancels one attempt; does nothing if it has ended. */
    public void cancel(Attempt attempt) {
        abandon(attempt, PolicyActions.CANCELLED);
    }

    boolean isEnded() {
        return openAttempts == 0;
    }

    void send(byte[] request) {
        sendRequested = true;
        connection.sendRequest(request, this);
    }

    List<Attempt> attempts() {
        return List.of(attempts);
    }

    /** Ends a call whose request the endpoint cannot have received completely. */
    void cancelUnsent() {
        connection.closeWithoutNotifying();
        endAll(PolicyActions.NOT_EXECUTED, 0, false);
    }

    /**
     * Cancels the call if one of its attempts must not be sent any more. Guards against connections that
     * are established slowly: a repeat that arrives when the endpoint has forgotten the first attempt
     * takes effect a second time. A batch is sent as a whole, so it is not sent if it is too late for one
     * of its messages.
     */
    private boolean cancelIfLate() {
        for (int i = 0; i < attempts.length; i++) {
            if (timeoutTimers[i] != null && loop.nowMicros() >= attempts[i].sendByMicros()
                && !connection.isSendComplete()) {
                cancelUnsent();
                return true;
            }
        }
        return false;
    }

    /**
     * Ends the call after an exception while its request was encoded or sent, so that its messages are not
     * kept forever.
     */
    void failInternally() {
        boolean sendStarted = connection.isSendStarted();
        connection.closeWithoutNotifying();
        endAll(sendStarted ? PolicyActions.CONNECTION_LOST : PolicyActions.NOT_EXECUTED, 0, false);
    }

    /**
     * Ends an attempt without a response. If the response has arrived meanwhile, it counts.
     *
     * @param outcome TIMEOUT or CANCELLED
     */
    private void abandon(Attempt attempt, int outcome) {
        // The response may have arrived in time without having been read yet.
        connection.readAvailable();
        if (isEnded(attempt)) {
            return;
        }
        if (isDeliveryReported()) {
            connection.close(CloseReason.INCOMPLETE_RESPONSE);
            return;
        }
        if (!sendRequested
            || !connection.isSendComplete()
                && (outcome == PolicyActions.CANCELLED || loop.nowMicros() >= attempt.deadlineMicros())) {
            // The request was not received completely, so the outcome is known: a slow connection does not
            // make the outcome of an at-most-once message uncertain.
            cancelUnsent();
            return;
        }
        boolean isLast = openAttempts == 1;
        if (isLast) {
            // Closed before the listeners are notified, as they may send the same message on another
            // connection.
            connection.closeWithoutNotifying();
        }
        end(attempt, outcome, 0, false);
    }

    private boolean isEnded(Attempt attempt) {
        for (int i = 0; i < attempts.length; i++) {
            if (attempts[i] == attempt) {
                return timeoutTimers[i] == null;
            }
        }
        return true;
    }

    private void end(Attempt attempt, int outcome, long retryAfterMicros, boolean finished) {
        for (int i = 0; i < attempts.length; i++) {
            if (attempts[i] == attempt && timeoutTimers[i] != null) {
                timeoutTimers[i].cancel();
                sendByTimers[i].cancel();
                timeoutTimers[i] = null;
                openAttempts--;
                attempt.onEnd(outcome, retryAfterMicros, finished, remainingShare, reportedLimit);
                if (openAttempts == 0) {
                    if (completionTimer != null) {
                        completionTimer.cancel();
                    }
                    delivery.onCallEnd(this);
                    for (Attempt each : attempts) {
                        each.onCallEnd();
                    }
                }
            }
        }
    }

    private void endAll(int outcome, long retryAfterMicros, boolean finished) {
        for (Attempt attempt : attempts) {
            end(attempt, outcome, retryAfterMicros, finished);
        }
    }

    @Override
    public boolean beforeSend() {
        if (cancelIfLate()) {
            return false;
        }
        if (!delivery.areAddressesCurrent()) {
            cancelUnsent();
            return false;
        }
        for (Attempt attempt : attempts) {
            attempt.beforeSend();
        }
        if (!delivery.writeAttemptRecords()) {
            cancelUnsent();
            return false;
        }
        return true;
    }

    /**
     * Limits the time to complete a response that has begun. Guards against responses that never end, such
     * as an incomplete head or a body shorter than its length: nothing more is learned from them, and the
     * call would occupy a slot until the deadline of its messages.
     */
    @Override
    public void onPartialResponse(HttpParser response) {
        if (!response.isBeforeFirstByte()) {
            completionTimer = completionTimer == null
                ? loop.schedule(limits.responseCompletionTimeoutMicros(),
                    () -> connection.close(CloseReason.INCOMPLETE_RESPONSE))
                : completionTimer;
        } else if (completionTimer != null) {
            // An informational (1xx) response has been received; the final response may take long.
            completionTimer.cancel();
            completionTimer = null;
        }
    }

    /**
     * Tells whether a response belongs to this request. Any response other than 200 closes its connection,
     * so a duplicate that arrives later is always one of a 200. It is recognized by the message ids that
     * it names, or by a body that equals an earlier one on this connection.
     */
    @Override
    public ResponseMatch matchResponse(HttpParser response) {
        if (response.status() != HTTP_OK) {
            return ResponseMatch.CURRENT_THEN_CLOSE;
        }
        if (!connection.isSendComplete()) {
            return ResponseMatch.UNCERTAIN;
        }
        byte[] body = response.body();
        ResponseMatch match = attempts.length == 1 ? matchSingleResponse(body) : matchBatchResponse(body);
        boolean duplicateRecognizable = connection.responseHistory().add(body);
        return match == ResponseMatch.CURRENT && !duplicateRecognizable ? ResponseMatch.CURRENT_THEN_CLOSE
            : match;
    }

    private ResponseMatch matchSingleResponse(byte[] body) {
        if (body.length == 0) {
            return connection.isFirstRequest() ? ResponseMatch.CURRENT_THEN_CLOSE : ResponseMatch.UNCERTAIN;
        }
        return connection.responseHistory().contains(body) ? ResponseMatch.UNCERTAIN : ResponseMatch.CURRENT;
    }

    private ResponseMatch matchBatchResponse(byte[] body) {
        if (connection.responseHistory().contains(body)) {
            return ResponseMatch.EARLIER_REQUEST;
        }
        stateById = ResponseInterpreter.messageStates(body);
        if (Arrays.stream(attempts).anyMatch(attempt -> stateById.containsKey(attempt.id()))) {
            // A message that is not finished may be sent again, and a duplicate of this response would
            // name it.
            boolean allFinished = Arrays.stream(attempts)
                .allMatch(
                    attempt -> ResponseInterpreter.isFinished(stateById.getOrDefault(attempt.id(), "")));
            return allFinished ? ResponseMatch.CURRENT : ResponseMatch.CURRENT_THEN_CLOSE;
        }
        if (connection.isFirstRequest()) {
            return ResponseMatch.CURRENT_THEN_CLOSE;
        }
        return stateById.isEmpty() ? ResponseMatch.UNCERTAIN : ResponseMatch.EARLIER_REQUEST;
    }

    @Override
    public void onResponse(HttpParser response) {
        remainingShare = ResponseInterpreter.loadReportValue(response, reportFields, "x0");
        reportedLimit = ResponseInterpreter.loadReportValue(response, reportFields, "x1");
        long retryAfterMicros = ResponseInterpreter.retryAfterMicros(response);
        if (attempts.length == 1 || response.status() != HTTP_OK) {
            endAll(ResponseInterpreter.outcome(response, connection.isFirstRequest()), retryAfterMicros,
                ResponseInterpreter.isFinished(response.status()));
            return;
        }
        for (Attempt attempt : attempts) {
            String state = stateById.get(attempt.id());
            if (state != null) {
                end(attempt, ResponseInterpreter.outcomeOfState(state), retryAfterMicros,
                    ResponseInterpreter.isFinished(state));
            }
        }
        // Messages that the response does not name, or names with an unknown state, may have been
        // executed.
        endAll(PolicyActions.CONNECTION_LOST, retryAfterMicros, false);
    }

    /**
     * Whether the status line reports that the message was delivered; the body of the response to a single
     * message is irrelevant. This holds only for the first response on a connection: later ones can be
     * told from duplicates only by their body.
     */
    private boolean isDeliveryReported() {
        return attempts.length == 1 && connection.isFirstRequest() && connection.isSendComplete()
            && connection.receivedStatus() == HTTP_OK;
    }

    @Override
    public void onFailure(boolean sent, HttpParser response) {
        if (isDeliveryReported()) {
            endAll(PolicyActions.DELIVERED, 0, true);
        } else {
            endAll(
                !sent ? PolicyActions.UNREACHABLE
                    : connection.isReusedWithoutResponse() ? PolicyActions.STALE_CONNECTION
                        : PolicyActions.CONNECTION_LOST,
                0,
                false);
        }
    }
}
