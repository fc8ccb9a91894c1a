package yewpath.standins.process;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
    /** What the relay is told of an offering, beside its name. */
    public record Offering(String name, String repeat, boolean ordered, int agreedMs, int expiryMs) { }

    public final InetSocketAddress address;
    private final Path folder;
    private final ProcessBuilder builder;
    private Process process;

    /** {@code port} 0 takes any free one. Returns once the relay is ready. */
    public RelayProcess(List<String> command, String platform, int port, List<Offering> offerings, List<String> more)
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
        config(config, platform, offerings);
        List<String> all = new ArrayList<>(command);
        all.addAll(List.of("serve", "--config", config.toString()));
        all.addAll(more);
        builder = new ProcessBuilder(all).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log()));
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
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10); System.nanoTime() < end; Thread.sleep(20)) {
            if (!process.isAlive()) {
                throw new IOException("the relay ended at its start: " + Files.readString(log().toPath()).strip());
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
        HttpURLConnection asked = (HttpURLConnection) new URL("http://127.0.0.1:" + address.getPort() + path).openConnection();
        asked.setConnectTimeout(500);
        asked.setReadTimeout(500);
        try (InputStream body = asked.getInputStream()) {
            return new String(body.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        } finally {
            asked.disconnect();
        }
    }

    public File log() {
        return folder.resolve("log").toFile();
    }

    private void config(Path file, String platform, List<Offering> offerings) throws IOException {
        try (OutputStream to = Files.newOutputStream(file);
             JsonGenerator out = new JsonFactory().createGenerator(to).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeStringField("name", "demo");
            out.writeStringField("listen", "127.0.0.1:" + address.getPort());
            out.writeStringField("discovery", platform);
            out.writeStringField("state", folder.resolve("state").toString());
            out.writeStringField("seed", "1f");
            out.writeObjectFieldStart("limits");
            out.writeNumberField("cores", 1);
            out.writeNumberField("memory_mb", 192);
            out.writeNumberField("sockets", 1024);
            out.writeNumberField("disk_mb", 8);
            out.writeEndObject();
            out.writeObjectFieldStart("settings");
            out.writeNumberField("balancers", 1);
            out.writeNumberField("ordinal", 0);
            out.writeStringField("discovery", "pushed");
            out.writeStringField("weights", "nominal");
            strings(out, "zones", "here");
            strings(out, "kinds", "plain", "bundled");
            out.writeObjectFieldStart("family_info");
            out.writeNumberField("max_calls", 32);
            out.writeArrayFieldStart("bundle_max");
            out.writeNumber(1);
            out.writeNumber(20);
            out.writeEndArray();
            out.writeStringField("late", "by_half");
            out.writeEndObject();
            out.writeObjectFieldStart("limits");
            out.writeNumberField("max_open", 400);
            out.writeNumberField("try_limit", 8);
            out.writeBooleanField("cancel", true);
            out.writeBooleanField("retry_after", true);
            out.writeNumberField("max_retry_after_ms", 3000);
            out.writeNumberField("connect_timeout_ms", 1000);
            out.writeNumberField("conn_idle_ms", 10000);
            out.writeEndObject();
            out.writeObjectFieldStart("rules");
            out.writeNumberField("cold_from", 0.2);
            out.writeNumberField("cold_ms", 3000);
            out.writeNumberField("fall_multiple", 2);
            out.writeNumberField("fall_ms", 1000);
            out.writeNumberField("settle_after_doubt_ms", 400);
            out.writeEndObject();
            out.writeArrayFieldStart("request_classes");
            for (Offering one : offerings) {
                out.writeStartObject();
                out.writeStringField("name", one.name);
                out.writeStringField("repeat", one.repeat);
                out.writeStringField("group", "all");
                out.writeNumberField("dedup_window_ms", 10000);
                out.writeBooleanField("fifo_by_key", one.ordered);
                out.writeNumberField("worth", 1);
                out.writeNumberField("late_worth", 0.3);
                out.writeNumberField("on_time_ms", one.agreedMs);
                out.writeNumberField("give_up_ms", one.expiryMs);
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("tenants");
            out.writeStartObject();
            out.writeStringField("name", "demo");
            out.writeNumberField("quota_per_s", 1000);
            out.writeNumberField("portion", 1);
            out.writeEndObject();
            out.writeEndArray();
            out.writeEndObject();
            out.writeEndObject();
        }
    }

    private static void strings(JsonGenerator out, String name, String... values) throws IOException {
        out.writeArrayFieldStart(name);
        for (String value : values) {
            out.writeString(value);
        }
        out.writeEndArray();
    }

    /** SIGKILL: its folder stays. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** SIGTERM; returns the exit code, -1 where it had to be killed. */
    public int end() throws InterruptedException {
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
