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

/** A move under way: a relay of the old shape and one of the new, in processes of their own, before the same endpoints. */
public final class MoveTest {
    private static final long SECOND = 1_000_000, LOAD = 6 * SECOND, EXPIRY = 4 * SECOND;
    /** Calls a second that the limited destination takes, and what either relay alone would send it. */
    private static final int LIMIT = 30, ASKED = 24;
    /** Of its even part of the limit, what either relay must get. */
    private static final double LEAST = 0.4;
    private static final List<RelayConfig.MessageClass> OFFERINGS = List.of(
        new RelayConfig.MessageClass("status", "pure", false, 1_000, 4_000),
        new RelayConfig.MessageClass("session", "token", true, 2_000, 4_000),
        new RelayConfig.MessageClass("charge", "side_effect", false, 2_000, 4_000));
    private static final List<DeliverySemantics> KINDS = List.of(DeliverySemantics.IDEMPOTENT,
        DeliverySemantics.DEDUPLICATED, DeliverySemantics.AT_MOST_ONCE);
    private static final RelaySettings OLD = new RelaySettings(2, 0, 32, 200, 8, 1_000, 10_000, 0.2, 3_000, 2,
        1_000, 100, true,
        128);
    private static final RelaySettings NEW = new RelaySettings(2, 1, 6, 60, 8, 1_000, 5_000, 0.2, 3_000, 2,
        1_000, 100, true,
        128);

    private final DeliveryReferee accounts = new DeliveryReferee(10 * SECOND, 2 * SECOND / 5);
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private final SplittableRandom chance = new SplittableRandom(7);
    private Reactor reactor;
    private long begunAt;
    private int rounds;

    @Test
    public void bothShapesServeAndNeitherStarvesTheOther() throws Exception {
        List<String> faults = new ArrayList<>();
        reactor = new Reactor(failure -> faults.add(failure.toString()));
        Platform platform = new Platform(reactor, accounts, endpoints);
        endpoint("limited", 1, LIMIT, "north",
            "0 s: answer 200 after 10 ms to 30 ms\n0 s: answer 429 wait 1 s over " + LIMIT, platform);
        endpoint("near", 2, 200, "south", "0 s: answer 200 after 5 ms to 15 ms", platform);
        endpoint("far", 2, 200, "north", "0 s: answer 200 after 5 ms to 15 ms\n3 s: drain", platform);
        endpoint("returning", 3, 60, "south", "0 s: answer 200 after 5 ms to 15 ms\n1500 ms - 3 s: refuse",
            platform);
        String at = platform.openWithEndpoints(endpoints);
        List<String> command = RelayFixture.yewpathCommand().command();
        Topology shape = new Topology("none", List.of("north", "south"), List.of(0.06, 0.0), "south", 0.03);
        try (RelayProcess old = new RelayProcess(command, at, 0, OFFERINGS, OLD, List.of());
            RelayProcess moved = new RelayProcess(command, at, 0, OFFERINGS, NEW, shape, List.of())) {
            clients.add(new Client(reactor, accounts, old.address));
            clients.add(new Client(reactor, accounts, moved.address));
            reactor.execute(() -> {
                endpoints.forEach(Endpoint::startScript);
                begunAt = reactor.nowMicros();
                next();
            });
            Thread.sleep(LOAD / 1_000 + 500);
            for (int i = 0; i < 100 && reactor.call(accounts::openCount) > 0; i++) {
                Thread.sleep(50);
            }
            assertEquals(List.of(old.terminate(), moved.terminate()), List.of(0, 0));
            reactor.call(() -> {
                accounts.checkLost(reactor.nowMicros());
                return null;
            });
            judge(old.address.toString(), moved.address.toString());
        } finally {
            reactor.close();
        }
        assertEquals(faults, List.of());
    }

    private void endpoint(String name, int destination, double weight, String zone, String script,
        Platform platform) {
        endpoints.add(new Endpoint(reactor, accounts, name, destination, "plain", weight, script,
            chance.split(), platform::publishList)
            .inZone(zone));
    }

    /** Each 50 ms, to both relays alike: the limited destination is asked for more than it takes by both together. */
    private void next() {
        for (int i = 0; i < clients.size(); i++) {
            for (int due = (rounds + 1) * ASKED / 20 - rounds * ASKED / 20; due > 0; due--) {
                handIn(i, 1, due);
            }
            handIn(i, 2, 0);
            handIn(i, 3, 0);
        }
        rounds++;
        if (reactor.nowMicros() - begunAt < LOAD) {
            reactor.schedule(begunAt + rounds * 50_000L - reactor.nowMicros(), this::next);
        }
    }

    private void handIn(int client, int destination, int number) {
        int which = chance.nextInt(3);
        clients.get(client).submit("m" + client + "-" + destination + "-" + rounds + "-" + number,
            OFFERINGS.get(which).name(),
            KINDS.get(which), destination, which == 1 ? "k" + client + chance.nextInt(8) : null, EXPIRY,
            new byte[100]);
    }

    private void judge(String old, String moved) {
        assertEquals(accounts.violations(), List.of());
        assertTrue(endpoints.get(0).rejectionCount() > 0, "the limit never bound");
        assertTrue(endpoints.get(3).callCount() > 0, "nothing went to the one that returned");
        for (String relay : List.of(old, moved)) {
            long limited = fulfilled(relay, "-1-");
            double part = LIMIT / 2.0 * LOAD / SECOND;
            assertTrue(limited >= LEAST * part,
                relay + (relay.equals(old) ? " (old)" : " (new)") + " got " + limited + " of " + part
                    + " through the limit, the other " + fulfilled(relay.equals(old) ? moved : old, "-1-"));
            assertTrue(fulfilled(relay, "-2-") >= 100,
                relay + " got " + fulfilled(relay, "-2-") + " of 120 where nothing binds");
        }
    }

    private long fulfilled(String relay, String part) {
        return accounts.messages().stream()
            .filter(one -> one.relay.equals(relay) && one.id.contains(part)
                && one.state == DeliveryState.DELIVERED)
            .count();
    }
}
