package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.Stand.OK;
import static yewpath.Stand.until;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** A relay among a thousand others and more endpoints than it may hold connections. */
public final class LargeFleetTest extends Stand.Tests {
    private static final int MANY = 1_024;

    @Test
    public void aThousandEndpointsAndRelaysFitTheTightestLimits() throws Exception {
        stand.relays = MANY;
        stand.holdMost = 3 * MANY;
        stand.limits = ",\"sockets\":256";
        stand.flags = List.of("-Xss256k", "-Xms51m", "-Xmx51m", "-XX:+AlwaysPreTouch", "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=24m", "-XX:MaxDirectMemorySize=8m");
        Stand.Server all = new Stand.Server(got -> OK);
        for (int i = 0; i < MANY; i++) {
            stand.listed("listed-at-the-start-" + i, all.address(), i);
        }
        stand.news = "{\"version\":2,\"full\":false,\"servers\":[" + IntStream.range(MANY, 2 * MANY)
            .mapToObj(i -> stand.entry("listed-by-one-line-" + i, all.address(), i, "plain", "up")).collect(Collectors.joining(","))
            + "]}";
        stand.start();
        try (Socket client = stand.connect()) {
            until("the line is taken up", 5000, () -> Stand.ask(client, Stand.envelope("last", "status", 2 * MANY - 1, 7900, "x"))
                .status() == 202);
            for (int i = 0; i < 2 * MANY - 1; i++) {
                assertEquals(Stand.ask(client, Stand.envelope("to" + i, "status", i, 7900, "x")).status(), 202, "to " + i);
            }
        }
        until("each has its envelope", 8000, () -> all.got.size() == 2 * MANY);
        assertEquals(all.got.stream().map(Stand.Got::id).distinct().count(), 2L * MANY);
        assertTrue(stand.figure("endpoint_links") <= 83, "more connections than descriptors allow");
        long most = Files.readAllLines(Path.of("/proc/" + stand.process.pid() + "/status")).stream()
            .filter(line -> line.startsWith("VmHWM")).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum();
        assertTrue(most < 128 * 1024, most + " KiB");
        all.close();
    }
}
