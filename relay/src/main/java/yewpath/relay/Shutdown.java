package yewpath.relay;

import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import yewpath.intake.ClientListener;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/**
 * The stages of a graceful shutdown. The process ends when no client is connected whose request it may
 * have read, or at the time limit, which is before the platform kills the process. When the process ends,
 * its remaining connections are reset and unread data in them is lost.
 */
final class Shutdown {
    /** The stages in their order; each is entered once. */
    private enum Stage {
        SERVING,
        /**
         * New messages are refused, calls continue. Clients still connect as usual. Ends after the time
         * set by closing.least in the operator's file.
         */
        REFUSING,
        /**
         * Idle client connections are closed, new ones are accepted, so that a client whose connection was
         * closed can connect again. Ends when no call and no notice is in flight and no attempt can start,
         * or after the time set by closing.most.
         */
        FINISHING,
        /**
         * Connections made so far are accepted, further ones are not. Ends when every client has its
         * response and is disconnected, or at the time limit.
         */
        DISCONNECTING,
        DONE
    }

    private final EventLoop loop;
    private final Limits limits;
    private Stage stage = Stage.SERVING;
    private long startMicros;

    Shutdown(EventLoop loop, Limits limits) {
        this.loop = loop;
        this.limits = limits;
    }

    /** Whether the relay is shutting down. */
    boolean isStarted() {
        return stage != Stage.SERVING;
    }

    /** Whether attempts may start: not late in a shutdown, when they might not end in time. */
    boolean mayStartAttempts(long nowMicros) {
        return !isStarted() || nowMicros - startMicros < limits.shutdownNewAttemptsMicros();
    }

    /**
     * Starts the shutdown; does nothing if it has started already.
     *
     * @param requestsInFlight whether a call or a notice is in flight
     * @param messagesOpen whether any message has not ended
     * @param done counted down when the process may end
     */
    void start(ClientListener listener, BooleanSupplier requestsInFlight, BooleanSupplier messagesOpen,
        CountDownLatch done) {
        if (!isStarted()) {
            stage = Stage.REFUSING;
            startMicros = loop.nowMicros();
            advance(listener, requestsInFlight, messagesOpen, done);
        }
    }

    /** Enters the next stage when its condition is met; repeats until the last stage. */
    private void advance(ClientListener listener, BooleanSupplier requestsInFlight,
        BooleanSupplier messagesOpen,
        CountDownLatch done) {
        long nowMicros = loop.nowMicros();
        long checkIntervalMicros = limits.minShutdownMicros() / 10;
        long elapsedMicros = nowMicros - startMicros;
        if (stage != Stage.REFUSING) {
            listener.closeIdle();
        }
        switch (stage) {
            case REFUSING -> {
                if (elapsedMicros >= limits.minShutdownMicros()) {
                    stage = Stage.FINISHING;
                    listener.closeIdle();
                }
            }
            case FINISHING -> {
                boolean hasWork = requestsInFlight.getAsBoolean()
                    || messagesOpen.getAsBoolean() && mayStartAttempts(nowMicros);
                if (!hasWork || elapsedMicros >= limits.maxShutdownCallWaitMicros()) {
                    stage = Stage.DISCONNECTING;
                    listener.stopAccepting();
                }
            }
            default -> {
                // Some time before the limit, so that clients refused now can read their response.
                if (elapsedMicros >= limits.shutdownTimeoutMicros() - 3 * checkIntervalMicros) {
                    listener.closeRemaining();
                }
                if (listener.isDrained() || elapsedMicros >= limits.shutdownTimeoutMicros()) {
                    stage = Stage.DONE;
                    done.countDown();
                    return;
                }
            }
        }
        loop.requestRound();
        loop.schedule(checkIntervalMicros, () -> advance(listener, requestsInFlight, messagesOpen, done));
    }
}
