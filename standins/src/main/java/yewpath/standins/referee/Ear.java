package yewpath.standins.referee;

/** Hears what the platform hears and tells. Times are microseconds on the reactor's clock. */
public interface Ear {
    /** The list has been told; {@code open} says whether this endpoint may be sent to. */
    void listed(String endpoint, boolean open, long at);

    /** {@code pause} is when the client may come again, 0 where nothing is told. */
    void notice(String id, boolean handedBack, long pause, long at);
}
