package yewpath.lab;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import yewpath.configuration.ConfigurationException;
import yewpath.lab.load.SocketRun;
import yewpath.lab.report.Compare;
import yewpath.lab.report.Report;
import yewpath.lab.run.Results;
import yewpath.lab.run.Runs;
import yewpath.lab.run.Search;
import yewpath.lab.scenario.ScenarioFile;
import yewpath.lab.world.World;

/** The command line of the lab. Exit codes: 0 done; 1 it went wrong; 2 the words were not understood. */
public final class Main {
    @Parameters(commandDescription = "Start relays of several checkouts in turn: time until ready, memory, CPU of a load")
    private static final class StartsWord {
        @Parameter(description = "CHECKOUT ... (folders with deploy/run.sh, built)", required = true)
        List<String> checkouts = new ArrayList<>();
        @Parameter(names = "--times", description = "Starts of each that count, 1 to 100")
        int times = 5;
        @Parameter(names = "--envelopes", description = "Envelopes handed in at each start, 1 to 100000")
        int envelopes = 2_000;
        @Parameter(names = "--rate", description = "Envelopes a second, 1 to 5000")
        int rate = 400;
        @Parameter(names = "--destinations", description = "Destinations listed, with one endpoint each, 1 to 10000")
        int destinations = 4;
    }

    @Parameters(commandDescription = "Bytes of heap that Logic keeps for a key long over and for a destination at rest")
    private static final class FootprintWord {
        @Parameter(names = "--count", description = "How many of each, 1000 to 1000000")
        int count = 100_000;
    }

    @Parameters(commandDescription = "Play a scenario's runs over all cores; what the folder holds already is not played again")
    private static final class RunWord {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
        @Parameter(names = "--to", description = "Folder of the results; found/NAME where absent")
        String to;
        @Parameter(names = "--threads", description = "Runs at once; all cores where absent")
        int threads = Runtime.getRuntime().availableProcessors();
    }

    @Parameters(commandDescription = "Pair two folders by seed and point, or two policies of one folder")
    private static final class CompareWord {
        @Parameter(description = "A [B]", required = true)
        List<String> folders = new ArrayList<>();
        @Parameter(names = "--policies", description = "Two of them, joined by a comma; needed with one folder")
        List<String> policies = new ArrayList<>();
        @Parameter(names = "--figures", description = "Which figures")
        List<String> figures = new ArrayList<>(List.of("service", "in_time", "p99_ms"));
    }

    @Parameters(commandDescription = "Make a folder's page with plots")
    private static final class ReportWord {
        @Parameter(description = "FOLDER", required = true)
        List<String> folders = new ArrayList<>();
    }

    @Parameters(commandDescription = "Play a scenario on sockets in real time, and the same one emulated")
    private static final class LoadWord {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
        @Parameter(names = "--relay", description = "The relay's jar")
        String relay = "relay/target/yewpath.jar";
    }

    @Parameters(commandDescription = "Look for the worst day within the ranges that a scenario's sweeps span")
    private static final class SearchWord {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
        @Parameter(names = "--days", description = "Days at random, 4 to 100000; as many are played near the worst")
        int days = 200;
        @Parameter(names = "--seed", description = "Of what is drawn")
        long seed = 1;
        @Parameter(names = "--to", description = "Where the day found is written as a scenario")
        String to = "found/worst.toml";
        @Parameter(names = "--threads", description = "Runs at once; all cores where absent")
        int threads = Runtime.getRuntime().availableProcessors();
    }

    @Parameters(commandDescription = "Every key of a scenario file")
    private static final class KeysWord {}

    @Parameters(commandDescription = "What runs cost by their size: events a second, Logic's share, heap")
    private static final class SizesWord {
        @Parameter(names = "--envelopes", description = "The most envelopes, 1000 to 10000000")
        long envelopes = 1_000_000;
        @Parameter(names = "--destinations", description = "The most destinations, 100 to 1000000")
        int destinations = 100_000;
    }

    @Parameters(commandDescription = "Print the version")
    private static final class VersionWord {}

    @Parameter(names = {"-h", "--help"}, help = true, description = "Print this")
    private boolean help;

    private Main() {}

    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        StartsWord starts = new StartsWord();
        RunWord run = new RunWord();
        LoadWord load = new LoadWord();
        SearchWord search = new SearchWord();
        CompareWord compare = new CompareWord();
        ReportWord report = new ReportWord();
        SizesWord sizes = new SizesWord();
        FootprintWord footprint = new FootprintWord();
        JCommander line = JCommander.newBuilder().programName("yewpath-lab").addObject(main)
            .addCommand("run", run).addCommand("load", load).addCommand("search", search)
            .addCommand("compare", compare)
            .addCommand("report", report).addCommand("keys", new KeysWord()).addCommand("starts", starts)
            .addCommand("footprint", footprint).addCommand("sizes", sizes)
            .addCommand("version", new VersionWord()).build();
        try {
            line.parse(args);
        } catch (ParameterException e) {
            fail(e.getMessage());
        }
        if (main.help) {
            line.usage();
            return;
        }
        if (line.getParsedCommand() == null) {
            fail("a command is missing (yewpath-lab --help lists them)");
        }
        String word = line.getParsedCommand();
        try {
            System.exit(switch (word) {
                case "run" -> run(run);
                case "search" -> search(search);
                case "load" -> load(load);
                case "compare" -> compare(compare);
                case "report" -> report(report);
                case "keys" -> print(ScenarioFile.reference());
                case "starts" -> starts(starts);
                case "sizes" -> new ScalingBenchmark(System.out).run(sizes.envelopes, sizes.destinations);
                case "footprint" -> footprint(footprint);
                default -> print("yewpath-lab " + version() + "\n");
            });
        } catch (ConfigurationException faults) {
            faults.errorLines().forEach(System.err::println);
            System.exit(2);
        } catch (IOException e) {
            boolean reads = word.equals("compare") || word.equals("report");
            System.err
                .println("yewpath-lab: " + (reads ? "cannot be read or written: " : "") + e.getMessage());
            System.exit(1);
        }
    }

    private static int print(String text) {
        System.out.print(text);
        return 0;
    }

    private static String version() {
        String told = Main.class.getPackage().getImplementationVersion();
        return told == null ? "unpackaged" : told;
    }

    private static int footprint(FootprintWord words) {
        if (words.count < 1_000 || words.count > 1_000_000) {
            fail("--count is from 1000 to 1000000");
        }
        return new FootprintBenchmark(System.out).run(words.count);
    }

    private static int run(RunWord words) throws IOException, InterruptedException, ConfigurationException {
        if (words.files.size() != 1 || words.threads < 1) {
            fail("run takes one file, and at least one thread");
        }
        Path file = Path.of(words.files.get(0));
        ScenarioFile scenario = ScenarioFile.read(file.toString());
        Path folder = Files
            .createDirectories(words.to == null ? Path.of("found", scenario.base().name) : Path.of(words.to));
        Path kept = folder.resolve("scenario.toml");
        if (Files.exists(kept) && !Files.readString(kept).equals(Files.readString(file))) {
            fail(folder + " holds runs of another scenario; name another folder by --to");
        }
        Files.writeString(kept, Files.readString(file));
        int code = new Runs(System.out, folder, scenario).play(words.threads);
        System.out.println("results in " + folder);
        return code;
    }

    private static int search(SearchWord words)
        throws IOException, InterruptedException, ConfigurationException {
        if (words.files.size() != 1 || words.days < 4 || words.days > 100_000 || words.threads < 1) {
            fail("search takes one file, and --days from 4 to 100000");
        }
        ScenarioFile file = ScenarioFile.read(words.files.get(0));
        if (file.ranges().isEmpty()) {
            fail(words.files.get(0) + " has no sweep: its least and most figures are the ranges to look in");
        }
        Search search = new Search(file, Search.againstRivals(file), words.seed, words.threads, System.out);
        Path to = Path.of(words.to).toAbsolutePath();
        Files.createDirectories(to.getParent());
        Files.writeString(to, search.text(search.find(words.days)));
        System.out.println("the day is in " + words.to);
        return 0;
    }

    private static int load(LoadWord words) throws IOException, InterruptedException, ConfigurationException {
        if (words.files.size() != 1) {
            fail("load takes one file");
        }
        try {
            ScenarioFile file = ScenarioFile.read(words.files.get(0));
            if (!file.base().sweeps.isEmpty()) {
                fail(words.files.get(0) + " has a sweep: on sockets one point is played");
            }
            if (!Files.exists(Path.of(words.relay))) {
                fail(words.relay + " is not there; name the relay's jar by --relay");
            }
            SocketRun live = new SocketRun(System.out, file.base());
            World.RunResult sockets = live.run(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xms76m", "-Xmx76m", "-jar", words.relay));
            System.out.println(
                "| | service | fulfilled | in time | failed | p50 ms | p99 ms | hand-ins | rules broken |\n"
                    + "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
            System.out.println(SocketRun.tableRow("sockets", sockets));
            System.out
                .println(
                    SocketRun.tableRow("emulated", new World(file.base(), "logic", file.base().seed).run()));
            for (int i = 0; i < live.resourceUsage().size(); i++) {
                SocketRun.ResourceUsage one = live.resourceUsage().get(i);
                System.out.println("relay " + i + ": " + one.cpuMillis() + " ms of CPU, " + one.residentMb()
                    + " MB, " + one.openDescriptors()
                    + " descriptors at most");
            }
            sockets.violations().forEach(System.out::println);
            return sockets.violationCount() == 0 ? 0 : 1;
        } catch (IllegalArgumentException unfit) {
            System.err.println("yewpath-lab: " + unfit.getMessage());
            return 2;
        }
    }

    private static int report(ReportWord words) throws IOException, ConfigurationException {
        if (words.folders.size() != 1) {
            fail("report takes one folder");
        }
        System.out.println(new Report(Path.of(words.folders.get(0))).write());
        return 0;
    }

    private static int compare(CompareWord words) throws IOException {
        if (words.folders.size() > 2 || words.folders.size() == 1 && words.policies.size() != 2
            || words.policies.size() > 2) {
            fail("compare takes two folders, or one and --policies with two");
        }
        if (!Runs.FIGURES.containsAll(words.figures)) {
            fail("figures are " + String.join(", ", Runs.FIGURES));
        }
        List<Results.Row> a = Results.read(Path.of(words.folders.get(0)));
        List<Results.Row> b = Results.read(Path.of(words.folders.get(words.folders.size() - 1)));
        String first = words.policies.isEmpty() ? "logic" : words.policies.get(0);
        String second = words.policies.size() < 2 ? first : words.policies.get(1);
        Compare.say(System.out, a.stream().filter(row -> row.policy().equals(first)).toList(),
            b.stream().filter(row -> row.policy().equals(second)).toList(), words.figures);
        return 0;
    }

    private static int starts(StartsWord words) throws IOException, InterruptedException {
        if (words.times < 1 || words.times > 100 || words.envelopes < 1 || words.envelopes > 100_000
            || words.rate < 1
            || words.rate > 5_000 || words.destinations < 1 || words.destinations > 10_000) {
            fail("a figure is out of its range (yewpath-lab --help tells them)");
        }
        List<Path> checkouts = words.checkouts.stream().map(Path::of).toList();
        for (Path checkout : checkouts) {
            if (!Files.exists(checkout.resolve("deploy/run.sh"))) {
                fail(checkout + " has no deploy/run.sh");
            }
        }
        return new StartupBenchmark(System.out, words.envelopes, words.rate, words.destinations).run(
            checkouts,
            words.times);
    }

    private static void fail(String message) {
        System.err.println("yewpath-lab: " + message);
        System.exit(2);
    }
}
