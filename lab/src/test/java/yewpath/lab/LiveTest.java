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

/**
 * Plays scenarios over sockets. It needs the relay's jar, which {@code mvn verify} builds before this test.
 */
public final class LiveTest {
    private static final Path RELAY_JAR = Path.of("../relay/target/yewpath.jar");

    private static SocketRun socketRun(String scenario) throws Exception {
        return new SocketRun(System.out, ScenarioFile.parse("s.toml", scenario).base());
    }

    @Test
    public void relaysBehindSocketsBreakNoRule() throws Exception {
        if (!Files.exists(RELAY_JAR)) {
            throw new SkipException("the relay's jar is not built; mvn verify builds it");
        }
        String scenario = "[run]\nlength = \"4 s\"\n[world]\nrelays = 2\ndestinations = 3\n"
            + "[load]\nrate = 80\nkeys = 3\n[endpoint]\nlimit = 40\nlimit_wait = \"200 ms\"\nfalls_at = 0\n"
            + "[[offering]]\nname = \"a\"\nexpiry = \"3 s\"\n"
            + "[[offering]]\nname = \"b\"\nkind = \"once-only\"\nexpiry = \"3 s\"\n"
            + "[[offering]]\nname = \"c\"\nkind = \"tagged\"\nordered = true\nexpiry = \"3 s\"\n"
            + "[[trouble]]\nwhat = \"refuse\"\nat = \"1 s\"\nfor = \"500 ms\"\n"
            + "[[trouble]]\nwhat = \"relay-kill\"\nat = \"2 s\"\nfor = \"400 ms\"\n"
            + "[[trouble]]\nwhat = \"drain\"\nat = \"3 s\"\nfor = \"500 ms\"\n";
        SocketRun run = socketRun(scenario);
        World.RunResult result = run.run(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx76m", "-jar", RELAY_JAR.toString()));
        assertEquals(result.violations(), List.of());
        assertTrue(result.requests() > 200 && result.deliveredShare() > 0.5,
            result.requests() + " requests, share delivered " + result.deliveredShare());
        assertEquals(run.resourceUsage().size(), 2);
        assertTrue(
            run.resourceUsage().get(1).residentMb() > 10
                && run.resourceUsage().get(1).openDescriptors() > 5,
            run.resourceUsage().toString());
    }

    @Test
    public void unsupportedScenariosAreRejected() {
        String unsupportedFault = "[[trouble]]\nwhat = \"vanish\"\nat = \"1 s\"\nfor = \"1 s\"\n";
        assertTrue(
            expectThrows(IllegalArgumentException.class, () -> socketRun(unsupportedFault)).getMessage()
                .contains("vanish can't be played"));
        assertTrue(expectThrows(IllegalArgumentException.class, () -> socketRun("[world]\nrelays = 17"))
            .getMessage().contains("at most 16"));
    }
}
