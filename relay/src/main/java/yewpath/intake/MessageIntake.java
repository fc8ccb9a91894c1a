package yewpath.intake;

/** Receives the messages of client requests and provides what the other requests return. */
public interface MessageIntake {
    /** Sends the response to one request once the relay has decided about its message. */
    interface Reply {
        /**
         * Sends the response.
         *
         * @param status the HTTP status
         * @param retryAfterMicros value of the header Retry-After in microseconds; 0 omits the header
         * @return false if the client has closed the connection
         */
        boolean send(int status, long retryAfterMicros);

        /** Whether the client has closed the connection, or at least its sending direction. */
        boolean isClientGone();
    }

    /** Whether the relay is shutting down; connections are then closed after their current response. */
    boolean isClosing();

    /** Whether the relay accepts messages. */
    boolean isReady();

    /** Whether the configuration contains this message class. */
    boolean isKnownClass(String messageClass);

    /** Returns the statistics for monitoring, as one line of JSON. */
    byte[] statistics();

    /**
     * Submits a message. The decision may come after this call returns.
     *
     * @param submission the message; one with the id and the content of an accepted message is the same message
     * @param timeoutMicros time until the message expires
     * @param reply sends the response when the relay has accepted or refused the message
     */
    void submit(Submission submission, long timeoutMicros, Reply reply);
}
