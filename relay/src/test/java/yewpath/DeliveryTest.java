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

/**
 * Tests the calls to endpoints, how their responses are interpreted, the endpoint list, and the notices of
 * messages that were not delivered.
 */
public final class DeliveryTest extends RelayFixture.RelayTest {
    private static String responseWithStatus(int status, String... headers) {
        return "HTTP/1.1 " + status + " X\r\n" + List.of(headers).stream().map(header -> header + "\r\n")
            .collect(Collectors.joining()) + "Content-Length: 0\r\n\r\n";
    }

    private static String okWithBody(String json) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
    }

    /**
     * Guards against a call that lacks the id, body or timeout of its message, and against a new connection
     * for each call.
     */
    @Test
    public void passesIdAndBodyToTheEndpointAndReusesTheConnection() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        fixture.start();
        assertEquals(fixture.submit("a1", "status", 1, 5000), 202);
        waitUntil("the message is delivered", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(50);
        assertEquals(fixture.submit("a2", "order", 1, 5000), 202);
        waitUntil("the message is delivered", 2000, () -> endpoint.requests.size() == 2);
        RelayFixture.ReceivedRequest request = endpoint.requests.get(1);
        assertEquals(request.requestLine, "POST /inbox HTTP/1.1");
        assertEquals(request.id(), "a2");
        assertEquals(request.body, "body of a2");
        assertTrue(request.headers.get("request-timeout").matches("[0-9]+[um]"));
        assertEquals(request.connectionNumber, 1);
        assertTrue(fixture.notices.isEmpty());
    }

    /**
     * Guards against a call on a connection that the endpoint closes at the same moment because it was idle
     * too long.
     */
    @Test
    public void closesIdleConnectionsBeforeTheEndpointDoes() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        fixture.start();
        fixture.submit("a1", "status", 1, 5000);
        waitUntil("the message is delivered", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(1950);
        // The endpoint closes idle connections after 2 s. The relay has closed the connection before, and the
        // next call opens another one.
        fixture.submit("a2", "status", 1, 5000);
        waitUntil("the message is delivered", 2000, () -> endpoint.requests.size() == 2);
        assertEquals(endpoint.requests.get(1).connectionNumber, 2);
    }

    /**
     * Guards against a lost at-most-once message: a call on a connection that the endpoint closed while it
     * was idle has an unknown outcome.
     */
    @Test
    public void connectionClosedWhileIdleIsNotReused() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        fixture.start();
        fixture.submit("a1", "order", 1, 5000);
        waitUntil("the message is delivered", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(100);
        endpoint.closeConnections();
        Thread.sleep(100);
        fixture.submit("a2", "order", 1, 5000);
        waitUntil("the message is delivered", 2000, () -> endpoint.requests.size() == 2);
        assertTrue(fixture.notices.isEmpty());
    }

    /**
     * Guards against an endpoint that closes each connection at its second request: without a limit on reuse
     * every message would need two calls.
     */
    @Test
    public void reuseStopsWhenReusedConnectionsKeepClosing() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint("e1", 1, "plain", request -> uniqueOk());
        endpoint.responder = request -> endpoint.requests.stream()
            .filter(other -> other.connectionNumber == request.connectionNumber).count() > 1
                ? CLOSE_CONNECTION : uniqueOk();
        fixture.start();
        for (int i = 1; i <= 12; i++) {
            fixture.submit("k" + i, "status", 1, 7900);
            int expectedCount = i;
            waitUntil("the message is delivered", 3000,
                () -> fixture.statistic("fulfilled") == expectedCount);
        }
        assertTrue(endpoint.requests.size() <= 16, endpoint.requests.size() + " calls for 12 messages");
    }

    /**
     * Guards against a repeated execution: after an unreadable response or a closed connection the message
     * may have been executed, so only an idempotent one is sent again.
     */
    @Test
    public void malformedOrMissingResponseMeansUnknownOutcome() throws Exception {
        fixture.addEndpoint(1, request -> "HTP/9 what\r\n\r\n");
        RelayFixture.StubServer closing = fixture.addEndpoint(2, request -> CLOSE_CONNECTION);
        RelayFixture.StubServer recovering = fixture.addEndpoint("e3", 3, "plain",
            request -> CLOSE_CONNECTION);
        recovering.responder = request -> recovering.requests.size() == 1 ? CLOSE_CONNECTION : OK;
        fixture.start();
        fixture.submit("g1", "order", 1, 9000);
        fixture.submit("g2", "order", 2, 9000);
        fixture.submit("g3", "status", 3, 7000);
        waitUntil("at-most-once messages of unknown outcome fail", 3000,
            () -> fixture.hasOutcomeNotice("g1", "given_up")
                && fixture.hasOutcomeNotice("g2", "given_up"));
        waitUntil("an idempotent message is sent again", 5000, () -> recovering.requests.size() == 2);
        Thread.sleep(300);
        assertEquals(closing.requests.size(), 1);
        assertFalse(fixture.hasOutcomeNotice("g3", "g3"));
    }

    /**
     * Guards against a failure notice for a delivered message: the status line 200 is enough, also with an
     * incomplete body or after a response 100.
     */
    @Test
    public void status200WithAnIncompleteBodyIsADelivery() throws Exception {
        fixture.addEndpoint(1,
            request -> "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nabc");
        fixture.addEndpoint(2, request -> "HTTP/1.1 100 Continue\r\n\r\n" + OK);
        fixture.start();
        fixture.submit("d1", "order", 1, 1500);
        fixture.submit("d2", "order", 2, 1500);
        Thread.sleep(2000);
        assertTrue(fixture.notices.isEmpty(), "" + fixture.notices);
    }

    @DataProvider
    public Object[][] malformedResponses() {
        String ok = "HTTP/1.1 200 OK\r\n";
        return new Object[][]{
            {"a header field without a colon", true, ok + "no colon\r\n\r\n"},
            {"a head that is too long", true, ok + "X-A: " + "y".repeat(9000)},
            {"an incomplete head on an open connection", true, ok + "X-A: y\r\n"},
            {"a body shorter than Content-Length", true, ok + "Content-Length: 9\r\n\r\nabc"},
            {"a body without Content-Length", true, ok + "\r\nabc"},
            {"a Content-Length of 3 GB", true, ok + "Content-Length: 3221225472\r\n\r\n" + "z".repeat(9000)},
            {"a control character and a bare line feed in the status line", true,
                "HTTP/1.1 200 \1\nContent-Length: 0\r\n\r\n"},
            {"bytes that are not HTTP", false, "\1\2\3 200 noise without a line's end"},
            {"bytes that are not HTTP after a 1xx response", false,
                "HTTP/1.1 102 Processing\r\n\r\nnoise\r\n\r\n"},
            {"an error whose body is incomplete", false,
                "HTTP/1.1 429 X\r\nRetry-After: 1\r\nContent-Length: 5\r\n\r\n"},
        };
    }

    /**
     * Guards against malformed responses that are misread or that keep the call open until the message
     * expires.
     */
    @Test(dataProvider = "malformedResponses")
    public void malformedResponseIsADeliveryOnlyWithStatus200(String description, boolean delivered,
        String response)
        throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> response);
        fixture.start();
        assertEquals(fixture.submit("s1", "order", 1, 9000), 202);
        // The call must not keep its slot until the message expires.
        waitUntil(description, 1500, () -> fixture.statistic("open") == 0);
        assertEquals(fixture.statistic("fulfilled"), delivered ? 1 : 0, description);
        waitUntil("the failure is reported", 500,
            () -> delivered || fixture.hasOutcomeNotice("s1", "given_up"));
        assertEquals(endpoint.requests.size(), 1);
    }

    /**
     * Guards against a false delivery: an endpoint sends a second response after a good one, and it is still
     * unread when the next call starts on the same connection.
     */
    @Test
    public void extraResponseIsNotTakenForTheNextOne() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        EventLoop loop = new EventLoop(worker.getIoThread());
        Delivery delivery = new Delivery(loop,
            new Limits(name -> 0, 1_000_000, 2_000_000, OperatorSettings.DEFAULTS),
            List.of(), () -> true, () -> true);
        AtomicInteger outcomes = new AtomicInteger();
        Call.Attempt attempt = (Call.Attempt) Proxy.newProxyInstance(Call.Attempt.class.getClassLoader(),
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
            delivery.startCall(0, List.of(attempt), loop.nowMicros() + 5_000_000);
        });
        waitUntil("the first message is delivered", 2000, () -> outcomes.get() == 1);
        loop.thread().execute(() -> {
            try {
                // This arrives while the event loop is busy, so the loop has not read it when the next call
                // starts.
                endpoint.sockets.get(0).getOutputStream()
                    .write(uniqueOk().getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException exception) {
                outcomes.addAndGet(100);
            }
            RelayFixture.pause(100);
            delivery.startCall(0, List.of(attempt), loop.nowMicros() + 5_000_000);
        });
        waitUntil("the next message is delivered", 2000, () -> outcomes.get() == 2);
        worker.shutdownNow();
        assertEquals(endpoint.requests.size() + " " + endpoint.connections.get(), "2 2");
    }

    /**
     * Guards against a lost success: the relay finds a response and the reset of its connection in one read,
     * and must handle the response first.
     */
    @Test
    public void responseFollowedByAResetCounts() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint("e1", 1, "plain", request -> OK);
        endpoint.responder = request -> {
            try {
                // The relay is stopped meanwhile, so it finds the response and the reset at the same time.
                fixture.signal("STOP");
                Socket socket = request.connection;
                socket.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
                socket.setSoLinger(true, 0);
                socket.close();
                fixture.signal("CONT");
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
            return CLOSE_CONNECTION;
        };
        fixture.start();
        assertEquals(fixture.submit("z1", "order", 1, 9000), 202);
        waitUntil("the endpoint is called", 2000, () -> endpoint.requests.size() == 1);
        waitUntil("no message is open", 3000, () -> fixture.statistic("open") == 0);
        assertEquals(fixture.statistic("fulfilled"), 1, "" + fixture.notices);
    }

    /**
     * Guards against a failed at-most-once message whose connection was refused: it cannot have been
     * executed, so it is retried.
     */
    @Test
    public void messageThatReachedNoEndpointIsRetriedEvenIfAtMostOnce() throws Exception {
        RelayFixture.StubServer stopped = new RelayFixture.StubServer(request -> OK);
        int port = stopped.port();
        stopped.close();
        fixture.listEndpoint("e1", "127.0.0.1:" + port, 1);
        fixture.start();
        assertEquals(fixture.submit("u1", "order", 1, 15000), 202);
        Thread.sleep(300);
        try (RelayFixture.StubServer restarted = new RelayFixture.StubServer(request -> OK, port)) {
            waitUntil("the message is sent once the endpoint runs", 8000,
                () -> restarted.requests.size() == 1);
        }
        assertTrue(fixture.notices.isEmpty());
    }

    /**
     * Guards against leaked sockets and wrong outcomes when connections are never established: the messages
     * cannot have been executed, so they are rejected.
     */
    @Test
    public void connectTimeoutsRejectMessagesAndLeakNoDescriptors() throws Exception {
        try (RelayFixture.UnresponsiveServer unresponsive = new RelayFixture.UnresponsiveServer()) {
            fixture.listEndpoint("e1", unresponsive.address(), 1);
            fixture.start();
            Thread.sleep(300);
            long initialCount = openDescriptorCount();
            for (int i = 0; i < 6; i++) {
                assertEquals(fixture.submit("c" + i, "order", 1, 6000), 202);
            }
            waitUntil("all messages are rejected", 8000, () -> fixture.notices.size() == 6);
            assertTrue(fixture.notices.stream().allMatch(notice -> notice.contains("handed_back")),
                "" + fixture.notices);
            Thread.sleep(1200);
            assertTrue(openDescriptorCount() <= initialCount + 1,
                initialCount + " descriptors, then " + openDescriptorCount());
        }
    }

    /**
     * Guards against a call to an endpoint that was drained or removed from the list while the connection was
     * being established.
     */
    @Test
    public void drainCancelsCallsThatAreStillConnecting() throws Exception {
        RelayFixture.StubServer second = new RelayFixture.StubServer(request -> OK);
        try (RelayFixture.UnresponsiveServer unresponsive = new RelayFixture.UnresponsiveServer()) {
            fixture.listEndpoint("e1", unresponsive.address(), 1);
            fixture.start();
            assertEquals(fixture.submit("d1", "order", 1, 9000), 202);
            Thread.sleep(100);
            fixture.publish(false, fixture.listEntry("e2", second.address(), 1, "plain", "up"),
                fixture.listEntry("e1", unresponsive.address(), 1, "plain", "draining"));
            // The connection could still be established within a second, long after the drain was reported.
            waitUntil("the message is sent to the endpoint that is up", 500,
                () -> second.requests.size() == 1);
            fixture.publish(true, fixture.listEntry("e1", unresponsive.address(), 1, "plain", "up"));
            Thread.sleep(100);
            assertEquals(fixture.submit("d2", "order", 1, 9000), 202);
            Thread.sleep(100);
            fixture.publish(true, fixture.listEntry("e2", second.address(), 1, "plain", "up"));
            waitUntil("the message is sent to the endpoint of the full list", 500,
                () -> second.requests.size() == 2);
        }
        second.close();
    }

    private long openDescriptorCount() throws IOException {
        try (Stream<Path> entries = Files
            .list(Path.of("/proc/" + fixture.process.pid() + "/fd"))) {
            return entries.count();
        }
    }

    /** Guards against calls to an endpoint during the delay that its Retry-After requested. */
    @Test
    public void retryAfterIsObeyed() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        endpoint.responder = request -> endpoint.requests.size() == 1
            ? responseWithStatus(429, "Retry-After: 0.85") : OK;
        fixture.start();
        fixture.submit("w1", "status", 1, 7000);
        fixture.submit("w2", "order", 1, 7000);
        waitUntil("both messages are delivered after the delay", 6000, () -> endpoint.requests.size() >= 3);
        long first = endpoint.requests.get(0).receivedAtNanos;
        for (RelayFixture.ReceivedRequest request : endpoint.requests.subList(1, 3)) {
            long delayMillis = (request.receivedAtNanos - first) / 1_000_000;
            assertTrue(delayMillis < 100 || delayMillis >= 850,
                "sent " + delayMillis + " ms after the response with Retry-After");
        }
    }

    /**
     * Guards against a call that was connecting when the destination requested a delay and that is sent
     * during the delay.
     */
    @Test
    public void retryAfterCancelsCallsThatAreStillConnecting() throws Exception {
        RelayFixture.StubServer first = fixture.addEndpoint("e1", 1, "plain", request -> {
            RelayFixture.pause(400);
            return responseWithStatus(429, "Retry-After: 3");
        });
        try (RelayFixture.UnresponsiveServer unresponsive = new RelayFixture.UnresponsiveServer()) {
            fixture.listEndpoint("e2", unresponsive.address(), 1);
            fixture.start();
            fixture.submit("y1", "order", 1, 9000);
            fixture.submit("y2", "order", 1, 9000);
            waitUntil("one call is sent and one is connecting", 350,
                () -> fixture.statistic("calls_out") == 2 && first.requests.size() == 1);
            Thread.sleep(400);
            // The second connection could still be established within a second, during the delay.
            waitUntil("both calls have ended", 250, () -> fixture.statistic("calls_out") == 0);
            Thread.sleep(1000);
            assertEquals(first.requests.size(), 1);
        }
    }

    /**
     * Guards against confusing 410, after which the message is finished, with 504, after which it was not
     * executed and is sent again.
     */
    @Test
    public void status410EndsTheMessageAndStatus504MeansNotExecuted() throws Exception {
        RelayFixture.StubServer finished = fixture.addEndpoint(1, request -> responseWithStatus(410));
        RelayFixture.StubServer notExecuted = fixture.addEndpoint(2, request -> responseWithStatus(504));
        fixture.start();
        fixture.submit("o1", "order", 1, 1500);
        fixture.submit("o2", "order", 2, 1500);
        waitUntil("the message that is still open has its outcome", 3000, () -> fixture.notices.size() > 0);
        Thread.sleep(200);
        assertTrue(fixture.hasOutcomeNotice("o2", "handed_back"), "" + fixture.notices);
        assertEquals(fixture.notices.size(), 1, "" + fixture.notices);
        assertEquals(finished.requests.size(), 1);
        assertTrue(notExecuted.requests.size() > 1);
    }

    /**
     * Guards against a slowed send rate: a 503 with X-Over-Slots means too many concurrent calls, not an
     * overloaded endpoint.
     */
    @Test
    public void callOverTheSlotLimitIsNotTreatedAsOverload() throws Exception {
        // Treated as overload, the two responses would cause delays of at least 250 ms.
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        endpoint.responder = request -> endpoint.requests.size() <= 2
            ? responseWithStatus(503, "X-Over-Slots: 1") : OK;
        fixture.start();
        fixture.submit("v1", "order", 1, 7000);
        waitUntil("the message is sent until it is accepted", 3000, () -> endpoint.requests.size() == 3);
        long elapsedMillis = (endpoint.requests.get(2).receivedAtNanos
            - endpoint.requests.get(0).receivedAtNanos)
            / 1_000_000;
        assertTrue(elapsedMillis < 200, elapsedMillis + " ms");
    }

    /**
     * Guards against two concurrent attempts of one message: after a timeout the first connection is closed
     * before the message is sent again.
     */
    @Test
    public void noSecondAttemptWhileTheFirstIsOpen() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> NO_RESPONSE);
        endpoint.responder = request -> {
            assertTrue(endpoint.requests.stream().noneMatch(other -> other != request && other.open));
            return endpoint.requests.size() == 1 ? NO_RESPONSE : OK;
        };
        fixture.start();
        fixture.submit("t1", "status", 1, 7900);
        waitUntil("the message is sent again after a timeout", 7000, () -> endpoint.requests.size() == 2);
        waitUntil("the first attempt was cancelled", 1000, () -> !endpoint.requests.get(0).open);
        assertTrue(endpoint.requests.get(1).receivedAtNanos
            - endpoint.requests.get(0).receivedAtNanos > 1_000_000_000L);
    }

    /**
     * Guards against missing outcomes of expired messages, both of one whose call has no response and of one
     * that could not be sent.
     */
    @Test
    public void expiredMessageIsReportedInTime() throws Exception {
        fixture.addEndpoint(1, request -> NO_RESPONSE);
        fixture.listDrainingEndpoint(9);
        fixture.start();
        long start = System.nanoTime();
        fixture.submit("x1", "order", 1, 1000);
        fixture.submit("x2", "status", 9, 1000);
        waitUntil("both messages have their outcome", 2500, () -> fixture.hasOutcomeNotice("x1", "given_up")
            && fixture.hasOutcomeNotice("x2", "handed_back"));
        assertTrue(System.nanoTime() - start > 800_000_000L);
    }

    /** Guards against rejections without a retry delay while the queue of open messages is nearly full. */
    @Test
    public void nearlyFullQueueRejectsMessagesWithARetryDelay() throws Exception {
        fixture.listDrainingEndpoint(9);
        fixture.start();
        int refusedCount = 0;
        for (int i = 0; i < 60; i++) {
            RelayFixture.Response response = fixture
                .exchange(
                    RelayFixture.messageRequest("h" + i, i % 2 == 0 ? "status" : "order", 9, 7000, "x"));
            if (response.status() != 202) {
                refusedCount++;
                assertEquals(response.status() + " " + response.headers().get("retry-after"), "503 1.000");
            }
        }
        int rejectedCount = 60 - 47 - refusedCount;
        waitUntil("the others are rejected by notice", 2000, () -> fixture.notices.size() == rejectedCount);
        assertTrue(
            fixture.notices.stream()
                .allMatch(notice -> notice.contains("\"handed_back\",\"retry_in_ms\":1000")),
            "" + fixture.notices);
    }

    /**
     * Guards against calls to an old address: a call is open when the endpoint gets another address, and its
     * connection becomes idle afterwards.
     */
    @Test
    public void connectionToAnOldAddressIsNotReused() throws Exception {
        CountDownLatch addressChanged = new CountDownLatch(1);
        RelayFixture.StubServer oldAddress = fixture.addEndpoint(1,
            RelayFixture.respondAfter(addressChanged, request -> uniqueOk()));
        RelayFixture.StubServer newAddress = new RelayFixture.StubServer(request -> uniqueOk());
        fixture.start();
        assertEquals(fixture.submit("m1", "status", 1, 7900), 202);
        waitUntil("the message is sent", 2000, () -> oldAddress.requests.size() == 1);
        fixture.publish(false, fixture.listEntry("e1", newAddress.address(), 1, "plain", "up"),
            fixture.listEntry("e2", newAddress.address(), 2, "plain", "up"));
        waitUntil("the relay knows the new address", 2000,
            () -> fixture.submit("n" + System.nanoTime(), "status", 2, 7900) == 202);
        assertEquals(fixture.submit("m2", "status", 1, 7900), 202);
        waitUntil("the next message goes to the new address", 2000,
            () -> newAddress.requests.stream().anyMatch(request -> "m2".equals(request.id())));
        waitUntil("the next message is delivered", 2000, () -> fixture.statistic("calls_out") == 1);
        addressChanged.countDown();
        waitUntil("the first message is delivered", 2000, () -> fixture.statistic("calls_out") == 0);
        assertEquals(fixture.submit("m3", "status", 1, 7900), 202);
        waitUntil("the third message is sent", 2000,
            () -> newAddress.requests.stream().anyMatch(request -> "m3".equals(request.id()))
                || oldAddress.requests.size() > 1);
        assertEquals(oldAddress.requests.size(), 1, "the third message was sent to the old address");
        newAddress.close();
    }

    /**
     * Guards against reuse of a connection whose call was open during a drain of the endpoint, which may have
     * restarted since.
     */
    @Test
    public void connectionFromBeforeADrainIsNotReused() throws Exception {
        CountDownLatch drainKnown = new CountDownLatch(1);
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1,
            RelayFixture.respondAfter(drainKnown, request -> uniqueOk()));
        RelayFixture.StubServer other = fixture.addEndpoint(2, request -> uniqueOk());
        fixture.start();
        assertEquals(fixture.submit("d1", "order", 1, 9000), 202);
        waitUntil("the message is sent", 2000, () -> endpoint.requests.size() == 1);
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "plain", "draining"),
            fixture.listEntry("e3", other.address(), 3, "plain", "up"));
        waitUntil("the relay knows of the drain", 2000,
            () -> fixture.submit("n" + System.nanoTime(), "status", 3, 7900) == 202);
        drainKnown.countDown();
        waitUntil("the message is delivered", 2000, () -> fixture.statistic("fulfilled") >= 2);
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "plain", "up"));
        assertEquals(fixture.submit("d2", "order", 1, 9000), 202);
        waitUntil("the next message is delivered once the endpoint is up again", 4000,
            () -> endpoint.requests.size() == 2);
        assertEquals(endpoint.requests.get(1).connectionNumber, 2,
            "a connection from before the drain was reused");
    }

    /**
     * Guards against a second execution of a deduplicated message: the connection of its repeat is
     * established when the endpoint no longer recognizes the first attempt. The endpoint accepts one
     * connection, lets its backlog fill up, closes the connection, and accepts the others only after the
     * deduplication time.
     */
    @Test
    public void repeatIsNotSentAfterTheDeduplicationTime() throws Exception {
        fixture.deduplicationMillis = 1_000;
        fixture.connectTimeoutMillis = 3_000;
        List<String> receivedIds = new CopyOnWriteArrayList<>();
        CountDownLatch deduplicationEnded = new CountDownLatch(1);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            fixture.listEndpoint("e1", "127.0.0.1:" + listener.getLocalPort(), 1);
            Thread server = new Thread(() -> {
                try (Socket first = listener.accept()) {
                    receivedIds.add(RelayFixture.readRequest(first.getInputStream(), 1).id());
                    List<Socket> backlog = RelayFixture.fillBacklog(listener);
                    first.close();
                    deduplicationEnded.await();
                    for (Socket socket : backlog) {
                        socket.close();
                    }
                    recordIds(listener, receivedIds);
                } catch (IOException | InterruptedException closed) {
                    return;
                }
            });
            server.setDaemon(true);
            server.start();
            fixture.start();
            assertEquals(fixture.submit("t1", "serial", 1, 9000), 202);
            waitUntil("the first attempt has arrived", 2000, () -> receivedIds.size() == 1);
            RelayFixture.pause(1_000);
            deduplicationEnded.countDown();
            waitUntil("the message has its outcome or is sent again", 5000,
                () -> fixture.hasOutcomeNotice("t1", "") || receivedIds.size() == 2);
            RelayFixture.pause(1_500);
            assertEquals(receivedIds, List.of("t1"),
                "the message was sent again after the deduplication time");
            assertTrue(fixture.hasOutcomeNotice("t1", ""));
        }
    }

    /** Records the id of each request until the listener is closed. */
    private static void recordIds(ServerSocket listener, List<String> receivedIds) throws IOException {
        while (true) {
            try (Socket connection = listener.accept()) {
                RelayFixture.ReceivedRequest request = RelayFixture.readRequest(connection.getInputStream(),
                    2);
                if (request != null) {
                    receivedIds.add(request.id());
                }
            }
        }
    }

    /**
     * Guards against one outcome for a whole batch: each message has the state that the response names, and a
     * message that is not named has an unknown outcome.
     */
    @Test
    public void eachMessageOfABatchHasItsOwnOutcome() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint("e1", 1, "bundled", request -> OK);
        endpoint.responder = request -> request.requestLine.startsWith("POST /inbox/bulk")
            && endpoint.requests.size() == 1
                ? okWithBody(
                    "[{\"id\":\"b1\",\"state\":\"done\"},{\"id\":\"b2\",\"state\":\"failed\"},{\"id\":\"b3\",\"state\":\"busy\"},"
                        + "{\"id\":\"b4\",\"state\":\"void\"}]")
                : request.requestLine.contains("bulk") ? okWithBody("[]") : OK;
        fixture.start();
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "bundled", "draining"));
        Thread.sleep(200);
        for (int i = 1; i <= 5; i++) {
            assertEquals(fixture.submit("b" + i, "order", 1, 9000), 202);
        }
        Thread.sleep(100);
        assertTrue(endpoint.requests.isEmpty());
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "bundled", "up"));
        waitUntil("all messages are sent in one call", 2000, () -> endpoint.requests.size() >= 1);
        String first = endpoint.requests.get(0).body;
        assertTrue(first.contains("\"b1\"") && first.contains("\"b5\"") && first.contains("Ym9keSBvZiBiMQ=="),
            first);
        waitUntil("the failed and the unnamed message fail", 3000,
            () -> fixture.hasOutcomeNotice("b2", "given_up") && fixture.hasOutcomeNotice("b5", "given_up"));
        waitUntil("the busy message is sent again", 5000,
            () -> endpoint.requests.size() >= 2 && "b3".equals(endpoint.requests.get(1).id()));
        assertEquals(fixture.notices.size(), 2, "" + fixture.notices);
    }

    /**
     * Guards against a platform that identifies a batch by its first message and takes the call for finished
     * once that message is reported: the first message must expire last.
     */
    @Test
    public void firstMessageOfABatchExpiresLast() throws Exception {
        RelayFixture.StubServer endpoint = new RelayFixture.StubServer(request -> {
            try {
                waitUntil("the message that expires first is reported", 4000,
                    () -> fixture.hasOutcomeNotice("short", "given_up"));
            } catch (Exception notReported) {
                return CLOSE_CONNECTION;
            }
            return okWithBody("[{\"id\":\"long\",\"state\":\"done\"},{\"id\":\"middle\",\"state\":\"done\"},"
                + "{\"id\":\"short\",\"state\":\"done\"}]");
        });
        fixture.listDrainingEndpoint(1);
        fixture.start();
        // Among messages that can no longer be on time, the newest one is sent first.
        assertEquals(fixture.submit("long", "order", 1, 9000), 202);
        assertEquals(fixture.submit("middle", "order", 1, 6000), 202);
        assertEquals(fixture.submit("short", "order", 1, 1200), 202);
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "bundled", "up"));
        waitUntil("all messages are sent in one call", 2000, () -> endpoint.requests.size() == 1);
        String batch = endpoint.requests.get(0).body;
        assertTrue(batch.indexOf("\"long\"") < batch.indexOf("\"middle\"")
            && batch.indexOf("\"middle\"") < batch.indexOf("\"short\""), batch);
        waitUntil("the other messages are delivered", 4000,
            () -> fixture.statistic("fulfilled") == 2 && fixture.statistic("open") == 0);
        assertEquals(endpoint.requests.size(), 1);
        endpoint.close();
    }

    /**
     * Guards against broken order within a key: a message that expires during a batch call is still part of
     * it, so the next message of its key waits for the end of the call.
     */
    @Test
    public void nextMessageOfAKeyWaitsForTheBatchOfAnExpiredOne() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        RelayFixture.StubServer endpoint = new RelayFixture.StubServer(RelayFixture.respondAfter(mayRespond,
            request -> request.requestLine.contains("bulk")
                ? okWithBody("[{\"id\":\"other\",\"state\":\"done\"},{\"id\":\"ahead\",\"state\":\"done\"}]")
                : OK));
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("other", "order", 1, 15_000), 202);
        for (String id : List.of("ahead", "behind")) {
            assertEquals(
                fixture.exchange(RelayFixture.keyedMessageRequest(id, id.equals("ahead") ? 1_000 : 15_000))
                    .status(),
                202);
        }
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "bundled", "up"));
        waitUntil("both messages are sent in one call", 2000, () -> endpoint.requests.size() == 1);
        waitUntil("the first message of the key has expired", 3000,
            () -> fixture.hasOutcomeNotice("ahead", ""));
        // This is longer than a key is paused after an attempt of unknown outcome.
        RelayFixture.pause(1_200);
        assertEquals(endpoint.requests.size(), 1,
            "the next message of the key was sent during the call of the first one");
        mayRespond.countDown();
        waitUntil("the next message of the key is sent after the call", 4000,
            () -> endpoint.requests.size() == 2);
        assertEquals(endpoint.requests.get(1).id(), "behind");
        endpoint.close();
    }

    /**
     * Guards against calls by an outdated endpoint list, and against a valid list that is lost because an
     * invalid one follows or the watch is closed.
     */
    @Test
    public void followsTheListAndKeepsItAfterAnInvalidOne() throws Exception {
        RelayFixture.StubServer first = fixture.addEndpoint(1, request -> OK);
        RelayFixture.StubServer second = new RelayFixture.StubServer(request -> OK);
        fixture.start();
        waitUntil("the list is watched", 2000, () -> fixture.watchRequests.size() == 1);
        fixture.publish(false, fixture.listEntry("e2", second.address(), 1, "plain", "up"),
            fixture.listEntry("e1", first.address(), 1, "plain", "draining"));
        int earlier = submitUntilOneReaches(second, first, "l");
        for (int i = 0; i < 4; i++) {
            fixture.submit("m" + i, "status", 1, 8000);
        }
        waitUntil("all messages are delivered", 8000,
            () -> first.requests.size() + second.requests.size() == earlier + 4);
        assertTrue(first.requests.stream().noneMatch(request -> request.id().startsWith("m")),
            "a message was sent to the draining endpoint");
        fixture.publish("{\"version\":9,\"full\":true,\"servers\":[{\"id\":7}]}");
        waitUntil("the watch is resumed from the last valid version", 8000,
            () -> fixture.watchRequests.size() >= 2);
        assertTrue(fixture.watchRequests.get(1).contains("since=2"), "" + fixture.watchRequests);
        fixture.submit("n1", "status", 1, 8000);
        waitUntil("the last valid list is still in use", 8000,
            () -> second.requests.stream().anyMatch(request -> "n1".equals(request.id())));
        fixture.discovery.closeConnections();
        waitUntil("a watch that was closed is resumed", 8000, () -> fixture.watchRequests.size() >= 3);
        fixture.publish(true, fixture.listEntry("e1", first.address(), 1, "plain", "up"));
        submitUntilOneReaches(first, second, "o");
        fixture.submit("p1", "status", 1, 8000);
        waitUntil("an endpoint that is not in the full list is no longer used", 8000,
            () -> first.requests.stream().anyMatch(request -> "p1".equals(request.id())));
        second.close();
    }

    /**
     * Submits messages until a list in which only {@code listed} is up is in use. Returns the number of
     * requests that both endpoints have received by then.
     */
    private int submitUntilOneReaches(RelayFixture.StubServer listed, RelayFixture.StubServer other,
        String prefix)
        throws Exception {
        int initialTotal = listed.requests.size() + other.requests.size();
        int[] submitted = {0};
        int initialCount = listed.requests.size();
        waitUntil("a message reaches the listed endpoint", 20_000, () -> {
            fixture.submit(prefix + submitted[0]++, "status", 1, 8000);
            waitUntil("the message is delivered", 8000,
                () -> listed.requests.size() + other.requests.size() == initialTotal + submitted[0]);
            return listed.requests.size() > initialCount;
        });
        return initialTotal + submitted[0];
    }

    /**
     * Guards against a slowed send rate: a server without room for another connection answers a new one with
     * 503 without Retry-After and closes it. Only other responses 503 mean that the endpoint is overloaded.
     */
    @Test
    public void fullConnectionTableIsNotTreatedAsOverload() throws Exception {
        fixture.operatorConfig = "[log]\nlevel = \"debug\"\n";
        List<String> responses = List.of(uniqueOk(), responseWithStatus(503, "Connection: close"),
            responseWithStatus(503, "Connection: close"),
            responseWithStatus(503, "Connection: close", "Retry-After: 0.010"), responseWithStatus(503),
            uniqueOk());
        AtomicInteger requestCount = new AtomicInteger();
        fixture.addEndpoint(1,
            request -> responses.get(Math.min(requestCount.getAndIncrement(), responses.size() - 1)));
        fixture.start();
        fixture.submit("t0", "status", 1, 20_000);
        waitUntil("the first is delivered", 10_000,
            () -> requestCount.get() == 1 && fixture.hasLogged("envelope.fulfilled"));
        fixture.submit("t1", "status", 1, 20_000);
        waitUntil("the second is delivered", 20_000, () -> requestCount.get() == 6
            && fixture.logLines().stream().filter(line -> line.contains("envelope.fulfilled")).count() == 2);
        List<String> outcomes = fixture.logLines().stream().filter(line -> line.contains("envelope.back"))
            .map(line -> line.replaceAll(".*\"outcome\":\"([a-z]+)\".*", "$1")).toList();
        // On a reused connection; on a new one; with Retry-After; on a new one that stays open.
        assertEquals(outcomes, List.of("full", "unreached", "full", "full"));
    }

    /**
     * Guards against an endpoint list that is never requested again in the mode on_request after its
     * connection was closed.
     */
    @Test
    public void requestedListIsRequestedAgainAfterAClosedConnection() throws Exception {
        fixture.discoveryMode = "on_request";
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.start();
        waitUntil("the list is requested", 2000, () -> fixture.watchRequests.size() == 1);
        fixture.discovery.closeConnections();
        waitUntil("the list is requested again", 5000, () -> fixture.watchRequests.size() == 2);
        fixture.submit("q1", "status", 1, 5000);
        waitUntil("the message is delivered", 2000, () -> endpoint.requests.size() == 1);
    }

    /** Guards against a limit reported in Server-Load that does not reach the delivery policy. */
    @Test
    public void limitReportedInAResponseIsUsed() throws Exception {
        fixture.extraSettings = "\"load_report\":{\"how\":\"answers\",\"fields\":[\"x0\",\"x1\"]},";
        fixture.endpointWeight = "1.0";
        // The list limits the endpoint to one call per second. The responses report no limit, so calls are no
        // longer delayed.
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1,
            request -> responseWithStatus(200, "Server-Load: TEXT x0=1.0, x1=0"));
        fixture.start();
        fixture.submit("m0", "status", 1, 7000);
        waitUntil("the first message is sent", 2000, () -> endpoint.requests.size() == 1);
        Thread.sleep(100);
        for (int i = 1; i <= 4; i++) {
            fixture.submit("m" + i, "status", 1, 7000);
        }
        waitUntil("the other messages are sent without delay", 1500, () -> endpoint.requests.size() == 5);
    }

    /**
     * Guards against a limit left over from the response of another endpoint: an attempt without a response
     * must not be counted as a report of no limit.
     */
    @Test
    public void attemptWithoutResponseReportsNoLimit() throws Exception {
        fixture.extraSettings = "\"load_report\":{\"how\":\"answers\",\"fields\":[\"x0\",\"x1\"]},";
        fixture.endpointWeight = "1.0";
        RelayFixture.StubServer unlimited = fixture.addEndpoint(1,
            request -> responseWithStatus(200, "Server-Load: TEXT x0=1.0, x1=0"));
        RelayFixture.StubServer other = fixture.addEndpoint("e2", 2, "plain", request -> CLOSE_CONNECTION);
        fixture.start();
        fixture.submit("m0", "status", 1, 7000);
        waitUntil("one endpoint reports that it has no limit", 2000, () -> unlimited.requests.size() == 1);
        Thread.sleep(100);
        fixture.submit("m1", "order", 2, 7000);
        waitUntil("the other endpoint closes the connection", 2000,
            () -> fixture.hasOutcomeNotice("m1", "given_up"));
        other.responder = request -> OK;
        for (int i = 2; i <= 6; i++) {
            fixture.submit("m" + i, "status", 2, 7000);
        }
        Thread.sleep(1200);
        assertTrue(other.requests.size() <= 4,
            other.requests.size() + " calls in 1.2 s with a limit of one per second");
    }

    /** Guards against a flood of watch requests while discovery sends only invalid lists. */
    @Test
    public void watchOfAnInvalidListIsResumedWithIncreasingDelays() throws Exception {
        fixture.start();
        waitUntil("the list is watched", 2000, () -> fixture.watchRequests.size() == 1);
        // Deeper than the parser allows, so that one line is enough to make the list invalid.
        String invalidList = "{\"version\":".repeat(65);
        long end = System.nanoTime() + 3_000_000_000L;
        while (System.nanoTime() < end) {
            fixture.publish(invalidList);
            Thread.sleep(20);
        }
        assertTrue(fixture.watchRequests.size() >= 3 && fixture.watchRequests.size() <= 8,
            fixture.watchRequests.size() + " watch requests in 3 s");
    }

    /**
     * Guards against a watch whose connection is dead without being closed, so that a drain would go
     * unnoticed.
     */
    @Test
    public void silentWatchIsRequestedAgain() throws Exception {
        fixture.start();
        fixture.watchKeepAlive = false;
        // The platform assumes that the relay knows of a drain after 6 s, whether the watch delivered it or
        // not.
        waitUntil("the list is watched again", 4500, () -> fixture.watchRequests.size() == 2);
    }

    /**
     * Guards against a late notice: after a request without a response the notice is sent again without a
     * long delay.
     */
    @Test
    public void noticeWithoutResponseIsSentAgainAtOnce() throws Exception {
        fixture.addEndpoint(1, request -> responseWithStatus(500));
        fixture.noticeStatus = 0;
        fixture.start();
        fixture.submit("n1", "order", 1, 5000);
        waitUntil("the notice is sent", 2000, () -> fixture.discovery.postRequests().size() == 1);
        fixture.noticeStatus = 204;
        long start = System.nanoTime();
        waitUntil("the notice is sent again", 4000, () -> fixture.hasOutcomeNotice("n1", "given_up"));
        long elapsedMillis = (System.nanoTime() - start) / 1_000_000;
        assertTrue(elapsedMillis < 1000, elapsedMillis + " ms");
    }

    /**
     * Guards against notices that are lost or repeated: a notice is sent until it is accepted, and not
     * afterwards.
     */
    @Test
    public void noticeIsRepeatedUntilItIsAccepted() throws Exception {
        fixture.addEndpoint(1, request -> responseWithStatus(500));
        fixture.noticeStatus = 503;
        fixture.start();
        fixture.submit("n1", "order", 1, 5000);
        waitUntil("the notice is sent twice", 2000, () -> fixture.discovery.postRequests().size() >= 2);
        assertTrue(fixture.notices.isEmpty());
        fixture.noticeStatus = 204;
        waitUntil("the notice is accepted", 4000, () -> fixture.hasOutcomeNotice("n1", "given_up"));
        Thread.sleep(300);
        assertEquals(fixture.notices.size(), 1);
    }
}
