package yewpath.directory;

import yewpath.loop.EventLoop;

/**
 * Tells whether the list of endpoints may be used. It may not before discovery has answered this process: the
 * list of the configuration is as old as the file. While discovery has, or may have, a change that did not
 * arrive, the list may be used for a limited time. Guards against attempts to endpoints that were drained or
 * removed, or whose address another destination got.
 */
public final class ListValidity {
    /** A change is taken to be known this long after discovery had it, whether it has arrived or not. */
    private static final long KNOWN_AFTER_MICROS = 6_000_000;
    /** Discovery takes a change to be known this long after its address was changed. */
    private static final long USABLE_AFTER_INTERRUPTION_MICROS = 4_000_000;
    /** Discovery writes an empty line this often while it has no change. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;
    /** A list that arrives within this time tells what discovery has now. */
    private static final long PROMPT_TRANSFER_MICROS = 500_000;

    private final EventLoop loop;
    private final Runnable onInvalid;
    private long validUntilMicros = Long.MIN_VALUE;
    private long interruptionCount;
    /** The list in use contains everything that discovery had at this time. */
    private long currentAtMicros = Long.MIN_VALUE;
    /** When the latest change that has not arrived completely began to arrive. */
    private long changeStartedAtMicros = Long.MIN_VALUE;

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
     * A change has begun to arrive. Discovery had it at that time, and had nothing new when it wrote the
     * message before, which is at most one heartbeat earlier.
     */
    void changeStarted(long startedAtMicros) {
        changeStartedAtMicros = startedAtMicros;
        long earliestMicros = Math.max(currentAtMicros, startedAtMicros - HEARTBEAT_INTERVAL_MICROS);
        limitTo(Math.min(validUntilMicros, earliestMicros + KNOWN_AFTER_MICROS));
    }

    /**
     * Discovery has answered with a list, or with an empty line for a list without changes, and the list in
     * use contains it. An answer to a request from before the last interruption, or one that is older than a
     * change or an answer, changes nothing. After a list that took long, discovery may have further changes that
     * it cannot write yet.
     *
     * @param interruptionCountOfRequest the number of interruptions when the request was sent
     * @param writtenAtMicros when the answer began to arrive: it contains what discovery had then
     */
    void confirmed(long interruptionCountOfRequest, long writtenAtMicros) {
        if (interruptionCountOfRequest != interruptionCount
            || writtenAtMicros < Math.max(currentAtMicros, changeStartedAtMicros)) {
            return;
        }
        currentAtMicros = writtenAtMicros;
        boolean prompt = loop.nowMicros() - writtenAtMicros <= PROMPT_TRANSFER_MICROS;
        limitTo(prompt ? Long.MAX_VALUE : writtenAtMicros + KNOWN_AFTER_MICROS);
    }

    /** The watch has moved to another address, or the agent of discovery has closed it. */
    void interrupted() {
        interruptedAt(loop.nowMicros());
    }

    /** The agent of discovery has ended, or has closed the watch, at this time. */
    void interruptedAt(long endedAtMicros) {
        interruptionCount++;
        limitTo(Math.min(validUntilMicros, endedAtMicros + USABLE_AFTER_INTERRUPTION_MICROS));
    }

    private void limitTo(long limitMicros) {
        boolean changed = validUntilMicros != limitMicros;
        validUntilMicros = limitMicros;
        if (changed && limitMicros != Long.MAX_VALUE) {
            loop.schedule(limitMicros - loop.nowMicros(), this::reportIfInvalid);
        }
    }

    private void reportIfInvalid() {
        if (!isValid()) {
            onInvalid.run();
        }
    }
}
