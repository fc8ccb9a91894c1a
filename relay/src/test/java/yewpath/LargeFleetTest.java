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

/** A relay among a thousand others and more endpoints than it may hold connections. */
public final class LargeFleetTest extends RelayFixture.RelayTest {
    private static final int MANY = 1_024;

    /** Descriptors are parted from the start: who only rests can't take those of calls, notices and the watch. */
    @Test
    public void idleClientsLeaveRoomForAllElseWhileDiscoveryIsDown() throws Exception {
        fixture.maxFileDescriptors = 256;
        fixture.extraLimits = ",\"sockets\":256";
        fixture.maxOpenMessages = 300;
        RelayFixture.StubServer all = new RelayFixture.StubServer(got -> OK);
        for (int i = 0; i < 100; i++) {
            fixture.listEndpoint("e" + i, all.address(), i);
        }
        fixture.listDrainingEndpoint(200);
        fixture.start();
        fixture.watchDelayMillis = -1;
        fixture.noticeStatus = 0;
        fixture.discovery.closeConnections();
        List<Socket> resting = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            Socket socket = fixture.connect();
            resting.add(socket);
            if (i % 2 == 0) {
                RelayFixture.exchange(socket, "GET /health/live HTTP/1.1\r\n\r\n");
            }
        }
        assertEquals(fixture.submit("held", "status", 200, 900), 202);
        for (int i = 0; i < 100; i++) {
            assertEquals(fixture.submit("to" + i, "status", i, 7900), 202);
        }
        waitUntil("each has its envelope", 5000, () -> all.requests.size() == 100);
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("new", all.address(), 300, "plain", "up") + "]}";
        fixture.watchDelayMillis = 0;
        fixture.noticeStatus = 204;
        waitUntil("the list is taken up", 6000,
            () -> fixture.submit("n" + System.nanoTime(), "status", 300, 7900) == 202);
        waitUntil("the end that was owed is heard", 3000,
            () -> fixture.hasOutcomeNotice("held", "handed_back"));
        assertFalse(fixture.hasLogged("accept_failed") || fixture.hasLogged("endpoint.sick"),
            "descriptors ran out");
        for (Socket socket : resting) {
            socket.close();
        }
        all.close();
    }

    @Test
    public void aThousandEndpointsAndRelaysFitTheTightestLimits() throws Exception {
        fixture.relayCount = MANY;
        fixture.maxOpenMessages = 3 * MANY;
        fixture.extraLimits = ",\"sockets\":256";
        fixture.jvmFlags = List.of("-Xss256k", "-Xms51m", "-Xmx51m", "-XX:+AlwaysPreTouch",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=24m", "-XX:MaxDirectMemorySize=8m");
        RelayFixture.StubServer all = new RelayFixture.StubServer(got -> OK);
        for (int i = 0; i < MANY; i++) {
            fixture.listEndpoint("listed-at-the-start-" + i, all.address(), i);
        }
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + IntStream.range(MANY, 2 * MANY)
                .mapToObj(i -> fixture.listEntry("listed-by-one-line-" + i, all.address(), i, "plain", "up"))
                .collect(Collectors.joining(","))
            + "]}";
        fixture.start();
        try (Socket client = fixture.connect()) {
            waitUntil("the line is taken up", 5000,
                () -> RelayFixture
                    .exchange(client, RelayFixture.messageRequest("last", "status", 2 * MANY - 1, 7900, "x"))
                    .status() == 202);
            for (int i = 0; i < 2 * MANY - 1; i++) {
                assertEquals(RelayFixture
                    .exchange(client, RelayFixture.messageRequest("to" + i, "status", i, 7900, "x")).status(),
                    202, "to " + i);
            }
        }
        waitUntil("each has its envelope", 8000, () -> all.requests.size() == 2 * MANY);
        assertEquals(all.requests.stream().map(RelayFixture.ReceivedRequest::id).distinct().count(),
            2L * MANY);
        assertTrue(fixture.statistic("endpoint_links") <= 83, "more connections than descriptors allow");
        long most = Files.readAllLines(Path.of("/proc/" + fixture.process.pid() + "/status")).stream()
            .filter(line -> line.startsWith("VmHWM"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum();
        assertTrue(most < 128 * 1024, most + " KiB");
        all.close();
    }
}
