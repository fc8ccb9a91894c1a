package yewpath.http;

/** Why this side closed a connection, or found it closed. */
public enum CloseReason {
    CONNECT_FAILED("connect failed"),
    CONNECT_TIMED_OUT("connect timed out"),
    RESET_BY_PEER(
        "reset by the peer"),
    CLOSED_BY_PEER("ended by the peer"),
    MALFORMED_RESPONSE(
        "unreadable answer"),
    UNSOLICITED_BYTES("bytes without a request"),
    AMBIGUOUS_RESPONSE(
        "answer that may be of an earlier request"),
    NOT_REUSABLE(
        "not kept after its answer"),
    INCOMPLETE_RESPONSE("answer not whole in time"),
    RESPONSE_TIMED_OUT(
        "no answer in time"),
    CALL_FINISHED("call over"),
    IDLE("idle"),
    STALE_BEFORE_REUSE(
        "not quiet before use"),
    EVICTED("room for another"),
    ADDRESS_NOT_IN_USE(
        "address not in use"),
    REPLACED("replaced by a new one"),
    SILENT(
        "silent"),
    MALFORMED_LIST("unreadable list"),
    REFUSED("refused, and told so"),
    RESPONSE_NOT_READ("answer not read in time"),
    SHUTDOWN("shutdown");

    private final String text;

    CloseReason(String text) {
        this.text = text;
    }

    /** As the log says it. */
    @Override
    public String toString() {
        return text;
    }
}
