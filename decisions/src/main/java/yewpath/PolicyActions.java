package yewpath;

/**
 * The actions that {@link DeliveryPolicy} asks of the relay around it, and the outcomes of attempts that the
 * relay reports. All indices are those that the relay has given to messages and endpoints.
 */
public interface PolicyActions {
    /**
     * Outcome of an attempt, see {@link DeliveryPolicy#attemptEnded}: the endpoint has confirmed the
     * delivery.
     */
    int DELIVERED = 0;
    /** The endpoint answered with an error; the message may have taken effect. */
    int ERROR = 1;
    /** The endpoint refused the call since it is at its limit or busy; the message was not executed. */
    int OVERLOADED = 2;
    /** No answer came in time; the message may have taken effect. */
    int TIMEOUT = 3;
    /** No connection to the endpoint could be opened; the message was not executed. */
    int UNREACHABLE = 4;
    /** The connection ended before the answer was complete; the message may have taken effect. */
    int CONNECTION_LOST = 5;
    /** The attempt was cancelled; the message may have taken effect. */
    int CANCELLED = 6;
    /** The message was not sent, or not executed for a reason that says nothing of the endpoint's health. */
    int NOT_EXECUTED = 7;
    /**
     * As {@link #CONNECTION_LOST}, without a byte of an answer, on a connection kept from an earlier call.
     */
    int STALE_CONNECTION = 8;
    /**
     * The endpoint has answered that it has too many connections; the message was not executed. Reported where
     * {@link PolicySettings#reportsConnectionLimit} is set, otherwise such a call is {@link #UNREACHABLE}.
     */
    int CONNECTION_LIMIT = 9;

    /** Returns whether an outcome proves that the message was not executed. */
    static boolean isNotExecuted(int outcome) {
        return outcome == OVERLOADED || outcome == UNREACHABLE || outcome == NOT_EXECUTED
            || outcome == CONNECTION_LIMIT;
    }

    /**
     * Sends a message to an endpoint. Messages that are sent to one endpoint in one round may share a call,
     * up to the batch size of the endpoint's kind.
     *
     * @param timeoutMicros how long to wait for the answer; 0 to wait until the message expires
     * @param sendByMicros a message that is not sent completely at this time is not sent any more and its
     *     outcome is {@link #NOT_EXECUTED}: its time to live, or the time in which the endpoint recognizes a
     *     repeat, is over
     */
    void send(int message, int endpoint, long timeoutMicros, long sendByMicros);

    /**
     * Ends a message that took no effect, or whose repeat does no harm: the client may submit it again.
     *
     * @param retryAfterMicros how long the client should wait before that, or 0
     */
    void reject(int message, long retryAfterMicros);

    /** Ends a message whose outcome is unknown and whose repeat might take effect a second time. */
    void fail(int message);

    /**
     * Cancels an attempt in flight; its end is reported like any other.
     *
     * @param attempt the number of the attempt, from 0
     */
    void cancelAttempt(int message, int attempt);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(int endpoint);

    /**
     * Releases an endpoint: the policy does not use it any more, and its index may be given to another one.
     */
    void releaseEndpoint(int endpoint);

    /**
     * Reports that the policy regards an endpoint as unhealthy, or as healthy again; the relay need not act
     * on it.
     */
    default void endpointHealthChanged(int endpoint, boolean healthy) {}

    /**
     * Reports what the policy knows of an outage of an endpoint. A relay that keeps its messages across restarts
     * keeps this too, see {@link DeliveryPolicy#restoreOutage}.
     */
    default void outageChanged(int endpoint, OutageState state) {}

    /**
     * Asks for one call of {@link DeliveryPolicy#alarmFired}, in the first round at least this long from now.
     */
    void setAlarm(long delayMicros);

    /**
     * Requests the list of endpoints.
     *
     * @param subscribe true to get changes from now on, false to get the complete list once
     */
    void requestEndpointList(boolean subscribe);
}
