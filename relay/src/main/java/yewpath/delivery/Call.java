package yewpath.delivery;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import yewpath.Egress;
import yewpath.http.Caller;
import yewpath.http.CloseReason;
import yewpath.http.Parser;
import yewpath.http.Recognition;
import yewpath.loop.Limits;
import yewpath.loop.Loop;

/** One call that is out, with one envelope or several; each hears of its own end once. */
public final class Call implements Caller.Answer {
    /** An envelope in a call: what is sent of it, and what its end leaves to be done. */
    public interface Cargo {
        String id();

        String key();

        /** By which the endpoint knows it again; null where it has none. */
        String tag();

        byte[] body();

        long expiry();

        /** What has not left whole by then is taken back. */
        long leaveBy();

        /** Just before the call's bytes leave. */
        void leaving();

        void ended(int outcome, long wait, boolean over, double left, double limit);

        /** After all of the call have ended: it is out no more. */
        void callOver();
    }

    private static final int HTTP_OK = 200;

    private final Loop loop;
    private final Limits limits;
    private final Delivery delivery;
    final int endpoint;
    final Caller caller;
    private final Cargo[] cargo;
    private final Loop.Timer[] timers;
    private final Loop.Timer[] leaveTimers;
    private final List<String> reportFields;
    /** What this call's answer told of the endpoint's load; none where no answer came. */
    private double left = Double.NaN;
    private double limit = Double.NaN;
    private int open;
    private Loop.Timer restWithin;
    private boolean begun;
    /** What the answer to a call of several says of each message, by id. */
    private Map<String, String> states = Map.of();

    Call(Loop loop, Limits limits, Delivery delivery, int endpoint, Caller caller, List<Cargo> cargo,
        long endsAt,
        List<String> reportFields) {
        this.loop = loop;
        this.limits = limits;
        this.delivery = delivery;
        this.endpoint = endpoint;
        this.reportFields = reportFields;
        this.caller = caller;
        this.cargo = cargo.toArray(Cargo[]::new);
        timers = new Loop.Timer[this.cargo.length];
        leaveTimers = new Loop.Timer[this.cargo.length];
        open = this.cargo.length;
        for (int i = 0; i < timers.length; i++) {
            Cargo one = this.cargo[i];
            // An envelope sent alone may come again only once this call is over: several end together, but
            // none after its expiry.
            timers[i] = loop.after(Math.min(endsAt, one.expiry()) - loop.now(),
                () -> giveUp(one, Egress.TIMEOUT));
            leaveTimers[i] = loop.after(one.leaveBy() - loop.now(), this::takeBackIfLate);
        }
    }

    public void cancel(Cargo one) {
        giveUp(one, Egress.CANCELLED);
    }

    boolean isOver() {
        return open == 0;
    }

    void begin(byte[] request) {
        begun = true;
        caller.ask(request, this);
    }

    List<Cargo> cargo() {
        return List.of(cargo);
    }

    /** Ends a call of which the endpoint can't have the whole. */
    void takeBack() {
        caller.drop();
        endAll(Egress.MOOT, 0, false);
    }

    /**
     * Guards against a connection slow to come up: a repeat that arrives when the first shot is forgotten has its effect
     * twice. Several go as one, so what is too late for one of them is not sent.
     */
    private boolean takeBackIfLate() {
        for (int i = 0; i < cargo.length; i++) {
            if (timers[i] != null && loop.now() >= cargo[i].leaveBy() && !caller.isSent()) {
                takeBack();
                return true;
            }
        }
        return false;
    }

    /** What went wrong while it was put together or sent: it ends like any other, and its envelopes are not kept for good. */
    void fault() {
        boolean left = caller.hasLeft();
        caller.drop();
        endAll(left ? Egress.BROKEN : Egress.MOOT, 0, false);
    }

    private void giveUp(Cargo one, int outcome) {
        // The answer may lie in the socket, written in time and not read yet.
        caller.look();
        if (isOver(one)) {
            return;
        }
        if (saidDelivered()) {
            caller.close(CloseReason.INCOMPLETE_ANSWER);
            return;
        }
        if (!begun || !caller.isSent() && (outcome == Egress.CANCELLED || loop.now() >= one.expiry())) {
            // Nothing of it has arrived whole: a once-only envelope is not in doubt for a connection slow to open.
            takeBack();
            return;
        }
        boolean last = open == 1;
        if (last) {
            // Closed before anybody hears: what follows may be the same envelope on another connection.
            caller.drop();
        }
        end(one, outcome, 0, false);
    }

    private boolean isOver(Cargo one) {
        for (int i = 0; i < cargo.length; i++) {
            if (cargo[i] == one) {
                return timers[i] == null;
            }
        }
        return true;
    }

    private void end(Cargo one, int outcome, long wait, boolean over) {
        for (int i = 0; i < cargo.length; i++) {
            if (cargo[i] == one && timers[i] != null) {
                timers[i].callOff();
                leaveTimers[i].callOff();
                timers[i] = null;
                open--;
                one.ended(outcome, wait, over, left, limit);
                if (open == 0) {
                    if (restWithin != null) {
                        restWithin.callOff();
                    }
                    delivery.over(this);
                    for (Cargo each : cargo) {
                        each.callOver();
                    }
                }
            }
        }
    }

    private void endAll(int outcome, long wait, boolean over) {
        for (Cargo one : cargo) {
            end(one, outcome, wait, over);
        }
    }

    @Override
    public boolean leaving() {
        if (takeBackIfLate()) {
            return false;
        }
        for (Cargo one : cargo) {
            one.leaving();
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
    public void part(Parser answer) {
        if (!answer.untouched()) {
            restWithin = restWithin == null
                ? loop.after(limits.answerRest(), () -> caller.close(CloseReason.INCOMPLETE_ANSWER))
                : restWithin;
        } else if (restWithin != null) {
            // What began was a 1xx answer: the one that counts may be long in coming.
            restWithin.callOff();
            restWithin = null;
        }
    }

    /**
     * An answer other than 200 ends its connection, so a copy that comes later is always one of a 200. That is told by the
     * ids it names, or by a body that no answer before it on this connection had.
     */
    @Override
    public Recognition recognise(Parser answer) {
        if (answer.status() != HTTP_OK) {
            return Recognition.OWN_AND_LAST;
        }
        if (!caller.isSent()) {
            return Recognition.UNCERTAIN;
        }
        byte[] body = answer.body();
        Recognition recognition = cargo.length == 1 ? recogniseOne(body) : recogniseSeveral(body);
        boolean mayComeAgain = caller.history().add(body);
        return recognition == Recognition.OWN && !mayComeAgain ? Recognition.OWN_AND_LAST : recognition;
    }

    private Recognition recogniseOne(byte[] body) {
        if (body.length == 0) {
            return caller.isFirst() ? Recognition.OWN_AND_LAST : Recognition.UNCERTAIN;
        }
        return caller.history().contains(body) ? Recognition.UNCERTAIN : Recognition.OWN;
    }

    private Recognition recogniseSeveral(byte[] body) {
        if (caller.history().contains(body)) {
            return Recognition.FOREIGN;
        }
        states = Answers.states(body);
        if (Arrays.stream(cargo).anyMatch(one -> states.containsKey(one.id()))) {
            // A message that is not over may go again, and a copy of this answer would name it.
            boolean allAreOver = Arrays.stream(cargo)
                .allMatch(one -> Answers.isOver(states.getOrDefault(one.id(), "")));
            return allAreOver ? Recognition.OWN : Recognition.OWN_AND_LAST;
        }
        if (caller.isFirst()) {
            return Recognition.OWN_AND_LAST;
        }
        return states.isEmpty() ? Recognition.UNCERTAIN : Recognition.FOREIGN;
    }

    @Override
    public void whole(Parser answer) {
        left = Answers.report(answer, reportFields, "x0");
        limit = Answers.report(answer, reportFields, "x1");
        long wait = Answers.wait(answer);
        if (cargo.length == 1 || answer.status() != HTTP_OK) {
            endAll(Answers.outcome(answer, caller.isFirst()), wait, Answers.isOver(answer.status()));
            return;
        }
        for (Cargo one : cargo) {
            String state = states.get(one.id());
            if (state != null) {
                end(one, Answers.outcomeOf(state), wait, Answers.isOver(state));
            }
        }
        // What a bulk answer doesn't name, or names in words unknown, may have run.
        endAll(Egress.BROKEN, wait, false);
    }

    /**
     * The first line of an answer to one message says that it was delivered; the body means nothing. Where the connection
     * has had an answer before, the body is what tells the two apart.
     */
    private boolean saidDelivered() {
        return cargo.length == 1 && caller.isFirst() && caller.isSent() && caller.answersWith() == HTTP_OK;
    }

    @Override
    public void failed(boolean sent, Parser answer) {
        if (saidDelivered()) {
            endAll(Egress.FULFILLED, 0, true);
        } else {
            endAll(!sent ? Egress.UNREACHED : caller.isKeptInVain() ? Egress.STALE : Egress.BROKEN, 0, false);
        }
    }
}
