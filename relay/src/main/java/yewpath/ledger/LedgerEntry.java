package yewpath.ledger;

/** What the ledger knows of one envelope, from its taking on until nothing more is owed. */
public final class LedgerEntry {
    public final long number;
    public final String id;
    public final String messageClass;
    public final String tenant;
    public final String key;
    /** By which an endpoint knows a tagged envelope again, as its client gave it; null where none was given. */
    public final String idempotencyKey;
    public final String destination;
    public long deadlineMicros;
    /** What it takes of the ledger's room, with what is set aside for its attempts and its end. */
    int room;
    /** Dropped once only a notice is owed. */
    public byte[] body;
    public int attempts;
    /** When the first shot that may have run went out, and in which zone; -1 while none can have. */
    public long uncertainSinceMicros = -1;
    public String uncertainZone = "";
    /** When the shot now out went; -1 while none is. */
    public long attemptStartedMicros = -1;
    public String attemptZone = "";
    public boolean noticeOwed;
    /** Whether the notice hands the envelope back, and for how long the client is to stay away. */
    public boolean rejected;
    public long retryAfterMicros;

    /** Creates an entry with no attempt made and no notice owed. */
    public LedgerEntry(long number, String id, String messageClass, String tenant, String key,
        String idempotencyKey,
        String destination,
        long deadlineMicros, byte[] body) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.key = key;
        this.idempotencyKey = idempotencyKey;
        this.destination = destination;
        this.deadlineMicros = deadlineMicros;
        this.body = body;
    }

    /** Takes its times over from the process that wrote them. */
    void shiftTimes(long micros) {
        deadlineMicros += micros;
        uncertainSinceMicros += uncertainSinceMicros >= 0 ? micros : 0;
        attemptStartedMicros += attemptStartedMicros >= 0 ? micros : 0;
    }

    void outIsDoubt() {
        if (attemptStartedMicros >= 0 && uncertainSinceMicros < 0) {
            uncertainSinceMicros = attemptStartedMicros;
            uncertainZone = attemptZone;
        }
        attemptStartedMicros = -1;
    }
}
