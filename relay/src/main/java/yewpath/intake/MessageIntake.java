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
     * @param id the client's id of the message; a message with the id of an open one is the same message
     * @param messageClass a known message class
     * @param tenant the tenant; null if there is none
     * @param affinityKey the value of the header Affinity-Key; null if there is none
     * @param idempotencyKey the value of the header Idempotency-Key; null if there is none
     * @param destination the number of the destination
     * @param timeoutMicros time until the message expires
     * @param body the content of the message
     * @param reply sends the response when the relay has accepted or refused the message
     */
    void submit(String id, String messageClass, String tenant, String affinityKey, String idempotencyKey,
        String destination, long timeoutMicros,
        byte[] body, Reply reply);
}
