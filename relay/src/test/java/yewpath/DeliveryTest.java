package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.CLOSE_CONNECTION;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.uniqueOk;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import yewpath.delivery.Call;
import yewpath.delivery.Delivery;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;
import yewpath.operator.OperatorSettings;

/** Calls to endpoints, the list they stand in, and the notices of what was not delivered. */
public final class DeliveryTest extends RelayFixture.RelayTest {
    private static String status(int status, String... headers) {
        return "HTTP/1.1 " + status + " X\r\n" + List.of(headers).stream().map(h -> h + "\r\n")
            .collect(Collectors.joining()) + "Content-Length: 0\r\n\r\n";
    }

    /** Answers once the latch lets it. */
    private static Function<RelayFixture.ReceivedRequest, String> after(CountDownLatch latch,
        Function<RelayFixture.ReceivedRequest, String> answer) {
        return got -> {
            try {
                latch.await();
            } catch (InterruptedException e) {
                return CLOSE_CONNECTION;
            }
            return answer.apply(got);
        };
    }

    private static String body(String json) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
    }

    @Test
    public void passesIdAndBodyOnAndKeepsTheConnection() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> uniqueOk());
        fixture.start();
        assertEquals(fixture.submit("a1", "status", 1, 5000), 202);
        waitUntil("delivered", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(50);
        assertEquals(fixture.submit("a2", "order", 1, 5000), 202);
        waitUntil("delivered", 2000, () -> endpoint.requests.size() == 2);
        RelayFixture.ReceivedRequest got = endpoint.requests.get(1);
        assertEquals(got.requestLine, "POST /inbox HTTP/1.1");
        assertEquals(got.id(), "a2");
        assertEquals(got.body, "body of a2");
        assertTrue(got.headers.get("request-timeout").matches("[0-9]+[um]"));
        assertEquals(got.connectionNumber, 1);
        assertTrue(fixture.notices.isEmpty());
    }

    @Test
    public void closesIdleConnectionsBeforeTheEndpointDoes() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> uniqueOk());
        fixture.start();
        fixture.submit("a1", "status", 1, 5000);
        waitUntil("delivered", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(1950);
        // The endpoint's time is 2 s: by now the relay has ended its side, and a new call comes on a new one.
        fixture.submit("a2", "status", 1, 5000);
        waitUntil("delivered", 2000, () -> endpoint.requests.size() == 2);
        assertEquals(endpoint.requests.get(1).connectionNumber, 2);
    }

    @Test
    public void aConnectionThatDiedWhileIdleIsNotUsed() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> uniqueOk());
        fixture.start();
        fixture.submit("a1", "order", 1, 5000);
        waitUntil("delivered", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(100);
        endpoint.closeConnections();
        Thread.sleep(100);
        fixture.submit("a2", "order", 1, 5000);
        waitUntil("delivered", 2000, () -> endpoint.requests.size() == 2);
        assertTrue(fixture.notices.isEmpty());
    }

    @Test
    public void keptConnectionsThatDieUnseenAreNotUsedForLong() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint("e1", 1, "plain", got -> uniqueOk());
        endpoint.responder = got -> endpoint.requests.stream()
            .filter(g -> g.connectionNumber == got.connectionNumber).count() > 1
                ? CLOSE_CONNECTION : uniqueOk();
        fixture.start();
        for (int i = 1; i <= 12; i++) {
            fixture.submit("k" + i, "status", 1, 7900);
            int fulfilled = i;
            waitUntil("delivered", 3000, () -> fixture.statistic("fulfilled") == fulfilled);
        }
        assertTrue(endpoint.requests.size() <= 16, endpoint.requests.size() + " calls for 12 envelopes");
    }

    @Test
    public void aGarbledOrCutAnswerMayHaveRun() throws Exception {
        fixture.addEndpoint(1, got -> "HTP/9 what\r\n\r\n");
        RelayFixture.StubServer cutting = fixture.addEndpoint(2, got -> CLOSE_CONNECTION);
        RelayFixture.StubServer mending = fixture.addEndpoint("e3", 3, "plain", got -> CLOSE_CONNECTION);
        mending.responder = got -> mending.requests.size() == 1 ? CLOSE_CONNECTION : OK;
        fixture.start();
        fixture.submit("g1", "order", 1, 9000);
        fixture.submit("g2", "order", 2, 9000);
        fixture.submit("g3", "status", 3, 7000);
        waitUntil("once-only envelopes in doubt are given up", 3000,
            () -> fixture.hasOutcomeNotice("g1", "given_up")
                && fixture.hasOutcomeNotice("g2", "given_up"));
        waitUntil("a repeatable one goes again", 5000, () -> mending.requests.size() == 2);
        Thread.sleep(300);
        assertEquals(cutting.requests.size(), 1);
        assertFalse(fixture.hasOutcomeNotice("g3", "g3"));
    }

    @Test
    public void aTwoHundredWhoseBodyIsCutIsADelivery() throws Exception {
        fixture.addEndpoint(1, got -> "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nabc");
        fixture.addEndpoint(2, got -> "HTTP/1.1 100 Continue\r\n\r\n" + OK);
        fixture.start();
        fixture.submit("d1", "order", 1, 1500);
        fixture.submit("d2", "order", 2, 1500);
        Thread.sleep(2000);
        assertTrue(fixture.notices.isEmpty(), "" + fixture.notices);
    }

    @DataProvider
    public Object[][] spoilt() {
        String ok = "HTTP/1.1 200 OK\r\n";
        return new Object[][]{
            {"a head that cannot be read", true, ok + "no colon\r\n\r\n"},
            {"a head that does not end", true, ok + "X-A: " + "y".repeat(9000)},
            {"a head that stays away", true, ok + "X-A: y\r\n"},
            {"a length that does not fit", true, ok + "Content-Length: 9\r\n\r\nabc"},
            {"no length", true, ok + "\r\nabc"},
            {"3 GB", true, ok + "Content-Length: 3221225472\r\n\r\n" + "z".repeat(9000)},
            {"a first line badly ended", true, "HTTP/1.1 200 \1\nContent-Length: 0\r\n\r\n"},
            {"noise", false, "\1\2\3 200 noise without a line's end"},
            {"noise behind 1xx", false, "HTTP/1.1 102 Processing\r\n\r\nnoise\r\n\r\n"},
            {"an error that does not end", false,
                "HTTP/1.1 429 X\r\nRetry-After: 1\r\nContent-Length: 5\r\n\r\n"},
        };
    }

    @Test(dataProvider = "spoilt")
    public void aSpoiltAnswerIsTrueOnlyWhereItsFirstLineSays200(String what, boolean delivered, String bytes)
        throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> bytes);
        fixture.start();
        assertEquals(fixture.submit("s1", "order", 1, 9000), 202);
        // Else it would keep its slot until its expiry.
        waitUntil(what, 1500, () -> fixture.statistic("open") == 0);
        assertEquals(fixture.statistic("fulfilled"), delivered ? 1 : 0, what);
        waitUntil("its end is told", 500, () -> delivered || fixture.hasOutcomeNotice("s1", "given_up"));
        assertEquals(endpoint.requests.size(), 1);
    }

    @Test
    public void whatComesBehindAGoodAnswerIsNotTheNextOnes() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> uniqueOk());
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        EventLoop loop = new EventLoop(worker.getIoThread());
        Delivery delivery = new Delivery(loop,
            new Limits(name -> 0, 1_000_000, 2_000_000, OperatorSettings.DEFAULTS),
            List.of(), () -> true);
        AtomicInteger outcomes = new AtomicInteger();
        Call.Attempt cargo = (Call.Attempt) Proxy.newProxyInstance(Call.Attempt.class.getClassLoader(),
            new Class<?>[]{Call.Attempt.class}, (proxy, method, args) -> switch (method.getName()) {
                case "id" -> "q" + outcomes.get();
                case "body" -> new byte[0];
                case "deadlineMicros", "sendByMicros" -> loop.nowMicros() + 5_000_000;
                case "onEnd" -> outcomes.addAndGet((int) args[0] == PolicyActions.DELIVERED ? 1 : 100);
                case "equals" -> proxy == args[0];
                default -> null;
            });
        loop.thread().execute(() -> {
            delivery.setAddress(0, new InetSocketAddress("127.0.0.1", endpoint.port()));
            delivery.startCall(0, List.of(cargo), loop.nowMicros() + 5_000_000);
        });
        waitUntil("the first is delivered", 2000, () -> outcomes.get() == 1);
        loop.thread().execute(() -> {
            try {
                // Comes while a round is at work, which sees nothing of it by itself.
                endpoint.sockets.get(0).getOutputStream()
                    .write(uniqueOk().getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                outcomes.addAndGet(100);
            }
            RelayFixture.pause(100);
            delivery.startCall(0, List.of(cargo), loop.nowMicros() + 5_000_000);
        });
        waitUntil("the next is delivered", 2000, () -> outcomes.get() == 2);
        worker.shutdownNow();
        assertEquals(endpoint.requests.size() + " " + endpoint.connections.get(), "2 2");
    }

    @Test
    public void anAnswerJustAheadOfAResetCounts() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint("e1", 1, "plain", got -> OK);
        endpoint.responder = got -> {
            try {
                // Stopped meanwhile, the relay finds the answer and the reset at once.
                fixture.signal("STOP");
                Socket socket = endpoint.sockets.get(got.connectionNumber - 1);
                socket.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
                socket.setSoLinger(true, 0);
                socket.close();
                fixture.signal("CONT");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
            return CLOSE_CONNECTION;
        };
        fixture.start();
        assertEquals(fixture.submit("z1", "order", 1, 9000), 202);
        waitUntil("called", 2000, () -> endpoint.requests.size() == 1);
        waitUntil("nothing is owed any more", 3000, () -> fixture.statistic("open") == 0);
        assertEquals(fixture.statistic("fulfilled"), 1, "" + fixture.notices);
    }

    @Test
    public void whatNeverReachedAnEndpointGoesAgainEvenIfOnceOnly() throws Exception {
        RelayFixture.StubServer gone = new RelayFixture.StubServer(got -> OK);
        int port = gone.port();
        gone.close();
        fixture.listEndpoint("e1", "127.0.0.1:" + port, 1);
        fixture.start();
        assertEquals(fixture.submit("u1", "order", 1, 15000), 202);
        Thread.sleep(300);
        try (RelayFixture.StubServer back = new RelayFixture.StubServer(got -> OK, port)) {
            waitUntil("sent once it is up", 8000, () -> back.requests.size() == 1);
        }
        assertTrue(fixture.notices.isEmpty());
    }

    @Test
    public void connectionsThatNeverComeUpAreGivenUpAndLeaveNothingOpen() throws Exception {
        try (RelayFixture.UnresponsiveServer deaf = new RelayFixture.UnresponsiveServer()) {
            fixture.listEndpoint("e1", deaf.address(), 1);
            fixture.start();
            Thread.sleep(300);
            long before = descriptors();
            for (int i = 0; i < 6; i++) {
                assertEquals(fixture.submit("c" + i, "order", 1, 6000), 202);
            }
            waitUntil("none can have run", 8000, () -> fixture.notices.size() == 6);
            assertTrue(fixture.notices.stream().allMatch(n -> n.contains("handed_back")),
                "" + fixture.notices);
            Thread.sleep(1200);
            assertTrue(descriptors() <= before + 1, before + " descriptors, then " + descriptors());
        }
    }

    @Test
    public void aDrainReachesCallsThatAreStillConnecting() throws Exception {
        RelayFixture.StubServer second = new RelayFixture.StubServer(got -> OK);
        try (RelayFixture.UnresponsiveServer deaf = new RelayFixture.UnresponsiveServer()) {
            fixture.listEndpoint("e1", deaf.address(), 1);
            fixture.start();
            assertEquals(fixture.submit("d1", "order", 1, 9000), 202);
            Thread.sleep(100);
            fixture.publish(false, fixture.listEntry("e2", second.address(), 1, "plain", "up"),
                fixture.listEntry("e1", deaf.address(), 1, "plain", "draining"));
            // Its connection might come up any time within a second, long after the drain was told.
            waitUntil("sent where it may go", 500, () -> second.requests.size() == 1);
            fixture.publish(true, fixture.listEntry("e1", deaf.address(), 1, "plain", "up"));
            Thread.sleep(100);
            assertEquals(fixture.submit("d2", "order", 1, 9000), 202);
            Thread.sleep(100);
            fixture.publish(true, fixture.listEntry("e2", second.address(), 1, "plain", "up"));
            waitUntil("sent where the whole list says", 500, () -> second.requests.size() == 2);
        }
        second.close();
    }

    private long descriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + fixture.process.pid() + "/fd"))) {
            return all.count();
        }
    }

    @Test
    public void aToldWaitIsHeeded() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        endpoint.responder = got -> endpoint.requests.size() == 1 ? status(429, "Retry-After: 0.85") : OK;
        fixture.start();
        fixture.submit("w1", "status", 1, 7000);
        fixture.submit("w2", "order", 1, 7000);
        waitUntil("both delivered after the wait", 6000, () -> endpoint.requests.size() >= 3);
        long first = endpoint.requests.get(0).receivedAtNanos;
        for (RelayFixture.ReceivedRequest got : endpoint.requests.subList(1, 3)) {
            long after = (got.receivedAtNanos - first) / 1_000_000;
            assertTrue(after < 100 || after >= 850, "sent " + after + " ms after the wait was told");
        }
    }

    @Test
    public void aToldWaitReachesCallsThatAreStillConnecting() throws Exception {
        RelayFixture.StubServer first = fixture.addEndpoint("e1", 1, "plain", got -> {
            RelayFixture.pause(400);
            return status(429, "Retry-After: 3");
        });
        try (RelayFixture.UnresponsiveServer deaf = new RelayFixture.UnresponsiveServer()) {
            fixture.listEndpoint("e2", deaf.address(), 1);
            fixture.start();
            fixture.submit("y1", "order", 1, 9000);
            fixture.submit("y2", "order", 1, 9000);
            waitUntil("one is out, one connecting", 350,
                () -> fixture.statistic("calls_out") == 2 && first.requests.size() == 1);
            Thread.sleep(400);
            // Left alone, the other might come up and leave any time within a second, in the middle of the wait.
            waitUntil("neither goes on", 250, () -> fixture.statistic("calls_out") == 0);
            Thread.sleep(1000);
            assertEquals(first.requests.size(), 1);
        }
    }

    @Test
    public void overAndNotSentAreToldApart() throws Exception {
        RelayFixture.StubServer over = fixture.addEndpoint(1, got -> status(410));
        RelayFixture.StubServer usedUp = fixture.addEndpoint(2, got -> status(504));
        fixture.start();
        fixture.submit("o1", "order", 1, 1500);
        fixture.submit("o2", "order", 2, 1500);
        waitUntil("what is still owed has its end", 3000, () -> fixture.notices.size() > 0);
        Thread.sleep(200);
        assertTrue(fixture.hasOutcomeNotice("o2", "handed_back"), "" + fixture.notices);
        assertEquals(fixture.notices.size(), 1, "" + fixture.notices);
        assertEquals(over.requests.size(), 1);
        assertTrue(usedUp.requests.size() > 1);
    }

    @Test
    public void aCallTooManyForTheSlotsIsNoRefusal() throws Exception {
        // As refusals the two would bring pauses of a quarter of a second at least.
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        endpoint.responder = got -> endpoint.requests.size() <= 2 ? status(503, "X-Over-Slots: 1") : OK;
        fixture.start();
        fixture.submit("v1", "order", 1, 7000);
        waitUntil("sent until it is taken", 3000, () -> endpoint.requests.size() == 3);
        long took = (endpoint.requests.get(2).receivedAtNanos - endpoint.requests.get(0).receivedAtNanos)
            / 1_000_000;
        assertTrue(took < 200, took + " ms");
    }

    @Test
    public void noSecondCopyWhileTheFirstIsOut() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> NO_RESPONSE);
        endpoint.responder = got -> {
            assertTrue(endpoint.requests.stream().noneMatch(g -> g != got && g.open));
            return endpoint.requests.size() == 1 ? NO_RESPONSE : OK;
        };
        fixture.start();
        fixture.submit("t1", "status", 1, 7900);
        waitUntil("sent again after a time-out", 7000, () -> endpoint.requests.size() == 2);
        waitUntil("the first was given up", 1000, () -> !endpoint.requests.get(0).open);
        assertTrue(endpoint.requests.get(1).receivedAtNanos
            - endpoint.requests.get(0).receivedAtNanos > 1_000_000_000L);
    }

    @Test
    public void anExpiredEnvelopeHasItsEndInTime() throws Exception {
        fixture.addEndpoint(1, got -> NO_RESPONSE);
        fixture.listDrainingEndpoint(9);
        fixture.start();
        long start = System.nanoTime();
        fixture.submit("x1", "order", 1, 1000);
        fixture.submit("x2", "status", 9, 1000);
        waitUntil("both ended", 2500, () -> fixture.hasOutcomeNotice("x1", "given_up")
            && fixture.hasOutcomeNotice("x2", "handed_back"));
        assertTrue(System.nanoTime() - start > 800_000_000L);
    }

    @Test
    public void aHoldNearlyFullHandsBackWithAPause() throws Exception {
        fixture.listDrainingEndpoint(9);
        fixture.start();
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            RelayFixture.Response answer = fixture
                .exchange(
                    RelayFixture.messageRequest("h" + i, i % 2 == 0 ? "status" : "order", 9, 7000, "x"));
            if (answer.status() != 202) {
                refused++;
                assertEquals(answer.status() + " " + answer.headers().get("retry-after"), "503 1.000");
            }
        }
        int handedBack = 60 - 47 - refused;
        waitUntil("the others are handed back by notice", 2000, () -> fixture.notices.size() == handedBack);
        assertTrue(fixture.notices.stream().allMatch(n -> n.contains("\"handed_back\",\"retry_in_ms\":1000")),
            "" + fixture.notices);
    }

    @Test
    public void aConnectionIsNotKeptToWhereItsEndpointNoLongerStands() throws Exception {
        CountDownLatch moved = new CountDownLatch(1);
        RelayFixture.StubServer before = fixture.addEndpoint(1, after(moved, got -> uniqueOk()));
        RelayFixture.StubServer after = new RelayFixture.StubServer(got -> uniqueOk());
        fixture.start();
        assertEquals(fixture.submit("m1", "status", 1, 7900), 202);
        waitUntil("it is out", 2000, () -> before.requests.size() == 1);
        fixture.publish(false, fixture.listEntry("e1", after.address(), 1, "plain", "up"),
            fixture.listEntry("e2", after.address(), 2, "plain", "up"));
        waitUntil("the move is known", 2000,
            () -> fixture.submit("n" + System.nanoTime(), "status", 2, 7900) == 202);
        assertEquals(fixture.submit("m2", "status", 1, 7900), 202);
        waitUntil("the next goes to where it stands now", 2000,
            () -> after.requests.stream().anyMatch(g -> "m2".equals(g.id())));
        waitUntil("it is delivered", 2000, () -> fixture.statistic("calls_out") == 1);
        moved.countDown();
        waitUntil("the first is delivered too", 2000, () -> fixture.statistic("calls_out") == 0);
        assertEquals(fixture.submit("m3", "status", 1, 7900), 202);
        waitUntil("the third is delivered", 2000,
            () -> after.requests.stream().anyMatch(g -> "m3".equals(g.id())) || before.requests.size() > 1);
        assertEquals(before.requests.size(), 1, "it went where the endpoint stood before");
        after.close();
    }

    @Test
    public void aConnectionOfACallThatOutlivedADrainIsNotUsedOn() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, after(drains, got -> uniqueOk()));
        RelayFixture.StubServer other = fixture.addEndpoint(2, got -> uniqueOk());
        fixture.start();
        assertEquals(fixture.submit("d1", "order", 1, 9000), 202);
        waitUntil("it is out", 2000, () -> endpoint.requests.size() == 1);
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "plain", "draining"),
            fixture.listEntry("e3", other.address(), 3, "plain", "up"));
        waitUntil("the drain is known", 2000,
            () -> fixture.submit("n" + System.nanoTime(), "status", 3, 7900) == 202);
        drains.countDown();
        waitUntil("it is delivered", 2000, () -> fixture.statistic("fulfilled") >= 2);
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "plain", "up"));
        assertEquals(fixture.submit("d2", "order", 1, 9000), 202);
        waitUntil("it is delivered after the return", 4000, () -> endpoint.requests.size() == 2);
        assertEquals(endpoint.requests.get(1).connectionNumber, 2, "on a connection from before the drain");
    }

    /**
     * The connection of a repeat comes up when the first shot, which may have run, is forgotten: the endpoint takes one
     * connection, lets its queue fill up, cuts, and takes the others in only after the repeat's time.
     */
    @Test
    public void aRepeatWhoseConnectionComesUpTooLateIsNotSent() throws Exception {
        fixture.deduplicationMillis = 1_000;
        fixture.connectTimeoutMillis = 3_000;
        List<String> got = new CopyOnWriteArrayList<>();
        CountDownLatch forgotten = new CountDownLatch(1);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            fixture.listEndpoint("e1", "127.0.0.1:" + listener.getLocalPort(), 1);
            Thread server = new Thread(() -> {
                try (Socket first = listener.accept()) {
                    got.add(RelayFixture.readRequest(first.getInputStream(), 1).id());
                    List<Socket> filling = RelayFixture.fillBacklog(listener);
                    first.close();
                    forgotten.await();
                    for (Socket socket : filling) {
                        socket.close();
                    }
                    recordAll(listener, got);
                } catch (IOException | InterruptedException over) {
                    return;
                }
            });
            server.setDaemon(true);
            server.start();
            fixture.start();
            assertEquals(fixture.submit("t1", "serial", 1, 9000), 202);
            waitUntil("it has come once", 2000, () -> got.size() == 1);
            RelayFixture.pause(1_000);
            forgotten.countDown();
            waitUntil("it has its end, or comes again", 5000,
                () -> fixture.hasOutcomeNotice("t1", "") || got.size() == 2);
            RelayFixture.pause(1_500);
            assertEquals(got, List.of("t1"), "it came again when nobody knew it any more");
            assertTrue(fixture.hasOutcomeNotice("t1", ""));
        }
    }

    /** Notes each request's id until the listener is closed. */
    private static void recordAll(ServerSocket listener, List<String> got) throws IOException {
        while (true) {
            try (Socket later = listener.accept()) {
                RelayFixture.ReceivedRequest request = RelayFixture.readRequest(later.getInputStream(), 2);
                if (request != null) {
                    got.add(request.id());
                }
            }
        }
    }

    @Test
    public void severalInOneCallEachHaveTheirEnd() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint("e1", 1, "bundled", got -> OK);
        endpoint.responder = got -> got.requestLine.startsWith("POST /inbox/bulk")
            && endpoint.requests.size() == 1
                ? body(
                    "[{\"id\":\"b1\",\"state\":\"done\"},{\"id\":\"b2\",\"state\":\"failed\"},{\"id\":\"b3\",\"state\":\"busy\"},"
                        + "{\"id\":\"b4\",\"state\":\"void\"}]")
                : got.requestLine.contains("bulk") ? body("[]") : OK;
        fixture.start();
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "bundled", "draining"));
        Thread.sleep(200);
        for (int i = 1; i <= 5; i++) {
            assertEquals(fixture.submit("b" + i, "order", 1, 9000), 202);
        }
        Thread.sleep(100);
        assertTrue(endpoint.requests.isEmpty());
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "bundled", "up"));
        waitUntil("one call for all", 2000, () -> endpoint.requests.size() >= 1);
        String first = endpoint.requests.get(0).body;
        assertTrue(first.contains("\"b1\"") && first.contains("\"b5\"") && first.contains("Ym9keSBvZiBiMQ=="),
            first);
        waitUntil("failed and unnamed may have run", 3000,
            () -> fixture.hasOutcomeNotice("b2", "given_up") && fixture.hasOutcomeNotice("b5", "given_up"));
        waitUntil("busy never ran", 5000,
            () -> endpoint.requests.size() >= 2 && "b3".equals(endpoint.requests.get(1).id()));
        assertEquals(fixture.notices.size(), 2, "" + fixture.notices);
    }

    /**
     * A platform that knows a call of several by its first envelope takes the call for over when it is told that this
     * one has ended: no other may outlive the first.
     */
    @Test
    public void theFirstOfSeveralInOneCallOutlivesTheOthers() throws Exception {
        RelayFixture.StubServer endpoint = new RelayFixture.StubServer(got -> {
            try {
                waitUntil("the one with the least time is told to be at its end", 4000,
                    () -> fixture.hasOutcomeNotice("short", "given_up"));
            } catch (Exception never) {
                return CLOSE_CONNECTION;
            }
            return body("[{\"id\":\"long\",\"state\":\"done\"},{\"id\":\"middle\",\"state\":\"done\"},"
                + "{\"id\":\"short\",\"state\":\"done\"}]");
        });
        fixture.listDrainingEndpoint(1);
        fixture.start();
        // Of those that can no longer make their agreed time the newest goes first.
        assertEquals(fixture.submit("long", "order", 1, 9000), 202);
        assertEquals(fixture.submit("middle", "order", 1, 6000), 202);
        assertEquals(fixture.submit("short", "order", 1, 1200), 202);
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "bundled", "up"));
        waitUntil("one call for all", 2000, () -> endpoint.requests.size() == 1);
        String bundle = endpoint.requests.get(0).body;
        assertTrue(bundle.indexOf("\"long\"") < bundle.indexOf("\"middle\"")
            && bundle.indexOf("\"middle\"") < bundle.indexOf("\"short\""), bundle);
        waitUntil("the others are delivered", 4000,
            () -> fixture.statistic("fulfilled") == 2 && fixture.statistic("open") == 0);
        assertEquals(endpoint.requests.size(), 1);
        endpoint.close();
    }

    /** An envelope whose time runs out in a call of several is still part of it: its key waits until that is over. */
    @Test
    public void whatFollowsOnAKeyWaitsForTheCallThatTheOneAheadIsStillPartOf() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        RelayFixture.StubServer endpoint = new RelayFixture.StubServer(after(answer,
            got -> got.requestLine.contains("bulk")
                ? body("[{\"id\":\"other\",\"state\":\"done\"},{\"id\":\"ahead\",\"state\":\"done\"}]")
                : OK));
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("other", "order", 1, 15_000), 202);
        for (String id : List.of("ahead", "behind")) {
            String asked = RelayFixture.messageRequest(id, "serial", 1, id.equals("ahead") ? 1_000 : 15_000,
                "x");
            assertEquals(fixture.exchange(asked.replaceFirst("\r\n", "\r\nAffinity-Key: doc\r\n")).status(),
                202);
        }
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "bundled", "up"));
        waitUntil("one call for both", 2000, () -> endpoint.requests.size() == 1);
        waitUntil("the one ahead has run out", 3000, () -> fixture.hasOutcomeNotice("ahead", ""));
        // Longer than a key rests after a shot without outcome.
        RelayFixture.pause(1_200);
        assertEquals(endpoint.requests.size(), 1, "it went while the one ahead still had a call out");
        answer.countDown();
        waitUntil("it goes once the call is over", 4000, () -> endpoint.requests.size() == 2);
        assertEquals(endpoint.requests.get(1).id(), "behind");
        endpoint.close();
    }

    @Test
    public void followsTheListAndKeepsItThroughGarbage() throws Exception {
        RelayFixture.StubServer first = fixture.addEndpoint(1, got -> OK);
        RelayFixture.StubServer second = new RelayFixture.StubServer(got -> OK);
        fixture.start();
        waitUntil("watched", 2000, () -> fixture.watchRequests.size() == 1);
        fixture.publish(false, fixture.listEntry("e2", second.address(), 1, "plain", "up"),
            fixture.listEntry("e1", first.address(), 1, "plain", "draining"));
        int earlier = untilOneReaches(second, first, "l");
        for (int i = 0; i < 4; i++) {
            fixture.submit("m" + i, "status", 1, 8000);
        }
        waitUntil("all at the one listed up", 8000,
            () -> first.requests.size() + second.requests.size() == earlier + 4);
        assertTrue(first.requests.stream().noneMatch(got -> got.id().startsWith("m")),
            "one went to the draining endpoint");
        fixture.publish("{\"version\":9,\"full\":true,\"servers\":[{\"id\":7}]}");
        waitUntil("the watch is taken up from the version understood", 8000,
            () -> fixture.watchRequests.size() >= 2);
        assertTrue(fixture.watchRequests.get(1).contains("since=2"), "" + fixture.watchRequests);
        fixture.submit("n1", "status", 1, 8000);
        waitUntil("the last list still holds", 8000,
            () -> second.requests.stream().anyMatch(got -> "n1".equals(got.id())));
        fixture.discovery.closeConnections();
        waitUntil("a watch that broke is taken up again", 8000, () -> fixture.watchRequests.size() >= 3);
        fixture.publish(true, fixture.listEntry("e1", first.address(), 1, "plain", "up"));
        untilOneReaches(first, second, "o");
        fixture.submit("p1", "status", 1, 8000);
        waitUntil("what a whole list leaves out is gone", 8000,
            () -> first.requests.stream().anyMatch(got -> "p1".equals(got.id())));
        second.close();
    }

    /** Hands in until a list that leaves {@code here} alone is in force; how many both endpoints have got by then. */
    private int untilOneReaches(RelayFixture.StubServer here, RelayFixture.StubServer other, String prefix)
        throws Exception {
        int before = here.requests.size() + other.requests.size();
        int[] handed = {0};
        int reached = here.requests.size();
        waitUntil("one reaches the endpoint that is left", 20_000, () -> {
            fixture.submit(prefix + handed[0]++, "status", 1, 8000);
            waitUntil("it is delivered", 8000,
                () -> here.requests.size() + other.requests.size() == before + handed[0]);
            return here.requests.size() > reached;
        });
        return before + handed[0];
    }

    /**
     * A server without room for one more connection answers 503 and closes. Read as full, as everything else that is 503,
     * it would slow the pace for a limit that nobody had reached.
     */
    @Test
    public void aFullTableIsNoLimitReached() throws Exception {
        fixture.operatorConfig = "[log]\nlevel = \"debug\"\n";
        List<String> answers = List.of(uniqueOk(), status(503, "Connection: close"),
            status(503, "Connection: close"),
            status(503, "Connection: close", "Retry-After: 0.010"), status(503), uniqueOk());
        AtomicInteger asked = new AtomicInteger();
        fixture.addEndpoint(1, got -> answers.get(Math.min(asked.getAndIncrement(), answers.size() - 1)));
        fixture.start();
        fixture.submit("t0", "status", 1, 20_000);
        waitUntil("the first is delivered", 10_000,
            () -> asked.get() == 1 && fixture.hasLogged("envelope.fulfilled"));
        fixture.submit("t1", "status", 1, 20_000);
        waitUntil("the second is delivered", 20_000, () -> asked.get() == 6
            && fixture.logLines().stream().filter(line -> line.contains("envelope.fulfilled")).count() == 2);
        List<String> backs = fixture.logLines().stream().filter(line -> line.contains("envelope.back"))
            .map(line -> line.replaceAll(".*\"outcome\":\"([a-z]+)\".*", "$1")).toList();
        // On a kept connection; on a fresh one; with a wait told; on a fresh one that stays open.
        assertEquals(backs, List.of("full", "unreached", "full", "full"));
    }

    @Test
    public void whereListsAreAskedForTheModuleAsksAgain() throws Exception {
        fixture.discoveryMode = "on_request";
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        fixture.start();
        waitUntil("asked for", 2000, () -> fixture.watchRequests.size() == 1);
        fixture.discovery.closeConnections();
        waitUntil("asked for again", 5000, () -> fixture.watchRequests.size() == 2);
        fixture.submit("q1", "status", 1, 5000);
        waitUntil("delivered", 2000, () -> endpoint.requests.size() == 1);
    }

    @Test
    public void whatAnAnswerTellsOfTheLimitReachesTheModule() throws Exception {
        fixture.extraSettings = "\"load_report\":{\"how\":\"answers\",\"fields\":[\"x0\",\"x1\"]},";
        fixture.endpointWeight = "1.0";
        // Listed at one a second; the answers say that there is no limit, so nothing is spaced any more.
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1,
            got -> status(200, "Server-Load: TEXT x0=1.0, x1=0"));
        fixture.start();
        fixture.submit("m0", "status", 1, 7000);
        waitUntil("the first answer", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(100);
        for (int i = 1; i <= 4; i++) {
            fixture.submit("m" + i, "status", 1, 7000);
        }
        waitUntil("the others at once", 1500, () -> endpoint.requests.size() == 5);
    }

    @Test
    public void aShotWithoutAnswerTellsNothingOfTheLimit() throws Exception {
        fixture.extraSettings = "\"load_report\":{\"how\":\"answers\",\"fields\":[\"x0\",\"x1\"]},";
        fixture.endpointWeight = "1.0";
        RelayFixture.StubServer unlimited = fixture.addEndpoint(1,
            got -> status(200, "Server-Load: TEXT x0=1.0, x1=0"));
        RelayFixture.StubServer other = fixture.addEndpoint("e2", 2, "plain", got -> CLOSE_CONNECTION);
        fixture.start();
        fixture.submit("m0", "status", 1, 7000);
        waitUntil("one endpoint says that it has no limit", 2000, () -> unlimited.requests.size() == 1);
        Thread.sleep(100);
        fixture.submit("m1", "order", 2, 7000);
        waitUntil("the other breaks off", 2000, () -> fixture.hasOutcomeNotice("m1", "given_up"));
        other.responder = got -> OK;
        for (int i = 2; i <= 6; i++) {
            fixture.submit("m" + i, "status", 2, 7000);
        }
        Thread.sleep(1200);
        assertTrue(other.requests.size() <= 4, other.requests.size() + " calls in 1.2 s at one a second");
    }

    @Test
    public void aListThatStaysGarbledIsAskedForEverMoreSlowly() throws Exception {
        fixture.start();
        waitUntil("watched", 2000, () -> fixture.watchRequests.size() == 1);
        long end = System.nanoTime() + 3_000_000_000L;
        while (System.nanoTime() < end) {
            fixture.publish("{\"version\":");
            Thread.sleep(20);
        }
        assertTrue(fixture.watchRequests.size() >= 3 && fixture.watchRequests.size() <= 8,
            fixture.watchRequests.size() + " times in 3 s");
    }

    @Test
    public void aWatchGoneSilentIsTakenUpAnew() throws Exception {
        fixture.start();
        fixture.watchKeepAlive = false;
        // A drain counts as told after 6 s, whether the watch brought it or not.
        waitUntil("asked again", 4500, () -> fixture.watchRequests.size() == 2);
    }

    @Test
    public void aNoticeWithoutAnswerGoesAgainAtOnce() throws Exception {
        fixture.addEndpoint(1, got -> status(500));
        fixture.noticeStatus = 0;
        fixture.start();
        fixture.submit("n1", "order", 1, 5000);
        waitUntil("told", 2000, () -> fixture.discovery.postRequests().size() == 1);
        fixture.noticeStatus = 204;
        long start = System.nanoTime();
        waitUntil("told again", 4000, () -> fixture.hasOutcomeNotice("n1", "given_up"));
        long took = (System.nanoTime() - start) / 1_000_000;
        assertTrue(took < 1000, took + " ms");
    }

    @Test
    public void noticesGoOutUntilTheyAreHeard() throws Exception {
        fixture.addEndpoint(1, got -> status(500));
        fixture.noticeStatus = 503;
        fixture.start();
        fixture.submit("n1", "order", 1, 5000);
        waitUntil("told", 2000, () -> fixture.discovery.postRequests().size() >= 2);
        assertTrue(fixture.notices.isEmpty());
        fixture.noticeStatus = 204;
        waitUntil("heard", 4000, () -> fixture.hasOutcomeNotice("n1", "given_up"));
        Thread.sleep(300);
        assertEquals(fixture.notices.size(), 1);
    }
}
