package yewpath.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;
import yewpath.OutageState;
import yewpath.OutageState.Phase;
import yewpath.OutageState.Symptom;
import yewpath.loop.ClockReading;

/** What is known of outages survives the process, but not their end nor their time. */
public final class KnownOutagesTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long FIRST_START_MICROS = 5 * SECOND_MICROS;
    private static final long SECOND_START_MICROS = 7 * SECOND_MICROS;
    private static final long WALL_CLOCK_STEP_MICROS = 3_600 * SECOND_MICROS;

    private static Ledger openFirst(Path folder) throws IOException {
        return FinishedMessagesTest.open(folder,
            new ClockReading("boot", FIRST_START_MICROS, FIRST_START_MICROS));
    }

    private static Ledger openAfterClockStep(Path folder) throws IOException {
        return FinishedMessagesTest.open(folder,
            new ClockReading("boot", SECOND_START_MICROS, SECOND_START_MICROS + WALL_CLOCK_STEP_MICROS));
    }

    /** Guards against a new process that knows of no outage, also after a step of the wall clock. */
    @Test
    public void outageIsKnownAfterARestart() throws IOException {
        Path folder = Files.createTempDirectory("outages");
        Ledger ledger = openFirst(folder);
        long failedAtMicros = FIRST_START_MICROS + SECOND_MICROS;
        ledger.recordOutage("e1", new OutageState(Phase.UNHEALTHY, Symptom.CONNECT_REFUSED, failedAtMicros));
        assertTrue(ledger.flush());
        Ledger restarted = openAfterClockStep(folder);
        OutageState expected = new OutageState(Phase.UNHEALTHY, Symptom.CONNECT_REFUSED,
            failedAtMicros + WALL_CLOCK_STEP_MICROS);
        assertEquals(restarted.knownOutages().find("e1"), expected);
        restarted.close();
        assertEquals(openAfterClockStep(folder).knownOutages().find("e1"), expected,
            "after the file was rewritten");
    }

    /** Guards against an outage that a new process takes for a present one though it has been disproved. */
    @Test
    public void disprovedOutageIsForgotten() throws IOException {
        Path folder = Files.createTempDirectory("outages");
        Ledger ledger = openFirst(folder);
        ledger.recordOutage("e1", new OutageState(Phase.SUSPECTED, Symptom.RESET, FIRST_START_MICROS));
        ledger.recordOutage("e1",
            new OutageState(Phase.NONE, Symptom.ANSWERED_IN_BETWEEN, FIRST_START_MICROS + 1));
        assertTrue(ledger.flush());
        assertNull(openAfterClockStep(folder).knownOutages().find("e1"));
    }

    /** Guards against a table and a file that grow with each endpoint that has ever failed. */
    @Test
    public void oldOutagesAreDropped() {
        KnownOutages outages = new KnownOutages();
        outages.put("e1", new OutageState(Phase.SUSPECTED, Symptom.RESET, 0));
        outages.put("e2", new OutageState(Phase.SUSPECTED, Symptom.RESET, 200 * SECOND_MICROS));
        outages.put("e3", new OutageState(Phase.SUSPECTED, Symptom.RESET, 400 * SECOND_MICROS));
        assertNull(outages.find("e1"));
        assertNotNull(outages.find("e2"));
        int recordBytes = RecordFormat.outage("e3", outages.find("e3")).length;
        assertEquals(outages.records(recordBytes).size(), 1);
        assertEquals(outages.records(2 * recordBytes).size(), 2);
    }
}
