package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static yewpath.Stand.OK;
import static yewpath.Stand.until;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** One relay among a thousand others, with more endpoints than the connections that it may have. */
public final class LargeFleetTest extends Stand.Tests {
    private static final int FLEET_SIZE = 1_024;

    /**
     * Guards against idle clients that use up the file descriptors, so that calls, notices and the discovery
     * connection can't be opened. Each of these uses has its own share of the descriptors from the start.
     */
    @Test
    public void idleClientsLeaveDescriptorsForCallsAndDiscovery() throws Exception {
        stand.descriptors = 256;
        stand.limits = ",\"sockets\":256";
        stand.holdMost = 300;
        Stand.Server server = new Stand.Server(request -> OK);
        for (int i = 0; i < 100; i++) {
            stand.listed("e" + i, server.address(), i);
        }
        stand.closed(200);
        stand.start();
        stand.newsAfter = -1;
        stand.noticeStatus = 0;
        stand.discovery.cutAll();
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            Socket socket = stand.connect();
            idle.add(socket);
            if (i % 2 == 0) {
                Stand.ask(socket, "GET /health/live HTTP/1.1\r\n\r\n");
            }
        }
        assertEquals(stand.handIn("held", "status", 200, 900), 202);
        for (int i = 0; i < 100; i++) {
            assertEquals(stand.handIn("to" + i, "status", i, 7900), 202);
        }
        until("each endpoint has its message", 5000, () -> server.got.size() == 100);
        stand.news = "{\"version\":2,\"full\":false,\"servers\":["
            + stand.entry("new", server.address(), 300, "plain", "up") + "]}";
        stand.newsAfter = 0;
        stand.noticeStatus = 204;
        until("the new list is in effect", 6000,
            () -> stand.handIn("n" + System.nanoTime(), "status", 300, 7900) == 202);
        until("the owed notice is acknowledged", 3000, () -> stand.ended("held", "handed_back"));
        assertFalse(stand.hasLogged("accept_failed") || stand.hasLogged("endpoint.sick"),
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
        stand.relays = FLEET_SIZE;
        stand.holdMost = 3 * FLEET_SIZE;
        stand.limits = ",\"sockets\":256";
        stand.flags = List.of("-Xss256k", "-Xms51m", "-Xmx51m", "-XX:+AlwaysPreTouch",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=24m", "-XX:MaxDirectMemorySize=8m");
        Stand.Server server = new Stand.Server(request -> OK);
        for (int i = 0; i < FLEET_SIZE; i++) {
            stand.listed("listed-at-the-start-" + i, server.address(), i);
        }
        stand.news = "{\"version\":2,\"full\":false,\"servers\":["
            + IntStream.range(FLEET_SIZE, 2 * FLEET_SIZE)
                .mapToObj(i -> stand.entry("listed-by-one-line-" + i, server.address(), i, "plain", "up"))
                .collect(Collectors.joining(","))
            + "]}";
        stand.start();
        try (Socket client = stand.connect()) {
            until("the list is in effect", 5000,
                () -> Stand.ask(client, Stand.envelope("last", "status", 2 * FLEET_SIZE - 1, 7900, "x"))
                    .status() == 202);
            for (int i = 0; i < 2 * FLEET_SIZE - 1; i++) {
                assertEquals(Stand.ask(client, Stand.envelope("to" + i, "status", i, 7900, "x")).status(),
                    202, "to " + i);
            }
        }
        until("each endpoint has its message", 8000, () -> server.got.size() == 2 * FLEET_SIZE);
        assertEquals(server.got.stream().map(Stand.Got::id).distinct().count(), 2L * FLEET_SIZE);
        assertTrue(stand.figure("endpoint_links") <= 83, "more connections than descriptors allow");
        long peakKibibytes = Files.readAllLines(Path.of("/proc/" + stand.process.pid() + "/status")).stream()
            .filter(line -> line.startsWith("VmHWM"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum();
        assertTrue(peakKibibytes < 128 * 1024, peakKibibytes + " KiB");
        server.close();
    }
}
