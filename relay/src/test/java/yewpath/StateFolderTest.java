package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static yewpath.FaultShim.EIO;
import static yewpath.FaultShim.ENOSPC;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.standins.process.LoopbackAddresses;

/**
 * Failures of the state folder, which outlives the process: it can't be written or read, contains unexpected
 * files, or is replaced.
 */
public final class StateFolderTest extends RelayFixture.RelayTest {
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
        FaultShim shim = new FaultShim(fixture);
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> {
            delivered.add(request.id());
            return OK;
        });
        fixture.listDrainingEndpoint(2);
        fixture.start();
        Set<String> accepted = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 5; i++) {
            assertEquals(fixture.submit("before" + i, "order", 2, 15_000), 202);
            accepted.add("before" + i);
        }
        shim.failSystemCalls(fault, furtherFault);
        int refused = submitSeveral("during", 40, accepted);
        assertTrue(fixture.process.isAlive(), "the relay ended: " + fixture.logLines());
        assertTrue(refused >= 35, "messages accepted although no record can be written: " + (40 - refused));
        shim.clearFaults();
        waitUntil("the relay accepts messages again", 2_000,
            () -> fixture.submit("again", "order", 1, 15_000) == 202);
        accepted.add("again");
        submitSeveral("after", 10, accepted);
        fixture.kill();
        endpoint.requests.forEach(request -> accepted.add(request.id()));
        RelayFixture.StubServer second = fixture.addEndpoint(2, request -> {
            delivered.add(request.id());
            return OK;
        });
        fixture.start();
        waitUntil("each accepted message has its outcome", 8_000,
            () -> accepted.stream()
                .allMatch(id -> delivered.contains(id) || fixture.hasOutcomeNotice(id, "outcome")));
        assertTrue(second.requests.size() >= 5);
        List<String> calls = Stream.concat(endpoint.requests.stream(), second.requests.stream())
            .map(RelayFixture.ReceivedRequest::id)
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
            if (fixture.submit(name + i, "order", 1, 15_000) == 202) {
                accepted.add(name + i);
            } else {
                refused++;
            }
            RelayFixture.pause(15);
        }
        return refused;
    }

    /**
     * Guards against an attempt that is sent before it is recorded: after a kill, the next process would
     * send an at-most-once message again.
     */
    @Test
    public void attemptThatCannotBeRecordedIsNotSent() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> REFUSED);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 15_000), 202);
        waitUntil("the endpoint refused the first attempt", 3_000, () -> !endpoint.requests.isEmpty());
        shim.failSystemCalls("write=" + EIO);
        endpoint.responder = request -> NO_RESPONSE;
        RelayFixture.pause(600);
        int attempts = endpoint.requests.size();
        RelayFixture.pause(800);
        assertEquals(endpoint.requests.size(), attempts);
        fixture.kill();
        shim.clearFaults();
        endpoint.responder = request -> OK;
        fixture.start();
        waitUntil("the message has its outcome", 5_000,
            () -> endpoint.requests.size() > attempts || fixture.hasOutcomeNotice("m1", "given_up"));
    }

    /** Guards against a notice that is delayed until the folder can be written again. */
    @Test
    public void outcomeIsReportedInTimeAlthoughItCannotBeRecorded() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 1_000), 202);
        long startNanos = System.nanoTime();
        shim.failSystemCalls("write=" + EIO);
        waitUntil("the platform is notified", 2_000, () -> fixture.hasOutcomeNotice("m1", "outcome"));
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
        FaultShim shim = new FaultShim(fixture);
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 20_000), 202);
        fixture.kill();
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        shim.failSystemCalls(fault);
        fixture.startProcess();
        RelayFixture.pause(2_500);
        assertTrue(fixture.process.isAlive(),
            "the relay ended with " + (fixture.process.isAlive() ? "" : exitCode()));
        shim.clearFaults();
        waitUntil("the relay is ready", 3_000, fixture::isReady);
        waitUntil("the open message is delivered", 3_000, () -> endpoint.requests.size() == 1);
    }

    private int exitCode() {
        return fixture.process.exitValue();
    }

    /**
     * Guards against a start that fails on unexpected contents, such as another disk has: directories in
     * place of the ledger's files, or a file that is no ledger. They count as empty.
     */
    @Test
    public void unexpectedContentsCountAsAnEmptyFolder() throws Exception {
        Path state = fixture.directory.resolve("state");
        for (String name : List.of("ledger", "ledger.next")) {
            Files.createDirectories(state.resolve(name).resolve("lost+found"));
        }
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 5_000), 202);
        waitUntil("the message is delivered", 2_000, () -> endpoint.requests.size() == 1);
        fixture.kill();
        Files.write(state.resolve("ledger"), new byte[100_000]);
        fixture.start();
        assertEquals(fixture.submit("m2", "order", 1, 5_000), 202);
        waitUntil("the message is delivered", 2_000, () -> endpoint.requests.size() == 2);
    }

    /**
     * Guards against a second process on the folder of a running relay: it would replace the ledger, which the
     * first one writes to, and send the same messages.
     */
    @Test
    public void secondProcessOnAFolderEndsAndTouchesNothing() throws Exception {
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 20_000), 202);
        Path ledger = fixture.directory.resolve("state").resolve("ledger");
        Object fileKey = Files.readAttributes(ledger, BasicFileAttributes.class).fileKey();
        byte[] content = Files.readAllBytes(ledger);
        String otherAddress = LoopbackAddresses.hostAndPort(LoopbackAddresses.next());
        Path config = Files.writeString(fixture.directory.resolve("second.json"), fixture.config()
            .replace(LoopbackAddresses.hostAndPort(fixture.relayAddress), otherAddress));
        Process second = RelayFixture.yewpathCommand("serve", "--config", config.toString()).start();
        assertTrue(second.waitFor(10, TimeUnit.SECONDS), "the second process runs");
        assertEquals(second.exitValue(), 2);
        assertEquals(new String(second.getInputStream().readAllBytes()), "yewpath: the state folder "
            + ledger.getParent() + " is in use by another process\n");
        assertEquals(Files.readAttributes(ledger, BasicFileAttributes.class).fileKey(), fileKey);
        assertEquals(Files.readAllBytes(ledger), content);
        assertEquals(fixture.submit("m2", "order", 1, 20_000), 202);
    }

    /** Guards against a folder that stays locked after its process was killed. */
    @Test
    public void folderOfAKilledProcessIsUsedAtOnce() throws Exception {
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 20_000), 202);
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.process.destroyForcibly();
        fixture.startProcess();
        waitUntil("the message is delivered", 5_000, () -> endpoint.requests.size() == 1);
    }

    /**
     * Guards against messages that are lost at the next restart because the folder was replaced by an empty
     * one under a running relay, which went on writing to the old file.
     */
    @Test
    public void replacedFolderReceivesAllOpenMessages() throws Exception {
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 15_000), 202);
        Path state = fixture.directory.resolve("state");
        Files.move(state, fixture.directory.resolve("old"));
        Files.createDirectory(state);
        RelayFixture.pause(500);
        assertEquals(fixture.submit("m2", "order", 1, 15_000), 202);
        fixture.kill();
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.start();
        waitUntil("both messages are delivered", 4_000, () -> endpoint.requests.size() == 2);
    }

    /** Guards against a stack trace or an endless wait where the configured folder is a file. */
    @Test
    public void fileInPlaceOfTheFolderEndsTheStartWithOneLine() throws Exception {
        Files.writeString(fixture.directory.resolve("state"), "no folder");
        fixture.listDrainingEndpoint(1);
        fixture.startProcess();
        assertTrue(fixture.process.waitFor(10, TimeUnit.SECONDS), "the relay still runs");
        assertEquals(fixture.process.exitValue(), 2);
        assertEquals(fixture.logLines().stream().filter(line -> line.contains("state")).count(), 1,
            "" + fixture.logLines());
    }

    /**
     * Guards against a relay that runs out of direct memory when it writes or reads its ledger as a whole.
     */
    @Test
    public void ledgerLargerThanTheDirectMemoryIsWrittenAndReadBack() throws Exception {
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
