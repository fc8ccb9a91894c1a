package yewpath.loop;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import yewpath.events.Event;
import yewpath.events.Log;

/**
 * The event loop of one I/O thread. Events are queued while the ready channels are read, and are then
 * processed together in one round; timers run actions at a later time. Unless stated otherwise, methods must
 * be called on the I/O thread.
 */
public final class EventLoop {
    /** An action that runs at a later time unless it is cancelled before. */
    public static final class Timer {
        private final long dueAtMicros;
        private final long sequenceNumber;
        private Runnable action;

        private Timer(long dueAtMicros, long sequenceNumber, Runnable action) {
            this.dueAtMicros = dueAtMicros;
            this.sequenceNumber = sequenceNumber;
            this.action = action;
        }

        /** Prevents the action from running. Has no effect once it has run. */
        public void cancel() {
            action = null;
        }
    }

    /** A timer that is later than this shows that the thread stood still. */
    private static final long STANDSTILL_MICROS = 50_000;

    private final XnioIoThread thread;
    private final Clock clock;
    private final ArrayDeque<Runnable> queuedEvents = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> a.dueAtMicros != b.dueAtMicros
        ? Long.compare(a.dueAtMicros, b.dueAtMicros) : Long.compare(a.sequenceNumber, b.sequenceNumber));
    private Runnable roundAction = () -> {};
    private boolean roundRequested;
    private long nextSequenceNumber;
    private long wakeUpAtMicros = Long.MAX_VALUE;
    private boolean stoodStill;

    /** Creates an event loop on this I/O thread, with a clock that starts at the current time. */
    public EventLoop(XnioIoThread thread) {
        this(thread, new Clock());
    }

    /** Creates an event loop on this I/O thread, with this clock. */
    public EventLoop(XnioIoThread thread, Clock clock) {
        this.thread = thread;
        this.clock = clock;
    }

    /** Returns the I/O thread of this event loop; may be called from any thread. */
    public XnioIoThread thread() {
        return thread;
    }

    /** Returns the time of the {@link Clock}, in microseconds of Unix time; may be called from any thread. */
    public long nowMicros() {
        return clock.nowMicros();
    }

    /** Sets the action to run in each round. */
    public void setRoundAction(Runnable action) {
        roundAction = action;
    }

    /** Queues an event for the next round, and requests that round. */
    public void enqueue(Runnable event) {
        queuedEvents.add(event);
        requestRound();
    }

    /**
     * Requests a round, which runs after all channels that are ready now. Several requests lead to one round.
     */
    public void requestRound() {
        if (!roundRequested) {
            // Not marked as requested before that is so: after an error here, no round would ever run.
            thread.execute(this::runRound);
            roundRequested = true;
        }
    }

    private void runRound() {
        roundRequested = false;
        roundAction.run();
    }

    /** Runs the events queued so far. Events that they queue wait for the next round. */
    public void runQueuedEvents() {
        for (int remaining = queuedEvents.size(); remaining > 0; remaining--) {
            runLoggingFailures(queuedEvents.poll());
        }
    }

    /**
     * Runs an action and logs what it throws, so that a failure with one message or connection does not
     * affect others.
     */
    public static void runLoggingFailures(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error failure) {
            Log.log(Event.RELAY_ERROR, failure);
        }
    }

    /** Runs an action once after this delay; a negative delay counts as 0. */
    public Timer schedule(long delayMicros, Runnable action) {
        Timer timer = new Timer(nowMicros() + Math.max(0, delayMicros), nextSequenceNumber++, action);
        timers.add(timer);
        scheduleWakeUp();
        return timer;
    }

    /**
     * Returns whether the thread stood still since the last call of this method, so that channels may be ready
     * that have not been handled although they were before the timers that are due now.
     */
    public boolean pollStandstill() {
        boolean result = stoodStill || isLate(nowMicros());
        stoodStill = false;
        return result;
    }

    private boolean isLate(long nowMicros) {
        return !timers.isEmpty() && nowMicros - timers.peek().dueAtMicros > STANDSTILL_MICROS;
    }

    private void scheduleWakeUp() {
        if (!timers.isEmpty() && timers.peek().dueAtMicros < wakeUpAtMicros) {
            long scheduledForMicros = timers.peek().dueAtMicros;
            thread.executeAfter(() -> runDueTimers(scheduledForMicros),
                Math.max(0, scheduledForMicros - nowMicros()), TimeUnit.MICROSECONDS);
            wakeUpAtMicros = scheduledForMicros;
        }
    }

    private void runDueTimers(long scheduledForMicros) {
        wakeUpAtMicros = scheduledForMicros == wakeUpAtMicros ? Long.MAX_VALUE : wakeUpAtMicros;
        long now = nowMicros();
        stoodStill |= isLate(now);
        while (!timers.isEmpty() && (timers.peek().dueAtMicros <= now || timers.peek().action == null)) {
            Runnable action = timers.poll().action;
            if (action != null) {
                runLoggingFailures(action);
            }
        }
        scheduleWakeUp();
    }
}
