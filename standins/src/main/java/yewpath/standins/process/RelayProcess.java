package yewpath.standins.process;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A relay in a process of its own. Its configuration, state and log are in a temporary folder, which {@link
 * #close} deletes.
 */
public final class RelayProcess implements AutoCloseable {
    /** The address that the relay listens on. */
    public final InetSocketAddress address;
    private final Path folder;
    private final ProcessBuilder builder;
    private Process process;

    /** Starts a relay with the default topology; see the other constructor. */
    public RelayProcess(List<String> command, String platform, int port,
        List<RelayConfig.MessageClass> messageClasses, RelayConfig.RelaySettings settings,
        List<String> moreArguments)
        throws IOException, InterruptedException {
        this(command, platform, port, messageClasses, settings, RelayConfig.Topology.DEFAULT, moreArguments);
    }

    /**
     * Starts a relay and returns once it is ready.
     *
     * @param command starts the relay; the arguments {@code serve --config FILE} are added
     * @param platform host:port of the platform
     * @param port the port on 127.0.0.1; 0 for a free port on a loopback address of this relay's own
     * @param moreArguments follow the other arguments
     * @throws IOException if the relay ends, or is not ready within 10 s; the message has the relay's log if
     * it ended
     */
    public RelayProcess(List<String> command, String platform, int port,
        List<RelayConfig.MessageClass> messageClasses, RelayConfig.RelaySettings settings,
        RelayConfig.Topology topology, List<String> moreArguments)
        throws IOException, InterruptedException {
        folder = Files.createTempDirectory("yewpath-demo");
        address = port == 0 ? LoopbackAddresses.next()
            : new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port);
        Path config = folder.resolve("config.json");
        RelayConfig.write(config, address, platform, folder.resolve("state"), messageClasses, settings,
            topology);
        List<String> commandLine = new ArrayList<>(command);
        commandLine.addAll(List.of("serve", "--config", config.toString()));
        commandLine.addAll(moreArguments);
        builder = new ProcessBuilder(commandLine).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile()));
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        start();
    }

    /**
     * Starts the relay again with the same configuration, address and state; returns once it is ready.
     *
     * @throws IOException as for the constructor; the folder is deleted then
     */
    public void start() throws IOException, InterruptedException {
        process = builder.start();
        try {
            awaitReady();
        } catch (IOException | InterruptedException e) {
            close();
            throw e;
        }
    }

    private void awaitReady() throws IOException, InterruptedException {
        for (long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10); System
            .nanoTime() < deadlineNanos; Thread.sleep(20)) {
            if (!process.isAlive()) {
                throw new IOException(
                    "the relay process ended while it started: "
                        + Files.readString(logFile().toPath()).strip());
            }
            try {
                get("/health/ready");
                return;
            } catch (IOException notReadyYet) {
                continue;
            }
        }
        throw new IOException("the relay was not ready within 10 s");
    }

    /**
     * Sends a GET request to the relay and returns the body of the answer.
     *
     * @throws IOException also if the answer has an error status or takes more than 0.5 s
     */
    public String get(String path) throws IOException {
        HttpURLConnection connection = (HttpURLConnection) new URL(url() + path).openConnection();
        connection.setConnectTimeout(500);
        connection.setReadTimeout(500);
        try (InputStream body = connection.getInputStream()) {
            return new String(body.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        } finally {
            connection.disconnect();
        }
    }

    /** Returns the relay's address as a URL without a path. */
    public String url() {
        return "http://" + LoopbackAddresses.hostAndPort(address);
    }

    /** Returns the process id of the relay. */
    public long pid() {
        return process.pid();
    }

    /** Returns the file with the relay's output, of all its starts. */
    public File logFile() {
        return folder.resolve("log").toFile();
    }

    /** Ends the relay by SIGKILL and keeps its folder. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Asks the relay to end by SIGTERM; returns its exit code, -1 if it is still running after 4 s. */
    public int terminate() throws InterruptedException {
        process.destroy();
        return process.waitFor(4, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    /** Ends the relay by SIGKILL and deletes its folder. */
    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
