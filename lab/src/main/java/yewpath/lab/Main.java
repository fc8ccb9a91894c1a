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
import yewpath.lab.report.HtmlReport;
import yewpath.lab.report.PairedComparison;
import yewpath.lab.run.ExperimentRunner;
import yewpath.lab.run.Results;
import yewpath.lab.run.WorstCaseSearch;
import yewpath.lab.scenario.ScenarioFile;
import yewpath.lab.world.World;

/**
 * The command line of the lab. Exit codes: 0 for success, 1 for a failure or a violated rule, 2 for invalid
 * arguments or an invalid scenario file.
 */
public final class Main {
    @Parameters(commandDescription = "Compare relays of several checkouts: time until ready, memory, and CPU time under a load")
    private static final class StartsCommand {
        @Parameter(description = "CHECKOUT ... (built folders that contain deploy/run.sh)", required = true)
        List<String> checkouts = new ArrayList<>();
        @Parameter(names = "--times", description = "Measured starts of each checkout, 1 to 100")
        int times = 5;
        @Parameter(names = "--envelopes", description = "Messages submitted at each start, 1 to 100000")
        int messageCount = 2_000;
        @Parameter(names = "--rate", description = "Messages per second, 1 to 5000")
        int rate = 400;
        @Parameter(names = "--destinations", description = "Destinations with one endpoint each, 1 to 10000")
        int destinations = 4;
    }

    @Parameters(commandDescription = "Heap that the delivery policy uses for a key without open messages and for an idle destination, in bytes")
    private static final class FootprintCommand {
        @Parameter(names = "--count", description = "Number of keys and of destinations, 1000 to 1000000")
        int count = 100_000;
    }

    @Parameters(commandDescription = "Run a scenario; runs whose results are already in the folder are skipped")
    private static final class RunCommand {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
        @Parameter(names = "--to", description = "Folder of the results; by default found/NAME")
        String to;
        @Parameter(names = "--threads", description = "Concurrent runs; by default one per core")
        int threads = Runtime.getRuntime().availableProcessors();
    }

    @Parameters(commandDescription = "Compare the runs of two folders, or two policies of one folder, in pairs of the same seed and point")
    private static final class CompareCommand {
        @Parameter(description = "A [B]", required = true)
        List<String> folders = new ArrayList<>();
        @Parameter(names = "--policies", description = "Two policies separated by a comma; required with one folder")
        List<String> policies = new ArrayList<>();
        @Parameter(names = "--figures", description = "Metrics to compare, separated by commas")
        List<String> metrics = new ArrayList<>(List.of("service", "in_time", "p99_ms"));
    }

    @Parameters(commandDescription = "Write an HTML report with plots of a folder of results")
    private static final class ReportCommand {
        @Parameter(description = "FOLDER", required = true)
        List<String> folders = new ArrayList<>();
    }

    @Parameters(commandDescription = "Run a scenario in real time against relay processes, and the same scenario emulated")
    private static final class LoadCommand {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
        @Parameter(names = "--relay", description = "Jar of the relay")
        String relay = "relay/target/yewpath.jar";
    }

    @Parameters(commandDescription = "Search for the parameters and faults with the worst result, within the ranges of a scenario's sweeps")
    private static final class SearchCommand {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
        @Parameter(names = "--days", description = "Random candidates, 4 to 100000; about as many neighbors of the worst are tried")
        int days = 200;
        @Parameter(names = "--seed", description = "Seed of the random numbers")
        long seed = 1;
        @Parameter(names = "--to", description = "Scenario file to write for the worst candidate")
        String to = "found/worst.toml";
        @Parameter(names = "--threads", description = "Concurrent runs; by default one per core")
        int threads = Runtime.getRuntime().availableProcessors();
    }

    @Parameters(commandDescription = "List all keys of a scenario file")
    private static final class KeysCommand {}

    @Parameters(commandDescription = "Cost of runs by size: events per second, share of the delivery policy, heap")
    private static final class SizesCommand {
        @Parameter(names = "--envelopes", description = "Messages of the largest run, 1000 to 10000000")
        long messageCount = 1_000_000;
        @Parameter(names = "--destinations", description = "Destinations of the largest run, 100 to 1000000")
        int destinations = 100_000;
    }

    @Parameters(commandDescription = "Print the version")
    private static final class VersionCommand {}

    @Parameter(names = {"-h", "--help"}, help = true, description = "Print this help")
    private boolean help;

    private Main() {}

    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        StartsCommand starts = new StartsCommand();
        RunCommand run = new RunCommand();
        LoadCommand load = new LoadCommand();
        SearchCommand search = new SearchCommand();
        CompareCommand compare = new CompareCommand();
        ReportCommand report = new ReportCommand();
        SizesCommand sizes = new SizesCommand();
        FootprintCommand footprint = new FootprintCommand();
        JCommander commandLine = JCommander.newBuilder().programName("yewpath-lab").addObject(main)
            .addCommand("run", run).addCommand("load", load).addCommand("search", search)
            .addCommand("compare", compare)
            .addCommand("report", report).addCommand("keys", new KeysCommand()).addCommand("starts", starts)
            .addCommand("footprint", footprint).addCommand("sizes", sizes)
            .addCommand("version", new VersionCommand()).build();
        try {
            commandLine.parse(args);
        } catch (ParameterException exception) {
            fail(exception.getMessage());
        }
        if (main.help) {
            commandLine.usage();
            return;
        }
        if (commandLine.getParsedCommand() == null) {
            fail("a command is missing (yewpath-lab --help lists them)");
        }
        String command = commandLine.getParsedCommand();
        try {
            System.exit(switch (command) {
                case "run" -> run(run);
                case "search" -> search(search);
                case "load" -> load(load);
                case "compare" -> compare(compare);
                case "report" -> report(report);
                case "keys" -> print(ScenarioFile.reference());
                case "starts" -> starts(starts);
                case "sizes" -> new ScalingBenchmark(System.out).run(sizes.messageCount, sizes.destinations);
                case "footprint" -> footprint(footprint);
                default -> print("yewpath-lab " + version() + "\n");
            });
        } catch (ConfigurationException exception) {
            exception.errorLines().forEach(System.err::println);
            System.exit(2);
        } catch (IOException exception) {
            boolean usesResults = command.equals("compare") || command.equals("report");
            System.err
                .println("yewpath-lab: " + (usesResults ? "cannot read or write results: " : "")
                    + exception.getMessage());
            System.exit(1);
        }
    }

    private static int print(String text) {
        System.out.print(text);
        return 0;
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "unpackaged" : version;
    }

    private static int footprint(FootprintCommand arguments) {
        if (arguments.count < 1_000 || arguments.count > 1_000_000) {
            fail("--count must be from 1000 to 1000000");
        }
        return new FootprintBenchmark(System.out).run(arguments.count);
    }

    private static int run(RunCommand arguments)
        throws IOException, InterruptedException, ConfigurationException {
        if (arguments.files.size() != 1 || arguments.threads < 1) {
            fail("run takes one file, and --threads of at least 1");
        }
        Path file = Path.of(arguments.files.get(0));
        ScenarioFile scenario = ScenarioFile.read(file.toString());
        Path folder = Files
            .createDirectories(
                arguments.to == null ? Path.of("found", scenario.base().name) : Path.of(arguments.to));
        Path scenarioCopy = folder.resolve("scenario.toml");
        if (Files.exists(scenarioCopy) && !Files.readString(scenarioCopy).equals(Files.readString(file))) {
            fail(folder + " contains runs of another scenario; choose another folder with --to");
        }
        Files.writeString(scenarioCopy, Files.readString(file));
        int exitCode = new ExperimentRunner(System.out, folder, scenario).run(arguments.threads);
        System.out.println("results in " + folder);
        return exitCode;
    }

    private static int search(SearchCommand arguments)
        throws IOException, InterruptedException, ConfigurationException {
        if (arguments.files.size() != 1 || arguments.days < 4 || arguments.days > 100_000
            || arguments.threads < 1) {
            fail("search takes one file, --days from 4 to 100000, and --threads of at least 1");
        }
        ScenarioFile file = ScenarioFile.read(arguments.files.get(0));
        if (file.ranges().isEmpty()) {
            fail(arguments.files.get(0)
                + " has no [sweep]; the minimum and maximum of each sweep are the range of the search");
        }
        WorstCaseSearch search = new WorstCaseSearch(file, WorstCaseSearch.againstRivals(file),
            arguments.seed, arguments.threads, System.out);
        Path output = Path.of(arguments.to).toAbsolutePath();
        Files.createDirectories(output.getParent());
        Files.writeString(output, search.toToml(search.find(arguments.days)));
        System.out.println("the worst candidate is in " + arguments.to);
        return 0;
    }

    private static int load(LoadCommand arguments)
        throws IOException, InterruptedException, ConfigurationException {
        if (arguments.files.size() != 1) {
            fail("load takes one file");
        }
        try {
            ScenarioFile file = ScenarioFile.read(arguments.files.get(0));
            if (!file.base().sweeps.isEmpty()) {
                fail(arguments.files.get(0) + " has a [sweep], but load runs a single point only");
            }
            if (!Files.exists(Path.of(arguments.relay))) {
                fail(arguments.relay + " does not exist; name the jar of the relay with --relay");
            }
            SocketRun socketRun = new SocketRun(System.out, file.base());
            World.RunResult socketResult = socketRun.run(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xms76m", "-Xmx76m", "-jar", arguments.relay));
            System.out.println(
                "| | service | fulfilled | in time | failed | p50 ms | p99 ms | hand-ins | rules broken |\n"
                    + "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
            System.out.println(SocketRun.tableRow("sockets", socketResult));
            System.out
                .println(
                    SocketRun.tableRow("emulated", new World(file.base(), "logic", file.base().seed).run()));
            for (int i = 0; i < socketRun.resourceUsage().size(); i++) {
                SocketRun.ResourceUsage usage = socketRun.resourceUsage().get(i);
                System.out
                    .println("relay " + i + ": " + usage.cpuMillis() + " ms of CPU, " + usage.residentMb()
                        + " MB, " + usage.openDescriptors()
                        + " descriptors at most");
            }
            socketResult.violations().forEach(System.out::println);
            return socketResult.violationCount() == 0 ? 0 : 1;
        } catch (IllegalArgumentException exception) {
            System.err.println("yewpath-lab: " + exception.getMessage());
            return 2;
        }
    }

    private static int report(ReportCommand arguments) throws IOException, ConfigurationException {
        if (arguments.folders.size() != 1) {
            fail("report takes one folder");
        }
        System.out.println(new HtmlReport(Path.of(arguments.folders.get(0))).write());
        return 0;
    }

    private static int compare(CompareCommand arguments) throws IOException {
        if (arguments.folders.size() > 2 || arguments.folders.size() == 1 && arguments.policies.size() != 2
            || arguments.policies.size() > 2) {
            fail("compare takes two folders, or one folder and two --policies");
        }
        if (!ExperimentRunner.METRICS.containsAll(arguments.metrics)) {
            fail("--figures must be among " + String.join(", ", ExperimentRunner.METRICS));
        }
        List<Results.Row> firstRuns = Results.read(Path.of(arguments.folders.get(0)));
        List<Results.Row> secondRuns = Results
            .read(Path.of(arguments.folders.get(arguments.folders.size() - 1)));
        String firstPolicy = arguments.policies.isEmpty() ? "logic" : arguments.policies.get(0);
        String secondPolicy = arguments.policies.size() < 2 ? firstPolicy : arguments.policies.get(1);
        PairedComparison.print(System.out,
            firstRuns.stream().filter(row -> row.policy().equals(firstPolicy)).toList(),
            secondRuns.stream().filter(row -> row.policy().equals(secondPolicy)).toList(), arguments.metrics);
        return 0;
    }

    private static int starts(StartsCommand arguments) throws IOException, InterruptedException {
        if (arguments.times < 1 || arguments.times > 100 || arguments.messageCount < 1
            || arguments.messageCount > 100_000
            || arguments.rate < 1
            || arguments.rate > 5_000 || arguments.destinations < 1 || arguments.destinations > 10_000) {
            fail("a number is out of its range (yewpath-lab --help lists the ranges)");
        }
        List<Path> checkouts = arguments.checkouts.stream().map(Path::of).toList();
        for (Path checkout : checkouts) {
            if (!Files.exists(checkout.resolve("deploy/run.sh"))) {
                fail(checkout + " has no deploy/run.sh");
            }
        }
        return new StartupBenchmark(System.out, arguments.messageCount, arguments.rate,
            arguments.destinations).run(
                checkouts,
                arguments.times);
    }

    /** Prints an error and exits with code 2. */
    private static void fail(String message) {
        System.err.println("yewpath-lab: " + message);
        System.exit(2);
    }
}
