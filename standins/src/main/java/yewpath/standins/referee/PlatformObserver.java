package yewpath.standins.referee;

/** Hears what the platform hears and tells. Times are microseconds on the reactor's clock. */
public interface PlatformObserver {
    /** The list has been told; {@code open} says whether this endpoint may be sent to. */
    void endpointListed(String endpoint, boolean open, long at);

    /** {@code pause} is when the client may come again, 0 where nothing is told. */
    void noticeReceived(String id, boolean handedBack, long pause, long at);
}
