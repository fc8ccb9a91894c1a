package yewpath.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What is asked by a signal is done once somebody can, whenever it came. */
public final class ProcessSignalsTest {
    private final List<String> done = new ArrayList<>();

    @Test
    public void aReloadAskedForDuringAStartIsDoneOnceAtItsEnd() {
        ProcessSignals asked = new ProcessSignals();
        asked.hangUp();
        asked.hangUp();
        done.clear();
        asked.toReload(() -> done.add("reload"));
        assertEquals(done, List.of("reload"));
        asked.hangUp();
        assertEquals(done.size(), 2);
    }

    @Test
    public void anEndAskedForBeforeTheDoorOpensLeavesItShut() {
        ProcessSignals asked = new ProcessSignals();
        asked.terminate();
        assertFalse(asked.toEnd(() -> done.add("end")), "the door would open in a process that ends");
    }

    @Test
    public void anEndAskedForLaterIsDoneUnlessTheStartFailed() {
        done.clear();
        ProcessSignals asked = new ProcessSignals();
        assertTrue(asked.toEnd(() -> done.add("end")));
        asked.terminate();
        assertEquals(done, List.of("end"));
        ProcessSignals failed = new ProcessSignals();
        failed.toEnd(() -> done.add("end of a relay that never began"));
        failed.toEnd(null);
        failed.terminate();
        assertEquals(done.size(), 1);
    }
}
