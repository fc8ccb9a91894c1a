package yewpath.boot;

/**
 * Thrown if a setting or a message of the simulator protocol is malformed or invalid. The message is shown
 * to the operator unchanged.
 */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message, null, false, false);
    }
}
