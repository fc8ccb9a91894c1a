package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static yewpath.FaultShim.EIO;
import static yewpath.FaultShim.ENOSPC;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The folder that outlives the process cannot be written, holds what it should not, or is another all at once. */
public final class StateFolderTest extends RelayFixture.RelayTest {
    private static final String REFUSED = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";

    @DataProvider
    public Object[][] faults() {
        return new Object[][]{{"write=" + EIO, ""}, {"write=" + ENOSPC, "partial=1"},
            {"write=" + EIO, "open=" + EIO}, {"write=" + ENOSPC, "rename=" + EIO}};
    }

    @Test(dataProvider = "faults")
    public void writesThatFailForAWhileEndNoProcessAndLoseNothing(String fault, String more)
        throws Exception {
        FaultShim shim = new FaultShim(fixture);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> {
            ran.add(got.id());
            return OK;
        });
        fixture.listDrainingEndpoint(2);
        fixture.start();
        Set<String> taken = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 5; i++) {
            assertEquals(fixture.submit("before" + i, "order", 2, 15_000), 202);
            taken.add("before" + i);
        }
        shim.failSystemCalls(fault, more);
        int refused = handInSome("during", 40, taken);
        assertTrue(fixture.process.isAlive(), "it ended: " + fixture.logLines());
        assertTrue(refused >= 35, "taken on though nothing can be written: " + (40 - refused));
        shim.clearFaults();
        waitUntil("it takes on again", 2_000, () -> fixture.submit("again", "order", 1, 15_000) == 202);
        taken.add("again");
        handInSome("after", 10, taken);
        fixture.kill();
        endpoint.requests.forEach(got -> taken.add(got.id()));
        RelayFixture.StubServer second = fixture.addEndpoint(2, got -> {
            ran.add(got.id());
            return OK;
        });
        fixture.start();
        waitUntil("each that was taken on has its end", 8_000,
            () -> taken.stream().allMatch(id -> ran.contains(id) || fixture.hasOutcomeNotice(id, "outcome")));
        assertTrue(second.requests.size() >= 5);
        List<String> calls = Stream.concat(endpoint.requests.stream(), second.requests.stream())
            .map(RelayFixture.ReceivedRequest::id)
            .toList();
        assertEquals(calls.size(), Set.copyOf(calls).size(), "sent twice: " + calls);
        assertTrue(taken.containsAll(calls), "sent though it was refused: " + calls);
    }

    private int handInSome(String name, int count, Set<String> taken) throws IOException {
        int refused = 0;
        for (int i = 0; i < count; i++) {
            if (fixture.submit(name + i, "order", 1, 15_000) == 202) {
                taken.add(name + i);
            } else {
                refused++;
            }
            RelayFixture.pause(15);
        }
        return refused;
    }

    @Test
    public void anAttemptThatCannotBeWrittenDownDoesNotLeave() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> REFUSED);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 15_000), 202);
        waitUntil("refused once", 3_000, () -> !endpoint.requests.isEmpty());
        shim.failSystemCalls("write=" + EIO);
        endpoint.responder = got -> NO_RESPONSE;
        RelayFixture.pause(600);
        int attempts = endpoint.requests.size();
        RelayFixture.pause(800);
        assertEquals(endpoint.requests.size(), attempts);
        fixture.kill();
        shim.clearFaults();
        endpoint.responder = got -> OK;
        fixture.start();
        waitUntil("it has its end", 5_000,
            () -> endpoint.requests.size() > attempts || fixture.hasOutcomeNotice("m1", "given_up"));
    }

    @Test
    public void anEndIsToldInTimeThoughItCannotBeWrittenDown() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 1_000), 202);
        long from = System.nanoTime();
        shim.failSystemCalls("write=" + EIO);
        waitUntil("told", 2_000, () -> fixture.hasOutcomeNotice("m1", "outcome"));
        assertTrue(System.nanoTime() - from < 1_300_000_000L, "later than 0.3 s after its time");
    }

    @DataProvider
    public Object[][] faultsAtTheStart() {
        return new Object[][]{{"write=" + EIO}, {"open=" + ENOSPC}, {"rename=" + EIO}, {"read=" + EIO}};
    }

    @Test(dataProvider = "faultsAtTheStart")
    public void aStartWithADiskThatFailsForAWhileSucceeds(String fault) throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 20_000), 202);
        fixture.kill();
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        shim.failSystemCalls(fault);
        fixture.startProcess();
        RelayFixture.pause(2_500);
        assertTrue(fixture.process.isAlive(),
            "it ended with " + (fixture.process.isAlive() ? "" : exitCode()));
        shim.clearFaults();
        waitUntil("it is ready", 3_000, fixture::isReady);
        waitUntil("what was held is delivered", 3_000, () -> endpoint.requests.size() == 1);
    }

    private int exitCode() {
        return fixture.process.exitValue();
    }

    @Test
    public void aDiskReplacedByOneWithOtherContentsIsTakenAsEmpty() throws Exception {
        Path state = fixture.directory.resolve("state");
        for (String name : List.of("ledger", "ledger.next")) {
            Files.createDirectories(state.resolve(name).resolve("lost+found"));
        }
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 5_000), 202);
        waitUntil("delivered", 2_000, () -> endpoint.requests.size() == 1);
        fixture.kill();
        Files.write(state.resolve("ledger"), new byte[100_000]);
        fixture.start();
        assertEquals(fixture.submit("m2", "order", 1, 5_000), 202);
        waitUntil("delivered", 2_000, () -> endpoint.requests.size() == 2);
    }

    @Test
    public void aFolderReplacedUnderARunningRelayHoldsAllAgain() throws Exception {
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 15_000), 202);
        Path state = fixture.directory.resolve("state");
        Files.move(state, fixture.directory.resolve("old"));
        Files.createDirectory(state);
        RelayFixture.pause(500);
        assertEquals(fixture.submit("m2", "order", 1, 15_000), 202);
        fixture.kill();
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        fixture.start();
        waitUntil("both are delivered", 4_000, () -> endpoint.requests.size() == 2);
    }

    @Test
    public void aFolderThatIsAFileEndsTheStartWithOneLine() throws Exception {
        Files.writeString(fixture.directory.resolve("state"), "no folder");
        fixture.listDrainingEndpoint(1);
        fixture.startProcess();
        assertTrue(fixture.process.waitFor(10, TimeUnit.SECONDS), "it goes on");
        assertEquals(fixture.process.exitValue(), 2);
        assertEquals(fixture.logLines().stream().filter(line -> line.contains("state")).count(), 1,
            "" + fixture.logLines());
    }

    @Test
    public void aLogLargerThanTheDirectMemoryIsWrittenAndReadBack() throws Exception {
        fixture.extraLimits = ",\"disk_mb\":64";
        fixture.maxOpenMessages = 400;
        fixture.jvmFlags = List.of("-XX:MaxDirectMemorySize=4m");
        fixture.listDrainingEndpoint(1);
        fixture.start();
        AtomicBoolean failed = new AtomicBoolean();
        for (int i = 0; i < 200; i++) {
            failed.set(failed.get()
                || fixture
                    .exchange(RelayFixture.messageRequest("m" + i, "order", 1, 60_000, "z".repeat(60_000)))
                    .status() != 202);
        }
        assertFalse(failed.get());
        fixture.kill();
        fixture.start();
        assertEquals(fixture.statistic("open"), 200);
    }
}
