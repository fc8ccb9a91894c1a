package yewpath.intake;

/** What clients' requests are handed to. */
public interface MessageIntake {
    /** What is left to do once it is decided how an envelope is received. */
    interface Reply {
        /** {@code pause} in microseconds, 0 for none told. Returns false where the client has left. */
        boolean send(int status, long pause);

        boolean isClientGone();
    }

    boolean isClosing();

    /** Whether envelopes can be taken on. */
    boolean isReady();

    boolean isKnownClass(String offering);

    /** One line of figures for whoever watches over the relay. */
    byte[] statistics();

    void submit(String id, String offering, String tenant, String key, String tag, String destination,
        long within,
        byte[] body, Reply reply);
}
