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

/** One call that is out, with one envelope or several; each hears of its own end once. */
public final class Call implements OutboundConnection.ResponseHandler {
    /** An envelope in a call: what is sent of it, and what its end leaves to be done. */
    public interface Attempt {
        String id();

        String affinityKey();

        /** By which the endpoint knows it again; null where it has none. */
        String idempotencyKey();

        byte[] body();

        long deadlineMicros();

        /** What has not left whole by then is taken back. */
        long sendByMicros();

        /** Just before the call's bytes leave. */
        void beforeSend();

        void onEnd(int outcome, long wait, boolean over, double left, double limit);

        /** After all of the call have ended: it is out no more. */
        void onCallEnd();
    }

    private static final int HTTP_OK = 200;

    private final EventLoop loop;
    private final Limits limits;
    private final Delivery delivery;
    final int endpoint;
    final OutboundConnection connection;
    private final Attempt[] attempts;
    private final EventLoop.Timer[] timers;
    private final EventLoop.Timer[] leaveTimers;
    private final List<String> reportFields;
    /** What this call's answer told of the endpoint's load; none where no answer came. */
    private double left = Double.NaN;
    private double limit = Double.NaN;
    private int open;
    private EventLoop.Timer restWithin;
    private boolean begun;
    /** What the answer to a call of several says of each message, by id. */
    private Map<String, String> states = Map.of();

    Call(EventLoop loop, Limits limits, Delivery delivery, int endpoint, OutboundConnection connection,
        List<Attempt> attempts,
        long endsAt,
        List<String> reportFields) {
        this.loop = loop;
        this.limits = limits;
        this.delivery = delivery;
        this.endpoint = endpoint;
        this.reportFields = reportFields;
        this.connection = connection;
        this.attempts = attempts.toArray(Attempt[]::new);
        timers = new EventLoop.Timer[this.attempts.length];
        leaveTimers = new EventLoop.Timer[this.attempts.length];
        open = this.attempts.length;
        for (int i = 0; i < timers.length; i++) {
            Attempt one = this.attempts[i];
            // An envelope sent alone may come again only once this call is over: several end together, but
            // none after its expiry.
            timers[i] = loop.schedule(Math.min(endsAt, one.deadlineMicros()) - loop.nowMicros(),
                () -> giveUp(one, PolicyActions.TIMEOUT));
            leaveTimers[i] = loop.schedule(one.sendByMicros() - loop.nowMicros(), this::takeBackIfLate);
        }
    }

    public void cancel(Attempt one) {
        giveUp(one, PolicyActions.CANCELLED);
    }

    boolean isOver() {
        return open == 0;
    }

    void begin(byte[] request) {
        begun = true;
        connection.sendRequest(request, this);
    }

    List<Attempt> attempts() {
        return List.of(attempts);
    }

    /** Ends a call of which the endpoint can't have the whole. */
    void takeBack() {
        connection.closeWithoutNotifying();
        endAll(PolicyActions.NOT_EXECUTED, 0, false);
    }

    /**
     * Guards against a connection slow to come up: a repeat that arrives when the first shot is forgotten has its effect
     * twice. Several go as one, so what is too late for one of them is not sent.
     */
    private boolean takeBackIfLate() {
        for (int i = 0; i < attempts.length; i++) {
            if (timers[i] != null && loop.nowMicros() >= attempts[i].sendByMicros()
                && !connection.isSendComplete()) {
                takeBack();
                return true;
            }
        }
        return false;
    }

    /** What went wrong while it was put together or sent: it ends like any other, and its envelopes are not kept for good. */
    void fault() {
        boolean left = connection.isSendStarted();
        connection.closeWithoutNotifying();
        endAll(left ? PolicyActions.CONNECTION_LOST : PolicyActions.NOT_EXECUTED, 0, false);
    }

    private void giveUp(Attempt one, int outcome) {
        // The answer may lie in the socket, written in time and not read yet.
        connection.readAvailable();
        if (isOver(one)) {
            return;
        }
        if (saidDelivered()) {
            connection.close(CloseReason.INCOMPLETE_RESPONSE);
            return;
        }
        if (!begun
            || !connection.isSendComplete()
                && (outcome == PolicyActions.CANCELLED || loop.nowMicros() >= one.deadlineMicros())) {
            // Nothing of it has arrived whole: a once-only envelope is not in doubt for a connection slow to open.
            takeBack();
            return;
        }
        boolean last = open == 1;
        if (last) {
            // Closed before anybody hears: what follows may be the same envelope on another connection.
            connection.closeWithoutNotifying();
        }
        end(one, outcome, 0, false);
    }

    private boolean isOver(Attempt one) {
        for (int i = 0; i < attempts.length; i++) {
            if (attempts[i] == one) {
                return timers[i] == null;
            }
        }
        return true;
    }

    private void end(Attempt one, int outcome, long wait, boolean over) {
        for (int i = 0; i < attempts.length; i++) {
            if (attempts[i] == one && timers[i] != null) {
                timers[i].cancel();
                leaveTimers[i].cancel();
                timers[i] = null;
                open--;
                one.onEnd(outcome, wait, over, left, limit);
                if (open == 0) {
                    if (restWithin != null) {
                        restWithin.cancel();
                    }
                    delivery.over(this);
                    for (Attempt each : attempts) {
                        each.onCallEnd();
                    }
                }
            }
        }
    }

    private void endAll(int outcome, long wait, boolean over) {
        for (Attempt one : attempts) {
            end(one, outcome, wait, over);
        }
    }

    @Override
    public boolean beforeSend() {
        if (takeBackIfLate()) {
            return false;
        }
        for (Attempt one : attempts) {
            one.beforeSend();
        }
        if (!delivery.attemptsAreWritten()) {
            takeBack();
            return false;
        }
        return true;
    }

    /**
     * Guards against answers that begin and don't end: a head without end, a body shorter than its length. What has
     * come says all there is, and the call would hold its slot until the envelope's expiry.
     */
    @Override
    public void onPartialResponse(HttpParser answer) {
        if (!answer.isBeforeFirstByte()) {
            restWithin = restWithin == null
                ? loop.schedule(limits.responseCompletionTimeoutMicros(),
                    () -> connection.close(CloseReason.INCOMPLETE_RESPONSE))
                : restWithin;
        } else if (restWithin != null) {
            // What began was a 1xx answer: the one that counts may be long in coming.
            restWithin.cancel();
            restWithin = null;
        }
    }

    /**
     * An answer other than 200 ends its connection, so a copy that comes later is always one of a 200. That is told by the
     * ids it names, or by a body that no answer before it on this connection had.
     */
    @Override
    public ResponseMatch matchResponse(HttpParser answer) {
        if (answer.status() != HTTP_OK) {
            return ResponseMatch.CURRENT_THEN_CLOSE;
        }
        if (!connection.isSendComplete()) {
            return ResponseMatch.UNCERTAIN;
        }
        byte[] body = answer.body();
        ResponseMatch recognition = attempts.length == 1 ? recogniseOne(body) : recogniseSeveral(body);
        boolean mayComeAgain = connection.responseHistory().add(body);
        return recognition == ResponseMatch.CURRENT && !mayComeAgain ? ResponseMatch.CURRENT_THEN_CLOSE
            : recognition;
    }

    private ResponseMatch recogniseOne(byte[] body) {
        if (body.length == 0) {
            return connection.isFirstRequest() ? ResponseMatch.CURRENT_THEN_CLOSE : ResponseMatch.UNCERTAIN;
        }
        return connection.responseHistory().contains(body) ? ResponseMatch.UNCERTAIN : ResponseMatch.CURRENT;
    }

    private ResponseMatch recogniseSeveral(byte[] body) {
        if (connection.responseHistory().contains(body)) {
            return ResponseMatch.EARLIER_REQUEST;
        }
        states = Answers.states(body);
        if (Arrays.stream(attempts).anyMatch(one -> states.containsKey(one.id()))) {
            // A message that is not over may go again, and a copy of this answer would name it.
            boolean allAreOver = Arrays.stream(attempts)
                .allMatch(one -> Answers.isOver(states.getOrDefault(one.id(), "")));
            return allAreOver ? ResponseMatch.CURRENT : ResponseMatch.CURRENT_THEN_CLOSE;
        }
        if (connection.isFirstRequest()) {
            return ResponseMatch.CURRENT_THEN_CLOSE;
        }
        return states.isEmpty() ? ResponseMatch.UNCERTAIN : ResponseMatch.EARLIER_REQUEST;
    }

    @Override
    public void onResponse(HttpParser answer) {
        left = Answers.report(answer, reportFields, "x0");
        limit = Answers.report(answer, reportFields, "x1");
        long wait = Answers.wait(answer);
        if (attempts.length == 1 || answer.status() != HTTP_OK) {
            endAll(Answers.outcome(answer, connection.isFirstRequest()), wait,
                Answers.isOver(answer.status()));
            return;
        }
        for (Attempt one : attempts) {
            String state = states.get(one.id());
            if (state != null) {
                end(one, Answers.outcomeOf(state), wait, Answers.isOver(state));
            }
        }
        // What a bulk answer doesn't name, or names in words unknown, may have run.
        endAll(PolicyActions.CONNECTION_LOST, wait, false);
    }

    /**
     * The first line of an answer to one message says that it was delivered; the body means nothing. Where the connection
     * has had an answer before, the body is what tells the two apart.
     */
    private boolean saidDelivered() {
        return attempts.length == 1 && connection.isFirstRequest() && connection.isSendComplete()
            && connection.receivedStatus() == HTTP_OK;
    }

    @Override
    public void onFailure(boolean sent, HttpParser answer) {
        if (saidDelivered()) {
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
