package yewpath.boot;

/** Input that breaks the wire's page; the message goes to the operator as it is. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message, null, false, false);
    }
}
