package yewpath;

import static org.testng.Assert.assertEquals;
import static yewpath.RelayFixture.uniqueOk;
import static yewpath.RelayFixture.waitUntil;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which list of endpoints a running relay uses while discovery does not answer it. */
public final class DiscoveryInterruptionTest extends RelayFixture.RelayTest {
    /** Discovery takes its changes to be known 4 s after it moved; endpoints tolerate 300 ms more. */
    private static final int TOLD_MILLIS = 4_300;

    private interface Interruption {
        void start(RelayFixture fixture) throws Exception;
    }

    private static void move(RelayFixture fixture) throws Exception {
        fixture.replaceDiscovery();
        fixture.reload(fixture.config());
    }

    @DataProvider
    public Object[][] interruptions() {
        Interruption move = DiscoveryInterruptionTest::move;
        Interruption close = fixture -> fixture.discovery.closeConnections();
        return new Object[][]{{"moved", "pushed", move}, {"moved", "on_request", move},
            {"closed", "pushed", close}};
    }

    /**
     * Guards against messages that go to an address of another destination: discovery moves, or closes the
     * watch, and then does not answer. A call whose connection is established late must not be sent either.
     */
    @Test(dataProvider = "interruptions")
    public void nothingIsSentByAListThatDiscoveryDoesNotConfirm(String name, String mode,
        Interruption interruption) throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        fixture.discoveryMode = mode;
        fixture.connectTimeoutMillis = 10_000;
        List<String> lateIds = new CopyOnWriteArrayList<>();
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            fixture.listEndpoint("e2", "127.0.0.1:" + unresponsive.getLocalPort(), 2);
            List<Socket> backlog = RelayFixture.fillBacklog(unresponsive);
            fixture.start();
            waitUntil("the list is confirmed", 6_000, fixture::isListCurrent);
            fixture.watchDelayMillis = -1;
            interruption.start(fixture);
            long interruptedAtNanos = System.nanoTime();
            assertEquals(fixture.submit("before", "order", 1, 15_000), 202);
            waitUntil("the old list is used at first", 1_000, () -> endpoint.requests.size() == 1);
            pauseUntil(interruptedAtNanos, TOLD_MILLIS - 1_000);
            assertEquals(fixture.submit("connecting", "order", 2, 15_000), 202);
            pauseUntil(interruptedAtNanos, TOLD_MILLIS);
            assertEquals(fixture.submit("after", "order", 1, 15_000), 202);
            RelayFixture.recordIds(unresponsive, lateIds);
            for (Socket socket : backlog) {
                socket.close();
            }
            // The connection of the second message is established by then: its SYN is repeated after 1 s and 3 s.
            pauseUntil(interruptedAtNanos, TOLD_MILLIS + 2_500);
            assertEquals(lateIds, List.of(), "a call was sent late by the old list");
            assertEquals(endpoint.requests.size(), 1, "a message was sent by the old list");
            fixture.watchDelayMillis = 0;
            waitUntil("the messages are delivered once discovery answers", 6_000,
                () -> endpoint.requests.size() == 2 && lateIds.contains("connecting"));
        }
    }

    private void resetWatches() throws Exception {
        for (Socket watch : List.copyOf(fixture.discovery.sockets)) {
            watch.setSoLinger(true, 0);
            watch.close();
        }
    }

    @DataProvider
    public Object[][] modes() {
        return new Object[][]{{"pushed"}, {"on_request"}};
    }

    /**
     * Guards against a relay that delivers nothing in an outage of discovery that begins with a reset of its watch:
     * the agent accepts the next one, so it did not end, and it learns nothing while it is silent.
     */
    @Test(dataProvider = "modes")
    public void listIsUsedAfterAResetWhileTheAgentIsSilent(String mode) throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        fixture.discoveryMode = mode;
        fixture.start();
        waitUntil("the list is confirmed", 6_000, fixture::isListCurrent);
        fixture.watchDelayMillis = -1;
        resetWatches();
        RelayFixture.pause(TOLD_MILLIS);
        assertEquals(fixture.submit("m1", "order", 1, 15_000), 202);
        waitUntil("the message is sent by the list", 1_000, () -> endpoint.requests.size() == 1);
    }

    /**
     * Guards against a list that is used on after the agent has ended: its connections are reset and new ones are
     * refused. Another agent may know changes.
     */
    @Test(dataProvider = "modes")
    public void nothingIsSentAfterAResetIfNewWatchesAreRefused(String mode) throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        fixture.discoveryMode = mode;
        fixture.start();
        waitUntil("the list is confirmed", 6_000, fixture::isListCurrent);
        resetWatches();
        fixture.discovery.close();
        RelayFixture.pause(TOLD_MILLIS);
        assertEquals(fixture.submit("m1", "order", 1, 15_000), 202);
        RelayFixture.pause(1_000);
        assertEquals(endpoint.requests.size(), 0, "a message was sent by the old list");
    }

    /**
     * Guards against another process of discovery that is taken for the one before: it has another list and
     * counts its versions anew, so its changes do not apply to the list in use.
     */
    @Test
    public void wholeListIsRequestedFromADiscoveryThatCountsAnew() throws Exception {
        RelayFixture.StubServer removed = fixture.addEndpoint(1, request -> uniqueOk());
        RelayFixture.StubServer other = new RelayFixture.StubServer(request -> uniqueOk());
        fixture.listVersion = 40;
        fixture.start();
        fixture.publish(false, fixture.listEntry("e2", other.address(), 2, "plain", "up"));
        waitUntil("the list is in use", 6_000, () -> fixture.submit("m1", "status", 2, 7_900) == 202);
        fixture.initialWatchData = "{\"version\":3,\"full\":true,\"servers\":["
            + fixture.listEntry("e3", other.address(), 1, "plain", "up") + "]}";
        fixture.publish("{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e4", other.address(), 4, "plain", "up") + "]}");
        waitUntil("the whole list is requested", 2_000,
            () -> fixture.watchRequests.get(fixture.watchRequests.size() - 1).contains("since=0"));
        waitUntil("the list of the other process is in use", 2_000,
            () -> fixture.submit("m2-" + System.nanoTime(), "status", 1, 7_900) == 202
                && other.requests.size() > 1);
        assertEquals(removed.requests.size(), 0, "a message was sent by the list of the process before");
        other.close();
    }

    @DataProvider
    public Object[][] paddings() {
        // The longer response does not fit into one read.
        return new Object[][]{{0}, {40_000}};
    }

    /** Guards against a list that is never used because discovery ends each watch together with its list. */
    @Test(dataProvider = "paddings")
    public void listThatEndsWithItsWatchIsUsed(int padding) throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        String list = " ".repeat(padding) + "{\"version\":2,\"full\":true,\"servers\":["
            + fixture.listEntry("e1", endpoint.address(), 1, "plain", "up") + "]}\n";
        fixture.discovery.responder = request -> "HTTP/1.1 200 OK\r\nContent-Length: " + list.length()
            + "\r\n\r\n" + list;
        fixture.watchDelayMillis = -1;
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, 15_000), 202);
        waitUntil("the first message is sent", 1_000, () -> endpoint.requests.size() == 1);
        RelayFixture.pause(TOLD_MILLIS);
        assertEquals(fixture.submit("m2", "order", 1, 15_000), 202);
        waitUntil("a later message is sent", 1_000, () -> endpoint.requests.size() == 2);
    }

    /** Guards against a reload without a new address that makes the list of an outage unusable. */
    @Test
    public void reloadWithTheSameAddressKeepsTheWatch() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        fixture.start();
        waitUntil("the list is confirmed", 6_000, fixture::isListCurrent);
        fixture.watchDelayMillis = -1;
        fixture.watchKeepAlive = false;
        fixture.reload(fixture.config());
        RelayFixture.pause(TOLD_MILLIS);
        assertEquals(fixture.submit("m1", "order", 1, 15_000), 202);
        waitUntil("the message is sent by the list", 1_000, () -> endpoint.requests.size() == 1);
    }

    private static void pauseUntil(long startNanos, long millisSinceStart) {
        RelayFixture.pause(millisSinceStart - (System.nanoTime() - startNanos) / 1_000_000);
    }
}
