package yewpath.loop;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import yewpath.events.Event;
import yewpath.events.Log;

/** One thread's rounds: what became ready is gathered, then played in one go; and what is due at a time. */
public final class Loop {
    /** Something due later, unless it is called off before. */
    public static final class Timer {
        private final long at;
        private final long order;
        private Runnable act;

        private Timer(long at, long order, Runnable act) {
            this.at = at;
            this.order = order;
            this.act = act;
        }

        public void callOff() {
            act = null;
        }
    }

    private final XnioIoThread thread;
    private final Clock clock;
    private final ArrayDeque<Runnable> gathered = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> a.at != b.at
        ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private Runnable round = () -> {};
    private boolean roundAsked;
    private long ordered;
    private long wakeAt = Long.MAX_VALUE;

    /** Runs on this I/O thread; time starts now. */
    public Loop(XnioIoThread thread) {
        this(thread, new Clock());
    }

    /** Runs on this I/O thread, by this clock. */
    public Loop(XnioIoThread thread, Clock clock) {
        this.thread = thread;
        this.clock = clock;
    }

    public XnioIoThread thread() {
        return thread;
    }

    /** Microseconds of Unix time, steady within one process whatever is done to the system's clock. */
    public long now() {
        return clock.now();
    }

    public void eachRound(Runnable act) {
        round = act;
    }

    /** Keeps an event for the round that follows all that is ready now. */
    public void gather(Runnable event) {
        gathered.add(event);
        ask();
    }

    /** Asks for a round; several requests before it make one. */
    public void ask() {
        if (!roundAsked) {
            roundAsked = true;
            thread.execute(this::play);
        }
    }

    private void play() {
        roundAsked = false;
        round.run();
    }

    /** Plays the events gathered so far; what they gather in turn waits for the next round. */
    public void playGathered() {
        for (int left = gathered.size(); left > 0; left--) {
            safely(gathered.poll());
        }
    }

    /** What goes wrong with one envelope or connection must not take the others along. */
    public static void safely(Runnable act) {
        try {
            act.run();
        } catch (RuntimeException | Error e) {
            Log.log(Event.RELAY_ERROR, e);
        }
    }

    /** Runs an action once after this many microseconds; a negative delay counts as none. */
    public Timer after(long micros, Runnable act) {
        Timer timer = new Timer(now() + Math.max(0, micros), ordered++, act);
        timers.add(timer);
        wake();
        return timer;
    }

    private void wake() {
        if (!timers.isEmpty() && timers.peek().at < wakeAt) {
            wakeAt = timers.peek().at;
            long at = wakeAt;
            thread.executeAfter(() -> ring(at), Math.max(0, at - now()), TimeUnit.MICROSECONDS);
        }
    }

    private void ring(long at) {
        wakeAt = at == wakeAt ? Long.MAX_VALUE : wakeAt;
        long now = now();
        while (!timers.isEmpty() && (timers.peek().at <= now || timers.peek().act == null)) {
            Runnable act = timers.poll().act;
            if (act != null) {
                safely(act);
            }
        }
        wake();
    }
}
