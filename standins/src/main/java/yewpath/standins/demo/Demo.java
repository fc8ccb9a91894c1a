package yewpath.standins.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.Client;
import yewpath.standins.peer.Endpoint;
import yewpath.standins.peer.Platform;
import yewpath.standins.process.RelayConfig;
import yewpath.standins.process.RelayProcess;
import yewpath.standins.referee.DeliveryReferee;
import yewpath.standins.referee.DeliveryReferee.DeliverySemantics;
import yewpath.standins.referee.DeliveryReferee.DeliveryState;

/**
 * Submits messages of three classes for 8 s to a relay with four destinations: one is steady, one fails and
 * returns, one asks the relay to wait, and one is slow and drains. Then prints the outcomes and the violated
 * delivery rules. Uses loopback only and ends by itself within 20 s.
 */
final class Demo {
    private static final long SECOND_MICROS = 1_000_000, LOAD_MICROS = 8 * SECOND_MICROS,
        TIMEOUT_MICROS = 6 * SECOND_MICROS;
    private static final List<RelayConfig.MessageClass> MESSAGE_CLASSES = List.of(
        new RelayConfig.MessageClass("status", "pure", false, 1_000, 6_000),
        new RelayConfig.MessageClass("serial", "token", true, 2_000, 6_000),
        new RelayConfig.MessageClass("order", "side_effect", false, 2_000, 6_000));
    private static final List<DeliverySemantics> SEMANTICS = List.of(DeliverySemantics.IDEMPOTENT,
        DeliverySemantics.DEDUPLICATED, DeliverySemantics.AT_MOST_ONCE);

    private final PrintStream out;
    private final Reactor reactor;
    private final DeliveryReferee referee = new DeliveryReferee(10 * SECOND_MICROS, SECOND_MICROS / 2);
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final Platform platform;
    private final SplittableRandom random;
    private Client client;
    private int submittedCount;
    private long loadStartMicros;

    /**
     * @param out receives the progress and the results
     * @param seed seed of the random choices of messages and faults
     */
    Demo(PrintStream out, long seed) throws IOException {
        this.out = out;
        random = new SplittableRandom(seed);
        reactor = new Reactor(failure -> out.println("a test server or client failed: " + failure));
        platform = new Platform(reactor, referee, endpoints);
        addEndpoint("steady-1", 1, "plain", "0 s: answer 200 after 4 ms to 12 ms");
        addEndpoint("steady-2", 1, "plain",
            "0 s: answer 200 after 4 ms to 12 ms\n0 s: reset last share 0.01");
        addEndpoint("failing", 2, "plain",
            "0 s: answer 200 after 5 ms to 15 ms\n2 s - 2200 ms: silent\n2200 ms - 4500 ms: refuse");
        addEndpoint("asking", 3, "bundled",
            "0 s: answer 200 after 5 ms to 15 ms\n3 s - 3500 ms: answer 429 wait 700 ms");
        addEndpoint("slow-1", 4, "plain", "0 s: answer 200 after 60 ms to 180 ms\n5 s: drain");
        addEndpoint("slow-2", 4, "plain",
            "0 s: answer 200 after 60 ms to 180 ms\n0 s: answer 500 share 0.02");
    }

    private void addEndpoint(String name, int destination, String kind, String script) {
        endpoints.add(new Endpoint(reactor, referee, name, destination, kind, 60, script, random.split(),
            platform::publishList));
    }

    /**
     * Runs the demo.
     *
     * @param relayCommand starts the relay, without arguments
     * @param messagesPerSecond rate at which messages are submitted
     * @param port port of the relay, 0 for any free port
     * @param stay submit nothing and keep everything running until the process is ended
     * @return the exit code: 0, or 1 if a delivery rule was violated or the relay's exit code was not 0
     * @throws IOException if the relay does not start
     */
    int run(List<String> relayCommand, int messagesPerSecond, int port, boolean stay)
        throws IOException, InterruptedException {
        String discovery = platform.openWithEndpoints(endpoints);
        out.println("starting a relay among " + endpoints.size()
            + " endpoints of 4 destinations, discovery at " + discovery);
        int exitCode;
        try (RelayProcess relay = new RelayProcess(relayCommand, discovery, port, MESSAGE_CLASSES,
            RelayConfig.RelaySettings.DEFAULT,
            List.of())) {
            client = new Client(reactor, referee, relay.address);
            if (stay) {
                return keepRunning(relay);
            }
            out.println("the relay serves at " + relay.url() + "; submitting "
                + messagesPerSecond
                + " messages a second for 8 s, each of which must get exactly one outcome");
            reactor.execute(() -> {
                endpoints.forEach(Endpoint::startScript);
                loadStartMicros = reactor.nowMicros();
                submitDueMessages(messagesPerSecond);
            });
            printProgress();
            exitCode = relay.terminate();
            out.println("the relay ended with exit code " + exitCode + " after SIGTERM");
        } finally {
            reactor.call(() -> {
                referee.checkLost(reactor.nowMicros());
                return null;
            });
            reactor.close();
        }
        printResults();
        return exitCode == 0 && referee.violations().isEmpty() ? 0 : 1;
    }

    private int keepRunning(RelayProcess relay) throws InterruptedException {
        String relayUrl = relay.url();
        out.println(
            "the relay serves until this program is ended (Ctrl-C); destination 1 is steady, 4 is slow. "
                + "Try:\n\n"
                + "  curl -i -d hello -H 'Request-Id: a1' -H 'Request-Timeout: 5000m' "
                + "-H 'X-Addressing: dest=1' "
                + relayUrl + "/order\n"
                + "  curl " + relayUrl + "/stats\n\nIts log is " + relay.logFile());
        Thread.currentThread().join();
        return 0;
    }

    /** Submits the messages that are due. The schedule is fixed and does not wait for answers. */
    private void submitDueMessages(int messagesPerSecond) {
        long dueMicros = loadStartMicros + submittedCount * SECOND_MICROS / messagesPerSecond;
        while (dueMicros <= reactor.nowMicros() && dueMicros - loadStartMicros < LOAD_MICROS) {
            int classIndex = (int) (random.nextDouble() * 3);
            String key = classIndex == 1 ? "k" + random.nextInt(20) : null;
            client.submit("d" + submittedCount++, MESSAGE_CLASSES.get(classIndex).name(),
                SEMANTICS.get(classIndex), 1 + random.nextInt(4), key, TIMEOUT_MICROS, new byte[200]);
            dueMicros = loadStartMicros + submittedCount * SECOND_MICROS / messagesPerSecond;
        }
        if (dueMicros - loadStartMicros < LOAD_MICROS) {
            reactor.schedule(dueMicros - reactor.nowMicros(), () -> submitDueMessages(messagesPerSecond));
        }
    }

    /**
     * Prints the number of messages in each state once a second, until the load is over and all have an
     * outcome.
     */
    private void printProgress() throws InterruptedException {
        String[] events = {"", "", "", "destination 2 stops answering, then refuses connections",
            "destination 3 asked the relay to wait 0.7 s", "destination 2 is back",
            "one endpoint of destination 4 drains"};
        long openCount = 1;
        for (int second = 1; second <= 14 && (second <= 8 || openCount > 0); second++) {
            Thread.sleep(1_000);
            int[] countByState = reactor.call(() -> {
                int[] counts = new int[4];
                referee.messages().forEach(message -> counts[message.state.ordinal()]++);
                return counts;
            });
            openCount = countByState[0];
            out.printf(Locale.ROOT,
                "%3d s  %4d submitted  %4d delivered  %3d rejected  %3d failed  %3d open   %s%n", second,
                submittedCount, countByState[1], countByState[2], countByState[3], countByState[0],
                second < events.length ? events[second] : "");
        }
    }

    private void printResults() {
        TreeMap<String, Histogram> deliveryTimes = new TreeMap<>();
        TreeMap<String, int[]> countsByState = new TreeMap<>();
        for (DeliveryReferee.MessageRecord message : referee.messages()) {
            countsByState.computeIfAbsent(message.messageClass, name -> new int[4])[message.state
                .ordinal()]++;
            if (message.state == DeliveryState.DELIVERED) {
                deliveryTimes
                    .computeIfAbsent(message.messageClass, name -> new Histogram(60 * SECOND_MICROS, 3))
                    .recordValue(Math.max(0, message.endedAtMicros - message.submittedAtMicros));
            }
        }
        out.printf("%n%-10s %10s %10s %10s %10s %10s %10s%n", "class", "submitted", "delivered",
            "rejected", "failed",
            "p50 ms", "p99 ms");
        countsByState.forEach(
            (messageClass, counts) -> out.printf(Locale.ROOT, "%-10s %10d %10d %10d %10d %10.1f %10.1f%n",
                messageClass, counts[0] + counts[1] + counts[2] + counts[3], counts[1], counts[2], counts[3],
                percentileMillis(deliveryTimes.get(messageClass), 50),
                percentileMillis(deliveryTimes.get(messageClass), 99)));
        out.println(referee.violations().isEmpty()
            ? "\nno rule violated: each message has one outcome, none took effect twice, and each wait"
                + " and drain was respected"
            : "\nviolated rules:\n  " + String.join("\n  ", referee.violations()));
    }

    private static double percentileMillis(Histogram timesMicros, double percent) {
        return timesMicros == null ? Double.NaN : timesMicros.getValueAtPercentile(percent) / 1000.0;
    }
}
