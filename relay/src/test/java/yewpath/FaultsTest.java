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

/** Runs a relay against stub endpoints with scripted faults; the delivery referee must find no violation. */
public final class FaultsTest {
    private static final long MILLISECOND_MICROS = 1_000, SECOND_MICROS = 1_000_000;
    /** How long clients go on after a kill; their messages are refused. */
    private static final int SUBMISSION_WITHOUT_RELAY_MILLIS = 200;
    private static final List<RelayConfig.MessageClass> MESSAGE_CLASSES = List.of(
        new RelayConfig.MessageClass("status", "pure", false, 800, 3_000),
        new RelayConfig.MessageClass("serial", "token", true, 800, 3_000),
        new RelayConfig.MessageClass("order", "side_effect", false, 800, 3_000));
    private static final List<DeliverySemantics> SEMANTICS = List.of(DeliverySemantics.IDEMPOTENT,
        DeliverySemantics.DEDUPLICATED, DeliverySemantics.AT_MOST_ONCE);
    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private final SplittableRandom random = new SplittableRandom(7);
    private Reactor reactor;
    private DeliveryReferee referee;
    private List<Endpoint> endpoints;
    private Platform platform;
    private int submittedCount;
    private volatile boolean submissionsPaused;

    @BeforeMethod
    public void build() throws Exception {
        failures.clear();
        submittedCount = 0;
        reactor = new Reactor(failures::add);
        referee = new DeliveryReferee(10 * SECOND_MICROS, SECOND_MICROS / 2);
        endpoints = new ArrayList<>();
        platform = new Platform(reactor, referee, endpoints);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        reactor.close();
        assertEquals(failures, List.of());
    }

    private void addEndpoint(String name, int destination, String script) {
        endpoints.add(new Endpoint(reactor, referee, name, destination,
            destination == 2 ? "bundled" : "plain", 100, script,
            random.split(), platform::publishList));
    }

    @DataProvider
    public Object[][] faultScripts() {
        return new Object[][]{
            {"late and missing responses",
                "0 s: answer 200 after 5 ms to 30 ms\n0 s: silent share 0.05\n0 s: answer 200 after 900 ms every 9"},
            {"resets at the first byte, inside and after the last byte of the request",
                "0 s: reset first share 0.1\n0 s: reset midway after 20 ms share 0.1\n0 s: reset last share 0.1"},
            {"refusals with and without Retry-After",
                "0 s: answer 503 share 0.1\n500 ms - 900 ms: answer 429 wait 400 ms"},
            {"malformed responses and errors", "0 s: garble share 0.15\n0 s: answer 500 share 0.1"},
            {"refused connections and recovery", "400 ms - 1 s: refuse\n1500 ms - 1700 ms: silent"},
            {"drain and replacement", "500 ms - 1 s: drain\n1500 ms: replaced"},
        };
    }

    /**
     * Guards against lost, repeated or contradictory outcomes while endpoints delay, reset, refuse or garble
     * their responses.
     */
    @Test(dataProvider = "faultScripts")
    public void eachMessageHasExactlyOneOutcome(String description, String script) throws Exception {
        addEndpoint("a", 1, script);
        addEndpoint("b", 1, "0 s: answer 200 after 5 ms to 10 ms");
        addEndpoint("c", 2, script);
        run(1_000_000, -1);
    }

    /**
     * Guards against lost or repeated outcomes when the relay is killed and restarted while calls are open.
     */
    @Test
    public void eachMessageHasExactlyOneOutcomeAfterAKill() throws Exception {
        addEndpoint("a", 1, "0 s: answer 200 after 5 ms to 300 ms");
        addEndpoint("c", 2, "0 s: answer 200 after 5 ms to 300 ms\n0 s: reset last share 0.05");
        run(2_000_000, 1_000);
    }

    private void run(long lengthMicros, int killAfterMillis) throws Exception {
        String discoveryAddress = platform.openWithEndpoints(endpoints);
        List<String> command = new ArrayList<>(RelayFixture.yewpathCommand().command());
        try (RelayProcess relay = new RelayProcess(command, discoveryAddress, 0, MESSAGE_CLASSES,
            RelayConfig.RelaySettings.DEFAULT, List.of())) {
            Client client = new Client(reactor, referee, relay.address);
            reactor.execute(() -> {
                endpoints.forEach(Endpoint::startScript);
                submitNext(client, reactor.nowMicros() + 2 * lengthMicros);
            });
            if (killAfterMillis > 0) {
                RelayFixture.pause(killAfterMillis);
                relay.kill();
                RelayFixture.pause(SUBMISSION_WITHOUT_RELAY_MILLIS);
                submissionsPaused = true;
                relay.start();
                submissionsPaused = false;
            }
            RelayFixture.waitUntil("all messages are submitted", 15_000,
                () -> reactor.call(() -> submittedCount) >= lengthMicros / 5_000);
            RelayFixture.waitUntil("every message has its outcome", 15_000,
                () -> reactor.call(() -> referee.openCount()) == 0);
            assertEquals(relay.terminate(), 0);
        }
        reactor.call(() -> {
            referee.checkLost(reactor.nowMicros());
            return null;
        });
        assertTrue(referee.violations().isEmpty(), String.join("\n", referee.violations()));
        // A run without deliveries would prove nothing.
        long deliveredCount = referee.messages().stream()
            .filter(message -> message.state == DeliveryReferee.DeliveryState.DELIVERED).count();
        assertTrue(deliveredCount > submittedCount / 3, deliveredCount + " delivered of " + submittedCount);
    }

    /**
     * Submits a message every 5 ms, regardless of the outcomes of earlier ones. The end is put off while no relay
     * runs: how long a start takes depends on the machine.
     */
    private void submitNext(Client client, long endMicros) {
        if (submissionsPaused) {
            reactor.schedule(5 * MILLISECOND_MICROS,
                () -> submitNext(client, endMicros + 5 * MILLISECOND_MICROS));
        } else if (reactor.nowMicros() < endMicros && submittedCount < 400) {
            int index = random.nextInt(3);
            client.submit("f" + submittedCount++, MESSAGE_CLASSES.get(index).name(), SEMANTICS.get(index),
                1 + random.nextInt(2),
                index == 1 ? "k" + random.nextInt(10) : null, 3 * SECOND_MICROS,
                new byte[random.nextInt(20) == 0 ? 40_000 : 100]);
            reactor.schedule(5 * MILLISECOND_MICROS, () -> submitNext(client, endMicros));
        }
    }
}
