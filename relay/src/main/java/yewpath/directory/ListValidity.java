package yewpath.directory;

import yewpath.loop.EventLoop;

/**
 * Tells whether the list of endpoints may be used. It may not before discovery has answered this process: the
 * list of the configuration is as old as the file. After an interruption, which leaves it unknown whether
 * discovery has a change that did not arrive, it may be used for a limited time. Guards against attempts to
 * endpoints that were drained or removed, or whose address another destination got.
 */
public final class ListValidity {
    /** Discovery takes a change to be known this long after its address was changed. */
    private static final long USABLE_AFTER_INTERRUPTION_MICROS = 4_000_000;

    private final EventLoop loop;
    private final Runnable onInvalid;
    private long validUntilMicros = Long.MIN_VALUE;
    private long interruptionCount;

    /**
     * Creates the validity of a list that discovery has not confirmed.
     *
     * @param onInvalid called when a list that was valid has become invalid
     */
    public ListValidity(EventLoop loop, Runnable onInvalid) {
        this.loop = loop;
        this.onInvalid = onInvalid;
    }

    /** Returns whether the list may be used. */
    public boolean isValid() {
        return loop.nowMicros() < validUntilMicros;
    }

    /** Returns the number of interruptions; a request keeps it to report its answer. */
    long interruptionCount() {
        return interruptionCount;
    }

    /**
     * Discovery has answered with a list, or with an empty line for a list without changes, and the list in
     * use contains it. An answer to a request from before the last interruption changes nothing.
     *
     * @param interruptionCountOfRequest the number of interruptions when the request was sent
     */
    void confirmed(long interruptionCountOfRequest) {
        if (interruptionCountOfRequest == interruptionCount) {
            validUntilMicros = Long.MAX_VALUE;
        }
    }

    /** The watch has moved to another address, or the peer has closed it. */
    void interrupted() {
        interruptionCount++;
        if (validUntilMicros == Long.MAX_VALUE) {
            validUntilMicros = loop.nowMicros() + USABLE_AFTER_INTERRUPTION_MICROS;
            loop.schedule(USABLE_AFTER_INTERRUPTION_MICROS, this::reportIfInvalid);
        }
    }

    private void reportIfInvalid() {
        if (!isValid()) {
            onInvalid.run();
        }
    }
}
