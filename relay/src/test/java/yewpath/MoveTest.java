package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.Client;
import yewpath.standins.peer.Endpoint;
import yewpath.standins.peer.Platform;
import yewpath.standins.process.RelayConfig;
import yewpath.standins.process.RelayConfig.RelaySettings;
import yewpath.standins.process.RelayConfig.Topology;
import yewpath.standins.process.RelayProcess;
import yewpath.standins.referee.DeliveryReferee;
import yewpath.standins.referee.DeliveryReferee.DeliverySemantics;
import yewpath.standins.referee.DeliveryReferee.DeliveryState;

/**
 * Tests a migration in progress: a relay with the old settings and one with the new settings, each in its own
 * process, send to the same endpoints.
 */
public final class MoveTest {
    private static final long SECOND_MICROS = 1_000_000, LOAD_MICROS = 6 * SECOND_MICROS,
        TIME_TO_LIVE_MICROS = 4 * SECOND_MICROS;
    /** The limit of the limited destination and the load that each relay has for it, in calls per second. */
    private static final int LIMIT_PER_SECOND = 30, LOAD_PER_SECOND = 24;
    /** The share of its half of the limit that each relay must get at least. */
    private static final double MIN_SHARE = 0.4;
    private static final List<RelayConfig.MessageClass> MESSAGE_CLASSES = List.of(
        new RelayConfig.MessageClass("status", "pure", false, 1_000, 4_000),
        new RelayConfig.MessageClass("session", "token", true, 2_000, 4_000),
        new RelayConfig.MessageClass("charge", "side_effect", false, 2_000, 4_000));
    private static final List<DeliverySemantics> SEMANTICS = List.of(DeliverySemantics.IDEMPOTENT,
        DeliverySemantics.DEDUPLICATED, DeliverySemantics.AT_MOST_ONCE);
    private static final RelaySettings OLD_SETTINGS = new RelaySettings(2, 0, 32, 200, 8, 1_000, 10_000, 0.2,
        3_000, 2,
        1_000, 100, true,
        128);
    private static final RelaySettings NEW_SETTINGS = new RelaySettings(2, 1, 6, 60, 8, 1_000, 5_000, 0.2,
        3_000, 2,
        1_000, 100, true,
        128);

    private final DeliveryReferee referee = new DeliveryReferee(10 * SECOND_MICROS, 2 * SECOND_MICROS / 5);
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(7);
    private Reactor reactor;
    private long startedAtMicros;
    private int roundCount;

    /**
     * Guards against a migration in which one relay uses up the limit of a destination that both send to, or
     * in which a delivery rule is broken because the relays differ in their settings and topology. Endpoints
     * drain and refuse connections meanwhile.
     */
    @Test
    public void bothRelaysDeliverAndNeitherStarvesTheOther() throws Exception {
        List<String> failures = new ArrayList<>();
        reactor = new Reactor(failure -> failures.add(failure.toString()));
        Platform platform = new Platform(reactor, referee, endpoints);
        addEndpoint("limited", 1, LIMIT_PER_SECOND, "north",
            "0 s: answer 200 after 10 ms to 30 ms\n0 s: answer 429 wait 1 s over " + LIMIT_PER_SECOND,
            platform);
        addEndpoint("near", 2, 200, "south", "0 s: answer 200 after 5 ms to 15 ms", platform);
        addEndpoint("far", 2, 200, "north", "0 s: answer 200 after 5 ms to 15 ms\n3 s: drain", platform);
        addEndpoint("returning", 3, 60, "south", "0 s: answer 200 after 5 ms to 15 ms\n1500 ms - 3 s: refuse",
            platform);
        String discoveryAddress = platform.openWithEndpoints(endpoints);
        List<String> command = RelayFixture.yewpathCommand().command();
        Topology topology = new Topology("none", List.of("north", "south"), List.of(0.06, 0.0), "south",
            0.03);
        try (
            RelayProcess oldRelay = new RelayProcess(command, discoveryAddress, 0, MESSAGE_CLASSES,
                OLD_SETTINGS, List.of());
            RelayProcess newRelay = new RelayProcess(command, discoveryAddress, 0, MESSAGE_CLASSES,
                NEW_SETTINGS, topology, List.of())) {
            clients.add(new Client(reactor, referee, oldRelay.address));
            clients.add(new Client(reactor, referee, newRelay.address));
            reactor.execute(() -> {
                endpoints.forEach(Endpoint::startScript);
                startedAtMicros = reactor.nowMicros();
                submitRound();
            });
            Thread.sleep(LOAD_MICROS / 1_000 + 500);
            for (int polls = 0; polls < 100 && reactor.call(referee::openCount) > 0; polls++) {
                Thread.sleep(50);
            }
            assertEquals(List.of(oldRelay.terminate(), newRelay.terminate()), List.of(0, 0));
            reactor.call(() -> {
                referee.checkLost(reactor.nowMicros());
                return null;
            });
            checkDeliveries(oldRelay.address.toString(), newRelay.address.toString());
        } finally {
            reactor.close();
        }
        assertEquals(failures, List.of());
    }

    private void addEndpoint(String name, int destination, double weight, String zone, String script,
        Platform platform) {
        endpoints.add(new Endpoint(reactor, referee, name, destination, "plain", weight, script,
            random.split(), platform::publishList)
            .inZone(zone));
    }

    /**
     * Submits the same messages to both relays every 50 ms. Together they have more messages for the limited
     * destination than its limit allows.
     */
    private void submitRound() {
        for (int clientIndex = 0; clientIndex < clients.size(); clientIndex++) {
            for (int number = (roundCount + 1) * LOAD_PER_SECOND / 20
                - roundCount * LOAD_PER_SECOND / 20; number > 0; number--) {
                submit(clientIndex, 1, number);
            }
            submit(clientIndex, 2, 0);
            submit(clientIndex, 3, 0);
        }
        roundCount++;
        if (reactor.nowMicros() - startedAtMicros < LOAD_MICROS) {
            reactor.schedule(startedAtMicros + roundCount * 50_000L - reactor.nowMicros(), this::submitRound);
        }
    }

    private void submit(int client, int destination, int number) {
        int index = random.nextInt(3);
        clients.get(client).submit("m" + client + "-" + destination + "-" + roundCount + "-" + number,
            MESSAGE_CLASSES.get(index).name(),
            SEMANTICS.get(index), destination, index == 1 ? "k" + client + random.nextInt(8) : null,
            TIME_TO_LIVE_MICROS,
            new byte[100]);
    }

    private void checkDeliveries(String oldRelay, String newRelay) {
        assertEquals(referee.violations(), List.of());
        assertTrue(endpoints.get(0).rejectionCount() > 0, "the limit was never reached");
        assertTrue(endpoints.get(3).callCount() > 0,
            "no call was made to the endpoint that refused connections for a while");
        for (String relay : List.of(oldRelay, newRelay)) {
            long limitedCount = deliveredCount(relay, "-1-");
            double evenShare = LIMIT_PER_SECOND / 2.0 * LOAD_MICROS / SECOND_MICROS;
            assertTrue(limitedCount >= MIN_SHARE * evenShare,
                relay + (relay.equals(oldRelay) ? " (old)" : " (new)") + " delivered " + limitedCount + " of "
                    + evenShare
                    + " messages under the limit, the other relay "
                    + deliveredCount(relay.equals(oldRelay) ? newRelay : oldRelay, "-1-"));
            assertTrue(deliveredCount(relay, "-2-") >= 100,
                relay + " delivered " + deliveredCount(relay, "-2-") + " of 120 messages without a limit");
        }
    }

    private long deliveredCount(String relay, String idPart) {
        return referee.messages().stream()
            .filter(message -> message.relay.equals(relay) && message.id.contains(idPart)
                && message.state == DeliveryState.DELIVERED)
            .count();
    }
}
