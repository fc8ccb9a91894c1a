package yewpath.http;

/** Why this side closed a connection, or found it closed. */
public enum CloseReason {
    CONNECT_FAILED("connect failed"),
    CONNECT_TIMED_OUT("connect timed out"),
    RESET(
        "reset by the peer"),
    ENDED("ended by the peer"),
    UNREADABLE_ANSWER(
        "unreadable answer"),
    UNASKED_BYTES("bytes without a request"),
    UNMATCHED_ANSWER(
        "answer that may be of an earlier request"),
    NOT_KEPT(
        "not kept after its answer"),
    INCOMPLETE_ANSWER("answer not whole in time"),
    NO_ANSWER(
        "no answer in time"),
    CALL_OVER("call over"),
    IDLE("idle"),
    NOT_QUIET(
        "not quiet before use"),
    MAKE_ROOM("room for another"),
    MOVED(
        "address not in use"),
    REPLACED("replaced by a new one"),
    SILENT(
        "silent"),
    UNREADABLE_LIST("unreadable list"),
    REFUSED("refused, and told so"),
    ANSWER_NOT_READ("answer not read in time"),
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
