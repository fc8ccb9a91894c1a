package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.uniqueOk;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which list a relay uses while discovery writes another one slowly. In that list the endpoint of
 * destination 1 is replaced, and its address belongs to destination 2.
 */
public final class SlowDiscoveryTest extends RelayFixture.RelayTest {
    /** A change counts as known 6 s after discovery had it; endpoints tolerate 300 ms more. */
    private static final int TOLD_MILLIS = 6_300;
    /** The time in which a complete list is used: after a long transfer, with the next empty line. */
    private static final int USE_MILLIS = 2_500;
    private static final int FEW_ENTRIES = 200;
    private static final int MANY_ENTRIES = 3_200;

    private RelayFixture.StubServer previous;
    private RelayFixture.StubServer replacement;
    private PacedDiscovery discovery;
    private int messageCount;

    private void startRelay(String mode) throws Exception {
        fixture.discoveryMode = mode;
        previous = fixture.addEndpoint(1, request -> uniqueOk());
        replacement = new RelayFixture.StubServer(request -> uniqueOk());
        discovery = PacedDiscovery.serve(fixture.discovery, fixture.listVersion);
        fixture.watchDelayMillis = -1;
        fixture.start();
        waitUntil("the list is confirmed", 6_000, fixture::isListCurrent);
        assertEquals(submit(), 202);
        waitUntil("the list is used", 1_000, () -> previous.requests.size() == 1);
    }

    private int submit() throws IOException {
        return fixture.submit("m" + messageCount++, "status", 1, 7_900);
    }

    /**
     * Publishes the list.
     *
     * @param entryCount the number of endpoints of other destinations in it
     * @param millis how long a watch takes to write it
     */
    private void publishReplacement(boolean complete, int entryCount, int millis) {
        List<String> entries = new ArrayList<>();
        if (!complete) {
            entries.add(fixture.listEntry("e1", previous.address(), 1, "plain", "removed"));
        }
        entries.add(fixture.listEntry("e9", previous.address(), 2, "plain", "up"));
        entries.add(fixture.listEntry("e3", replacement.address(), 1, "plain", "up"));
        for (int number = 0; number < entryCount; number++) {
            entries.add(fixture.listEntry("f" + number, "127.0.0.1:1", 100 + number, "plain", "up"));
        }
        discovery.publish(complete, entries, millis);
    }

    /**
     * Submits messages until one reaches the replacement, then checks that none has reached the previous
     * endpoint too late.
     */
    private void assertListIsHeard(long toldSinceNanos, int withinMillis) throws Exception {
        waitUntil("the list is in use", withinMillis, () -> {
            submit();
            RelayFixture.pause(50);
            return !replacement.requests.isEmpty();
        });
        assertNothingLateReached(previous, toldSinceNanos, TOLD_MILLIS);
    }

    private static void assertNothingLateReached(RelayFixture.StubServer endpoint, long sinceNanos,
        int boundMillis) {
        List<Long> lateMillis = endpoint.requests.stream()
            .map(request -> (request.receivedAtNanos - sinceNanos) / 1_000_000)
            .filter(millis -> millis > boundMillis).toList();
        assertEquals(lateMillis, List.of(), "messages were sent by the old list");
    }

    private void assertUsedOnceWritten() {
        long afterMillis = (replacement.requests.get(0).receivedAtNanos - discovery.writtenAtNanos)
            / 1_000_000;
        assertTrue(afterMillis < USE_MILLIS, "the list was used " + afterMillis + " ms after it was written");
    }

    @DataProvider
    public Object[][] slowChanges() {
        return new Object[][]{{"pushed", false, FEW_ENTRIES, 3_400},
            {"on_request", false, FEW_ENTRIES, 3_400},
            {"pushed", false, FEW_ENTRIES, 7_500}, {"pushed", true, MANY_ENTRIES, 5_000}};
    }

    /**
     * Guards against a change that is never heard because it takes longer than discovery may be silent, and
     * against messages to an address that another destination got meanwhile.
     */
    @Test(dataProvider = "slowChanges")
    public void slowChangeIsUsedOnceItIsWritten(String mode, boolean complete, int entryCount, int millis)
        throws Exception {
        startRelay(mode);
        long publishedAtNanos = System.nanoTime();
        publishReplacement(complete, entryCount, millis);
        assertListIsHeard(publishedAtNanos, 2 * millis + 5_000);
        assertUsedOnceWritten();
        assertEquals(discovery.requestedVersions.size(), 1, "the watch was requested again");
    }

    /**
     * Guards against calls by an outdated list: discovery has a change that it can begin to write only after
     * another one, so its age does not count from its first byte.
     */
    @Test
    public void nothingIsSentByAListWhoseChangeWaitsBehindAnother() throws Exception {
        startRelay("pushed");
        discovery.publish(false, List.of(fixture.listEntry("f", "127.0.0.1:1", 100, "plain", "up")), 4_500);
        RelayFixture.pause(200);
        long publishedAtNanos = System.nanoTime();
        publishReplacement(false, FEW_ENTRIES, 4_500);
        assertListIsHeard(publishedAtNanos, 15_000);
        assertUsedOnceWritten();
    }

    @DataProvider
    public Object[][] modes() {
        return new Object[][]{{"pushed"}, {"on_request"}};
    }

    /** Guards against a restarted relay that sends nothing because its first list is never complete. */
    @Test(dataProvider = "modes")
    public void slowFirstListAfterARestartIsUsed(String mode) throws Exception {
        startRelay(mode);
        fixture.kill();
        publishReplacement(true, FEW_ENTRIES, 4_500);
        discovery.requestedVersions.clear();
        fixture.start();
        assertListIsHeard(System.nanoTime(), 15_000);
        assertUsedOnceWritten();
        assertEquals(previous.requests.size(), 1, "a message was sent by the list of the configuration");
        assertEquals(discovery.requestedVersions.size(), 1, "the watch was requested again");
    }

    /** Guards against a list that is never heard after a reload has moved discovery to a slow server. */
    @Test
    public void slowListAtANewAddressIsUsed() throws Exception {
        startRelay("pushed");
        discovery = PacedDiscovery.serve(fixture.replaceDiscovery(), fixture.listVersion);
        publishReplacement(true, FEW_ENTRIES, 5_500);
        fixture.reload(fixture.config());
        long movedAtNanos = System.nanoTime();
        assertListIsHeard(movedAtNanos, 15_000);
        assertUsedOnceWritten();
        // Discovery takes its changes to be known 4 s after it moved.
        assertNothingLateReached(previous, movedAtNanos, 4_300);
    }

    /** Guards against a change whose watch stalls in the middle: the next watch has to get it. */
    @Test
    public void changeIsHeardAfterAStallInTheMiddle() throws Exception {
        startRelay("pushed");
        discovery.stallAfterBytes = 1_000;
        publishReplacement(false, FEW_ENTRIES, 1_000);
        assertListIsHeard(System.nanoTime(), TOLD_MILLIS);
        assertEquals(discovery.requestedVersions, List.of(1, 1));
    }

    /**
     * Guards against calls by an outdated list: a change has begun to arrive and does not continue, on a relay
     * that waits long before it requests the watch again.
     */
    @Test
    public void nothingIsSentByAListWhoseChangeStalls() throws Exception {
        fixture.operatorConfig = "[discovery]\nsilence = \"9 s\"\n";
        startRelay("pushed");
        discovery.stallAfterBytes = 1_000;
        publishReplacement(false, FEW_ENTRIES, 1_000);
        assertListIsHeard(System.nanoTime(), 15_000);
    }

    /**
     * Guards against a change that is never heard because discovery is slower than any watch is given: the
     * time has to grow until the change arrives.
     */
    @Test
    public void verySlowChangeIsHeardAtLast() throws Exception {
        fixture.operatorConfig = "[discovery]\nsilence = \"1500 ms\"\n";
        startRelay("pushed");
        publishReplacement(false, 10, 4_500);
        assertListIsHeard(System.nanoTime(), 30_000);
        assertUsedOnceWritten();
    }
}
