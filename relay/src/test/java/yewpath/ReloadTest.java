package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.waitUntil;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.testng.annotations.Test;

/** Reloads the operator's file of a running relay, and checks what the relay logs meanwhile. */
public final class ReloadTest extends RelayFixture.RelayTest {
    /**
     * Guards against messages that are lost, and an invalid file that takes effect, when the operator's file
     * is reloaded under load. The first new file changes one key that takes effect at run time and one that
     * needs a restart; the second file is invalid.
     */
    @Test
    public void reloadUnderLoadLosesNoMessageAndLogsTheChangedKeys() throws Exception {
        Set<String> arrived = ConcurrentHashMap.newKeySet();
        fixture.addEndpoint(1, request -> {
            RelayFixture.pause(20);
            arrived.add(request.id());
            return OK;
        });
        fixture.operatorConfig = "[log]\nform = \"json\"\nlevel = \"debug\"\n";
        fixture.maxOpenMessages = 300;
        fixture.start();
        for (int i = 0; i < 200; i++) {
            assertEquals(fixture.submit("e" + i, "status", 1, 7900), 202);
            if (i == 100) {
                Files.writeString(fixture.operatorFile(),
                    "[log]\nform = \"json\"\nlevel = \"debug\"\n[clients]\nidle_for = \"50 ms\"\nbacklog = 9\n");
                fixture.signal("HUP");
            } else if (i == 150) {
                Files.writeString(fixture.operatorFile(), "[clients]\nidle_for = 7\nidle = 8\n");
                fixture.signal("HUP");
            }
        }
        waitUntil("all messages are delivered", 9000, () -> arrived.size() == 200);
        waitUntil("the relay logs that it refused the invalid file", 2000,
            () -> fixture.logLines().stream().anyMatch(line -> line.contains("relay.reload_refused")));
        List<String> log = fixture.logLines();
        String reloaded = log.stream().filter(line -> line.contains("relay.reloaded")).findFirst()
            .orElseThrow();
        assertTrue(reloaded.contains("\"changed\":[\"clients.idle_for\"]")
            && reloaded.contains("\"waits_for_restart\":[\"clients.backlog\"]"), reloaded);
        String refused = log.stream().filter(line -> line.contains("relay.reload_refused")).findFirst()
            .orElseThrow();
        assertTrue(refused.contains("yewpath.toml:2: clients.idle_for")
            && refused.contains("yewpath.toml:3: unknown key"), refused);
        try (Socket socket = fixture.connect()) {
            assertEquals(RelayFixture.exchange(socket, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
            assertTrue(RelayFixture.isClosedWithin(socket, 2000), "the new idle timeout is not in effect");
        }
        assertTrue(log.stream().allMatch(line -> line.startsWith("{\"time\":\"") && line.endsWith("}")),
            log.toString());
        List<String> events = log.stream().filter(line -> line.contains("\"id\":\"e7\""))
            .map(line -> line.replaceAll(".*\"event\":\"([^\"]+)\".*", "$1"))
            .toList();
        assertEquals(events, List.of("envelope.taken", "envelope.shot", "envelope.fulfilled"));
    }

    /**
     * Guards against a relay that stops serving because its log output is blocked. Nobody reads the relay's
     * output here, so its pipe fills up while many connections are logged.
     */
    @Test
    public void blockedLogOutputDelaysNoMessage() throws Exception {
        fixture.endpointWeight = "1000.0";
        fixture.addEndpoint(1, request -> OK);
        fixture.operatorConfig = "[log]\nlevel = \"debug\"\nqueue = 16\nform = \"json\"\n"
            + "[clients]\nconnections = 4\n";
        fixture.maxOpenMessages = 500;
        // Nobody reads the relay's output: the pipe fills up, and then a write to it blocks forever.
        fixture.leaveOutputUnread = true;
        fixture.start();
        for (int i = 0; i < 400; i++) {
            String id = "q\u0001\"" + i + "\u00ff\u00c3(" + "z".repeat(90);
            try (Socket socket = fixture.connect()) {
                socket.getOutputStream()
                    .write(RelayFixture.messageRequest(id.replace("\u0001", ""), "status", 1, 7900, "x")
                        .getBytes(StandardCharsets.ISO_8859_1));
                assertEquals(RelayFixture.readResponse(socket).status(), 202);
            }
        }
        waitUntil("the relay counts dropped log lines", 2000, () -> fixture.statistic("log_dropped") > 0);
        waitUntil("all messages are delivered", 5000, () -> fixture.statistic("fulfilled") == 400);
    }
}
