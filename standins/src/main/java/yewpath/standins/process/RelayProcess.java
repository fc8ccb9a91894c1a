package yewpath.standins.process;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A relay as an operator starts it, with a folder of its own that goes when it is over. */
public final class RelayProcess implements AutoCloseable {
    public final InetSocketAddress address;
    private final Path folder;
    private final ProcessBuilder builder;
    private Process process;

    /** {@code port} 0 takes any free one. Returns once the relay is ready. */
    public RelayProcess(List<String> command, String platform, int port,
        List<RelayConfig.MessageClass> offerings,
        RelayConfig.RelaySettings told,
        List<String> more)
        throws IOException, InterruptedException {
        this(command, platform, port, offerings, told, RelayConfig.Topology.DEFAULT, more);
    }

    public RelayProcess(List<String> command, String platform, int port,
        List<RelayConfig.MessageClass> offerings,
        RelayConfig.RelaySettings told,
        RelayConfig.Topology shape, List<String> more)
        throws IOException, InterruptedException {
        folder = Files.createTempDirectory("yewpath-demo");
        int taken = port;
        if (port == 0) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                taken = free.getLocalPort();
            }
        }
        address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), taken);
        Path config = folder.resolve("config.json");
        RelayConfig.write(config, address, platform, folder.resolve("state"), offerings, told, shape);
        List<String> all = new ArrayList<>(command);
        all.addAll(List.of("serve", "--config", config.toString()));
        all.addAll(more);
        builder = new ProcessBuilder(all).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile()));
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        start();
    }

    /** Under the same name and address, with what its folder holds; returns once it is ready. */
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
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10); System.nanoTime() < end; Thread
            .sleep(20)) {
            if (!process.isAlive()) {
                throw new IOException(
                    "the relay ended at its start: " + Files.readString(logFile().toPath()).strip());
            }
            try {
                get("/health/ready");
                return;
            } catch (IOException notYet) {
                continue;
            }
        }
        throw new IOException("the relay was not ready within 10 s");
    }

    /** The body of a GET that is answered by 200. */
    public String get(String path) throws IOException {
        HttpURLConnection asked = (HttpURLConnection) new URL("http://127.0.0.1:" + address.getPort() + path)
            .openConnection();
        asked.setConnectTimeout(500);
        asked.setReadTimeout(500);
        try (InputStream body = asked.getInputStream()) {
            return new String(body.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        } finally {
            asked.disconnect();
        }
    }

    public long pid() {
        return process.pid();
    }

    public File logFile() {
        return folder.resolve("log").toFile();
    }

    /** SIGKILL: its folder stays. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** SIGTERM; returns the exit code, -1 where it had to be killed. */
    public int terminate() throws InterruptedException {
        process.destroy();
        return process.waitFor(4, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

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
