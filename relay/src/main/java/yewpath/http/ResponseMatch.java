package yewpath.http;

/**
 * Whose an answer is. HTTP/1.1 relates answers to requests by their order alone, so a copy of an earlier answer that
 * comes late looks like the answer of the request that is out.
 */
public enum ResponseMatch {
    /** Of the request that is out; the connection serves further requests. */
    CURRENT,
    /** Of the request that is out; the connection is closed, since a copy of it could not be told from another answer. */
    CURRENT_THEN_CLOSE,
    /** Of an earlier request: the one that is out still waits for its own. */
    EARLIER_REQUEST,
    /** It cannot be told. */
    UNCERTAIN
}
