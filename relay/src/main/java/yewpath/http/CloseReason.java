package yewpath.http;

/** Why a connection was closed, by this side or by the peer. */
public enum CloseReason {
    CONNECT_FAILED("connect failed"),
    CONNECT_TIMED_OUT("connect timed out"),
    RESET_BY_PEER("reset by the peer"),
    CLOSED_BY_PEER("ended by the peer"),
    MALFORMED_RESPONSE("unreadable answer"),
    /** Bytes arrived while no request was outstanding. */
    UNSOLICITED_BYTES("bytes without a request"),
    /** The response may belong to the current request or to an earlier one. */
    AMBIGUOUS_RESPONSE("answer that may be of an earlier request"),
    /** The response was complete, and the connection cannot or must not serve another request. */
    NOT_REUSABLE("not kept after its answer"),
    /** The response began and was not complete in time. */
    INCOMPLETE_RESPONSE("answer not whole in time"),
    RESPONSE_TIMED_OUT("no answer in time"),
    /** The caller needs no response any more. */
    CALL_FINISHED("call over"),
    IDLE("idle"),
    /** The check before reuse found the connection closed by the peer, or found bytes on it. */
    STALE_BEFORE_REUSE("not quiet before use"),
    /** The number of connections was at its limit and a new one needed room. */
    EVICTED("room for another"),
    /** The endpoint has moved to another address, or may not be called any more. */
    ADDRESS_NOT_IN_USE("address not in use"),
    /** The server was moved to another address; the connection to the new address replaces this one. */
    REPLACED("replaced by a new one"),
    /** The discovery server sent nothing in time. */
    SILENT("silent"),
    /** The discovery server sends a list so slowly that it may never be complete. */
    SLOW("too slow"),
    MALFORMED_LIST("unreadable list"),
    /** The client's request was refused, and the client had time to read the response that says so. */
    REFUSED("refused, and told so"),
    /** The client did not read the response in time. */
    RESPONSE_NOT_READ("answer not read in time"),
    SHUTDOWN("shutdown");

    private final String logText;

    CloseReason(String logText) {
        this.logText = logText;
    }

    /** Returns the text of this reason in log events. */
    @Override
    public String toString() {
        return logText;
    }
}
