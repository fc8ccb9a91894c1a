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
import yewpath.relay.StartCheck;
import yewpath.wirehost.WireHost;

/**
 * The command line. Exit codes: 0 success; 1 the command failed; 2 the arguments or a file were invalid, and
 * nothing was started.
 */
public final class Main {
    /** The files that configure a relay. */
    private static class ConfigurationOptions {
        @Parameter(names = "--config", description = "The platform's configuration; default: $NODE_CONFIG")
        String config;
        @Parameter(names = "--operator", description = "The operator's TOML file; default: no file")
        String operator;
    }

    @Parameters(commandDescription = "Run one relay on sockets until SIGTERM; SIGHUP reloads both files")
    private static final class ServeCommand extends ConfigurationOptions {}

    @Parameters(commandDescription = "Test a start: free port, empty folder, one message, then stop")
    private static final class CheckCommand extends ConfigurationOptions {}

    @Parameters(commandDescription = "The operator's file: check it, show the values in use, list all keys")
    private static final class ConfigCommand {}

    @Parameters(commandDescription = "Report all errors of a file")
    private static final class ConfigCheckCommand {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
    }

    @Parameters(commandDescription = "Print all values and where each comes from")
    private static final class ConfigShowCommand {
        @Parameter(description = "[FILE]")
        List<String> files = new ArrayList<>();
    }

    private static class PageOptions {
        @Parameter(names = "--markdown", description = "Print the page under docs/")
        boolean markdown;
    }

    @Parameters(commandDescription = "Print every key with its default, range and meaning")
    private static final class ConfigKeysCommand extends PageOptions {}

    @Parameters(commandDescription = "Print every event that the log can contain")
    private static final class EventsCommand extends PageOptions {}

    @Parameters(commandDescription = "Serve the simulator's protocol on standard input and output")
    private static final class WireHostCommand {}

    @Parameters(commandDescription = "Print the version")
    private static final class VersionCommand {}

    @Parameter(names = {"-h",
        "--help"}, help = true, description = "Print this help; after a command, print its options")
    private boolean help;

    private Main() {}

    /** Runs one command; the class comment lists the exit codes. */
    public static void main(String[] args) throws Exception {
        boolean isServe = args.length > 0 && args[0].equals("serve");
        // First of all, so that signals during the start are not lost.
        ProcessSignals signals = isServe ? ProcessSignals.listen() : null;
        Main main = new Main();
        ServeCommand serve = new ServeCommand();
        CheckCommand check = new CheckCommand();
        EventsCommand events = new EventsCommand();
        ConfigCheckCommand configCheck = new ConfigCheckCommand();
        ConfigShowCommand configShow = new ConfigShowCommand();
        ConfigKeysCommand configKeys = new ConfigKeysCommand();
        JCommander parser = JCommander.newBuilder().programName("yewpath").addObject(main)
            .addCommand("serve", serve).build();
        // Reading the annotations of the other commands would slow the start of a relay.
        if (!isServe) {
            parser.addCommand("check", check);
            parser.addCommand("config", new ConfigCommand());
            parser.addCommand("events", events);
            parser.addCommand("wirehost", new WireHostCommand());
            parser.addCommand("version", new VersionCommand());
            JCommander config = parser.getCommands().get("config");
            config.addCommand("check", configCheck);
            config.addCommand("show", configShow);
            config.addCommand("keys", configKeys);
        }
        JCommander helpTarget = findHelpTarget(parser, args);
        if (helpTarget != null) {
            helpTarget.usage();
            if (helpTarget == parser) {
                System.out.println(
                    "  Exit codes: 0 success; 1 the command failed; 2 the arguments or a file were invalid.");
            }
            System.exit(0);
        }
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            fail(e.getMessage() + " (yewpath --help lists the commands and options)");
        }
        if (parser.getParsedCommand() == null) {
            fail("no command is given (yewpath --help lists the commands)");
        }
        switch (parser.getParsedCommand()) {
            case "serve" -> serve(serve, signals);
            case "check" -> check(check);
            case "config" -> {
                JCommander config = parser.getCommands().get("config");
                if (config.getParsedCommand() == null) {
                    fail("config needs one of the commands check, show and keys");
                }
                switch (config.getParsedCommand()) {
                    case "check" -> {
                        readOperatorFile(onlyFile(configCheck.files));
                        System.out.println(onlyFile(configCheck.files) + ": no errors");
                    }
                    case "show" ->
                        System.out.print(Reference.effective(readOperatorFile(onlyFile(configShow.files))));
                    default ->
                        System.out.print(configKeys.markdown ? Reference.markdown() : Reference.text());
                }
            }
            case "events" -> printEvents(events.markdown);
            case "wirehost" -> System.exit(WireHost.serve(System.in, System.out, System.err));
            default -> System.out.println("yewpath " + version());
        }
    }

    /**
     * Returns the command for which the arguments request help, or null if they don't. Called before the
     * arguments are parsed, so that missing arguments are no error then.
     */
    private static JCommander findHelpTarget(JCommander parser, String[] args) {
        JCommander command = parser;
        for (String arg : args) {
            if (arg.equals("-h") || arg.equals("--help")) {
                return command;
            }
            command = command.getCommands().getOrDefault(arg, command);
        }
        return null;
    }

    private static void serve(ConfigurationOptions options, ProcessSignals signals)
        throws InterruptedException {
        try {
            RelayServer.start(Config.read(options.config, options.operator, System.getenv()), signals);
        } catch (IOException | Config.InvalidConfigException e) {
            fail(e.getMessage());
        } catch (RuntimeException | Error e) {
            fail("cannot start: " + e);
        }
    }

    private static void check(ConfigurationOptions options) throws Exception {
        try {
            System.out.println(StartCheck.run(options.config, options.operator, System.getenv()));
            System.exit(0);
        } catch (IOException | Config.InvalidConfigException e) {
            fail(e.getMessage());
        }
    }

    private static OperatorSettings readOperatorFile(String file) {
        try {
            return OperatorFile.read(file);
        } catch (ConfigurationException invalid) {
            invalid.errorLines().forEach(System.err::println);
            System.exit(2);
            throw new IllegalStateException();
        }
    }

    /** Returns the single file of the arguments, null if there is none; more than one is an error. */
    private static String onlyFile(List<String> files) {
        if (files.size() > 1) {
            fail("expected at most one file, got " + files.size());
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

    /** Prints an error message and ends the process with exit code 2. */
    private static void fail(String message) {
        for (String line : String.valueOf(message).split("\n")) {
            System.err.println("yewpath: " + line.replaceAll("\\s+", " "));
        }
        System.exit(2);
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "unpackaged" : version;
    }
}
