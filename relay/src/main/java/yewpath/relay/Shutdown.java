package yewpath.relay;

import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import yewpath.intake.ClientListener;
import yewpath.loop.Limits;
import yewpath.loop.Loop;

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

    private final Loop loop;
    private final Limits limits;
    private Stage stage = Stage.SERVING;
    private long since;

    Shutdown(Loop loop, Limits limits) {
        this.loop = loop;
        this.limits = limits;
    }

    boolean hasBegun() {
        return stage != Stage.SERVING;
    }

    /** Late in closing no shot is begun any more that could not come to its end. */
    boolean mayShoot(long now) {
        return !hasBegun() || now - since < limits.drainFresh();
    }

    /** {@code underWay}: calls that are out, and notices that the platform is about to hear. */
    void begin(ClientListener listener, BooleanSupplier underWay, BooleanSupplier held, CountDownLatch gone) {
        if (!hasBegun()) {
            stage = Stage.REFUSING;
            since = loop.now();
            watch(listener, underWay, held, gone);
        }
    }

    private void watch(ClientListener listener, BooleanSupplier underWay, BooleanSupplier held,
        CountDownLatch gone) {
        long now = loop.now();
        long beat = limits.drainLeast() / 10;
        long closingFor = now - since;
        if (stage != Stage.REFUSING) {
            listener.closeIdle();
        }
        switch (stage) {
            case REFUSING -> {
                if (closingFor >= limits.drainLeast()) {
                    stage = Stage.FINISHING;
                    listener.closeIdle();
                }
            }
            case FINISHING -> {
                boolean waits = underWay.getAsBoolean() || held.getAsBoolean() && mayShoot(now);
                if (!waits || closingFor >= limits.drainMost()) {
                    stage = Stage.SHUTTING;
                    listener.stopAccepting();
                }
            }
            default -> {
                // Ahead of the bound, so that who is refused now has read its answer by then.
                if (closingFor >= limits.drainBound() - 3 * beat) {
                    listener.closeRemaining();
                }
                if (listener.isDrained() || closingFor >= limits.drainBound()) {
                    stage = Stage.GONE;
                    gone.countDown();
                    return;
                }
            }
        }
        loop.ask();
        loop.after(beat, () -> watch(listener, underWay, held, gone));
    }
}
