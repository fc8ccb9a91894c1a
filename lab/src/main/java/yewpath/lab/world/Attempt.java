package yewpath.lab.world;

import yewpath.lab.core.EventCalendar;

/** One attempt to deliver a message: a call from its start at the relay until the relay has the outcome. */
public final class Attempt {
    public final Message message;
    public final EmulatedEndpoint endpoint;
    final ResponseListener sender;
    /** The message's index within its relay. */
    final int localIndex;
    final int number;
    final long startedAtMicros;
    EventCalendar.Timer timeout;
    /** Whether the relay has sent the last byte of the request. */
    boolean sent;
    /** Whether the endpoint has received the request. */
    boolean arrived;
    boolean inService;
    /** Whether the endpoint knows that the call has ended. */
    boolean endedAtEndpoint;
    /** Whether the relay closed the connection before it had a response. */
    boolean abandoned;
    private boolean inTransit;
    /** Whether the relay has the outcome. */
    boolean settled;

    public Attempt(Message message, EmulatedEndpoint endpoint, ResponseListener sender, int localIndex,
        int number, long startedAtMicros) {
        this.message = message;
        this.endpoint = endpoint;
        this.sender = sender;
        this.localIndex = localIndex;
        this.number = number;
        this.startedAtMicros = startedAtMicros;
    }

    /**
     * Counts the call as in transit: the capacity that it will use is not free, although it has not arrived
     * yet.
     */
    void beginTransit() {
        inTransit = true;
        endpoint.callsInTransit++;
        endpoint.destination.callsInTransit++;
    }

    /** The call has arrived or will never arrive. */
    void endTransit() {
        if (inTransit) {
            inTransit = false;
            endpoint.callsInTransit--;
            endpoint.destination.callsInTransit--;
        }
    }

    /** The endpoint sends its response; the relay receives it later. */
    void respond(int outcome, long retryAfterMicros) {
        sender.responseSent(this, outcome, retryAfterMicros);
    }
}
