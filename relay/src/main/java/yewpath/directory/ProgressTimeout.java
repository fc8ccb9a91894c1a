package yewpath.directory;

import java.util.function.Consumer;
import yewpath.http.CloseReason;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/**
 * Ends a response of discovery that makes no progress. Silence ends it, and so does a message that arrives too
 * slowly: each message has an allowance of time, which every received byte extends up to its full length.
 * Guards against a watch that single bytes keep open for good although they never complete a message.
 */
final class ProgressTimeout {
    private static final long SECOND_MICROS = 1_000_000;
    /** The rate at which a message may take as long as its size needs. */
    private static final int MIN_BYTES_PER_SECOND = 500;

    private final EventLoop loop;
    private final Limits limits;
    private final int allowanceFactor;
    private final Runnable reader;
    private final Consumer<CloseReason> onTimeout;
    private long silentAtMicros;
    private long slowAtMicros;
    private EventLoop.Timer timer;
    private long timerDueAtMicros;
    private boolean stopped;

    /**
     * Starts to wait for the first message.
     *
     * @param allowanceFactor the allowance of a message as a multiple of the silence timeout
     * @param reader reads what has arrived and is not handled yet, since the process may have stood still
     * @param onTimeout called at most once, with the reason why the response has to end
     */
    ProgressTimeout(EventLoop loop, Limits limits, int allowanceFactor, Runnable reader,
        Consumer<CloseReason> onTimeout) {
        this.loop = loop;
        this.limits = limits;
        this.allowanceFactor = allowanceFactor;
        this.reader = reader;
        this.onTimeout = onTimeout;
        messageCompleted();
    }

    /** A complete message was received: the head, a list or an empty line. */
    void messageCompleted() {
        slowAtMicros = loop.nowMicros() + allowanceMicros();
        restartSilence();
    }

    /** A part of a message was received. */
    void partReceived(int bytes) {
        long extendedMicros = slowAtMicros + bytes * SECOND_MICROS / MIN_BYTES_PER_SECOND;
        slowAtMicros = Math.min(loop.nowMicros() + allowanceMicros(), extendedMicros);
        restartSilence();
    }

    /** Waits no longer; the response has ended. */
    void stop() {
        stopped = true;
        timer.cancel();
    }

    private long allowanceMicros() {
        return allowanceFactor * limits.discoverySilenceTimeoutMicros();
    }

    private void restartSilence() {
        silentAtMicros = loop.nowMicros() + limits.discoverySilenceTimeoutMicros();
        long dueAtMicros = Math.min(silentAtMicros, slowAtMicros);
        // A timer that is due too early checks again, so that not every received byte needs a timer of its own.
        if (!stopped && (timer == null || dueAtMicros < timerDueAtMicros)) {
            schedule(dueAtMicros);
        }
    }

    private void schedule(long dueAtMicros) {
        if (timer != null) {
            timer.cancel();
        }
        timerDueAtMicros = dueAtMicros;
        timer = loop.schedule(dueAtMicros - loop.nowMicros(), this::check);
    }

    private void check() {
        reader.run();
        if (stopped) {
            return;
        }
        long dueAtMicros = Math.min(silentAtMicros, slowAtMicros);
        if (loop.nowMicros() < dueAtMicros) {
            schedule(dueAtMicros);
            return;
        }
        stopped = true;
        onTimeout.accept(silentAtMicros <= slowAtMicros ? CloseReason.SILENT : CloseReason.SLOW);
    }
}
