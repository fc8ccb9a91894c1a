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
import yewpath.lab.report.HtmlReport;
import yewpath.lab.report.PairedComparison;
import yewpath.lab.run.ExperimentRunner;
import yewpath.lab.run.Results;
import yewpath.lab.run.WorstCaseSearch;
import yewpath.lab.scenario.Scenario;
import yewpath.lab.scenario.ScenarioFile;
import yewpath.lab.world.World;

/**
 * Tests of the emulator: its calendar and random numbers, its files and commands, the referee, and small
 * scenarios.
 */
public final class EmulatorTest {
    private static final String SMALL = "[run]\nlength = \"5 s\"\nstrict = true\n[world]\nrelays = 2\ndestinations = 3\n[load]\nrate = 60\n"
        + "keys = 4\n[endpoint]\nlimit = 30\nlimit_wait = \"300 ms\"\n[[offering]]\nname = \"a\"\n[[offering]]\nname = \"b\"\nkind = \"once-only\"\n"
        + "[[offering]]\nname = \"c\"\nkind = \"tagged\"\nordered = true\n";

    private static World.RunResult run(String text, String policy, long seed) throws ConfigurationException {
        return new World(ScenarioFile.parse("s.toml", text).atPoint(Map.of()), policy, seed).run();
    }

    @Test
    public void eventsRunByTimeAndInSchedulingOrderAtTheSameTime() {
        EventCalendar calendar = new EventCalendar();
        List<Integer> times = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            times.add(i / 5);
        }
        Collections.shuffle(times, new Random(3));
        List<long[]> executed = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            long[] event = {times.get(i), i};
            calendar.scheduleAt(times.get(i), () -> executed.add(event));
        }
        EventCalendar.Timer cancelled = calendar.startTimer(500, () -> executed.add(new long[]{-1, -1}));
        cancelled.cancel();
        calendar.runUntil(10_000);
        assertEquals(executed.size(), 5_000);
        for (int i = 1; i < executed.size(); i++) {
            long[] previous = executed.get(i - 1);
            long[] current = executed.get(i);
            assertTrue(previous[0] < current[0] || previous[0] == current[0] && previous[1] < current[1],
                "at " + i);
        }
        assertEquals(calendar.nowMicros(), 10_000);
        assertEquals(calendar.executedCount(), 5_000);
    }

    @Test
    public void eventScheduledForTheCurrentTimeRunsAfterEarlierScheduledOnes() {
        EventCalendar calendar = new EventCalendar();
        List<String> executed = new ArrayList<>();
        calendar.scheduleAt(5, () -> {
            executed.add("first");
            calendar.scheduleAfter(0, () -> executed.add("third"));
        });
        calendar.scheduleAt(5, () -> executed.add("second"));
        calendar.runUntil(5);
        assertEquals(executed, List.of("first", "second", "third"));
    }

    @Test
    public void randomStreamsOfDifferentNamesAreIndependent() {
        RandomStream stream = new RandomStream(7, "network");
        RandomStream sameName = new RandomStream(7, "network");
        RandomStream otherName = new RandomStream(7, "service");
        double drawn = stream.uniform();
        assertEquals(sameName.uniform(), drawn);
        assertNotEquals(otherName.uniform(), drawn);
        double sum = 0;
        for (int i = 0; i < 200_000; i++) {
            sum += stream.logNormal(10, 0.5);
        }
        assertEquals(sum / 200_000, 10, 0.1);
    }

    @Test
    public void sameSeedGivesSameRunAndOtherSeedAnother() throws ConfigurationException {
        World.RunResult first = run(SMALL, "logic", 1);
        World.RunResult again = run(SMALL, "logic", 1);
        assertEquals(again.eventCount(), first.eventCount());
        assertEquals(again.revenueShare(), first.revenueShare());
        assertEquals(again.deliveryDelays(), first.deliveryDelays());
        assertNotEquals(run(SMALL, "logic", 2).eventCount(), first.eventCount());
    }

    @DataProvider
    public Object[][] policies() {
        return Policies.names().stream().map(name -> new Object[]{name}).toArray(Object[][]::new);
    }

    /** No policy may violate a rule, even under faults. */
    @Test(dataProvider = "policies")
    public void noPolicyViolatesARule(String policy) throws ConfigurationException {
        String scenario = SMALL.replace("5 s", "20 s") + fault("refuse", 2, 2, 0.4, 1)
            + fault("silent", 3, 2, 0.4, 1)
            + fault("relay-kill", 5, 1, 0, 1) + fault("drain", 6, 2, 0.4, 1)
            + fault("errors", 8, 3, 1, 0.2)
            + fault("resets", 9, 2, 1, 0.2) + fault("relay-lost", 12, 1, 0, 1)
            + fault("partition", 13, 2, 0.5, 1)
            + fault("vanish", 14, 2, 0.4, 1) + fault("burst", 15, 2, 0, 4)
            + fault("slow", 16, 2, 1, 10);
        World.RunResult result = run(scenario.replace("[endpoint]", "[endpoint]\nfalls_at = 0"), policy, 3);
        assertTrue(result.deliveredShare() > 0.3,
            policy + " delivered a share of " + result.deliveredShare());
        assertEquals(result.violationCount(), 0, result.violations().toString());
    }

    private static String fault(String type, int startSeconds, int durationSeconds, double share,
        double amount) {
        return "[[trouble]]\nwhat = \"" + type + "\"\nat = \"" + startSeconds + " s\"\nfor = \""
            + durationSeconds
            + " s\"\npart = " + share + "\namount = "
            + amount + "\n";
    }

    @DataProvider
    public Object[][] extremeScenarios() {
        return new Object[][]{
            {"no traffic", "[run]\nstrict = true\nlength = \"2 s\"\n[load]\nrate = 0"},
            {"one of each",
                "[run]\nstrict = true\nlength = \"5 s\"\n[world]\nrelays = 1\ndestinations = 1\nendpoints = 1\n[load]\nrate = 5"},
            {"overlapping faults",
                "[run]\nstrict = true\nlength = \"6 s\"\n" + fault("refuse", 1, 3, 1, 1)
                    + fault("vanish", 2, 3, 1, 1)
                    + fault("silent", 2, 1, 1, 1)},
            {"all relays killed at once", SMALL + fault("relay-kill", 2, 1, 1, 1)},
        };
    }

    @Test(dataProvider = "extremeScenarios")
    public void extremeScenariosRunWithoutViolations(String description, String text)
        throws ConfigurationException {
        World.RunResult result = run(text, "logic", 1);
        assertEquals(result.violationCount(), 0, description);
        assertTrue(result.requests() > 0 == !description.equals("no traffic"), description);
    }

    @Test
    public void withoutFaultsAllIsDeliveredAfterServiceAndNetworkTime() throws ConfigurationException {
        World.RunResult result = run(
            "[run]\nlength = \"20 s\"\n[endpoint]\nspread = 0.0\n[network]\nspread = 0.0", "one-try", 1);
        assertEquals(result.deliveredShare(), 1.0);
        // The service takes 20 ms, the way to the endpoint and back and the way from the client 1 ms each.
        assertEquals(result.deliveryDelays().getValueAtPercentile(50) / 1e3, 23.0, 1.0);
    }

    @DataProvider
    public Object[][] invalidScenarios() {
        return new Object[][]{
            {"[load]\nrat = 3", "s.toml:2: unknown key load.rat; the nearest known is load.rate"},
            {"[run]\nlength = \"3 KiB\"", "s.toml:2: run.length should be a time"},
            {"[run]\npolicies = [\"logic\", \"magic\"]", "s.toml:2: run.policies: unknown policy magic"},
            {"[sweep]\n\"load.rat\" = [1]", "sweep.load.rat: no numeric key of that name"},
            {"[sweep]\n\"load.rate\" = [1, \"x\"]", "should be a number or a list of numbers"},
            {"[sweep]\n\"world.relays\" = [0]", "sweep.world.relays should be from 1"},
            {"[[trouble]]\nwhat = \"rain\"\nat = \"1 s\"\nfor = \"1 s\"",
                "s.toml:2: trouble.what should be one of silent"},
            {"[[trouble]]\nwhat = \"silent\"\nfor = \"1 s\"", "s.toml:1: trouble.at is missing"},
            {"[[offering]]\nname = \"a\"\nagreed = \"9 s\"", "offering a: agreed exceeds expiry"},
            {"[[offering]]\nnme = \"a\"", "unknown key offering.nme; the nearest known is offering.name"},
        };
    }

    @Test(dataProvider = "invalidScenarios")
    public void invalidScenarioIsReported(String text, String expected) {
        List<String> lines = expectThrows(ConfigurationException.class,
            () -> ScenarioFile.parse("s.toml", text)).errorLines();
        assertTrue(lines.stream().anyMatch(line -> line.startsWith("s.toml") && line.contains(expected)),
            lines.toString());
    }

    @Test
    public void shippedScenariosAreValid() throws Exception {
        try (var files = Files.list(Path.of("scenarios"))) {
            for (Path file : files.toList()) {
                ScenarioFile.read(file.toString()).points();
            }
        }
    }

    @Test
    public void interruptedAndResumedExperimentGivesTheSameTable() throws Exception {
        ScenarioFile file = ScenarioFile.parse("s.toml", SMALL + "[sweep]\n\"load.rate\" = [20, 40]\n");
        PrintStream discarded = new PrintStream(new ByteArrayOutputStream());
        Path uninterrupted = Files.createTempDirectory("lab");
        Path resumed = Files.createTempDirectory("lab");
        assertEquals(new ExperimentRunner(discarded, uninterrupted, file).run(2), 0);
        List<String> lines = Files.readAllLines(uninterrupted.resolve("runs.jsonl"));
        // The first run was interrupted while it wrote its second line.
        Files.writeString(resumed.resolve("runs.jsonl"),
            lines.get(0) + "\n" + lines.get(1).substring(0, lines.get(1).length() / 2));
        assertEquals(new ExperimentRunner(discarded, resumed, file).run(1), 0);
        assertEquals(Files.readString(resumed.resolve("table.csv")),
            Files.readString(uninterrupted.resolve("table.csv")));
        assertEquals(Files.readAllLines(uninterrupted.resolve("table.csv")).size(), 3);
    }

    @Test
    public void comparisonPairsRunsBySeedAndReportsMissingDifference() throws Exception {
        PrintStream discarded = new PrintStream(new ByteArrayOutputStream());
        Path folder = Files.createTempDirectory("lab");
        String text = SMALL.replace("[run]", "[run]\nrepeats = 4\npolicies = [\"logic\", \"one-try\"]")
            .replace("rate = 60", "rate = 150");
        Files.writeString(folder.resolve("scenario.toml"), text);
        new ExperimentRunner(discarded, folder, ScenarioFile.parse("s.toml", text)).run(2);
        List<Results.Row> rows = Results.read(folder);
        List<Results.Row> logic = rows.stream().filter(row -> row.policy().equals("logic")).toList();
        List<Results.Row> oneTry = rows.stream().filter(row -> row.policy().equals("one-try")).toList();
        ByteArrayOutputStream samePolicy = new ByteArrayOutputStream();
        assertEquals(PairedComparison.print(new PrintStream(samePolicy), logic, logic, List.of("service")),
            0);
        assertTrue(samePolicy.toString().contains("| 4 | no difference seen |"), samePolicy.toString());
        ByteArrayOutputStream otherPolicy = new ByteArrayOutputStream();
        assertEquals(PairedComparison.print(new PrintStream(otherPolicy), logic, oneTry, List.of("hand_ins")),
            1);
        assertTrue(otherPolicy.toString().contains("| 4 | differs |"), otherPolicy.toString());
        ByteArrayOutputStream singlePair = new ByteArrayOutputStream();
        PairedComparison.print(new PrintStream(singlePair), logic.subList(0, 1), oneTry, List.of("service"));
        assertTrue(singlePair.toString().contains("one pair is not enough"), singlePair.toString());
        String page = Files.readString(new HtmlReport(folder).write());
        assertTrue(
            page.contains("data:image/png;base64,") && page.contains("one-try") && !page.contains("http"),
            "page");
    }

    @Test
    public void searchFindsPlantedCauseRemovesTheRestAndWritesAReadableScenario() throws Exception {
        ScenarioFile file = ScenarioFile.parse("s.toml",
            SMALL + "[sweep]\n\"load.rate\" = [10, 200]\n\"world.relays\" = [1, 9]\n");
        // The planted loss needs a fault of type silent and more than six relays, and nothing else.
        WorstCaseSearch.LossFunction planted = candidate -> (candidate.point().getOrDefault("world.relays",
            2.0) > 6 ? 1 : 0)
            + (candidate.faults().stream().anyMatch(fault -> fault.type().equals("silent")) ? 1 : 0);
        WorstCaseSearch search = new WorstCaseSearch(file, planted, 5, 2,
            new PrintStream(new ByteArrayOutputStream()));
        WorstCaseSearch.Candidate found = search.find(40);
        assertEquals(found.point().keySet(), Set.of("world.relays"));
        assertEquals(found.faults().stream().map(fault -> fault.type()).toList(), List.of("silent"));
        Scenario again = ScenarioFile.parse("found.toml", search.toToml(found)).base();
        assertEquals(again.relayCount, found.point().get("world.relays").intValue());
        assertEquals(again.faults, found.faults());
        assertEquals(again.messageClasses, file.base().messageClasses);
        assertEquals(again.requestsPerSecond, 60.0);
        // The real loss function runs the policy and its rivals on the candidate.
        double loss = WorstCaseSearch.againstRivals(file).loss(found);
        assertTrue(loss > -1 && loss < 1, "loss " + loss);
    }

    @Test
    public void noPolicyBeatsTheOracleAtARateLimit() throws ConfigurationException {
        String text = SMALL.replace("5 s", "20 s").replace("[run]", "[run]\nwarm = \"5 s\"")
            .replace("limit = 30", "limit = 30\nrefused_count = 1")
            .replace("rate = 60", "rate = 80");
        double oracle = run(text, "oracle", 1).revenueShare();
        for (String policy : Policies.names()) {
            assertTrue(run(text, policy, 1).revenueShare() <= oracle + 0.001, policy);
        }
        assertTrue(oracle > 0.99, "oracle " + oracle);
    }

    @Test
    public void refereeReportsEachRuleViolation() {
        for (Referee.Rule rule : Referee.Rule.values()) {
            Referee referee = new Referee(true, 250_000, 100_000, 300_000);
            referee.submitted(0, 0, 0, Referee.DeliverySemantics.AT_MOST_ONCE, 1_000_000, 0);
            referee.submitted(0, 1, 1, Referee.DeliverySemantics.IDEMPOTENT, 1_000_000, 0);
            referee.accepted(0, 0, 0);
            referee.accepted(0, 1, 0);
            Referee.RuleViolation violation = expectThrows(Referee.RuleViolation.class,
                () -> violate(referee, rule));
            assertEquals(violation.rule, rule);
            assertTrue(violation.getMessage().contains("HANDED_IN"), violation.getMessage());
        }
    }

    @Test
    public void relayRestartEndsOnlyWaitsAdvertisedToThatRelay() {
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

    private static void violate(Referee referee, Referee.Rule rule) {
        switch (rule) {
            case LOST -> referee.checkLost(1_300_001, 2);
            case TWICE -> {
                referee.executed(10, 0, 0);
                // A restart in between does not excuse the second execution.
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
