package yewpath.relay;

import java.util.function.IntConsumer;
import yewpath.events.Event;
import yewpath.events.Log;

/**
 * Ends the process when an error, such as an exhausted heap, has ended its I/O thread. Without it the process would
 * stay up and serve nobody; a new process continues with what the ledger holds.
 */
final class IoThreadFailure implements Thread.UncaughtExceptionHandler {
    static final int EXIT_CODE = 1;
    private static final int LOG_FLUSH_MILLIS = 100;

    private final IntConsumer endProcess;

    /** Creates a handler that calls {@code endProcess} with the exit code. */
    IoThreadFailure(IntConsumer endProcess) {
        this.endProcess = endProcess;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
        try {
            Log.log(Event.RELAY_IO_THREAD_FAILED, failure);
            Log.flush(LOG_FLUSH_MILLIS);
        } finally {
            endProcess.accept(EXIT_CODE);
        }
    }
}
