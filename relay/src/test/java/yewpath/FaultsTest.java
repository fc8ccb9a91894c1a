package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.Client;
import yewpath.standins.peer.Endpoint;
import yewpath.standins.peer.Platform;
import yewpath.standins.process.RelayConfig;
import yewpath.standins.process.RelayProcess;
import yewpath.standins.referee.DeliveryReferee;
import yewpath.standins.referee.DeliveryReferee.DeliverySemantics;

/** Whole runs among stand-ins with faults by script: whatever happens, the accounts find no rule broken. */
public final class FaultsTest {
    private static final long MS = 1_000, S = 1_000_000;
    private static final List<RelayConfig.MessageClass> OFFERINGS = List.of(
        new RelayConfig.MessageClass("status", "pure", false, 800, 3_000),
        new RelayConfig.MessageClass("serial", "token", true, 800, 3_000),
        new RelayConfig.MessageClass("order", "side_effect", false, 800, 3_000));
    private static final List<DeliverySemantics> KINDS = List.of(DeliverySemantics.IDEMPOTENT,
        DeliverySemantics.DEDUPLICATED, DeliverySemantics.AT_MOST_ONCE);
    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private final SplittableRandom chance = new SplittableRandom(7);
    private Reactor reactor;
    private DeliveryReferee accounts;
    private List<Endpoint> endpoints;
    private Platform platform;
    private int handedIn;

    @BeforeMethod
    public void build() throws Exception {
        failures.clear();
        handedIn = 0;
        reactor = new Reactor(failures::add);
        accounts = new DeliveryReferee(10 * S, S / 2);
        endpoints = new ArrayList<>();
        platform = new Platform(reactor, accounts, endpoints);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        reactor.close();
        assertEquals(failures, List.of());
    }

    private void endpoint(String name, int destination, String script) {
        endpoints.add(new Endpoint(reactor, accounts, name, destination,
            destination == 2 ? "bundled" : "plain", 100, script,
            chance.split(), platform::publishList));
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][]{
            {"late and silent",
                "0 s: answer 200 after 5 ms to 30 ms\n0 s: silent share 0.05\n0 s: answer 200 after 900 ms every 9"},
            {"resets before and after the last byte",
                "0 s: reset first share 0.1\n0 s: reset midway after 20 ms share 0.1\n0 s: reset last share 0.1"},
            {"refusals and told waits", "0 s: answer 503 share 0.1\n500 ms - 900 ms: answer 429 wait 400 ms"},
            {"noise", "0 s: garble share 0.15\n0 s: answer 500 share 0.1"},
            {"shut and back", "400 ms - 1 s: refuse\n1500 ms - 1700 ms: silent"},
            {"drained and replaced", "500 ms - 1 s: drain\n1500 ms: replaced"},
        };
    }

    @Test(dataProvider = "faults")
    public void eachEnvelopeHasOneEnd(String what, String script) throws Exception {
        endpoint("a", 1, script);
        endpoint("b", 1, "0 s: answer 200 after 5 ms to 10 ms");
        endpoint("c", 2, script);
        play(1_000_000, -1);
    }

    @Test
    public void alsoOverAKillInTheMiddle() throws Exception {
        endpoint("a", 1, "0 s: answer 200 after 5 ms to 300 ms");
        endpoint("c", 2, "0 s: answer 200 after 5 ms to 300 ms\n0 s: reset last share 0.05");
        play(2_000_000, 1_000);
    }

    private void play(long length, int killAfterMs) throws Exception {
        String at = platform.openWithEndpoints(endpoints);
        List<String> command = new ArrayList<>(RelayFixture.yewpathCommand().command());
        try (RelayProcess relay = new RelayProcess(command, at, 0, OFFERINGS,
            RelayConfig.RelaySettings.DEFAULT, List.of())) {
            Client client = new Client(reactor, accounts, relay.address);
            reactor.execute(() -> {
                endpoints.forEach(Endpoint::startScript);
                next(client, reactor.nowMicros() + 2 * length);
            });
            if (killAfterMs > 0) {
                RelayFixture.pause(killAfterMs);
                relay.kill();
                relay.start();
            }
            RelayFixture.waitUntil("all handed in", 15_000,
                () -> reactor.call(() -> handedIn) >= length / 5_000);
            RelayFixture.waitUntil("each has its end", 15_000,
                () -> reactor.call(() -> accounts.openCount()) == 0);
            assertEquals(relay.terminate(), 0);
        }
        reactor.call(() -> {
            accounts.checkLost(reactor.nowMicros());
            return null;
        });
        assertTrue(accounts.violations().isEmpty(), String.join("\n", accounts.violations()));
        // A run in which nothing was delivered would show nothing.
        long fulfilled = accounts.messages().stream()
            .filter(one -> one.state == DeliveryReferee.DeliveryState.DELIVERED).count();
        assertTrue(fulfilled > handedIn / 3, fulfilled + " of " + handedIn);
    }

    /** One envelope each 5 ms whatever becomes of the others. */
    private void next(Client client, long until) {
        if (reactor.nowMicros() < until && handedIn < 400) {
            int which = chance.nextInt(3);
            client.submit("f" + handedIn++, OFFERINGS.get(which).name(), KINDS.get(which),
                1 + chance.nextInt(2),
                which == 1 ? "k" + chance.nextInt(10) : null, 3 * S,
                new byte[chance.nextInt(20) == 0 ? 40_000 : 100]);
            reactor.schedule(5 * MS, () -> next(client, until));
        }
    }
}
