package yewpath.standins.referee;

/**
 * Is told what the platform publishes and receives. Times are microseconds on the reactor's clock.
 */
public interface PlatformObserver {
    /**
     * The discovery list has been published.
     *
     * @param endpoint id of one endpoint in the list
     * @param accepting whether new calls may be sent to this endpoint
     */
    void endpointListed(String endpoint, boolean accepting, long atMicros);

    /**
     * A notice of a message's outcome has arrived.
     *
     * @param id the message
     * @param rejected true if the relay rejected the message, false if delivery failed
     * @param waitMicros after which time the client may submit again, 0 if the notice does not say it
     */
    void noticeReceived(String id, boolean rejected, long waitMicros, long atMicros);
}
