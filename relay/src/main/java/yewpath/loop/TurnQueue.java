package yewpath.loop;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Runs queued actions in their order, and lets the event loop look for ready channels after some milliseconds.
 * An I/O thread runs all tasks that are queued before it does so, also those that tasks have queued: busy
 * connections that queue one after the other would delay all others. Methods must be called on the I/O thread.
 */
public final class TurnQueue {
    private static final long MAX_BURST_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** How long the queue rests after a burst, so that the I/O thread handles the ready channels. */
    private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventLoop loop;
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    private boolean passScheduled;
    private long burstStartedAtNanos = System.nanoTime();
    private long lastPassEndedAtNanos = burstStartedAtNanos;

    /** Creates an empty queue. */
    public TurnQueue(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds an action to the end of the queue. */
    public void add(Runnable turn) {
        turns.add(turn);
        if (!passScheduled) {
            schedulePass();
        }
    }

    private void schedulePass() {
        long nowNanos = System.nanoTime();
        if (nowNanos - lastPassEndedAtNanos > REST_NANOS) {
            burstStartedAtNanos = nowNanos;
        }
        if (nowNanos - burstStartedAtNanos < MAX_BURST_NANOS) {
            loop.thread().execute(this::runPass);
        } else {
            burstStartedAtNanos = nowNanos + REST_NANOS;
            loop.thread().executeAfter(this::runPass, REST_NANOS, TimeUnit.NANOSECONDS);
        }
        passScheduled = true;
    }

    private void runPass() {
        do {
            EventLoop.runLoggingFailures(turns.remove());
        } while (!turns.isEmpty() && System.nanoTime() - burstStartedAtNanos < MAX_BURST_NANOS);
        lastPassEndedAtNanos = System.nanoTime();
        passScheduled = false;
        if (!turns.isEmpty()) {
            schedulePass();
        }
    }
}
