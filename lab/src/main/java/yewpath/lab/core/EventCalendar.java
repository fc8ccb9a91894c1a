package yewpath.lab.core;

import java.util.Arrays;

/**
 * Events by time; of one instant in the order in which they were entered, so that a run is the same wherever it is
 * played. A 4-ary heap over parallel arrays: ten million events take some 300 MB, and a step touches few cache lines
 * (Johnson 1975, d-heaps). One thread.
 */
public final class EventCalendar {
    /** An event that may be called off; what is called off costs nothing but its place until its time. */
    public static final class Timer {
        private Runnable act;

        private Timer(Runnable act) {
            this.act = act;
        }

        public void cancel() {
            act = null;
        }
    }

    private long[] times = new long[1 << 10];
    private long[] orders = new long[1 << 10];
    private Object[] acts = new Object[1 << 10];
    private int size;
    private long ordered;
    private long now;
    private long played;

    /** Microseconds from the start of the run. */
    public long nowMicros() {
        return now;
    }

    public long executedCount() {
        return played;
    }

    /** The next event's time; the greatest long where there is none. */
    public long nextEventMicros() {
        return size == 0 ? Long.MAX_VALUE : times[0];
    }

    public int size() {
        return size;
    }

    public void scheduleAfter(long micros, Runnable act) {
        add(now + Math.max(0, micros), act);
    }

    /** A time that is past is now. */
    public void scheduleAt(long time, Runnable act) {
        add(Math.max(now, time), act);
    }

    public Timer startTimer(long micros, Runnable act) {
        Timer entry = new Timer(act);
        add(now + Math.max(0, micros), entry);
        return entry;
    }

    private void add(long time, Object act) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            orders = Arrays.copyOf(orders, 2 * size);
            acts = Arrays.copyOf(acts, 2 * size);
        }
        int at = size++;
        long order = ordered++;
        while (at > 0) {
            int parent = (at - 1) >> 2;
            if (times[parent] <= time) {
                // An earlier entry of the same time has the lesser order.
                break;
            }
            move(parent, at);
            at = parent;
        }
        times[at] = time;
        orders[at] = order;
        acts[at] = act;
    }

    private void move(int from, int to) {
        times[to] = times[from];
        orders[to] = orders[from];
        acts[to] = acts[from];
    }

    private boolean before(int a, int b) {
        return times[a] < times[b] || times[a] == times[b] && orders[a] < orders[b];
    }

    /** Plays all that is due up to {@code end}, which then is now. */
    public void runUntil(long end) {
        while (size > 0 && times[0] <= end) {
            now = times[0];
            Object act = acts[0];
            removeFirst();
            if (act instanceof Timer entry) {
                if (entry.act == null) {
                    continue;
                }
                played++;
                entry.act.run();
            } else {
                played++;
                ((Runnable) act).run();
            }
        }
        now = Math.max(now, end);
    }

    private void removeFirst() {
        int last = --size;
        if (last == 0) {
            acts[0] = null;
            return;
        }
        int at = 0;
        while (true) {
            int first = 4 * at + 1;
            if (first >= last) {
                break;
            }
            int least = first;
            for (int i = first + 1; i < Math.min(first + 4, last); i++) {
                least = before(i, least) ? i : least;
            }
            if (!before(least, last)) {
                break;
            }
            move(least, at);
            at = least;
        }
        move(last, at);
        acts[last] = null;
    }
}
