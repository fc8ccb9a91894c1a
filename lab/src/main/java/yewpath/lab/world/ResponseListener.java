package yewpath.lab.world;

/** Receives the responses that an endpoint sends to calls: the relay that made these calls. */
public interface ResponseListener {
    /**
     * The endpoint sends its response to a call.
     *
     * @param outcome one of the outcome constants of {@link yewpath.PolicyActions}
     * @param retryAfterMicros the wait that the response asks for, 0 for none
     */
    void responseSent(Attempt attempt, int outcome, long retryAfterMicros);

    /** Index of the relay that must obey a wait which a response asks for. */
    int index();
}
