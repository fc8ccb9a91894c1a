package yewpath;

import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Several relay processes together don't make an endpoint collapse again that returns from an outage. */
public final class OutageReturnProcessTest {
    private static final int RELAYS = 6;
    private static final double CALLS_PER_SECOND = 50;
    private static final int SUBMIT_INTERVAL_MILLIS = 130;
    private static final int OUTAGE_MILLIS = 3_000;
    /** How long before the return a killed process is started again. */
    private static final int RESTART_LEAD_MILLIS = 600;
    private static final int RESTART_PAUSE_MILLIS = 600;
    private static final int OBSERVED_MILLIS = 3_500;

    private final List<RelayFixture> relays = new ArrayList<>();
    private ReturningEndpoint endpoint;

    @BeforeMethod
    public void startFleet() throws Exception {
        endpoint = new ReturningEndpoint(CALLS_PER_SECOND, request -> {
            RelayFixture.pause(50);
            return RelayFixture.uniqueOk();
        });
        for (int i = 0; i < RELAYS; i++) {
            RelayFixture relay = new RelayFixture();
            relays.add(relay);
            relay.relayCount = RELAYS;
            relay.listEndpoint("e1", endpoint.address(), 1);
            relay.startProcess();
        }
        for (RelayFixture relay : relays) {
            RelayFixture.waitUntil("the relay is ready", 10_000, relay::isReady);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() throws Exception {
        for (RelayFixture relay : relays) {
            relay.close();
        }
        relays.clear();
        endpoint.close();
    }

    @DataProvider
    public Object[][] outages() {
        return new Object[][]{
            {ReturningEndpoint.Outage.REFUSED_CONNECTS, true},
            {ReturningEndpoint.Outage.REFUSED_CONNECTS, false},
            {ReturningEndpoint.Outage.RESETS, true},
        };
    }

    /**
     * Guards against an endpoint that collapses at its return, since each relay has had a few failures only or is a
     * new process.
     */
    @Test(dataProvider = "outages")
    public void returningEndpointGetsNoMoreThanItsBudget(ReturningEndpoint.Outage outage, boolean restart)
        throws Exception {
        AtomicBoolean running = new AtomicBoolean(true);
        AtomicInteger submitted = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (RelayFixture relay : relays) {
            clients.add(new Thread(() -> submitUntilStopped(relay, running, submitted)));
        }
        clients.forEach(Thread::start);
        RelayFixture.pause(1_500);
        endpoint.goOut(outage);
        RelayFixture.pause(OUTAGE_MILLIS - RESTART_LEAD_MILLIS - RESTART_PAUSE_MILLIS);
        if (restart) {
            for (RelayFixture relay : relays) {
                relay.process.destroyForcibly();
            }
        }
        RelayFixture.pause(RESTART_PAUSE_MILLIS);
        if (restart) {
            for (RelayFixture relay : relays) {
                relay.startProcess();
            }
        }
        RelayFixture.pause(RESTART_LEAD_MILLIS);
        endpoint.comeBack();
        RelayFixture.pause(OBSERVED_MILLIS);
        running.set(false);
        for (Thread client : clients) {
            client.join();
        }
        assertTrue(submitted.get() > 100, submitted + " messages were accepted");
        assertNull(endpoint.firstCollapse(), "the endpoint would have collapsed");
    }

    private static void submitUntilStopped(RelayFixture relay, AtomicBoolean running,
        AtomicInteger submitted) {
        for (int number = 1; running.get(); number++) {
            try {
                int status = relay.submit("m" + number, number % 2 == 0 ? "order" : "status", 1, 7_900);
                submitted.addAndGet(status == 202 ? 1 : 0);
            } catch (IOException down) {
                // The process is being restarted; the next message comes as usual.
                Thread.onSpinWait();
            }
            RelayFixture.pause(SUBMIT_INTERVAL_MILLIS);
        }
    }
}
