package yewpath.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Checks that a signal takes effect as soon as the relay can handle it, whenever it was received. */
public final class ProcessSignalsTest {
    private final List<String> done = new ArrayList<>();

    @Test
    public void reloadsRequestedDuringStartRunOnceAfterStart() {
        ProcessSignals signals = new ProcessSignals();
        signals.handleHangup();
        signals.handleHangup();
        done.clear();
        signals.setReloadAction(() -> done.add("reload"));
        assertEquals(done, List.of("reload"));
        signals.handleHangup();
        assertEquals(done.size(), 2);
    }

    @Test
    public void terminationBeforeListeningPreventsListening() {
        ProcessSignals signals = new ProcessSignals();
        signals.handleTerminate();
        assertFalse(signals.setTerminateAction(() -> done.add("end")),
            "the relay would listen in a process that is terminating");
    }

    @Test
    public void laterTerminationRunsActionUnlessStartFailed() {
        done.clear();
        ProcessSignals signals = new ProcessSignals();
        assertTrue(signals.setTerminateAction(() -> done.add("end")));
        signals.handleTerminate();
        assertEquals(done, List.of("end"));
        ProcessSignals failedStart = new ProcessSignals();
        failedStart.setTerminateAction(() -> done.add("termination of a relay that did not start"));
        failedStart.setTerminateAction(null);
        failedStart.handleTerminate();
        assertEquals(done.size(), 1);
    }
}
