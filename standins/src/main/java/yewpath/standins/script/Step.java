package yewpath.standins.script;

/** What is done with one call, or with the endpoint itself. Times are microseconds. */
public record Step(Action act, int status, long after, long pause) {
    /** Those from REFUSE on are states of the endpoint, the others answers to a call. */
    public enum Action {
        /** Runs it and answers with {@code status} {@code after} so long; {@code pause} as Retry-After. Only 2xx and 5xx but 503 run. */
        ANSWER,
        /** Runs it and never answers. */
        SILENT,
        /** Resets the connection at the call's first byte: it does not run. */
        RESET_FIRST,
        /** Takes some of it and reads no more, then resets {@code after} so long: a large one never arrives whole. */
        RESET_MIDWAY,
        /** Runs it and resets the connection instead of an answer. */
        RESET_LAST,
        /** Runs it and answers with what is no HTTP. */
        GARBLE,
        /** Connections are refused, and open ones reset. */
        REFUSE,
        /** The list has it as draining. */
        DRAIN,
        /** The list has it no more. */
        GONE,
        /** The list has another id for it, at a new port; the old port is shut. */
        REPLACED;

        boolean isState() {
            return compareTo(REFUSE) >= 0;
        }
    }

    static final Step OK = new Step(Action.ANSWER, 200, 0, 0);

    /** Whether the call takes effect. */
    public boolean takesEffect() {
        return switch (act) {
            case ANSWER -> status / 100 == 2 || status / 100 == 5 && status != 503 && status != 504;
            case SILENT, RESET_LAST, GARBLE -> true;
            default -> false;
        };
    }
}
