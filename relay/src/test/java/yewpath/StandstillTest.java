package yewpath;

import static org.testng.Assert.assertEquals;
import static yewpath.RelayFixture.uniqueOk;
import static yewpath.RelayFixture.waitUntil;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a relay whose process stood still reads what came meanwhile before it sends. */
public final class StandstillTest extends RelayFixture.RelayTest {
    /** How long an endpoint that is gone tolerates requests, on sockets. */
    private static final int GRACE_MILLIS = 300;
    private static final int STANDSTILL_MILLIS = 900;
    private static final int STANDSTILLS = 4;

    @DataProvider
    public Object[][] standstills() {
        // In the second row the process stands still for longer than discovery may be silent.
        return new Object[][]{{"3 s", STANDSTILL_MILLIS}, {"1200 ms", 1_300}};
    }

    /**
     * Guards against messages to an address that another destination got while the process stood still: timers
     * that were due meanwhile must not send before the list is read, nor close the watch for its silence.
     */
    @Test(dataProvider = "standstills")
    public void dueTimersSendByTheListThatArrivedMeanwhile(String silence, int standstillMillis)
        throws Exception {
        fixture.operatorConfig = "[discovery]\nsilence = \"" + silence + "\"\n";
        List<RelayFixture.StubServer> servers = new ArrayList<>();
        fixture.endpointWeight = "8.0";
        fixture.maxOpenMessages = 200;
        for (int number = 0; number < 2; number++) {
            servers.add(fixture.addEndpoint("s" + number, 1, "plain", request -> uniqueOk()));
        }
        fixture.start();
        for (int number = 0; number < 120; number++) {
            assertEquals(fixture.submit("m" + number, "order", 1, 20_000), 202);
        }
        List<Long> publishedAtNanos = new ArrayList<>();
        for (int number = 0; number < STANDSTILLS; number++) {
            RelayFixture.pause(400);
            SuspendedRelay suspended = new SuspendedRelay(fixture);
            servers.add(new RelayFixture.StubServer(request -> uniqueOk()));
            publishedAtNanos.add(System.nanoTime());
            fixture.publish(false,
                fixture.listEntry("s" + number, servers.get(number).address(), 1, "plain", "removed"),
                fixture.listEntry("t" + number, servers.get(number).address(), 2, "plain", "up"),
                fixture.listEntry("s" + (number + 2), servers.get(number + 2).address(), 1, "plain", "up"));
            RelayFixture.pause(standstillMillis);
            suspended.resume();
        }
        waitUntil("the last list is in use", 6_000,
            () -> !servers.get(STANDSTILLS + 1).requests.isEmpty());
        List<String> lateIds = new ArrayList<>();
        for (int number = 0; number < STANDSTILLS; number++) {
            long boundNanos = publishedAtNanos.get(number) + GRACE_MILLIS * 1_000_000L;
            servers.get(number).requests.stream().filter(request -> request.receivedAtNanos > boundNanos)
                .forEach(request -> lateIds.add(request.id()));
        }
        assertEquals(lateIds, List.of(), "messages were sent by the list from before the standstill");
    }

    /**
     * Guards against a call by an outdated list whose connection was established while the process stood still:
     * the end of the connecting may be handled before the list is.
     */
    @Test
    public void callThatConnectedMeanwhileIsNotSent() throws Exception {
        fixture.connectTimeoutMillis = 10_000;
        List<String> ids = new CopyOnWriteArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            fixture.listEndpoint("e1", "127.0.0.1:" + listener.getLocalPort(), 1);
            fixture.listEndpoint("e2", "127.0.0.1:" + listener.getLocalPort(), 2);
            List<Socket> backlog = RelayFixture.fillBacklog(listener);
            fixture.start();
            for (int number = 0; number < 10; number++) {
                assertEquals(fixture.submit("m" + number, "order", 1, 15_000), 202);
            }
            RelayFixture.pause(100);
            SuspendedRelay suspended = new SuspendedRelay(fixture);
            fixture.publish(false,
                fixture.listEntry("e1", "127.0.0.1:" + listener.getLocalPort(), 1, "plain", "removed"));
            RelayFixture.recordIds(listener, ids);
            for (Socket socket : backlog) {
                socket.close();
            }
            // The connections are established by then: a SYN is repeated after 1 s.
            RelayFixture.pause(1_500);
            suspended.resume();
            RelayFixture.pause(1_000);
            assertEquals(ids, List.of(), "a call was sent by the list from before the standstill");
        }
    }

    /**
     * Guards against calls during a wait that an endpoint asked for while the process stood still: timers that were
     * due meanwhile must not send before the response is read.
     */
    @Test
    public void waitThatWasToldMeanwhileIsKept() throws Exception {
        int waitMillis = 3_000;
        AtomicBoolean shut = new AtomicBoolean();
        AtomicLong toldAtNanos = new AtomicLong();
        fixture.endpointWeight = "8.0";
        fixture.maxOpenMessages = 200;
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> {
            if (!shut.get()) {
                return uniqueOk();
            }
            RelayFixture.pause(300);
            toldAtNanos.compareAndSet(0, System.nanoTime());
            return "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";
        });
        fixture.start();
        for (int number = 0; number < 60; number++) {
            assertEquals(fixture.submit("m" + number, "order", 1, 20_000), 202);
        }
        RelayFixture.pause(400);
        shut.set(true);
        int before = endpoint.requests.size();
        waitUntil("a call is in flight", 5_000, () -> endpoint.requests.size() > before);
        SuspendedRelay suspended = new SuspendedRelay(fixture);
        int sent = endpoint.requests.size();
        RelayFixture.pause(STANDSTILL_MILLIS);
        suspended.resume();
        RelayFixture.pause(waitMillis - STANDSTILL_MILLIS - 500);
        List<Long> duringWaitMillis = endpoint.requests.stream().skip(sent)
            .map(request -> (request.receivedAtNanos - toldAtNanos.get()) / 1_000_000).toList();
        assertEquals(duringWaitMillis, List.of(), "calls came during the wait");
    }
}
