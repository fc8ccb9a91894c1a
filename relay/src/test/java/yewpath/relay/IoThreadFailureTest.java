package yewpath.relay;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests what happens when an error ends the I/O thread. */
public final class IoThreadFailureTest {
    /** Guards against a process that stays up without its I/O thread, also if the failure cannot be logged. */
    @Test
    public void processEnds() {
        List<Integer> exitCodes = new ArrayList<>();
        IoThreadFailure handler = new IoThreadFailure(exitCodes::add);
        handler.uncaughtException(Thread.currentThread(), new OutOfMemoryError("test"));
        try {
            handler.uncaughtException(Thread.currentThread(), null);
        } catch (RuntimeException notLogged) {
            assertEquals(exitCodes.size(), 2);
        }
        assertEquals(exitCodes, List.of(IoThreadFailure.EXIT_CODE, IoThreadFailure.EXIT_CODE));
    }
}
