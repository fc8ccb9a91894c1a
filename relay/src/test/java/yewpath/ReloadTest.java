package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.Stand.OK;
import static yewpath.Stand.until;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.testng.annotations.Test;

/** Reloads the operator's file of a running relay, and checks what the relay logs meanwhile. */
public final class ReloadTest extends Stand.Tests {
    /**
     * Guards against messages that are lost, and an invalid file that takes effect, when the operator's file
     * is reloaded under load. The first new file changes one key that takes effect at run time and one that
     * needs a restart; the second file is invalid.
     */
    @Test
    public void reloadUnderLoadLosesNoMessageAndLogsTheChangedKeys() throws Exception {
        Set<String> arrived = ConcurrentHashMap.newKeySet();
        stand.endpoint(1, request -> {
            Stand.pause(20);
            arrived.add(request.id());
            return OK;
        });
        stand.operator = "[log]\nform = \"json\"\nlevel = \"debug\"\n";
        stand.holdMost = 300;
        stand.start();
        for (int i = 0; i < 200; i++) {
            assertEquals(stand.handIn("e" + i, "status", 1, 7900), 202);
            if (i == 100) {
                Files.writeString(stand.operatorFile(),
                    "[log]\nform = \"json\"\nlevel = \"debug\"\n[clients]\nidle_for = \"50 ms\"\nbacklog = 9\n");
                stand.signal("HUP");
            } else if (i == 150) {
                Files.writeString(stand.operatorFile(), "[clients]\nidle_for = 7\nidle = 8\n");
                stand.signal("HUP");
            }
        }
        until("all messages are delivered", 9000, () -> arrived.size() == 200);
        until("the relay logs that it refused the invalid file", 2000,
            () -> stand.log().stream().anyMatch(line -> line.contains("relay.reload_refused")));
        List<String> log = stand.log();
        String reloaded = log.stream().filter(line -> line.contains("relay.reloaded")).findFirst()
            .orElseThrow();
        assertTrue(reloaded.contains("\"changed\":[\"clients.idle_for\"]")
            && reloaded.contains("\"waits_for_restart\":[\"clients.backlog\"]"), reloaded);
        String refused = log.stream().filter(line -> line.contains("relay.reload_refused")).findFirst()
            .orElseThrow();
        assertTrue(refused.contains("yewpath.toml:2: clients.idle_for")
            && refused.contains("yewpath.toml:3: unknown key"), refused);
        try (Socket socket = stand.connect()) {
            assertEquals(Stand.ask(socket, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
            assertTrue(Stand.closes(socket, 2000), "the new idle timeout is not in effect");
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
        stand.weight = "1000.0";
        stand.endpoint(1, request -> OK);
        stand.operator = "[log]\nlevel = \"debug\"\nqueue = 16\nform = \"json\"\n[clients]\nconnections = 4\n";
        stand.holdMost = 500;
        // Nobody reads the relay's output: the pipe fills up, and then a write to it blocks forever.
        stand.unread = true;
        stand.start();
        for (int i = 0; i < 400; i++) {
            String id = "q\u0001\"" + i + "\u00ff\u00c3(" + "z".repeat(90);
            try (Socket socket = stand.connect()) {
                socket.getOutputStream()
                    .write(Stand.envelope(id.replace("\u0001", ""), "status", 1, 7900, "x")
                        .getBytes(StandardCharsets.ISO_8859_1));
                assertEquals(Stand.answer(socket).status(), 202);
            }
        }
        until("the relay counts dropped log lines", 2000, () -> stand.figure("log_dropped") > 0);
        until("all messages are delivered", 5000, () -> stand.figure("fulfilled") == 400);
    }
}
