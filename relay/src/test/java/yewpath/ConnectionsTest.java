package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import yewpath.delivery.Call;
import yewpath.delivery.Delivery;
import yewpath.intake.ClientListener;
import yewpath.intake.MessageIntake;
import yewpath.intake.Submission;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;
import yewpath.operator.OperatorSettings;

/**
 * Tests races on real connections to endpoints and clients. Most tests block the event loop's thread at the
 * critical moment, so that several events are ready when it continues.
 */
public final class ConnectionsTest {
    private XnioWorker worker;
    private EventLoop loop;
    private Limits limits;
    private Delivery delivery;

    @BeforeMethod
    public void build() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1)
            .set(Options.WORKER_TASK_CORE_THREADS, 1).getMap());
        loop = new EventLoop(worker.getIoThread());
        limits = new Limits(name -> 0, 2_000_000, 2_000_000, OperatorSettings.DEFAULTS);
        delivery = new Delivery(loop, limits, List.of(), () -> true, () -> true);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        worker.shutdownNow();
    }

    /** One message, with the outcomes of its attempts. Its times are in microseconds of the event loop. */
    private final class Attempt implements Call.Attempt {
        final List<Integer> outcomes = new CopyOnWriteArrayList<>();
        final String id;
        final long deadlineMicros;
        final long sendByMicros;
        byte[] body = {'x'};

        Attempt(String id, long expiresInMicros, long sendWithinMicros) {
            this.id = id;
            deadlineMicros = loop.nowMicros() + expiresInMicros;
            sendByMicros = loop.nowMicros() + sendWithinMicros;
        }

        @Override
        public String id() {
            return id;
        }

        @Override
        public String affinityKey() {
            return null;
        }

        @Override
        public String idempotencyKey() {
            return null;
        }

        @Override
        public byte[] body() {
            if (body == null) {
                throw new IllegalStateException("no body");
            }
            return body;
        }

        @Override
        public long deadlineMicros() {
            return deadlineMicros;
        }

        public void onCallEnd() {}

        public long sendByMicros() {
            return sendByMicros;
        }

        @Override
        public void beforeSend() {}

        @Override
        public void onEnd(int outcome, long retryAfterMicros, boolean finished, double remainingShare,
            double limit) {
            outcomes.add(outcome);
        }
    }

    private void send(Attempt attempt, InetSocketAddress address) {
        loop.thread().execute(() -> {
            delivery.setAddress(0, address);
            delivery.startCall(0, List.of(attempt), attempt.deadlineMicros);
        });
    }

    private static InetSocketAddress socketAddress(String address) {
        return new InetSocketAddress("127.0.0.1",
            Integer.parseInt(address.substring(address.indexOf(':') + 1)));
    }

    /**
     * Guards against an attempt that is sent after its latest time because its connection was established
     * late.
     */
    @Test
    public void attemptThatIsNotSentInTimeIsNotExecuted() throws Exception {
        try (RelayFixture.UnresponsiveServer unresponsive = new RelayFixture.UnresponsiveServer()) {
            Attempt attempt = new Attempt("late", 20_000_000, 300_000);
            send(attempt, socketAddress(unresponsive.address()));
            waitUntil("the attempt ends before its connection is established", 1_500,
                () -> attempt.outcomes.size() == 1);
            assertEquals(attempt.outcomes, List.of(PolicyActions.NOT_EXECUTED));
        }
    }

    /**
     * Guards against a call that stays open for good because an exception was thrown while its request was
     * built.
     */
    @Test
    public void callThatCannotBeBuiltEndsAsNotExecuted() throws Exception {
        try (RelayFixture.StubServer endpoint = new RelayFixture.StubServer(request -> OK)) {
            Attempt attempt = new Attempt("faulty", 20_000_000, 20_000_000);
            attempt.body = null;
            send(attempt, socketAddress(endpoint.address()));
            waitUntil("the attempt has ended", 2_000, () -> attempt.outcomes.size() == 1);
            assertEquals(attempt.outcomes, List.of(PolicyActions.NOT_EXECUTED));
            assertEquals(delivery.callsInFlight(), 0);
            Attempt next = new Attempt("next", 20_000_000, 20_000_000);
            send(next, socketAddress(endpoint.address()));
            waitUntil("the next message is delivered", 2_000,
                () -> next.outcomes.equals(List.of(PolicyActions.DELIVERED)));
        }
    }

    /**
     * Guards against a lost success: the response arrives before the message expires but is still unread when
     * the timer runs. The event loop's thread is blocked from before the response until after the deadline.
     */
    @Test
    public void responseInTheSocketAtTheExpiryCounts() throws Exception {
        try (RelayFixture.StubServer endpoint = new RelayFixture.StubServer(request -> NO_RESPONSE)) {
            Attempt attempt = new Attempt("just", 2_500_000, 2_500_000);
            send(attempt, socketAddress(endpoint.address()));
            waitUntil("the message is sent", 2_000, () -> endpoint.requests.size() == 1);
            CountDownLatch loopReleased = new CountDownLatch(1);
            loop.thread().execute(() -> {
                try {
                    endpoint.sockets.get(0).getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
                } catch (IOException exception) {
                    attempt.outcomes.add(100);
                }
                RelayFixture.pause(Math.max(1, (attempt.deadlineMicros - loop.nowMicros()) / 1000 + 20));
                loopReleased.countDown();
            });
            assertTrue(loopReleased.await(5, TimeUnit.SECONDS));
            waitUntil("the attempt has ended", 2_000, () -> attempt.outcomes.size() == 1);
            assertEquals(attempt.outcomes, List.of(PolicyActions.DELIVERED));
        }
    }

    /**
     * Guards against a wrong outcome: a copy of the response to an earlier batch names a message that has
     * been sent again since.
     */
    @Test
    public void copiedBusyResponseIsNotTakenForTheNextAttempt() throws Exception {
        String first = bulkResponse("[{\"id\":\"a\",\"state\":\"done\"},{\"id\":\"b\",\"state\":\"busy\"}]");
        String second = bulkResponse("[{\"id\":\"b\",\"state\":\"done\"},{\"id\":\"c\",\"state\":\"done\"}]");
        try (RelayFixture.StubServer endpoint = new RelayFixture.StubServer(request -> first)) {
            endpoint.responder = request -> request.body.contains("\"a\"") ? first
                : request.connectionNumber == 1 ? first + second : second;
            Attempt attemptA = new Attempt("a", 20_000_000, 20_000_000);
            Attempt attemptB = new Attempt("b", 20_000_000, 20_000_000);
            Attempt attemptC = new Attempt("c", 20_000_000, 20_000_000);
            sendTogether(socketAddress(endpoint.address()), attemptA, attemptB);
            waitUntil("the busy message is rejected", 2_000,
                () -> attemptB.outcomes.equals(List.of(PolicyActions.OVERLOADED)));
            sendTogether(socketAddress(endpoint.address()), attemptB, attemptC);
            waitUntil("both messages are delivered", 2_000, () -> attemptC.outcomes.size() == 1);
            assertEquals(attemptB.outcomes, List.of(PolicyActions.OVERLOADED, PolicyActions.DELIVERED));
            assertEquals(attemptC.outcomes, List.of(PolicyActions.DELIVERED));
        }
    }

    /**
     * Guards against a false delivery: a response that arrives before the last byte of the request is sent
     * belongs to another request.
     */
    @Test
    public void successBeforeTheWholeRequestIsNoDelivery() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            listener.setReceiveBufferSize(4_096);
            Attempt attempt = new Attempt("large", 20_000_000, 20_000_000);
            attempt.body = new byte[16 << 20];
            send(attempt, socketAddress("127.0.0.1:" + listener.getLocalPort()));
            try (Socket peer = listener.accept()) {
                assertTrue(peer.getInputStream().read() >= 0);
                peer.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
                waitUntil("the attempt has ended", 3_000, () -> attempt.outcomes.size() == 1);
                assertEquals(attempt.outcomes, List.of(PolicyActions.UNREACHABLE));
            }
        }
    }

    private static String bulkResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void sendTogether(InetSocketAddress address, Attempt... attempts) {
        loop.thread().execute(() -> {
            delivery.setAddress(0, address);
            delivery.startCall(0, List.of(attempts), attempts[0].deadlineMicros);
        });
    }

    /** Refuses every message with 503. */
    private final class RefusingIntake implements MessageIntake {
        @Override
        public boolean isClosing() {
            return false;
        }

        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public boolean isKnownClass(String messageClass) {
            return true;
        }

        @Override
        public byte[] statistics() {
            return new byte[0];
        }

        @Override
        public void submit(Submission submission, long timeoutMicros, Reply reply) {
            reply.send(503, 0);
        }
    }

    /**
     * Guards against a client that gets a reset in place of its response: when the listener closes the
     * remaining connections, the socket holds more bytes than one read takes.
     */
    @Test
    public void clientThatIsStillSendingReadsItsRefusal() throws Exception {
        ClientListener listener = new ClientListener(loop, limits, new RefusingIntake());
        InetSocketAddress[] address = new InetSocketAddress[1];
        CountDownLatch listening = new CountDownLatch(1);
        loop.thread().execute(() -> {
            try {
                address[0] = listener.listen(worker,
                    new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
            listening.countDown();
        });
        assertTrue(listening.await(5, TimeUnit.SECONDS));
        try (Socket client = new Socket(address[0].getAddress(), address[0].getPort())) {
            client.setSoTimeout(5_000);
            OutputStream output = client.getOutputStream();
            output.write("POST /any HTTP/1.1\r\nContent-Length: 65000\r\n\r\n0123456789"
                .getBytes(StandardCharsets.ISO_8859_1));
            CountDownLatch loopBlocked = new CountDownLatch(1);
            CountDownLatch bodyWritten = new CountDownLatch(1);
            // The relay has read the head by then, since it arrived earlier and the same thread reads it
            // first.
            RelayFixture.pause(200);
            loop.thread().execute(() -> {
                loopBlocked.countDown();
                try {
                    bodyWritten.await();
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
                listener.closeRemaining();
            });
            assertTrue(loopBlocked.await(5, TimeUnit.SECONDS));
            output.write(new byte[50_000]);
            bodyWritten.countDown();
            assertEquals(RelayFixture.readResponse(client).status(), 503);
            assertEquals(client.getInputStream().read(), -1,
                "the connection was reset or more data followed");
            // A connection that is closed with unread bytes is reset, and a client that is still writing sees
            // the reset first. The channel is closed when its thread selects the next time, which has
            // happened once a second task has run.
            for (int i = 0; i < 2; i++) {
                CountDownLatch taskDone = new CountDownLatch(1);
                loop.thread().execute(taskDone::countDown);
                assertTrue(taskDone.await(5, TimeUnit.SECONDS));
            }
            output.write(new byte[1_000]);
        }
    }
}
