package yewpath.standins.script;

/**
 * What an endpoint does with one call.
 *
 * @param action what is done
 * @param status HTTP status of the answer for {@link Action#ANSWER}, else 0
 * @param delayMicros time until the answer or reset
 * @param waitMicros value of the Retry-After header of the answer, 0 for no header
 */
public record Step(Action action, int status, long delayMicros, long waitMicros) {
    /**
     * The actions of a script. Up to GARBLE they are reactions to a call; from REFUSE on they are states of
     * the endpoint. The names of the constants are words of the script, with an underscore in place of a
     * space.
     */
    public enum Action {
        /**
         * Answers with a status. Statuses 2xx, and 5xx except 503 and 504, mean that the call is executed.
         */
        ANSWER,
        /** Executes the call and never answers. */
        SILENT,
        /** Resets the connection at the first byte of the call, without executing it. */
        RESET_FIRST,
        /**
         * Stops reading at the first byte of the call and resets the connection after the delay, without
         * executing the call. A large call never arrives completely.
         */
        RESET_MIDWAY,
        /** Executes the call and resets the connection instead of answering. */
        RESET_LAST,
        /** Executes the call and answers with bytes that are not HTTP. */
        GARBLE,
        /** Refuses new connections and resets open ones. */
        REFUSE,
        /** The discovery list shows the endpoint as draining. */
        DRAIN,
        /** The discovery list no longer contains the endpoint. */
        GONE,
        /** The discovery list shows the endpoint under another id and a new port; the old port is closed. */
        REPLACED;

        boolean isState() {
            return compareTo(REFUSE) >= 0;
        }
    }

    static final Step DEFAULT = new Step(Action.ANSWER, 200, 0, 0);

    /** Returns whether the endpoint executes the call. */
    public boolean takesEffect() {
        return switch (action) {
            case ANSWER -> status / 100 == 2 || status / 100 == 5 && status != 503 && status != 504;
            case SILENT, RESET_LAST, GARBLE -> true;
            default -> false;
        };
    }
}
