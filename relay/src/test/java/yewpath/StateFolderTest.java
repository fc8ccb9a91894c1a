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

/**
 * Failures of the state folder, which outlives the process: it can't be written or read, contains unexpected
 * files, or is replaced.
 */
public final class StateFolderTest extends Stand.Tests {
    private static final String REFUSED = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";

    @DataProvider
    public Object[][] writeFaults() {
        return new Object[][]{{"write=" + EIO, ""}, {"write=" + ENOSPC, "partial=1"},
            {"write=" + EIO, "open=" + EIO}, {"write=" + ENOSPC, "rename=" + EIO}};
    }

    /**
     * Guards against a relay that exits, accepts messages it can't record, or loses or repeats messages,
     * when writes to its folder fail for a while. Some faults also leave a partial record, or make a new
     * file impossible.
     */
    @Test(dataProvider = "writeFaults")
    public void temporaryWriteFailuresLoseNoMessageAndEndNoProcess(String fault, String furtherFault)
        throws Exception {
        FaultShim shim = new FaultShim(stand);
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        Stand.Server endpoint = stand.endpoint(1, request -> {
            delivered.add(request.id());
            return OK;
        });
        stand.closed(2);
        stand.start();
        Set<String> accepted = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 5; i++) {
            assertEquals(stand.handIn("before" + i, "order", 2, 15_000), 202);
            accepted.add("before" + i);
        }
        shim.fail(fault, furtherFault);
        int refused = submitSeveral("during", 40, accepted);
        assertTrue(stand.process.isAlive(), "the relay ended: " + stand.log());
        assertTrue(refused >= 35, "messages accepted although no record can be written: " + (40 - refused));
        shim.heal();
        until("the relay accepts messages again", 2_000,
            () -> stand.handIn("again", "order", 1, 15_000) == 202);
        accepted.add("again");
        submitSeveral("after", 10, accepted);
        stand.kill();
        endpoint.got.forEach(request -> accepted.add(request.id()));
        Stand.Server second = stand.endpoint(2, request -> {
            delivered.add(request.id());
            return OK;
        });
        stand.start();
        until("each accepted message has its outcome", 8_000,
            () -> accepted.stream().allMatch(id -> delivered.contains(id) || stand.ended(id, "outcome")));
        assertTrue(second.got.size() >= 5);
        List<String> calls = Stream.concat(endpoint.got.stream(), second.got.stream()).map(Stand.Got::id)
            .toList();
        assertEquals(calls.size(), Set.copyOf(calls).size(), "sent twice: " + calls);
        assertTrue(accepted.containsAll(calls), "sent although its client was refused: " + calls);
    }

    /**
     * Submits messages one by one, adds the ids of the accepted ones to the set, and returns the number of
     * refused ones.
     */
    private int submitSeveral(String name, int count, Set<String> accepted) throws IOException {
        int refused = 0;
        for (int i = 0; i < count; i++) {
            if (stand.handIn(name + i, "order", 1, 15_000) == 202) {
                accepted.add(name + i);
            } else {
                refused++;
            }
            Stand.pause(15);
        }
        return refused;
    }

    /**
     * Guards against an attempt that is sent before it is recorded: after a kill, the next process would
     * send an at-most-once message again.
     */
    @Test
    public void attemptThatCannotBeRecordedIsNotSent() throws Exception {
        FaultShim shim = new FaultShim(stand);
        Stand.Server endpoint = stand.endpoint(1, request -> REFUSED);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 15_000), 202);
        until("the endpoint refused the first attempt", 3_000, () -> !endpoint.got.isEmpty());
        shim.fail("write=" + EIO);
        endpoint.answer = request -> SILENCE;
        Stand.pause(600);
        int attempts = endpoint.got.size();
        Stand.pause(800);
        assertEquals(endpoint.got.size(), attempts);
        stand.kill();
        shim.heal();
        endpoint.answer = request -> OK;
        stand.start();
        until("the message has its outcome", 5_000,
            () -> endpoint.got.size() > attempts || stand.ended("m1", "given_up"));
    }

    /** Guards against a notice that is delayed until the folder can be written again. */
    @Test
    public void outcomeIsReportedInTimeAlthoughItCannotBeRecorded() throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 1_000), 202);
        long startNanos = System.nanoTime();
        shim.fail("write=" + EIO);
        until("the platform is notified", 2_000, () -> stand.ended("m1", "outcome"));
        assertTrue(System.nanoTime() - startNanos < 1_300_000_000L, "the notice was more than 0.3 s late");
    }

    @DataProvider
    public Object[][] startFaults() {
        return new Object[][]{{"write=" + EIO}, {"open=" + ENOSPC}, {"rename=" + EIO}, {"read=" + EIO}};
    }

    /**
     * Guards against a process that ends, or drops what it holds, because its folder fails at the start. It
     * has to wait until the folder can be used again.
     */
    @Test(dataProvider = "startFaults")
    public void startWaitsWhileTheFolderFails(String fault) throws Exception {
        FaultShim shim = new FaultShim(stand);
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 20_000), 202);
        stand.kill();
        Stand.Server endpoint = stand.endpoint(1, request -> OK);
        shim.fail(fault);
        stand.launch();
        Stand.pause(2_500);
        assertTrue(stand.process.isAlive(),
            "the relay ended with " + (stand.process.isAlive() ? "" : exitCode()));
        shim.heal();
        until("the relay is ready", 3_000, stand::isReady);
        until("the open message is delivered", 3_000, () -> endpoint.got.size() == 1);
    }

    private int exitCode() {
        return stand.process.exitValue();
    }

    /**
     * Guards against a start that fails on unexpected contents, such as another disk has: directories in
     * place of the ledger's files, or a file that is no ledger. They count as empty.
     */
    @Test
    public void unexpectedContentsCountAsAnEmptyFolder() throws Exception {
        Path state = stand.folder.resolve("state");
        for (String name : List.of("ledger", "ledger.next")) {
            Files.createDirectories(state.resolve(name).resolve("lost+found"));
        }
        Stand.Server endpoint = stand.endpoint(1, request -> OK);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 5_000), 202);
        until("the message is delivered", 2_000, () -> endpoint.got.size() == 1);
        stand.kill();
        Files.write(state.resolve("ledger"), new byte[100_000]);
        stand.start();
        assertEquals(stand.handIn("m2", "order", 1, 5_000), 202);
        until("the message is delivered", 2_000, () -> endpoint.got.size() == 2);
    }

    /**
     * Guards against messages that are lost at the next restart because the folder was replaced by an empty
     * one under a running relay, which went on writing to the old file.
     */
    @Test
    public void replacedFolderReceivesAllOpenMessages() throws Exception {
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("m1", "order", 1, 15_000), 202);
        Path state = stand.folder.resolve("state");
        Files.move(state, stand.folder.resolve("old"));
        Files.createDirectory(state);
        Stand.pause(500);
        assertEquals(stand.handIn("m2", "order", 1, 15_000), 202);
        stand.kill();
        Stand.Server endpoint = stand.endpoint(1, request -> OK);
        stand.start();
        until("both messages are delivered", 4_000, () -> endpoint.got.size() == 2);
    }

    /** Guards against a stack trace or an endless wait where the configured folder is a file. */
    @Test
    public void fileInPlaceOfTheFolderEndsTheStartWithOneLine() throws Exception {
        Files.writeString(stand.folder.resolve("state"), "no folder");
        stand.closed(1);
        stand.launch();
        assertTrue(stand.process.waitFor(10, TimeUnit.SECONDS), "the relay still runs");
        assertEquals(stand.process.exitValue(), 2);
        assertEquals(stand.log().stream().filter(line -> line.contains("state")).count(), 1,
            "" + stand.log());
    }

    /**
     * Guards against a relay that runs out of direct memory when it writes or reads its ledger as a whole.
     */
    @Test
    public void ledgerLargerThanTheDirectMemoryIsWrittenAndReadBack() throws Exception {
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
