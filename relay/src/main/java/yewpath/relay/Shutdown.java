package yewpath.relay;

import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import yewpath.intake.ClientListener;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/**
 * The end of a relay, stage by stage. The process goes only once no client is left whose request it may have read, or
 * at the bound ahead of the kill: a connection that ends with the process is reset, whatever lies in it.
 */
final class Shutdown {
    /** In this order, none twice. */
    private enum Stage {
        SERVING,
        /** New envelopes are refused, calls go on. Clients still connect as if nothing were; left after closing.least. */
        REFUSING,
        /**
         * Connections at rest are closed while others may still come: who meant to use one comes on a new one. Left
         * when no call is out, no notice is under way and no shot can begin, or after closing.most.
         */
        FINISHING,
        /** Who has connected is let in, nobody after that; left when each has had its answer and gone, or at the bound. */
        SHUTTING,
        GONE
    }

    private final EventLoop loop;
    private final Limits limits;
    private Stage stage = Stage.SERVING;
    private long since;

    Shutdown(EventLoop loop, Limits limits) {
        this.loop = loop;
        this.limits = limits;
    }

    boolean hasBegun() {
        return stage != Stage.SERVING;
    }

    /** Late in closing no shot is begun any more that could not come to its end. */
    boolean mayShoot(long now) {
        return !hasBegun() || now - since < limits.shutdownNewAttemptsMicros();
    }

    /** {@code underWay}: calls that are out, and notices that the platform is about to hear. */
    void begin(ClientListener listener, BooleanSupplier underWay, BooleanSupplier held, CountDownLatch gone) {
        if (!hasBegun()) {
            stage = Stage.REFUSING;
            since = loop.nowMicros();
            watch(listener, underWay, held, gone);
        }
    }

    private void watch(ClientListener listener, BooleanSupplier underWay, BooleanSupplier held,
        CountDownLatch gone) {
        long now = loop.nowMicros();
        long beat = limits.minShutdownMicros() / 10;
        long closingFor = now - since;
        if (stage != Stage.REFUSING) {
            listener.closeIdle();
        }
        switch (stage) {
            case REFUSING -> {
                if (closingFor >= limits.minShutdownMicros()) {
                    stage = Stage.FINISHING;
                    listener.closeIdle();
                }
            }
            case FINISHING -> {
                boolean waits = underWay.getAsBoolean() || held.getAsBoolean() && mayShoot(now);
                if (!waits || closingFor >= limits.maxShutdownCallWaitMicros()) {
                    stage = Stage.SHUTTING;
                    listener.stopAccepting();
                }
            }
            default -> {
                // Ahead of the bound, so that who is refused now has read its answer by then.
                if (closingFor >= limits.shutdownTimeoutMicros() - 3 * beat) {
                    listener.closeRemaining();
                }
                if (listener.isDrained() || closingFor >= limits.shutdownTimeoutMicros()) {
                    stage = Stage.GONE;
                    gone.countDown();
                    return;
                }
            }
        }
        loop.requestRound();
        loop.schedule(beat, () -> watch(listener, underWay, held, gone));
    }
}
