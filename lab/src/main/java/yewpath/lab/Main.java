package yewpath.lab;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;

/** The command line of the lab. Exit codes: 0 done, 2 not understood. */
public final class Main {
    @Parameters(commandDescription = "Print the version")
    private static final class VersionCommand { }

    @Parameter(names = {"-h", "--help"}, help = true, description = "Print this")
    private boolean help;

    private Main() { }

    public static void main(String[] args) {
        Main main = new Main();
        JCommander line = JCommander.newBuilder().programName("yewpath-lab").addObject(main)
            .addCommand("version", new VersionCommand()).build();
        try {
            line.parse(args);
        } catch (ParameterException e) {
            System.err.println("yewpath-lab: " + e.getMessage());
            System.exit(2);
        }
        if (main.help || line.getParsedCommand() == null) {
            line.usage();
            System.exit(main.help ? 0 : 2);
        }
        String version = Main.class.getPackage().getImplementationVersion();
        System.out.println("yewpath-lab " + (version == null ? "unpackaged" : version));
    }
}
