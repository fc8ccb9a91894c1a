package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.waitUntil;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** One relay among a thousand others, with more endpoints than the connections that it may have. */
public final class LargeFleetTest extends RelayFixture.RelayTest {
    private static final int FLEET_SIZE = 1_024;

    /**
     * Guards against idle clients that use up the file descriptors, so that calls, notices and the discovery
     * connection can't be opened. Each of these uses has its own share of the descriptors from the start.
     */
    @Test
    public void idleClientsLeaveDescriptorsForCallsAndDiscovery() throws Exception {
        fixture.maxFileDescriptors = 256;
        fixture.extraLimits = ",\"sockets\":256";
        fixture.maxOpenMessages = 300;
        RelayFixture.StubServer server = new RelayFixture.StubServer(request -> OK);
        for (int i = 0; i < 100; i++) {
            fixture.listEndpoint("e" + i, server.address(), i);
        }
        fixture.listDrainingEndpoint(200);
        fixture.start();
        fixture.watchDelayMillis = -1;
        fixture.noticeStatus = 0;
        fixture.discovery.closeConnections();
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            Socket socket = fixture.connect();
            idle.add(socket);
            if (i % 2 == 0) {
                RelayFixture.exchange(socket, "GET /health/live HTTP/1.1\r\n\r\n");
            }
        }
        assertEquals(fixture.submit("held", "status", 200, 900), 202);
        for (int i = 0; i < 100; i++) {
            assertEquals(fixture.submit("to" + i, "status", i, 7900), 202);
        }
        waitUntil("each endpoint has its message", 5000, () -> server.requests.size() == 100);
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("new", server.address(), 300, "plain", "up") + "]}";
        fixture.watchDelayMillis = 0;
        fixture.noticeStatus = 204;
        waitUntil("the new list is in effect", 6000,
            () -> fixture.submit("n" + System.nanoTime(), "status", 300, 7900) == 202);
        waitUntil("the owed notice is acknowledged", 3000,
            () -> fixture.hasOutcomeNotice("held", "handed_back"));
        assertFalse(fixture.hasLogged("accept_failed") || fixture.hasLogged("endpoint.sick"),
            "descriptors ran out");
        for (Socket socket : idle) {
            socket.close();
        }
        server.close();
    }

    /**
     * Guards against memory or connections that grow with the number of endpoints and relays beyond the
     * smallest limits of a relay.
     */
    @Test
    public void thousandsOfEndpointsFitTheSmallestLimits() throws Exception {
        fixture.relayCount = FLEET_SIZE;
        fixture.maxOpenMessages = 3 * FLEET_SIZE;
        fixture.extraLimits = ",\"sockets\":256";
        fixture.jvmFlags = List.of("-Xss256k", "-Xms51m", "-Xmx51m", "-XX:+AlwaysPreTouch",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=24m", "-XX:MaxDirectMemorySize=8m");
        RelayFixture.StubServer server = new RelayFixture.StubServer(request -> OK);
        for (int i = 0; i < FLEET_SIZE; i++) {
            fixture.listEndpoint("listed-at-the-start-" + i, server.address(), i);
        }
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + IntStream.range(FLEET_SIZE, 2 * FLEET_SIZE)
                .mapToObj(
                    i -> fixture.listEntry("listed-by-one-line-" + i, server.address(), i, "plain", "up"))
                .collect(Collectors.joining(","))
            + "]}";
        fixture.start();
        try (Socket client = fixture.connect()) {
            waitUntil("the list is in effect", 5000,
                () -> RelayFixture
                    .exchange(client,
                        RelayFixture.messageRequest("last", "status", 2 * FLEET_SIZE - 1, 7900, "x"))
                    .status() == 202);
            for (int i = 0; i < 2 * FLEET_SIZE - 1; i++) {
                assertEquals(RelayFixture
                    .exchange(client, RelayFixture.messageRequest("to" + i, "status", i, 7900, "x")).status(),
                    202, "to " + i);
            }
        }
        waitUntil("each endpoint has its message", 8000, () -> server.requests.size() == 2 * FLEET_SIZE);
        assertEquals(server.requests.stream().map(RelayFixture.ReceivedRequest::id).distinct().count(),
            2L * FLEET_SIZE);
        assertTrue(fixture.statistic("endpoint_links") <= 83, "more connections than descriptors allow");
        long peakKibibytes = Files.readAllLines(Path.of("/proc/" + fixture.process.pid() + "/status"))
            .stream()
            .filter(line -> line.startsWith("VmHWM"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum();
        assertTrue(peakKibibytes < 128 * 1024, peakKibibytes + " KiB");
        server.close();
    }
}
