package yewpath;

/**
 * What {@link DeliveryPolicy} may ask of the relay around it; every index is one the caller handed in before.
 */
public interface PolicyActions {
    /** How a shot ended, as {@link DeliveryPolicy#attemptEnded} is told it. */
    int DELIVERED = 0;
    int ERROR = 1;
    int OVERLOADED = 2;
    int TIMEOUT = 3;
    int UNREACHABLE = 4;
    int CONNECTION_LOST = 5;
    int CANCELLED = 6;
    int NOT_EXECUTED = 7;
    /** As CONNECTION_LOST, without a byte of an answer, on a connection kept from an earlier call. */
    int STALE_CONNECTION = 8;

    /**
     * {@code withinMicros} of 0 leaves the shot out until the envelope's expiry. What has not left whole when
     * the clock says {@code leaveBy} is not sent any more, and told as NOT_EXECUTED: its time, or that in
     * which a repeat is known, is over.
     */
    void send(int envelope, int endpoint, long withinMicros, long leaveBy);

    void reject(int envelope, long pauseMicros);

    void fail(int envelope);

    void cancelAttempt(int envelope, int shot);

    /** Closes the connections that lie idle to an endpoint. */
    void closeIdleConnections(int endpoint);

    /** Nothing is asked of this endpoint any more, so its index may be another's. */
    void releaseEndpoint(int endpoint);

    /** From now on this endpoint is taken to be sick, or well again; to be told of, nothing is to be done. */
    default void endpointHealthChanged(int endpoint, boolean well) {}

    /** Calls {@link DeliveryPolicy#alarmFired} once, at the first turn at least {@code inMicros} from now. */
    void setAlarm(long inMicros);

    /** {@code follow} asks for changes from now on, otherwise for the whole list once. */
    void requestEndpointList(boolean follow);
}
