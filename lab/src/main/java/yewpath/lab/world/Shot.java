package yewpath.lab.world;

import yewpath.lab.core.EventCalendar;

/** One call on its way, at its endpoint, or on its way back. */
public final class Shot {
    public final Envelope envelope;
    public final Station to;
    final Answerer from;
    final int local;
    final int number;
    final long sentAt;
    EventCalendar.Timer within;
    /** Whether its last byte has left the relay, and whether the endpoint has had it. */
    boolean left;
    boolean arrived;
    boolean inService;
    /** Whether its endpoint knows that it is over. */
    boolean known;
    boolean abandoned;
    private boolean coming;
    /** Whether the relay has its outcome. */
    boolean settled;

    public Shot(Envelope envelope, Station to, Answerer from, int local, int number, long sentAt) {
        this.envelope = envelope;
        this.to = to;
        this.from = from;
        this.local = local;
        this.number = number;
        this.sentAt = sentAt;
    }

    /** On its way: the room that it will take is not free, though its endpoint knows nothing of it yet. */
    void sets() {
        coming = true;
        to.coming++;
        to.place.coming++;
    }

    void lands() {
        if (coming) {
            coming = false;
            to.coming--;
            to.place.coming--;
        }
    }

    /** The endpoint's word, not yet at the relay. */
    void answered(int outcome, long pause) {
        from.answerLeaves(this, outcome, pause);
    }
}
