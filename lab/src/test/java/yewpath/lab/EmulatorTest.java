package yewpath.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.configuration.ConfigurationException;
import yewpath.lab.core.EventCalendar;
import yewpath.lab.core.RandomStream;
import yewpath.lab.policy.Policies;
import yewpath.lab.referee.Referee;
import yewpath.lab.report.Compare;
import yewpath.lab.report.Report;
import yewpath.lab.run.Results;
import yewpath.lab.run.Runs;
import yewpath.lab.run.Search;
import yewpath.lab.scenario.Scenario;
import yewpath.lab.scenario.ScenarioFile;
import yewpath.lab.world.World;

/** The emulator's parts, its files, and small worlds. */
public final class EmulatorTest {
    private static final String SMALL = "[run]\nlength = \"5 s\"\nstrict = true\n[world]\nrelays = 2\ndestinations = 3\n[load]\nrate = 60\n"
        + "keys = 4\n[endpoint]\nlimit = 30\nlimit_wait = \"300 ms\"\n[[offering]]\nname = \"a\"\n[[offering]]\nname = \"b\"\nkind = \"once-only\"\n"
        + "[[offering]]\nname = \"c\"\nkind = \"tagged\"\nordered = true\n";

    private static World.RunResult play(String text, String policy, long seed) throws ConfigurationException {
        return new World(ScenarioFile.parse("s.toml", text).atPoint(Map.of()), policy, seed).run();
    }

    @Test
    public void eventsComeByTimeAndThoseOfOneInstantInTheirOrder() {
        EventCalendar calendar = new EventCalendar();
        List<Integer> times = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            times.add(i / 5);
        }
        Collections.shuffle(times, new Random(3));
        List<long[]> played = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            long[] one = {times.get(i), i};
            calendar.scheduleAt(times.get(i), () -> played.add(one));
        }
        EventCalendar.Timer calledOff = calendar.startTimer(500, () -> played.add(new long[]{-1, -1}));
        calledOff.cancel();
        calendar.runUntil(10_000);
        assertEquals(played.size(), 5_000);
        for (int i = 1; i < played.size(); i++) {
            long[] a = played.get(i - 1);
            long[] b = played.get(i);
            assertTrue(a[0] < b[0] || a[0] == b[0] && a[1] < b[1], "at " + i);
        }
        assertEquals(calendar.nowMicros(), 10_000);
        assertEquals(calendar.executedCount(), 5_000);
    }

    @Test
    public void whatAnEventEntersForItsOwnInstantIsPlayedBehindWhatStands() {
        EventCalendar calendar = new EventCalendar();
        List<String> played = new ArrayList<>();
        calendar.scheduleAt(5, () -> {
            played.add("first");
            calendar.scheduleAfter(0, () -> played.add("third"));
        });
        calendar.scheduleAt(5, () -> played.add("second"));
        calendar.runUntil(5);
        assertEquals(played, List.of("first", "second", "third"));
    }

    @Test
    public void causesHaveStreamsOfTheirOwn() {
        RandomStream one = new RandomStream(7, "network");
        RandomStream same = new RandomStream(7, "network");
        RandomStream other = new RandomStream(7, "service");
        double drawn = one.uniform();
        assertEquals(same.uniform(), drawn);
        assertNotEquals(other.uniform(), drawn);
        double sum = 0;
        for (int i = 0; i < 200_000; i++) {
            sum += one.logNormal(10, 0.5);
        }
        assertEquals(sum / 200_000, 10, 0.1);
    }

    @Test
    public void theSameSeedIsTheSameRunAndAnotherIsNot() throws ConfigurationException {
        World.RunResult first = play(SMALL, "logic", 1);
        World.RunResult again = play(SMALL, "logic", 1);
        assertEquals(again.eventCount(), first.eventCount());
        assertEquals(again.revenueShare(), first.revenueShare());
        assertEquals(again.deliveryDelays(), first.deliveryDelays());
        assertNotEquals(play(SMALL, "logic", 2).eventCount(), first.eventCount());
    }

    @DataProvider
    public Object[][] policies() {
        return Policies.names().stream().map(name -> new Object[]{name}).toArray(Object[][]::new);
    }

    /** None of them is meant to break a rule, in trouble or out of it. */
    @Test(dataProvider = "policies")
    public void noPolicyBreaksARule(String policy) throws ConfigurationException {
        String troubled = SMALL.replace("5 s", "20 s") + trouble("refuse", 2, 2, 0.4, 1)
            + trouble("silent", 3, 2, 0.4, 1)
            + trouble("relay-kill", 5, 1, 0, 1) + trouble("drain", 6, 2, 0.4, 1)
            + trouble("errors", 8, 3, 1, 0.2)
            + trouble("resets", 9, 2, 1, 0.2) + trouble("relay-lost", 12, 1, 0, 1)
            + trouble("partition", 13, 2, 0.5, 1)
            + trouble("vanish", 14, 2, 0.4, 1) + trouble("burst", 15, 2, 0, 4)
            + trouble("slow", 16, 2, 1, 10);
        World.RunResult outcome = play(troubled.replace("[endpoint]", "[endpoint]\nfalls_at = 0"), policy, 3);
        assertTrue(outcome.deliveredShare() > 0.3, policy + " fulfilled " + outcome.deliveredShare());
        assertEquals(outcome.violationCount(), 0, outcome.violations().toString());
    }

    private static String trouble(String what, int at, int length, double part, double amount) {
        return "[[trouble]]\nwhat = \"" + what + "\"\nat = \"" + at + " s\"\nfor = \"" + length
            + " s\"\npart = " + part + "\namount = "
            + amount + "\n";
    }

    @DataProvider
    public Object[][] edges() {
        return new Object[][]{
            {"no traffic", "[run]\nstrict = true\nlength = \"2 s\"\n[load]\nrate = 0"},
            {"one of each",
                "[run]\nstrict = true\nlength = \"5 s\"\n[world]\nrelays = 1\ndestinations = 1\nendpoints = 1\n[load]\nrate = 5"},
            {"troubles that overlap",
                "[run]\nstrict = true\nlength = \"6 s\"\n" + trouble("refuse", 1, 3, 1, 1)
                    + trouble("vanish", 2, 3, 1, 1)
                    + trouble("silent", 2, 1, 1, 1)},
            {"all relays dead at once", SMALL + trouble("relay-kill", 2, 1, 1, 1)},
        };
    }

    @Test(dataProvider = "edges")
    public void edgesArePlayed(String what, String text) throws ConfigurationException {
        World.RunResult outcome = play(text, "logic", 1);
        assertEquals(outcome.violationCount(), 0, what);
        assertTrue(outcome.requests() > 0 == !what.equals("no traffic"), what);
    }

    @Test
    public void ifAllGoesWellAllIsDeliveredAtTheEndpointsPace() throws ConfigurationException {
        World.RunResult outcome = play(
            "[run]\nlength = \"20 s\"\n[endpoint]\nspread = 0.0\n[network]\nspread = 0.0", "one-try", 1);
        assertEquals(outcome.deliveredShare(), 1.0);
        // Service 20 ms and two ways of 1 ms to the endpoint, one from the client: what nobody waits for.
        assertEquals(outcome.deliveryDelays().getValueAtPercentile(50) / 1e3, 23.0, 1.0);
    }

    @DataProvider
    public Object[][] faulty() {
        return new Object[][]{
            {"[load]\nrat = 3", "s.toml:2: unknown key load.rat; the nearest known is load.rate"},
            {"[run]\nlength = \"3 KiB\"", "s.toml:2: run.length should be a time"},
            {"[run]\npolicies = [\"logic\", \"magic\"]", "s.toml:2: run.policies: no policy magic"},
            {"[sweep]\n\"load.rat\" = [1]", "sweep.load.rat: no number of that name"},
            {"[sweep]\n\"load.rate\" = [1, \"x\"]", "should be a number or a list of numbers"},
            {"[sweep]\n\"world.relays\" = [0]", "sweep.world.relays should be from 1"},
            {"[[trouble]]\nwhat = \"rain\"\nat = \"1 s\"\nfor = \"1 s\"",
                "s.toml:2: trouble.what should be one of silent"},
            {"[[trouble]]\nwhat = \"silent\"\nfor = \"1 s\"", "s.toml:1: trouble.at is missing"},
            {"[[offering]]\nname = \"a\"\nagreed = \"9 s\"", "offering a: agreed exceeds expiry"},
            {"[[offering]]\nnme = \"a\"", "unknown key offering.nme; the nearest known is offering.name"},
        };
    }

    @Test(dataProvider = "faulty")
    public void aScenarioWithAFaultIsTold(String text, String told) {
        List<String> lines = expectThrows(ConfigurationException.class,
            () -> ScenarioFile.parse("s.toml", text)).errorLines();
        assertTrue(lines.stream().anyMatch(line -> line.startsWith("s.toml") && line.contains(told)),
            lines.toString());
    }

    @Test
    public void allScenariosThatComeWithTheLabAreWithoutFault() throws Exception {
        try (var files = Files.list(Path.of("scenarios"))) {
            for (Path file : files.toList()) {
                ScenarioFile.read(file.toString()).points();
            }
        }
    }

    @Test
    public void aStoppedRunTakenUpAgainGivesTheSameTable() throws Exception {
        ScenarioFile file = ScenarioFile.parse("s.toml", SMALL + "[sweep]\n\"load.rate\" = [20, 40]\n");
        PrintStream nowhere = new PrintStream(new ByteArrayOutputStream());
        Path whole = Files.createTempDirectory("lab");
        Path parts = Files.createTempDirectory("lab");
        assertEquals(new Runs(nowhere, whole, file).play(2), 0);
        List<String> lines = Files.readAllLines(whole.resolve("runs.jsonl"));
        // Stopped in the middle of its second line.
        Files.writeString(parts.resolve("runs.jsonl"),
            lines.get(0) + "\n" + lines.get(1).substring(0, lines.get(1).length() / 2));
        assertEquals(new Runs(nowhere, parts, file).play(1), 0);
        assertEquals(Files.readString(parts.resolve("table.csv")),
            Files.readString(whole.resolve("table.csv")));
        assertEquals(Files.readAllLines(whole.resolve("table.csv")).size(), 3);
    }

    @Test
    public void comparedRunsArePairedBySeedAndSayWhenNothingIsSeen() throws Exception {
        PrintStream nowhere = new PrintStream(new ByteArrayOutputStream());
        Path folder = Files.createTempDirectory("lab");
        String text = SMALL.replace("[run]", "[run]\nrepeats = 4\npolicies = [\"logic\", \"one-try\"]")
            .replace("rate = 60", "rate = 150");
        Files.writeString(folder.resolve("scenario.toml"), text);
        new Runs(nowhere, folder, ScenarioFile.parse("s.toml", text)).play(2);
        List<Results.Row> rows = Results.read(folder);
        List<Results.Row> logic = rows.stream().filter(row -> row.policy().equals("logic")).toList();
        List<Results.Row> oneTry = rows.stream().filter(row -> row.policy().equals("one-try")).toList();
        ByteArrayOutputStream same = new ByteArrayOutputStream();
        assertEquals(Compare.say(new PrintStream(same), logic, logic, List.of("service")), 0);
        assertTrue(same.toString().contains("| 4 | no difference seen |"), same.toString());
        ByteArrayOutputStream other = new ByteArrayOutputStream();
        assertEquals(Compare.say(new PrintStream(other), logic, oneTry, List.of("hand_ins")), 1);
        assertTrue(other.toString().contains("| 4 | differs |"), other.toString());
        ByteArrayOutputStream one = new ByteArrayOutputStream();
        Compare.say(new PrintStream(one), logic.subList(0, 1), oneTry, List.of("service"));
        assertTrue(one.toString().contains("one pair tells nothing"), one.toString());
        String page = Files.readString(new Report(folder).write());
        assertTrue(
            page.contains("data:image/png;base64,") && page.contains("one-try") && !page.contains("http"),
            "page");
    }

    @Test
    public void aSearchFindsWhatMattersCutsTheRestAndWritesADayThatReadsBack() throws Exception {
        ScenarioFile file = ScenarioFile.parse("s.toml",
            SMALL + "[sweep]\n\"load.rate\" = [10, 200]\n\"world.relays\" = [1, 9]\n");
        // Planted: it takes a silence and more than six relays, whatever else there is.
        Search.Judge planted = day -> (day.point().getOrDefault("world.relays", 2.0) > 6 ? 1 : 0)
            + (day.troubles().stream().anyMatch(t -> t.type().equals("silent")) ? 1 : 0);
        Search search = new Search(file, planted, 5, 2, new PrintStream(new ByteArrayOutputStream()));
        Search.Day found = search.find(40);
        assertEquals(found.point().keySet(), Set.of("world.relays"));
        assertEquals(found.troubles().stream().map(t -> t.type()).toList(), List.of("silent"));
        Scenario again = ScenarioFile.parse("found.toml", search.text(found)).base();
        assertEquals(again.relayCount, found.point().get("world.relays").intValue());
        assertEquals(again.faults, found.troubles());
        assertEquals(again.messageClasses, file.base().messageClasses);
        assertEquals(again.requestsPerSecond, 60.0);
        // The real judge: a day of the same scenario is played by Logic and its rivals.
        double loss = Search.againstRivals(file).loss(found);
        assertTrue(loss > -1 && loss < 1, "loss " + loss);
    }

    @Test
    public void theOracleIsNotBeatenWhereALimitDecides() throws ConfigurationException {
        String text = SMALL.replace("5 s", "20 s").replace("[run]", "[run]\nwarm = \"5 s\"")
            .replace("limit = 30", "limit = 30\nrefused_count = 1")
            .replace("rate = 60", "rate = 80");
        double oracle = play(text, "oracle", 1).revenueShare();
        for (String policy : Policies.names()) {
            assertTrue(play(text, policy, 1).revenueShare() <= oracle + 0.001, policy);
        }
        assertTrue(oracle > 0.99, "oracle " + oracle);
    }

    @Test
    public void theRefereeSeesEachRuleBroken() {
        for (Referee.Rule rule : Referee.Rule.values()) {
            Referee referee = new Referee(true, 250_000, 100_000, 300_000);
            referee.submitted(0, 0, 0, Referee.DeliverySemantics.AT_MOST_ONCE, 1_000_000, 0);
            referee.submitted(0, 1, 1, Referee.DeliverySemantics.IDEMPOTENT, 1_000_000, 0);
            referee.accepted(0, 0, 0);
            referee.accepted(0, 1, 0);
            Referee.RuleViolation broken = expectThrows(Referee.RuleViolation.class,
                () -> breakIt(referee, rule));
            assertEquals(broken.rule, rule);
            assertTrue(broken.getMessage().contains("HANDED_IN"), broken.getMessage());
        }
    }

    @Test
    public void aRestartEndsTheWaitsThatWereToldBeforeAndNoOthers() {
        Referee referee = new Referee(true, 250_000, 100_000, 300_000);
        referee.submitted(0, 0, 0, Referee.DeliverySemantics.IDEMPOTENT, 9_000_000, 0);
        referee.waitAdvertised(0, 1L << 32 | 7, 5_000_000);
        referee.waitAdvertised(0, 2L << 32 | 7, 5_000_000);
        referee.relayStopped(1);
        referee.callArrived(1_000_000, 0, 3, 1L << 32 | 7);
        referee.callEnded(1_000_000, 0, 3);
        assertEquals(
            expectThrows(Referee.RuleViolation.class,
                () -> referee.callArrived(1_000_000, 0, 3, 2L << 32 | 7)).rule,
            Referee.Rule.WAIT);
    }

    private static void breakIt(Referee referee, Referee.Rule rule) {
        switch (rule) {
            case LOST -> referee.checkLost(1_300_001, 2);
            case TWICE -> {
                referee.executed(10, 0, 0);
                // Over a restart, which excuses nothing of that.
                referee.relayStopped(0);
                referee.restored(20, 0, 0);
                referee.executed(30, 0, 1);
            }
            case AT_ONCE -> {
                referee.callArrived(10, 1, 0, 0);
                referee.callArrived(20, 1, 1, 0);
                referee.callEnded(60_000, 1, 0);
            }
            case DRAIN -> {
                referee.endpointListed(0, 0, 5, false);
                referee.callSent(250_000, 0, 0, 5, -1);
                referee.callSent(250_001, 0, 0, 5, -1);
            }
            case PUSHED_OVER -> referee.endpointCollapsed(10, 0, 5);
            case ORDER -> {
                referee.callSent(10, 0, 0, 5, 3);
                referee.callSent(20, 1, 1, 5, 3);
                referee.outcomeReceived(0, 0, 3);
                referee.callSent(30, 0, 0, 5, 3);
                referee.callSent(40, 1, 0, 5, 3);
            }
            default -> {
                referee.waitAdvertised(0, 9, 500_000);
                referee.callArrived(100_000, 0, 0, 9);
                referee.callArrived(400_000, 1, 0, 9);
            }
        }
    }
}
