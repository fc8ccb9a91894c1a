package yewpath.ledger;

/** What the ledger knows of one envelope, from its taking on until nothing more is owed. */
public final class Entry {
    public final long number;
    public final String id;
    public final String offering;
    public final String tenant;
    public final String key;
    /** By which an endpoint knows a tagged envelope again, as its client gave it; null where none was given. */
    public final String tag;
    public final String destination;
    public long expiry;
    /** What it takes of the ledger's room, with what is set aside for its shots and its end. */
    int room;
    /** Dropped once only a notice is owed. */
    public byte[] body;
    public int shots;
    /** When the first shot that may have run went out, and in which zone; -1 while none can have. */
    public long doubtSince = -1;
    public String doubtZone = "";
    /** When the shot now out went; -1 while none is. */
    public long outSince = -1;
    public String outZone = "";
    public boolean noticeOwed;
    /** Whether the notice hands the envelope back, and for how long the client is to stay away. */
    public boolean handedBack;
    public long pause;

    /** Creates an entry with no attempt made and no notice owed. */
    public Entry(long number, String id, String offering, String tenant, String key, String tag,
        String destination,
        long expiry, byte[] body) {
        this.number = number;
        this.id = id;
        this.offering = offering;
        this.tenant = tenant;
        this.key = key;
        this.tag = tag;
        this.destination = destination;
        this.expiry = expiry;
        this.body = body;
    }

    /** Takes its times over from the process that wrote them. */
    void shiftTimes(long micros) {
        expiry += micros;
        doubtSince += doubtSince >= 0 ? micros : 0;
        outSince += outSince >= 0 ? micros : 0;
    }

    void outIsDoubt() {
        if (outSince >= 0 && doubtSince < 0) {
            doubtSince = outSince;
            doubtZone = outZone;
        }
        outSince = -1;
    }
}
