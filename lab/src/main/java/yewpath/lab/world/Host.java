package yewpath.lab.world;

/** A relay as the rest of the world sees it: emulated, or a process behind sockets. */
public interface Host {
    boolean isUp();

    /** A client hands an envelope in; what becomes of it is told to the world's {@link Crowd}. */
    void handIn(Envelope e);

    /** The list has changed for this endpoint, and the relay hears of it now. */
    void listed(Station one);

    int open();

    int callsOut();

    /** Dies at once, and leaves its ledger behind or not. */
    void dies(boolean withLedger);

    void returns();

    /** Nanoseconds spent on deciding; 0 where nobody can tell. */
    long decideNanos();
}
