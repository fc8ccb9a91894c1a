package yewpath.wirehost;

/** Input that breaks the wire's page; the message goes to the operator as it is. */
final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Malformed(String message) {
        super(message, null, false, false);
    }
}
