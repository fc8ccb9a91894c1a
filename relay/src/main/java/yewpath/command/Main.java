package yewpath.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.Map;
import yewpath.relay.Check;
import yewpath.relay.Config;
import yewpath.relay.Serve;
import yewpath.wirehost.WireHost;

/** The command line. */
public final class Main {
    @Parameters(commandDescription = "Run one relay on sockets")
    private static final class ServeCommand {
        @Parameter(names = "--config", description = "Configuration file (JSON); $NODE_CONFIG where absent")
        private String config;
    }

    @Parameters(commandDescription = "Start once on a free port with an empty folder, serve one envelope, end")
    private static final class CheckCommand {
        @Parameter(names = "--config", description = "Configuration file (JSON); $NODE_CONFIG where absent")
        private String config;
    }

    @Parameters(commandDescription = "Speak the simulator's wire on standard input and output")
    private static final class WireHostCommand { }

    @Parameters(commandDescription = "Print the version")
    private static final class VersionCommand { }

    @Parameter(names = {"-h", "--help"}, help = true, description = "Print this")
    private boolean help;

    private Main() { }

    public static void main(String[] args) throws Exception {
        Main main = new Main();
        ServeCommand serve = new ServeCommand();
        CheckCommand check = new CheckCommand();
        JCommander line = JCommander.newBuilder().programName("yewpath").addObject(main).addCommand("serve", serve)
            .addCommand("check", check).addCommand("version", new VersionCommand())
            .addCommand("wirehost", new WireHostCommand()).build();
        try {
            line.parse(args);
        } catch (ParameterException e) {
            fail(e.getMessage());
        }
        if (main.help || line.getParsedCommand() == null) {
            line.usage();
            System.exit(main.help ? 0 : 2);
        }
        switch (line.getParsedCommand()) {
            case "serve" -> serve(serve.config, System.getenv());
            case "check" -> check(check.config);
            case "wirehost" -> System.exit(WireHost.serve(System.in, System.out, System.err));
            default -> System.out.println("yewpath " + version());
        }
    }

    private static void serve(String file, Map<String, String> environment) throws InterruptedException {
        try {
            Serve.start(config(file, environment));
        } catch (IOException e) {
            fail(e.getMessage());
        }
    }

    private static void check(String file) throws Exception {
        try {
            System.out.println(Check.run(file, System.getenv()));
            System.exit(0);
        } catch (IOException | Config.Fault e) {
            fail(e.getMessage());
        }
    }

    private static Config config(String file, Map<String, String> environment) {
        try {
            return Config.read(file, environment);
        } catch (Config.Fault e) {
            return fail(e.getMessage());
        }
    }

    private static <T> T fail(String message) {
        System.err.println("yewpath: " + message.replaceAll("\\s+", " "));
        System.exit(2);
        throw new IllegalStateException();
    }

    private static String version() {
        String told = Main.class.getPackage().getImplementationVersion();
        return told == null ? "unpackaged" : told;
    }
}
