package yewpath.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.SkipException;
import org.testng.annotations.Test;
import yewpath.lab.load.SocketRun;
import yewpath.lab.scenario.ScenarioFile;
import yewpath.lab.world.World;

/** A scenario on sockets; {@code mvn verify} has built the relay by then. */
public final class LiveTest {
    private static final Path RELAY = Path.of("../relay/target/yewpath.jar");

    private static SocketRun live(String text) throws Exception {
        return new SocketRun(System.out, ScenarioFile.parse("s.toml", text).base());
    }

    @Test
    public void socketsAndEmulatorKeepTheSameRules() throws Exception {
        if (!Files.exists(RELAY)) {
            throw new SkipException("the relay's jar is not built: mvn verify does that");
        }
        String text = "[run]\nlength = \"4 s\"\n[world]\nrelays = 2\ndestinations = 3\n[load]\nrate = 80\nkeys = 3\n[endpoint]\nlimit = 40\n"
            + "limit_wait = \"200 ms\"\nfalls_at = 0\n[[offering]]\nname = \"a\"\nexpiry = \"3 s\"\n[[offering]]\nname = \"b\"\nkind = \"once-only\"\n"
            + "expiry = \"3 s\"\n[[offering]]\nname = \"c\"\nkind = \"tagged\"\nordered = true\nexpiry = \"3 s\"\n[[trouble]]\nwhat = \"refuse\"\n"
            + "at = \"1 s\"\nfor = \"500 ms\"\n[[trouble]]\nwhat = \"relay-kill\"\nat = \"2 s\"\nfor = \"400 ms\"\n[[trouble]]\nwhat = \"drain\"\n"
            + "at = \"3 s\"\nfor = \"500 ms\"\n";
        SocketRun live = live(text);
        World.RunResult outcome = live.run(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx76m", "-jar", RELAY.toString()));
        assertEquals(outcome.violations(), List.of());
        assertTrue(outcome.requests() > 200 && outcome.deliveredShare() > 0.5,
            outcome.requests() + " wishes, fulfilled " + outcome.deliveredShare());
        assertEquals(live.resourceUsage().size(), 2);
        assertTrue(
            live.resourceUsage().get(1).residentMb() > 10
                && live.resourceUsage().get(1).openDescriptors() > 5,
            live.resourceUsage().toString());
    }

    @Test
    public void whatSocketsCannotPlayIsRefused() {
        String trouble = "[[trouble]]\nwhat = \"vanish\"\nat = \"1 s\"\nfor = \"1 s\"\n";
        assertTrue(expectThrows(IllegalArgumentException.class, () -> live(trouble)).getMessage()
            .contains("vanish can't be played"));
        assertTrue(expectThrows(IllegalArgumentException.class, () -> live("[world]\nrelays = 17"))
            .getMessage().contains("at most 16"));
    }
}
