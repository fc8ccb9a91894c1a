package yewpath.http;

/** Thrown for a malformed or oversized HTTP message. */
public final class HttpParseException extends Exception {
    private static final long serialVersionUID = 1L;
    /** The status code of the response to send if the message is a request. */
    public final int status;

    /**
     * Creates an exception without a stack trace; {@code message} says what is wrong with the HTTP message.
     */
    public HttpParseException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
