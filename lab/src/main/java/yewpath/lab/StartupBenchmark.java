package yewpath.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import yewpath.lab.load.ProcessStatistics;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.Client;
import yewpath.standins.peer.Endpoint;
import yewpath.standins.peer.Platform;
import yewpath.standins.process.LoopbackAddresses;
import yewpath.standins.process.RelayConfig;
import yewpath.standins.referee.DeliveryReferee;

/**
 * Starts relays of several checkouts in turn (A B A B) and measures the time until each is ready, its memory,
 * and the CPU time that a load takes. Figures of one run can be compared with each other, but not with those
 * of another run or machine. It needs Linux, since memory and CPU time are read from /proc.
 */
final class StartupBenchmark {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long TIME_TO_LIVE_MICROS = 8 * SECOND_MICROS;
    private static final int LOAD_TIMEOUT_MILLIS = 30_000;
    private static final int LOAD_POLL_MILLIS = 20;
    private static final int READY_POLL_MILLIS = 2;
    private static final int STOP_TIMEOUT_SECONDS = 5;

    private record Measurement(double readyMillis, double readyCpuMillis, double residentMb, double cpuMicros,
        double delivered) {}

    private final PrintStream output;
    private final int messageCount;
    private final int messagesPerSecond;
    private final int destinationCount;

    StartupBenchmark(PrintStream output, int messageCount, int messagesPerSecond, int destinationCount) {
        this.output = output;
        this.messageCount = messageCount;
        this.messagesPerSecond = messagesPerSecond;
        this.destinationCount = destinationCount;
    }

    /**
     * Starts a relay of each checkout {@code times} times, prints the medians and ranges, and returns the
     * exit code.
     *
     * @throws IOException when a relay ends before it is ready, with the output of the relay
     */
    int run(List<Path> checkouts, int times) throws IOException, InterruptedException {
        List<List<Measurement>> measurements = new ArrayList<>();
        checkouts.forEach(checkout -> measurements.add(new ArrayList<>()));
        for (int round = 0; round <= times; round++) {
            for (int i = 0; i < checkouts.size(); i++) {
                Measurement measurement = measure(checkouts.get(i).toAbsolutePath());
                // The first start of each checkout only fills the caches of the operating system.
                if (round > 0) {
                    measurements.get(i).add(measurement);
                }
            }
        }
        output.println(
            "| checkout | ready ms | CPU until ready ms | resident MB after the load "
                + "| CPU us an envelope | fulfilled |\n"
                + "| --- | --- | --- | --- | --- | --- |");
        for (int i = 0; i < checkouts.size(); i++) {
            List<Measurement> ofCheckout = measurements.get(i);
            output.println("| " + checkouts.get(i).getFileName() + " | "
                + medianAndRange(ofCheckout, Measurement::readyMillis) + " | "
                + medianAndRange(ofCheckout, Measurement::readyCpuMillis) + " | "
                + medianAndRange(ofCheckout, Measurement::residentMb) + " | "
                + medianAndRange(ofCheckout, Measurement::cpuMicros) + " | "
                + medianAndRange(ofCheckout, Measurement::delivered) + " |");
        }
        return 0;
    }

    /** Formats the median and the range of a figure. */
    private static String medianAndRange(List<Measurement> ofCheckout,
        java.util.function.ToDoubleFunction<Measurement> figure) {
        double[] sorted = ofCheckout.stream().mapToDouble(figure).sorted().toArray();
        return String.format(Locale.ROOT, "%.0f (%.0f to %.0f)", sorted[sorted.length / 2], sorted[0],
            sorted[sorted.length - 1]);
    }

    /** Starts a relay of the checkout, loads it, stops it and returns what was measured. */
    private Measurement measure(Path checkout) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("yewpath-starts");
        DeliveryReferee referee = new DeliveryReferee(10 * SECOND_MICROS, SECOND_MICROS);
        try (Reactor reactor = new Reactor(
            failure -> output.println("exception in the stand-ins' reactor: " + failure))) {
            List<Endpoint> endpoints = new ArrayList<>();
            Platform platform = new Platform(reactor, referee, endpoints);
            SplittableRandom random = new SplittableRandom(1);
            for (int i = 0; i < destinationCount; i++) {
                endpoints.add(new Endpoint(reactor, referee, "e" + i, i, "plain", messagesPerSecond,
                    "0 s: answer 200 after 5 ms", random.split(),
                    platform::publishList));
            }
            String discovery = platform.openWithEndpoints(endpoints);
            InetSocketAddress address = LoopbackAddresses.next();
            Path config = folder.resolve("config.json");
            RelayConfig.write(config, address, discovery, folder.resolve("state"),
                List.of(new RelayConfig.MessageClass("status", "pure", false, 2_000, 8_000)),
                RelayConfig.RelaySettings.DEFAULT);
            ProcessBuilder builder = new ProcessBuilder("sh", "deploy/run.sh").directory(checkout.toFile())
                .redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
            builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
            builder.environment().put("NODE_CONFIG", config.toString());
            long startNanos = System.nanoTime();
            Process process = builder.start();
            ProcessStatistics statistics = new ProcessStatistics(process.pid());
            try {
                while (!isReady(address)) {
                    if (!process.isAlive()) {
                        throw new IOException(checkout + ": the relay ended before it was ready: "
                            + Files.readString(folder.resolve("log")).strip());
                    }
                    Thread.sleep(READY_POLL_MILLIS);
                }
                double readyMillis = (System.nanoTime() - startNanos) / 1e6;
                double readyCpuMillis = statistics.cpuMillis();
                load(reactor, referee, new Client(reactor, referee, address));
                double loadCpuMillis = statistics.cpuMillis() - readyCpuMillis;
                long delivered = referee.messages().stream()
                    .filter(message -> message.state == DeliveryReferee.DeliveryState.DELIVERED)
                    .count();
                return new Measurement(readyMillis, readyCpuMillis, statistics.residentMb(),
                    loadCpuMillis * 1000 / messageCount, delivered);
            } finally {
                process.destroy();
                if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    process.destroyForcibly();
                }
            }
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        }
    }

    /** Submits the messages and waits until all of them are finished, for at most 30 s. */
    private void load(Reactor reactor, DeliveryReferee referee, Client client) throws InterruptedException {
        long startMicros = reactor.nowMicros();
        reactor.execute(() -> submitDue(reactor, client, startMicros, new int[1]));
        for (int waitedMillis = 0; waitedMillis < LOAD_TIMEOUT_MILLIS; waitedMillis += LOAD_POLL_MILLIS) {
            Thread.sleep(LOAD_POLL_MILLIS);
            if (reactor.call(() -> referee.messages().size() == messageCount && referee.openCount() == 0)) {
                return;
            }
        }
    }

    /**
     * Submits all messages that are due, without waiting for earlier ones, and schedules itself for the next.
     */
    private void submitDue(Reactor reactor, Client client, long startMicros, int[] submitted) {
        while (submitted[0] < messageCount
            && startMicros + submitted[0] * SECOND_MICROS / messagesPerSecond <= reactor.nowMicros()) {
            client.submit("s" + submitted[0], "status", DeliveryReferee.DeliverySemantics.IDEMPOTENT,
                submitted[0] % destinationCount, null,
                TIME_TO_LIVE_MICROS, new byte[200]);
            submitted[0]++;
        }
        if (submitted[0] < messageCount) {
            reactor.schedule(
                startMicros + submitted[0] * SECOND_MICROS / messagesPerSecond - reactor.nowMicros(),
                () -> submitDue(reactor, client, startMicros, submitted));
        }
    }

    private static boolean isReady(InetSocketAddress address) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                .write("GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII)
                .endsWith(" 200");
        } catch (IOException notListeningYet) {
            return false;
        }
    }
}
