package yewpath.boot;

/** Input that breaks the wire's page; the message goes to the operator as it is. */
public final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public Malformed(String message) {
        super(message, null, false, false);
    }
}
