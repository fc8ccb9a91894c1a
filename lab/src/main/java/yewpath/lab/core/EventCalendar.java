package yewpath.lab.core;

import java.util.Arrays;

/**
 * The event calendar of a discrete-event simulation: runs scheduled actions in the order of their times.
 * Actions of the same time run in the order in which they were scheduled, so that a run is reproducible on
 * every machine.
 *
 * <p> It is a 4-ary heap over parallel arrays (Johnson 1975, d-heaps): ten million events take some 300 MB,
 * and a step touches few cache lines. Times are microseconds from the start of the run. Not thread-safe.
 */
public final class EventCalendar {
    /**
     * A scheduled action that can be cancelled. A cancelled timer keeps its place in the heap until its time.
     */
    public static final class Timer {
        private Runnable action;

        private Timer(Runnable action) {
            this.action = action;
        }

        /** Prevents the action from running; has no effect once it has run. */
        public void cancel() {
            action = null;
        }
    }

    private static final int INITIAL_CAPACITY = 1 << 10;

    private long[] times = new long[INITIAL_CAPACITY];
    private long[] sequenceNumbers = new long[INITIAL_CAPACITY];
    /** A {@link Runnable} or a {@link Timer} for each event. */
    private Object[] actions = new Object[INITIAL_CAPACITY];
    private int size;
    private long nextSequenceNumber;
    private long nowMicros;
    private long executedCount;

    /** Returns the simulated time in microseconds from the start of the run. */
    public long nowMicros() {
        return nowMicros;
    }

    /** Returns how many actions have run so far; cancelled timers do not count. */
    public long executedCount() {
        return executedCount;
    }

    /** Returns the time of the next event, or {@link Long#MAX_VALUE} if no event is scheduled. */
    public long nextEventMicros() {
        return size == 0 ? Long.MAX_VALUE : times[0];
    }

    /** Returns the number of scheduled events, including cancelled timers whose time has not come. */
    public int size() {
        return size;
    }

    /** Schedules an action after a delay in microseconds; a negative delay counts as zero. */
    public void scheduleAfter(long delayMicros, Runnable action) {
        add(nowMicros + Math.max(0, delayMicros), action);
    }

    /** Schedules an action at a time in microseconds; a time in the past counts as the present. */
    public void scheduleAt(long timeMicros, Runnable action) {
        add(Math.max(nowMicros, timeMicros), action);
    }

    /** Schedules an action after a delay in microseconds and returns a handle that can cancel it. */
    public Timer startTimer(long delayMicros, Runnable action) {
        Timer timer = new Timer(action);
        add(nowMicros + Math.max(0, delayMicros), timer);
        return timer;
    }

    private void add(long time, Object action) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            sequenceNumbers = Arrays.copyOf(sequenceNumbers, 2 * size);
            actions = Arrays.copyOf(actions, 2 * size);
        }
        int position = size++;
        long sequenceNumber = nextSequenceNumber++;
        while (position > 0) {
            int parent = (position - 1) >> 2;
            if (times[parent] <= time) {
                // A parent of the same time was scheduled earlier and has the lower sequence number.
                break;
            }
            move(parent, position);
            position = parent;
        }
        times[position] = time;
        sequenceNumbers[position] = sequenceNumber;
        actions[position] = action;
    }

    private void move(int from, int to) {
        times[to] = times[from];
        sequenceNumbers[to] = sequenceNumbers[from];
        actions[to] = actions[from];
    }

    private boolean isBefore(int first, int second) {
        return times[first] < times[second]
            || times[first] == times[second] && sequenceNumbers[first] < sequenceNumbers[second];
    }

    /** Runs all actions that are due up to and including {@code endMicros}, then advances the time to it. */
    public void runUntil(long endMicros) {
        while (size > 0 && times[0] <= endMicros) {
            nowMicros = times[0];
            Object action = actions[0];
            removeFirst();
            if (action instanceof Timer timer) {
                if (timer.action == null) {
                    continue;
                }
                executedCount++;
                timer.action.run();
            } else {
                executedCount++;
                ((Runnable) action).run();
            }
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }

    private void removeFirst() {
        int last = --size;
        if (last == 0) {
            actions[0] = null;
            return;
        }
        int position = 0;
        while (true) {
            int firstChild = 4 * position + 1;
            if (firstChild >= last) {
                break;
            }
            int earliest = firstChild;
            for (int child = firstChild + 1; child < Math.min(firstChild + 4, last); child++) {
                earliest = isBefore(child, earliest) ? child : earliest;
            }
            if (!isBefore(earliest, last)) {
                break;
            }
            move(earliest, position);
            position = earliest;
        }
        move(last, position);
        actions[last] = null;
    }
}
