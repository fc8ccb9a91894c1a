package yewpath.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import yewpath.configuration.ConfigurationException;
import yewpath.events.Event;
import yewpath.operator.OperatorFile;
import yewpath.operator.OperatorSettings;
import yewpath.operator.Reference;
import yewpath.relay.Config;
import yewpath.relay.ProcessSignals;
import yewpath.relay.RelayServer;
import yewpath.relay.TrialStart;
import yewpath.wirehost.WireHost;

/**
 * The command line. Exit codes: 0 done; 1 what was asked for went wrong; 2 the words or a file could not be
 * understood, and nothing was started.
 */
public final class Main {
    /** Where a relay reads what it is told. */
    private static class Told {
        @Parameter(names = "--config", description = "The platform's configuration (JSON); $NODE_CONFIG where absent")
        String config;
        @Parameter(names = "--operator", description = "The operator's file (TOML); without it all is at its default")
        String operator;
    }

    @Parameters(commandDescription = "Run one relay on sockets until SIGTERM; SIGHUP reads both files anew")
    private static final class ServeWord extends Told {}

    @Parameters(commandDescription = "Start once on a free port with an empty folder, take one envelope, end")
    private static final class CheckWord extends Told {}

    @Parameters(commandDescription = "The operator's file: check one, show what is in force, list all keys")
    private static final class ConfigWord {}

    @Parameters(commandDescription = "Look for faults in a file, all of them at once")
    private static final class ConfigCheckWord {
        @Parameter(description = "FILE", required = true)
        List<String> file = new ArrayList<>();
    }

    @Parameters(commandDescription = "The values in force, each with where it comes from")
    private static final class ConfigShowWord {
        @Parameter(description = "[FILE]")
        List<String> file = new ArrayList<>();
    }

    private static class Page {
        @Parameter(names = "--markdown", description = "As the page under docs/")
        boolean markdown;
    }

    @Parameters(commandDescription = "Every key with its default, range and meaning")
    private static final class ConfigKeysWord extends Page {}

    @Parameters(commandDescription = "Every event that the log can hold")
    private static final class EventsWord extends Page {}

    @Parameters(commandDescription = "Speak the simulator's wire on standard input and output")
    private static final class WireHostWord {}

    @Parameters(commandDescription = "Print the version")
    private static final class VersionWord {}

    @Parameter(names = {"-h",
        "--help"}, help = true, description = "Print this; after a command, its options")
    private boolean help;

    private Main() {}

    /** Runs one command; the exit codes stand in the README. */
    public static void main(String[] args) throws Exception {
        boolean serves = args.length > 0 && args[0].equals("serve");
        // Ahead of all that takes time.
        ProcessSignals signals = serves ? ProcessSignals.listen() : null;
        Main main = new Main();
        ServeWord serve = new ServeWord();
        CheckWord check = new CheckWord();
        EventsWord events = new EventsWord();
        ConfigCheckWord configCheck = new ConfigCheckWord();
        ConfigShowWord configShow = new ConfigShowWord();
        ConfigKeysWord configKeys = new ConfigKeysWord();
        JCommander line = JCommander.newBuilder().programName("yewpath").addObject(main)
            .addCommand("serve", serve).build();
        // Each further word costs a start some reading of its annotations: a relay that comes back needs one.
        if (!serves) {
            line.addCommand("check", check);
            line.addCommand("config", new ConfigWord());
            line.addCommand("events", events);
            line.addCommand("wirehost", new WireHostWord());
            line.addCommand("version", new VersionWord());
            JCommander config = line.getCommands().get("config");
            config.addCommand("check", configCheck);
            config.addCommand("show", configShow);
            config.addCommand("keys", configKeys);
        }
        JCommander asked = helpFor(line, args);
        if (asked != null) {
            asked.usage();
            if (asked == line) {
                System.out.println(
                    "  Exit codes: 0 done; 1 it went wrong; 2 the words or a file were not understood.");
            }
            System.exit(0);
        }
        try {
            line.parse(args);
        } catch (ParameterException e) {
            fail(e.getMessage() + " (yewpath --help lists what there is)");
        }
        if (line.getParsedCommand() == null) {
            fail("a command is missing (yewpath --help lists them)");
        }
        switch (line.getParsedCommand()) {
            case "serve" -> serve(serve, signals);
            case "check" -> check(check);
            case "config" -> {
                JCommander config = line.getCommands().get("config");
                if (config.getParsedCommand() == null) {
                    fail("config needs one of check, show and keys");
                }
                switch (config.getParsedCommand()) {
                    case "check" -> {
                        operator(one(configCheck.file));
                        System.out.println(one(configCheck.file) + ": no fault");
                    }
                    case "show" -> System.out.print(Reference.effective(operator(one(configShow.file))));
                    default ->
                        System.out.print(configKeys.markdown ? Reference.markdown() : Reference.text());
                }
            }
            case "events" -> printEvents(events.markdown);
            case "wirehost" -> System.exit(WireHost.serve(System.in, System.out, System.err));
            default -> System.out.println("yewpath " + version());
        }
    }

    /** The command after whose words help is asked for; null where it is not. Asked before all else: what is missing does not matter then. */
    private static JCommander helpFor(JCommander line, String[] args) {
        JCommander at = line;
        for (String arg : args) {
            if (arg.equals("-h") || arg.equals("--help")) {
                return at;
            }
            at = at.getCommands().getOrDefault(arg, at);
        }
        return null;
    }

    private static void serve(Told told, ProcessSignals signals) throws InterruptedException {
        try {
            RelayServer.start(Config.read(told.config, told.operator, System.getenv()), signals);
        } catch (IOException | Config.Fault e) {
            fail(e.getMessage());
        } catch (RuntimeException | Error e) {
            fail("cannot start: " + e);
        }
    }

    private static void check(Told told) throws Exception {
        try {
            System.out.println(TrialStart.run(told.config, told.operator, System.getenv()));
            System.exit(0);
        } catch (IOException | Config.Fault e) {
            fail(e.getMessage());
        }
    }

    private static OperatorSettings operator(String file) {
        try {
            return OperatorFile.read(file);
        } catch (ConfigurationException faults) {
            faults.errorLines().forEach(System.err::println);
            System.exit(2);
            throw new IllegalStateException();
        }
    }

    /** Null for none. */
    private static String one(List<String> files) {
        if (files.size() > 1) {
            fail("one file is enough, not " + files.size());
        }
        return files.isEmpty() ? null : files.get(0);
    }

    private static void printEvents(boolean markdown) {
        if (markdown) {
            System.out.print(Event.markdown());
            return;
        }
        for (Event event : Event.values()) {
            System.out.println(event.label + "  (" + event.levelName() + ")  " + event.description);
        }
    }

    private static void fail(String message) {
        for (String line : String.valueOf(message).split("\n")) {
            System.err.println("yewpath: " + line.replaceAll("\\s+", " "));
        }
        System.exit(2);
    }

    private static String version() {
        String told = Main.class.getPackage().getImplementationVersion();
        return told == null ? "unpackaged" : told;
    }
}
