package yewpath.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import yewpath.lab.load.Proc;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.Client;
import yewpath.standins.peer.Endpoint;
import yewpath.standins.peer.Platform;
import yewpath.standins.process.RelayConfig;
import yewpath.standins.referee.DeliveryReferee;

/**
 * Starts of relays from several checkouts in turn, A B A B: time until ready, memory, and the CPU that a load costs.
 * Figures of one run can be compared with each other, not with those of another run or machine. Linux only: memory
 * and CPU are read from /proc.
 */
final class StartupBenchmark {
    private static final long SECOND = 1_000_000;

    private record Figures(double readyMs, double readyCpuMs, double residentMb, double cpuMicros,
        double fulfilled) {}

    private final PrintStream say;
    private final int envelopes;
    private final int rate;
    private final int destinations;

    StartupBenchmark(PrintStream say, int envelopes, int rate, int destinations) {
        this.say = say;
        this.envelopes = envelopes;
        this.rate = rate;
        this.destinations = destinations;
    }

    /** Returns the exit code. */
    int run(List<Path> checkouts, int times) throws IOException, InterruptedException {
        List<List<Figures>> all = new ArrayList<>();
        checkouts.forEach(checkout -> all.add(new ArrayList<>()));
        for (int time = 0; time <= times; time++) {
            for (int i = 0; i < checkouts.size(); i++) {
                Figures figures = one(checkouts.get(i).toAbsolutePath());
                // The first of each only warms the system's caches.
                if (time > 0) {
                    all.get(i).add(figures);
                }
            }
        }
        say.println(
            "| checkout | ready ms | CPU until ready ms | resident MB after the load | CPU us an envelope | fulfilled |\n"
                + "| --- | --- | --- | --- | --- | --- |");
        for (int i = 0; i < checkouts.size(); i++) {
            List<Figures> of = all.get(i);
            say.println("| " + checkouts.get(i).getFileName() + " | " + spread(of, Figures::readyMs) + " | "
                + spread(of, Figures::readyCpuMs) + " | " + spread(of, Figures::residentMb) + " | "
                + spread(of, Figures::cpuMicros) + " | " + spread(of, Figures::fulfilled) + " |");
        }
        return 0;
    }

    private static String spread(List<Figures> of, java.util.function.ToDoubleFunction<Figures> figure) {
        double[] sorted = of.stream().mapToDouble(figure).sorted().toArray();
        return String.format(Locale.ROOT, "%.0f (%.0f to %.0f)", sorted[sorted.length / 2], sorted[0],
            sorted[sorted.length - 1]);
    }

    private Figures one(Path checkout) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("yewpath-starts");
        DeliveryReferee accounts = new DeliveryReferee(10 * SECOND, SECOND);
        try (Reactor reactor = new Reactor(failure -> say.println("a stand-in failed: " + failure))) {
            List<Endpoint> endpoints = new ArrayList<>();
            Platform platform = new Platform(reactor, accounts, endpoints);
            SplittableRandom chance = new SplittableRandom(1);
            for (int i = 0; i < destinations; i++) {
                endpoints.add(new Endpoint(reactor, accounts, "e" + i, i, "plain", rate,
                    "0 s: answer 200 after 5 ms", chance.split(),
                    platform::publishList));
            }
            String discovery = platform.openWithEndpoints(endpoints);
            InetSocketAddress at = freeAddress();
            Path config = folder.resolve("config.json");
            RelayConfig.write(config, at, discovery, folder.resolve("state"),
                List.of(new RelayConfig.MessageClass("status", "pure", false, 2_000, 8_000)),
                RelayConfig.RelaySettings.DEFAULT);
            ProcessBuilder builder = new ProcessBuilder("sh", "deploy/run.sh").directory(checkout.toFile())
                .redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
            builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
            builder.environment().put("NODE_CONFIG", config.toString());
            long begun = System.nanoTime();
            Process process = builder.start();
            Proc proc = new Proc(process.pid());
            try {
                while (!isReady(at)) {
                    if (!process.isAlive()) {
                        throw new IOException(checkout + ": the relay ended: "
                            + Files.readString(folder.resolve("log")).strip());
                    }
                    Thread.sleep(2);
                }
                double readyMs = (System.nanoTime() - begun) / 1e6;
                double readyCpu = proc.cpuMillis();
                load(reactor, accounts, new Client(reactor, accounts, at));
                double cpu = proc.cpuMillis() - readyCpu;
                long fulfilled = accounts.messages().stream()
                    .filter(one -> one.state == DeliveryReferee.DeliveryState.DELIVERED)
                    .count();
                return new Figures(readyMs, readyCpu, proc.residentMb(), cpu * 1000 / envelopes, fulfilled);
            } finally {
                process.destroy();
                if (!process.waitFor(5, TimeUnit.SECONDS)) {
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

    private void load(Reactor reactor, DeliveryReferee accounts, Client client) throws InterruptedException {
        long begun = reactor.nowMicros();
        reactor.execute(() -> next(reactor, client, begun, new int[1]));
        for (int waited = 0; waited < 30_000; waited += 20) {
            Thread.sleep(20);
            if (reactor.call(() -> accounts.messages().size() == envelopes && accounts.openCount() == 0)) {
                return;
            }
        }
    }

    /** On its schedule, whatever becomes of those before. */
    private void next(Reactor reactor, Client client, long begun, int[] count) {
        while (count[0] < envelopes && begun + count[0] * SECOND / rate <= reactor.nowMicros()) {
            client.submit("s" + count[0], "status", DeliveryReferee.DeliverySemantics.IDEMPOTENT,
                count[0] % destinations, null,
                8 * SECOND, new byte[200]);
            count[0]++;
        }
        if (count[0] < envelopes) {
            reactor.schedule(begun + count[0] * SECOND / rate - reactor.nowMicros(),
                () -> next(reactor, client, begun, count));
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
    }

    private static boolean isReady(InetSocketAddress at) {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                .write("GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII)
                .endsWith(" 200");
        } catch (IOException notYet) {
            return false;
        }
    }
}
