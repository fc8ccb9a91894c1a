package yewpath.http;

/**
 * Tells to which request a response belongs. HTTP/1.1 matches responses to requests by their order alone, so
 * a delayed duplicate of an earlier response looks like the response to the current request.
 */
public enum ResponseMatch {
    /** The response belongs to the current request; the connection may serve further requests. */
    CURRENT,
    /**
     * The response belongs to the current request; the connection is closed, because a duplicate of this
     * response could not be distinguished from the response to a later request.
     */
    CURRENT_THEN_CLOSE,
    /** The response belongs to an earlier request; the current request still waits for its own response. */
    EARLIER_REQUEST,
    /** The response cannot be matched to a request. */
    UNCERTAIN
}
