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

/** The operator's file on a relay that runs, and what its log says meanwhile. */
public final class ReloadTest extends RelayFixture.RelayTest {
    @Test
    public void aNewFileUnderLoadLosesNothingAndSaysWhatWaits() throws Exception {
        Set<String> arrived = ConcurrentHashMap.newKeySet();
        fixture.addEndpoint(1, got -> {
            RelayFixture.pause(20);
            arrived.add(got.id());
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
        waitUntil("all delivered", 9000, () -> arrived.size() == 200);
        waitUntil("the bad file is told", 2000,
            () -> fixture.logLines().stream().anyMatch(l -> l.contains("relay.reload_refused")));
        List<String> log = fixture.logLines();
        String taken = log.stream().filter(l -> l.contains("relay.reloaded")).findFirst().orElseThrow();
        assertTrue(taken.contains("\"changed\":[\"clients.idle_for\"]")
            && taken.contains("\"waits_for_restart\":[\"clients.backlog\"]"), taken);
        String refused = log.stream().filter(l -> l.contains("relay.reload_refused")).findFirst()
            .orElseThrow();
        assertTrue(refused.contains("yewpath.toml:2: clients.idle_for")
            && refused.contains("yewpath.toml:3: unknown key"), refused);
        try (Socket socket = fixture.connect()) {
            assertEquals(RelayFixture.exchange(socket, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
            assertTrue(RelayFixture.isClosedWithin(socket, 2000), "the new idle time is not in force");
        }
        assertTrue(log.stream().allMatch(l -> l.startsWith("{\"time\":\"") && l.endsWith("}")),
            log.toString());
        List<String> life = log.stream().filter(l -> l.contains("\"id\":\"e7\""))
            .map(l -> l.replaceAll(".*\"event\":\"([^\"]+)\".*", "$1"))
            .toList();
        assertEquals(life, List.of("envelope.taken", "envelope.shot", "envelope.fulfilled"));
    }

    @Test
    public void aFloodOfClientsIsSummedUpAndNobodyWaitsForTheLog() throws Exception {
        fixture.endpointWeight = "1000.0";
        fixture.addEndpoint(1, got -> OK);
        fixture.operatorConfig = "[log]\nlevel = \"debug\"\nqueue = 16\nform = \"json\"\n[clients]\nconnections = 4\n";
        fixture.maxOpenMessages = 500;
        // Nobody reads what the relay writes: its pipe fills, and a write to it waits for good.
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
        waitUntil("what was dropped is counted", 2000, () -> fixture.statistic("log_dropped") > 0);
        waitUntil("all delivered", 5000, () -> fixture.statistic("fulfilled") == 400);
    }
}
