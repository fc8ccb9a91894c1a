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
 * The demonstration: three offerings to four destinations, of which one fails and returns, one asks to wait and one is
 * slow and drains, for 8 s; then the books are closed. Everything on loopback, ended by itself within 20 s.
 */
final class Demo {
    private static final long SECOND = 1_000_000, LOAD = 8 * SECOND, EXPIRY = 6 * SECOND;
    private static final List<RelayConfig.MessageClass> OFFERINGS = List.of(
        new RelayConfig.MessageClass("status", "pure", false, 1_000, 6_000),
        new RelayConfig.MessageClass("serial", "token", true, 2_000, 6_000),
        new RelayConfig.MessageClass("order", "side_effect", false, 2_000, 6_000));
    private static final List<DeliverySemantics> KINDS = List.of(DeliverySemantics.IDEMPOTENT,
        DeliverySemantics.DEDUPLICATED, DeliverySemantics.AT_MOST_ONCE);

    private final PrintStream say;
    private final Reactor reactor;
    private final DeliveryReferee accounts = new DeliveryReferee(10 * SECOND, SECOND / 2);
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final Platform platform;
    private final SplittableRandom chance;
    private Client client;
    private int handedIn;
    private long begunAt;

    Demo(PrintStream say, long seed) throws IOException {
        this.say = say;
        chance = new SplittableRandom(seed);
        reactor = new Reactor(failure -> say.println("a stand-in failed: " + failure));
        platform = new Platform(reactor, accounts, endpoints);
        endpoint("steady-1", 1, "plain", "0 s: answer 200 after 4 ms to 12 ms");
        endpoint("steady-2", 1, "plain", "0 s: answer 200 after 4 ms to 12 ms\n0 s: reset last share 0.01");
        endpoint("failing", 2, "plain",
            "0 s: answer 200 after 5 ms to 15 ms\n2 s - 2200 ms: silent\n2200 ms - 4500 ms: refuse");
        endpoint("asking", 3, "bundled",
            "0 s: answer 200 after 5 ms to 15 ms\n3 s - 3500 ms: answer 429 wait 700 ms");
        endpoint("slow-1", 4, "plain", "0 s: answer 200 after 60 ms to 180 ms\n5 s: drain");
        endpoint("slow-2", 4, "plain", "0 s: answer 200 after 60 ms to 180 ms\n0 s: answer 500 share 0.02");
    }

    private void endpoint(String name, int destination, String kind, String script) {
        endpoints.add(new Endpoint(reactor, accounts, name, destination, kind, 60, script, chance.split(),
            platform::publishList));
    }

    /** Returns the exit code: 0, or 1 where a rule was broken or the relay did not end as it should. */
    int run(List<String> command, int rate, int port, boolean stay) throws IOException, InterruptedException {
        String at = platform.openWithEndpoints(endpoints);
        say.println("starting a relay among " + endpoints.size()
            + " endpoints of 4 destinations, discovery at " + at);
        int code;
        try (RelayProcess relay = new RelayProcess(command, at, port, OFFERINGS,
            RelayConfig.RelaySettings.DEFAULT,
            List.of())) {
            client = new Client(reactor, accounts, relay.address);
            if (stay) {
                return stay(relay);
            }
            say.println("the relay serves at 127.0.0.1:" + relay.address.getPort() + "; handing in " + rate
                + " envelopes a second for 8 s, of which each must come to one end");
            reactor.execute(() -> {
                endpoints.forEach(Endpoint::startScript);
                begunAt = reactor.nowMicros();
                next(rate);
            });
            progress();
            code = relay.terminate();
            say.println("the relay ended with exit code " + code + " after SIGTERM");
        } finally {
            reactor.call(() -> {
                accounts.checkLost(reactor.nowMicros());
                return null;
            });
            reactor.close();
        }
        table();
        return code == 0 && accounts.violations().isEmpty() ? 0 : 1;
    }

    private int stay(RelayProcess relay) throws InterruptedException {
        String there = "http://127.0.0.1:" + relay.address.getPort();
        say.println(
            "the relay serves until this is ended (Ctrl-C); destination 1 is steady, 4 is slow. Try:\n\n"
                + "  curl -i -d hello -H 'Request-Id: a1' -H 'Request-Timeout: 5000m' -H 'X-Addressing: dest=1' "
                + there + "/order\n"
                + "  curl " + there + "/stats\n\nIts log is " + relay.logFile());
        Thread.currentThread().join();
        return 0;
    }

    /** Hands in on a schedule that does not wait for answers. */
    private void next(int rate) {
        long due = begunAt + handedIn * SECOND / rate;
        while (due <= reactor.nowMicros() && due - begunAt < LOAD) {
            int which = (int) (chance.nextDouble() * 3);
            String key = which == 1 ? "k" + chance.nextInt(20) : null;
            client.submit("d" + handedIn++, OFFERINGS.get(which).name(), KINDS.get(which),
                1 + chance.nextInt(4), key, EXPIRY,
                new byte[200]);
            due = begunAt + handedIn * SECOND / rate;
        }
        if (due - begunAt < LOAD) {
            reactor.schedule(due - reactor.nowMicros(), () -> next(rate));
        }
    }

    private void progress() throws InterruptedException {
        String[] events = {"", "", "", "destination 2 has fallen silent, then refuses connections",
            "destination 3 has asked to wait 0.7 s", "destination 2 is back",
            "one endpoint of destination 4 drains"};
        long open = 1;
        for (int second = 1; second <= 14 && (second <= 8 || open > 0); second++) {
            Thread.sleep(1_000);
            int[] counts = reactor.call(() -> {
                int[] ends = new int[4];
                accounts.messages().forEach(one -> ends[one.state.ordinal()]++);
                return ends;
            });
            open = counts[0];
            say.printf(Locale.ROOT,
                "%3d s  %4d handed in  %4d fulfilled  %3d deferred  %3d aborted  %3d open   %s%n", second,
                handedIn, counts[1], counts[2], counts[3], counts[0],
                second < events.length ? events[second] : "");
        }
    }

    private void table() {
        TreeMap<String, Histogram> delays = new TreeMap<>();
        TreeMap<String, int[]> ends = new TreeMap<>();
        for (DeliveryReferee.MessageRecord one : accounts.messages()) {
            ends.computeIfAbsent(one.messageClass, name -> new int[4])[one.state.ordinal()]++;
            if (one.state == DeliveryState.DELIVERED) {
                delays.computeIfAbsent(one.messageClass, name -> new Histogram(60 * SECOND, 3))
                    .recordValue(Math.max(0, one.endedAtMicros - one.submittedAtMicros));
            }
        }
        say.printf("%n%-10s %10s %10s %10s %10s %10s %10s%n", "offering", "handed in", "fulfilled",
            "deferred", "aborted",
            "p50 ms", "p99 ms");
        ends.forEach(
            (offering, n) -> say.printf(Locale.ROOT, "%-10s %10d %10d %10d %10d %10.1f %10.1f%n", offering,
                n[0] + n[1] + n[2] + n[3], n[1], n[2], n[3], quantile(delays.get(offering), 50),
                quantile(delays.get(offering), 99)));
        say.println(accounts.violations().isEmpty()
            ? "\nno rule broken: each envelope has one end, none took effect twice, no wait"
                + " or drain was passed over"
            : "\nrules broken:\n  " + String.join("\n  ", accounts.violations()));
    }

    private static double quantile(Histogram delays, double percent) {
        return delays == null ? Double.NaN : delays.getValueAtPercentile(percent) / 1000.0;
    }
}
