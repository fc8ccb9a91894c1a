package yewpath;

import java.util.PriorityQueue;

/** Actions that run in the first round at or after their time, those of one time in the order of their scheduling. */
final class TimedActions {
    private record TimedAction(long dueAtMicros, long sequence, Runnable action) {}

    private final PriorityQueue<TimedAction> queue = new PriorityQueue<>(
        (a, b) -> a.dueAtMicros != b.dueAtMicros
            ? Long.compare(a.dueAtMicros, b.dueAtMicros) : Long.compare(a.sequence, b.sequence));
    private long nextSequence;

    /** Adds an action. */
    void schedule(long dueAtMicros, Runnable action) {
        queue.add(new TimedAction(dueAtMicros, nextSequence++, action));
    }

    /** Runs what is due, also what these actions schedule for now or before. */
    void runDue(long nowMicros) {
        while (!queue.isEmpty() && queue.peek().dueAtMicros <= nowMicros) {
            queue.poll().action.run();
        }
    }

    /** Returns when the next action is due; {@code none} if there is no action. */
    long nextDueAtMicros(long none) {
        return queue.isEmpty() ? none : queue.peek().dueAtMicros;
    }
}
