package yewpath.lab.policy;

/**
 * The events that a relay reports to its policy. Methods, indices, units and constants are those of
 * {@link yewpath.DeliveryPolicy}; the policy answers through {@link yewpath.PolicyActions}.
 */
public interface Policy {
    /** Sets the time of the events that follow. */
    void setTime(long nowMicros);

    void messageAccepted(int index, int messageClass, int tenant, int key, int destination,
        long expiresAtMicros, int attempts, long uncertainSinceMicros, int uncertainZone);

    void messageWithdrawn(int index);

    void attemptEnded(int index, boolean finished, int attempt, int endpoint, int outcome,
        long retryAfterMicros, long elapsedMicros, double remainingShare, double reportedLimit);

    void endpointListStarted(boolean complete, boolean cached);

    void endpointListed(int endpoint, int zone, int kind, int destination, int phase, double callsPerSecond,
        long sinceMicros);

    void endpointListEnded();

    /** The alarm that the policy set is due. */
    void alarmFired();

    /** Ends a round of events: the policy now decides what to send. */
    void completeRound();
}
