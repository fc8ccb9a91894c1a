package yewpath;

/**
 * What a relay knows of an outage of one endpoint. {@link DeliveryPolicy} reports each change; a relay that keeps
 * the latest state across restarts passes it on to the policy of its next process.
 *
 * @param phase how far the outage is known
 * @param symptom the first failure, or why there is no outage
 * @param sinceMicros when the phase began or, while the endpoint is suspected or unhealthy, when the latest failure
 *     was reported
 */
public record OutageState(Phase phase, Symptom symptom, long sinceMicros) {
    /** A failure that is longer ago says nothing of the endpoint's present state. */
    private static final long RETENTION_MICROS = 300_000_000;

    /** Returns whether the state is too old to be used by a new process. */
    public boolean isExpired(long nowMicros) {
        return nowMicros - sinceMicros > RETENTION_MICROS;
    }

    /** How far an outage is known. */
    public enum Phase {
        /** No failure since the last delivery, or one that was no outage. */
        NONE,
        /** A call has failed; the next delivery may show that nothing was out. */
        SUSPECTED,
        /** The endpoint receives only probes. */
        UNHEALTHY,
        /** The endpoint has returned and warms up. */
        RECOVERING
    }

    /** What shows an outage, or that there was none. */
    public enum Symptom {
        CONNECT_REFUSED(false),
        CONNECT_TIMED_OUT(false),
        CONNECTION_LIMIT(false),
        RESET(true),
        ERROR(true),
        TIMEOUT(true),
        /** Calls have been without an answer for too long. */
        SILENCE(true),
        /** A refusal asked for a long wait. */
        SHUT(false),
        /** Another endpoint of the destination refused a connect, and this one has not been called since. */
        OTHER_REFUSED(false),
        /** The endpoint was listed while all others of its destination were unhealthy. */
        LISTED_DURING_OUTAGE(false),
        /** A call from before the failure was answered in its usual time. */
        ANSWERED_EARLIER_CALL(true),
        /** Too little time lies between the deliveries before and after the failure. */
        ANSWERED_IN_BETWEEN(true),
        /** The repeat that followed at once was answered. */
        ANSWERED_AT_ONCE(true);

        /** Whether the message of the call may have been executed. */
        final boolean mayHaveExecuted;

        Symptom(boolean mayHaveExecuted) {
            this.mayHaveExecuted = mayHaveExecuted;
        }
    }
}
