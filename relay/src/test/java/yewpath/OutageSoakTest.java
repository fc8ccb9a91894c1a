package yewpath;

import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays outages of an endpoint, drawn from a seed, while several relays are killed, shut down, reloaded and crowded by
 * idle clients. A seed repeats the plan of faults, but not the exact timing, which depends on the scheduler.
 */
public final class OutageSoakTest {
    private static final int RELAYS = 3;
    private static final int CLIENTS_PER_RELAY = 2;
    private static final int CROWD_CONNECTIONS = 150;
    private static final double CALLS_PER_SECOND = 50;
    private static final long FAULT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(14);
    private static final int WARM_UP_MILLIS = 2_000;
    /** The earliest kill after SIGTERM. */
    private static final int KILL_AFTER_TERM_MILLIS = 3_700;
    private static final int RESTART_PAUSE_MILLIS = 600;

    private final List<RelayFixture> relays = new ArrayList<>();
    private final List<Socket> crowd = new ArrayList<>();
    private SoakOutcomes outcomes;
    private Random random;
    private ReturningEndpoint endpoint;
    private volatile boolean clientsRunning;

    /** {@code -Dsoak.seeds} seeds from {@code -Dsoak.first} on. */
    @DataProvider
    public Object[][] seeds() {
        return SoakOutcomes.seeds(1);
    }

    /**
     * Guards against an endpoint that collapses at its return under relays of which some are restarted, and against
     * messages that are lost or executed twice meanwhile.
     */
    @Test(dataProvider = "seeds")
    public void outagesUnderRestartsViolateNoRule(long seed) throws Exception {
        startFleet(seed);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < RELAYS * CLIENTS_PER_RELAY; i++) {
            int relay = i % RELAYS;
            Random choices = new Random(random.nextLong());
            clients.add(new Thread(() -> submitUntilStopped(relay, choices)));
        }
        clients.forEach(Thread::start);
        long endNanos = System.nanoTime() + FAULT_PERIOD_NANOS;
        while (System.nanoTime() < endNanos) {
            playOutage();
        }
        clientsRunning = false;
        for (Thread client : clients) {
            client.join();
        }
        outcomes.check(seed, 100);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() throws Exception {
        clientsRunning = false;
        closeCrowd();
        for (RelayFixture relay : relays) {
            relay.close();
        }
        relays.clear();
        endpoint.close();
    }

    private void startFleet(long seed) throws Exception {
        random = new Random(seed);
        outcomes = new SoakOutcomes(RELAYS);
        endpoint = new ReturningEndpoint(CALLS_PER_SECOND, this::execute);
        for (int i = 0; i < RELAYS; i++) {
            RelayFixture relay = new RelayFixture();
            relays.add(relay);
            relay.relayCount = RELAYS;
            relay.maxOpenMessages = 200;
            relay.noticeResponder = outcomes::receiveNotices;
            relay.listEndpoint("e1", endpoint.address(), 1);
            relay.startProcess();
        }
        for (int i = 0; i < RELAYS; i++) {
            waitUntil("the relay is ready", 10_000, relays.get(i)::isReady);
            outcomes.relayReady(i);
        }
        clientsRunning = true;
    }

    private String execute(RelayFixture.ReceivedRequest request) {
        outcomes.rules.attemptStarted(request.id(), false, request.connection);
        RelayFixture.pause(30);
        outcomes.rules.messageDelivered(request.id());
        outcomes.rules.attemptEnded(request.id(), request.connection);
        return RelayFixture.uniqueOk();
    }

    /** Submits messages on a connection that stays in use until the relay ends it. */
    private void submitUntilStopped(int relay, Random choices) {
        while (clientsRunning) {
            try (Socket socket = relays.get(relay).connect()) {
                while (clientsRunning) {
                    outcomes.submit(socket, relay, 1, "x");
                    RelayFixture.pause(40 + choices.nextInt(120));
                }
            } catch (IOException down) {
                RelayFixture.pause(20);
            }
        }
    }

    /** Plays one outage with faults of the relays before and after the return, and checks the return. */
    private void playOutage() throws Exception {
        RelayFixture.pause(500 + random.nextInt(1_000));
        ReturningEndpoint.Outage[] kinds = ReturningEndpoint.Outage.values();
        endpoint.goOut(kinds[random.nextInt(kinds.length)]);
        RelayFixture.pause(1_000 + random.nextInt(1_500));
        playFault();
        RelayFixture.pause(random.nextInt(900));
        endpoint.comeBack();
        RelayFixture.pause(200 + random.nextInt(500));
        if (random.nextInt(3) == 0) {
            playFault();
        }
        RelayFixture.pause(WARM_UP_MILLIS);
        String collapse = endpoint.firstCollapse();
        if (collapse != null) {
            outcomes.rules.violations.add("the endpoint would have collapsed: " + collapse);
        }
    }

    private void playFault() throws Exception {
        int relay = random.nextInt(RELAYS);
        switch (random.nextInt(6)) {
            case 0 -> {
                // All processes at once.
                for (RelayFixture each : relays) {
                    each.kill();
                }
                RelayFixture.pause(RESTART_PAUSE_MILLIS);
                for (int i = 0; i < RELAYS; i++) {
                    restart(i);
                }
            }
            case 1 -> {
                relays.get(relay).kill();
                RelayFixture.pause(RESTART_PAUSE_MILLIS);
                restart(relay);
            }
            case 2 -> {
                relays.get(relay).signal("TERM");
                relays.get(relay).process.waitFor(KILL_AFTER_TERM_MILLIS, TimeUnit.MILLISECONDS);
                relays.get(relay).kill();
                RelayFixture.pause(RESTART_PAUSE_MILLIS);
                restart(relay);
            }
            case 3 -> {
                for (String signal : List.of("HUP", "HUP", "TERM", "HUP", "TERM")) {
                    relays.get(relay).signal(signal);
                    RelayFixture.pause(random.nextInt(60));
                }
                relays.get(relay).process.waitFor(KILL_AFTER_TERM_MILLIS, TimeUnit.MILLISECONDS);
                relays.get(relay).kill();
                RelayFixture.pause(RESTART_PAUSE_MILLIS);
                restart(relay);
            }
            case 4 -> {
                relays.get(relay).reload(relays.get(relay).config());
                relays.get(relay).reload(relays.get(relay).config());
            }
            default -> {
                closeCrowd();
                for (int i = 0; i < CROWD_CONNECTIONS; i++) {
                    crowd.add(relays.get(relay).connect());
                }
            }
        }
    }

    private void closeCrowd() throws IOException {
        for (Socket idle : crowd) {
            idle.close();
        }
        crowd.clear();
    }

    private void restart(int relay) throws Exception {
        relays.get(relay).startProcess();
        waitUntil("the relay is ready again", 10_000, relays.get(relay)::isReady);
        outcomes.relayReady(relay);
    }
}
