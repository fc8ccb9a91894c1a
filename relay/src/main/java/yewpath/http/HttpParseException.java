package yewpath.http;

/** A message that cannot be read; where it is a request, the status to answer it with. */
public final class HttpParseException extends Exception {
    private static final long serialVersionUID = 1L;
    public final int status;

    public HttpParseException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
