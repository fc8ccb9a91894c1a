package yewpath.ledger;

/**
 * The state of one accepted message, from its acceptance until it is delivered or its notice is acknowledged.
 * Times are Unix microseconds by the clock of this process.
 */
public final class LedgerEntry {
    /** Identifies the entry in the records of the file; unique within one ledger. */
    public final long number;
    /** The request id that the client gave the message. */
    public final String id;
    public final String messageClass;
    /** Null where the client named no tenant. */
    public final String tenant;
    /** The ordering and affinity key; null where the client gave none. */
    public final String key;
    /**
     * The client's key by which an endpoint recognises a repeated message; null where the client gave none.
     */
    public final String idempotencyKey;
    public final String destination;
    /** No attempt is made after this time. */
    public long deadlineMicros;
    /** Counted against the size limit of live entries; includes a reserve for the entry's later records. */
    int reservedBytes;
    /** Empty once only the notice is still owed. */
    public byte[] body;
    /** The number of attempts started so far. */
    public int attempts;
    /** When the first attempt that the endpoint may have processed was sent; -1 if there was none. */
    public long uncertainSinceMicros = -1;
    /** The zone of the endpoint of that attempt; empty if there was none. */
    public String uncertainZone = "";
    /** When the attempt in progress was sent; -1 if no attempt is in progress. */
    public long attemptStartedMicros = -1;
    /** The zone of the endpoint of the latest attempt; empty if there was none. */
    public String attemptZone = "";
    /**
     * Whether the message ended without delivery and the platform has not acknowledged the notice of that.
     */
    public boolean noticeOwed;
    /**
     * Whether the notice reports a rejection, after which the client may submit the message again, or a
     * failure.
     */
    public boolean rejected;
    /**
     * How long the client should wait before it submits a rejected message again, in microseconds; 0 if not
     * given.
     */
    public long retryAfterMicros;
    /** When the message was delivered or ended without delivery; -1 while it is open, or if unknown. */
    long finishedMicros = -1;
    /** See {@link ContentFingerprint}; it outlives the body. */
    public int contentFingerprint;

    /** Creates an entry with no attempt made and no notice owed. */
    public LedgerEntry(long number, String id, String messageClass, String tenant, String key,
        String idempotencyKey, String destination, long deadlineMicros, byte[] body) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.key = key;
        this.idempotencyKey = idempotencyKey;
        this.destination = destination;
        this.deadlineMicros = deadlineMicros;
        this.body = body;
        contentFingerprint = ContentFingerprint.of(messageClass, destination, key, idempotencyKey, body);
    }

    /** Converts the times of an entry that another process wrote by adding the difference of the clocks. */
    void shiftTimes(long offsetMicros) {
        deadlineMicros += offsetMicros;
        uncertainSinceMicros += uncertainSinceMicros >= 0 ? offsetMicros : 0;
        attemptStartedMicros += attemptStartedMicros >= 0 ? offsetMicros : 0;
        finishedMicros += finishedMicros >= 0 ? offsetMicros : 0;
    }

    /** Ends the attempt in progress, if there is one, as one that the endpoint may have processed. */
    void endAttemptAsUncertain() {
        if (attemptStartedMicros >= 0 && uncertainSinceMicros < 0) {
            uncertainSinceMicros = attemptStartedMicros;
            uncertainZone = attemptZone;
        }
        attemptStartedMicros = -1;
    }
}
