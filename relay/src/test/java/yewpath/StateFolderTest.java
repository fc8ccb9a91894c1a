package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static yewpath.FaultShim.EIO;
import static yewpath.FaultShim.ENOSPC;
import static yewpath.Stand.OK;
import static yewpath.Stand.SILENCE;
import static yewpath.Stand.until;

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
public final class StateFolderTest extends Stand.Tests {
    private static final String REFUSED = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";

    @DataProvider
    public Object[][] faults() {
        return new Object[][]{{"write=" + EIO, ""}, {"write=" + ENOSPC, "partial=1"},
            {"write=" + EIO, "open=" + EIO}, {"write=" + ENOSPC, "rename=" + EIO}};
    }

    @Test(dataProvider = "faults")
    public void writesThatFailForAWhileEndNoProcessAndLoseNothing(String fault, String more)
        throws Exception {
        FaultShim shim = new FaultShim(stand);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Stand.Server endpoint = stand.endpoint(1, got -> {
            ran.add(got.id());
            return OK;
        });
        stand.closed(2);
        stand.start();
        Set<String> taken = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 5; i++) {
            assertEquals(stand.handIn("before" + i, "order", 2, 15_000), 202);
            taken.add("before" + i);
        }
        shim.fail(fault, more);
        int refused = handInSome("during", 40, taken);
        assertTrue(stand.process.isAlive(), "it ended: " + stand.log());
        assertTrue(refused >= 35, "taken on though nothing can be written: " + (40 - refused));
        shim.heal();
        until("it takes on again", 2_000, () -> stand.handIn("again", "order", 1, 15_000) == 202);
        taken.add("again");
        handInSome("after", 10, taken);
        stand.kill();
        endpoint.got.forEach(got -> taken.add(got.id()));
        Stand.Server second = stand.endpoint(2, got -> {
            ran.add(got.id());
            return OK;
        });
        stand.start();
        until("each that was taken on has its end", 8_000,
            () -> taken.stream().allMatch(id -> ran.contains(id) || stand.ended(id, "outcome")));
        assertTrue(second.got.size() >= 5);
        List<String> calls = Stream.concat(endpoint.got.stream(), second.got.stream()).map(Stand.Got::id)
            .toList();
        assertEquals(calls.size(), Set.copyOf(calls).size(), "sent twice: " + calls);
        assertTrue(taken.containsAll(calls), "sent though it was refused: " + calls);
    }

    private int handInSome(String name, int count, Set<String> taken) throws IOException {
        int refused = 0;
        for (int i = 0; i < count; i++) {
            if (stand.handIn(name + i, "order", 1, 15_000) == 202) {
                taken.add(name + i);
            } else {
                refused++;
            }
            Stand.pause(15);
        }
        return refused;
    }

    @Test
    public void anAttemptThatCannotBeWrittenDownDoesNotLeave() throws Exception {
        FaultShim shim = new FaultShim(stand);
        Stand.Server endpoint = stand.endpoint(1, got -> REFUSED);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 15_000), 202);
        until("refused once", 3_000, () -> !endpoint.got.isEmpty());
        shim.fail("write=" + EIO);
        endpoint.answer = got -> SILENCE;
        Stand.pause(600);
        int attempts = endpoint.got.size();
        Stand.pause(800);
        assertEquals(endpoint.got.size(), attempts);
        stand.kill();
        shim.heal();
        endpoint.answer = got -> OK;
        stand.start();
        until("it has its end", 5_000,
            () -> endpoint.got.size() > attempts || stand.ended("m1", "given_up"));
    }

    @Test
    public void anEndIsToldInTimeThoughItCannotBeWrittenDown() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 1_000), 202);
        long from = System.nanoTime();
        shim.fail("write=" + EIO);
        until("told", 2_000, () -> stand.ended("m1", "outcome"));
        assertTrue(System.nanoTime() - from < 1_300_000_000L, "later than 0.3 s after its time");
    }

    @DataProvider
    public Object[][] faultsAtTheStart() {
        return new Object[][]{{"write=" + EIO}, {"open=" + ENOSPC}, {"rename=" + EIO}, {"read=" + EIO}};
    }

    @Test(dataProvider = "faultsAtTheStart")
    public void aStartWithADiskThatFailsForAWhileSucceeds(String fault) throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 20_000), 202);
        stand.kill();
        Stand.Server endpoint = stand.endpoint(1, got -> OK);
        shim.fail(fault);
        stand.launch();
        Stand.pause(2_500);
        assertTrue(stand.process.isAlive(), "it ended with " + (stand.process.isAlive() ? "" : exitCode()));
        shim.heal();
        until("it is ready", 3_000, stand::isReady);
        until("what was held is delivered", 3_000, () -> endpoint.got.size() == 1);
    }

    private int exitCode() {
        return stand.process.exitValue();
    }

    @Test
    public void aDiskReplacedByOneWithOtherContentsIsTakenAsEmpty() throws Exception {
        Path state = stand.folder.resolve("state");
        for (String name : List.of("ledger", "ledger.next")) {
            Files.createDirectories(state.resolve(name).resolve("lost+found"));
        }
        Stand.Server endpoint = stand.endpoint(1, got -> OK);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 5_000), 202);
        until("delivered", 2_000, () -> endpoint.got.size() == 1);
        stand.kill();
        Files.write(state.resolve("ledger"), new byte[100_000]);
        stand.start();
        assertEquals(stand.handIn("m2", "order", 1, 5_000), 202);
        until("delivered", 2_000, () -> endpoint.got.size() == 2);
    }

    @Test
    public void aFolderReplacedUnderARunningRelayHoldsAllAgain() throws Exception {
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 15_000), 202);
        Path state = stand.folder.resolve("state");
        Files.move(state, stand.folder.resolve("old"));
        Files.createDirectory(state);
        Stand.pause(500);
        assertEquals(stand.handIn("m2", "order", 1, 15_000), 202);
        stand.kill();
        Stand.Server endpoint = stand.endpoint(1, got -> OK);
        stand.start();
        until("both are delivered", 4_000, () -> endpoint.got.size() == 2);
    }

    @Test
    public void aFolderThatIsAFileEndsTheStartWithOneLine() throws Exception {
        Files.writeString(stand.folder.resolve("state"), "no folder");
        stand.closed(1);
        stand.launch();
        assertTrue(stand.process.waitFor(10, TimeUnit.SECONDS), "it goes on");
        assertEquals(stand.process.exitValue(), 2);
        assertEquals(stand.log().stream().filter(line -> line.contains("state")).count(), 1,
            "" + stand.log());
    }

    @Test
    public void aLogLargerThanTheDirectMemoryIsWrittenAndReadBack() throws Exception {
        stand.limits = ",\"disk_mb\":64";
        stand.holdMost = 400;
        stand.flags = List.of("-XX:MaxDirectMemorySize=4m");
        stand.closed(1);
        stand.start();
        AtomicBoolean failed = new AtomicBoolean();
        for (int i = 0; i < 200; i++) {
            failed.set(failed.get()
                || stand.ask(Stand.envelope("m" + i, "order", 1, 60_000, "z".repeat(60_000)))
                    .status() != 202);
        }
        assertFalse(failed.get());
        stand.kill();
        stand.start();
        assertEquals(stand.figure("open"), 200);
    }
}
