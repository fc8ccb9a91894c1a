package yewpath.intake;

/** What clients' requests are handed to. */
public interface MessageIntake {
    /** What is left to do once it is decided how an envelope is received. */
    interface Reply {
        /** {@code pause} in microseconds, 0 for none told. Returns false where the client has left. */
        boolean with(int status, long pause);

        boolean clientLeft();
    }

    boolean isClosing();

    /** Whether envelopes can be taken on. */
    boolean isReady();

    boolean knows(String offering);

    /** One line of figures for whoever watches over the relay. */
    byte[] figures();

    void handIn(String id, String offering, String tenant, String key, String tag, String destination,
        long within,
        byte[] body, Reply reply);
}
