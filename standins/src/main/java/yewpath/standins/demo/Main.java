package yewpath.standins.demo;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The command line of the demo. Exit codes: 0 if no delivery rule was violated and the relay ended with exit
 * code 0; 1 if not, or if the relay did not start; 2 if the arguments are not valid.
 */
public final class Main {
    @Parameter(names = "--relay", required = true, description = "Path of the relay's jar")
    private String relayJar;
    @Parameter(names = "--rate", description = "Messages a second, 1 to 1000")
    private int rate = 75;
    @Parameter(names = "--seed", description = "Seed of the random choices of messages and faults")
    private long seed = 1;
    @Parameter(names = "--stay", description = "Submit nothing; keep all servers running for use by hand")
    private boolean stay;
    @Parameter(names = "--port", description = "Port of the relay; 0 for any free port")
    private int port;
    @Parameter(names = {"-h", "--help"}, help = true, description = "Print this")
    private boolean help;

    private Main() {}

    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        JCommander commandLine = JCommander.newBuilder().programName("yewpath demo").addObject(main).build();
        try {
            commandLine.parse(args);
            if (main.rate < 1 || main.rate > 1_000 || main.port < 0 || main.port > 65_535) {
                throw new ParameterException("--rate is from 1 to 1000, --port from 0 to 65535");
            }
        } catch (ParameterException e) {
            System.err.println("yewpath demo: " + e.getMessage());
            System.exit(2);
        }
        if (main.help) {
            commandLine.usage();
            System.exit(0);
        }
        try {
            System.exit(
                new Demo(System.out, main.seed).run(main.relayCommand(), main.rate, main.port, main.stay));
        } catch (IOException e) {
            System.err.println("yewpath demo: " + e.getMessage());
            System.exit(1);
        }
    }

    private List<String> relayCommand() {
        return new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx76m", "-jar", relayJar));
    }
}
