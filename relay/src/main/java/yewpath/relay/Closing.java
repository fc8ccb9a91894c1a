package yewpath.relay;

import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import yewpath.loop.Limits;
import yewpath.loop.Loop;

/** The last seconds of a relay that was asked to end. */
final class Closing {
    private final Loop loop;
    private final Limits limits;
    private long since = -1;

    Closing(Loop loop, Limits limits) {
        this.loop = loop;
        this.limits = limits;
    }

    boolean hasBegun() {
        return since >= 0;
    }

    /** Late in closing no shot is begun any more that could not come to its end. */
    boolean mayShoot(long now) {
        return since < 0 || now - since < limits.drainFresh();
    }

    /** Goes on until nothing is left to wait for, or as long as may be. */
    void begin(BooleanSupplier callsOut, BooleanSupplier held, CountDownLatch done) {
        if (since < 0) {
            since = loop.now();
            watch(callsOut, held, done);
        }
    }

    private void watch(BooleanSupplier callsOut, BooleanSupplier held, CountDownLatch done) {
        long now = loop.now();
        boolean waits = callsOut.getAsBoolean() || held.getAsBoolean() && mayShoot(now);
        // Clients go on connecting for a moment: each is to be answered.
        if (now - since >= (waits ? limits.drainMost() : limits.drainLeast())) {
            done.countDown();
            return;
        }
        loop.ask();
        loop.after(limits.drainLeast() / 10, () -> watch(callsOut, held, done));
    }
}
