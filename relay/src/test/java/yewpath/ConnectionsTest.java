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
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;
import yewpath.operator.OperatorSettings;

/** Calls and clients' visits on real connections, with the thread that serves them held still at the instant in question. */
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
        delivery = new Delivery(loop, limits, List.of(), () -> true);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        worker.shutdownNow();
    }

    /** One envelope, and how its shots ended. */
    private final class Attempt implements Call.Attempt {
        final List<Integer> outcomes = new CopyOnWriteArrayList<>();
        final String id;
        final long expiry;
        final long leaveBy;
        byte[] body = {'x'};

        Attempt(String id, long expiresIn, long leavesIn) {
            this.id = id;
            expiry = loop.nowMicros() + expiresIn;
            leaveBy = loop.nowMicros() + leavesIn;
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
            return expiry;
        }

        public void onCallEnd() {}

        public long sendByMicros() {
            return leaveBy;
        }

        @Override
        public void beforeSend() {}

        @Override
        public void onEnd(int outcome, long wait, boolean over, double left, double limit) {
            outcomes.add(outcome);
        }
    }

    private void send(Attempt cargo, InetSocketAddress to) {
        loop.thread().execute(() -> {
            delivery.setAddress(0, to);
            delivery.startCall(0, List.of(cargo), cargo.expiry);
        });
    }

    private static InetSocketAddress at(String address) {
        return new InetSocketAddress("127.0.0.1",
            Integer.parseInt(address.substring(address.indexOf(':') + 1)));
    }

    @Test
    public void whatHasNotLeftInItsTimeIsTakenBack() throws Exception {
        try (RelayFixture.UnresponsiveServer deaf = new RelayFixture.UnresponsiveServer()) {
            Attempt cargo = new Attempt("late", 20_000_000, 300_000);
            send(cargo, at(deaf.address()));
            waitUntil("it is taken back, its connection not up yet", 1_500, () -> cargo.outcomes.size() == 1);
            assertEquals(cargo.outcomes, List.of(PolicyActions.NOT_EXECUTED));
        }
    }

    @Test
    public void aCallThatCannotBePutTogetherEndsAsNotSent() throws Exception {
        try (RelayFixture.StubServer endpoint = new RelayFixture.StubServer(got -> OK)) {
            Attempt cargo = new Attempt("faulty", 20_000_000, 20_000_000);
            cargo.body = null;
            send(cargo, at(endpoint.address()));
            waitUntil("it has its end", 2_000, () -> cargo.outcomes.size() == 1);
            assertEquals(cargo.outcomes, List.of(PolicyActions.NOT_EXECUTED));
            assertEquals(delivery.callsInFlight(), 0);
            Attempt next = new Attempt("next", 20_000_000, 20_000_000);
            send(next, at(endpoint.address()));
            waitUntil("the next goes as ever", 2_000,
                () -> next.outcomes.equals(List.of(PolicyActions.DELIVERED)));
        }
    }

    /** The thread is held from before the answer until after the envelope's time: the timer rings before the socket is read. */
    @Test
    public void anAnswerThatLiesInTheSocketAtTheExpiryCounts() throws Exception {
        try (RelayFixture.StubServer endpoint = new RelayFixture.StubServer(got -> NO_RESPONSE)) {
            Attempt cargo = new Attempt("just", 2_500_000, 2_500_000);
            send(cargo, at(endpoint.address()));
            waitUntil("it is out", 2_000, () -> endpoint.requests.size() == 1);
            CountDownLatch held = new CountDownLatch(1);
            loop.thread().execute(() -> {
                try {
                    endpoint.sockets.get(0).getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
                } catch (IOException e) {
                    cargo.outcomes.add(100);
                }
                RelayFixture.pause(Math.max(1, (cargo.expiry - loop.nowMicros()) / 1000 + 20));
                held.countDown();
            });
            assertTrue(held.await(5, TimeUnit.SECONDS));
            waitUntil("it has its end", 2_000, () -> cargo.outcomes.size() == 1);
            assertEquals(cargo.outcomes, List.of(PolicyActions.DELIVERED));
        }
    }

    /** The copy names a message that is out again. */
    @Test
    public void aCopyThatCallsAMessageBusyIsNotTheAnswerToItsNextAttempt() throws Exception {
        String first = bulkAnswer("[{\"id\":\"a\",\"state\":\"done\"},{\"id\":\"b\",\"state\":\"busy\"}]");
        String second = bulkAnswer("[{\"id\":\"b\",\"state\":\"done\"},{\"id\":\"c\",\"state\":\"done\"}]");
        try (RelayFixture.StubServer endpoint = new RelayFixture.StubServer(got -> first)) {
            endpoint.responder = got -> got.body.contains("\"a\"") ? first
                : got.connectionNumber == 1 ? first + second : second;
            Attempt a = new Attempt("a", 20_000_000, 20_000_000);
            Attempt b = new Attempt("b", 20_000_000, 20_000_000);
            Attempt c = new Attempt("c", 20_000_000, 20_000_000);
            sendTogether(at(endpoint.address()), a, b);
            waitUntil("one is refused", 2_000, () -> b.outcomes.equals(List.of(PolicyActions.OVERLOADED)));
            sendTogether(at(endpoint.address()), b, c);
            waitUntil("both are delivered", 2_000, () -> c.outcomes.size() == 1);
            assertEquals(b.outcomes, List.of(PolicyActions.OVERLOADED, PolicyActions.DELIVERED));
            assertEquals(c.outcomes, List.of(PolicyActions.DELIVERED));
        }
    }

    /** An answer ahead of the request's last byte is of another request. */
    @Test
    public void aSuccessAheadOfTheWholeRequestIsNoDelivery() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            listener.setReceiveBufferSize(4_096);
            Attempt cargo = new Attempt("large", 20_000_000, 20_000_000);
            cargo.body = new byte[16 << 20];
            send(cargo, at("127.0.0.1:" + listener.getLocalPort()));
            try (Socket peer = listener.accept()) {
                assertTrue(peer.getInputStream().read() >= 0);
                peer.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
                waitUntil("it has its end", 3_000, () -> cargo.outcomes.size() == 1);
                assertEquals(cargo.outcomes, List.of(PolicyActions.UNREACHABLE));
            }
        }
    }

    private static String bulkAnswer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void sendTogether(InetSocketAddress to, Attempt... cargo) {
        loop.thread().execute(() -> {
            delivery.setAddress(0, to);
            delivery.startCall(0, List.of(cargo), cargo[0].expiry);
        });
    }

    private final class Refusing implements MessageIntake {
        @Override
        public boolean isClosing() {
            return false;
        }

        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public boolean isKnownClass(String offering) {
            return true;
        }

        public boolean knowsDestination(String number) {
            return true;
        }

        @Override
        public byte[] statistics() {
            return new byte[0];
        }

        @Override
        public void submit(String id, String offering, String tenant, String key, String tag,
            String destination, long within,
            byte[] body, Reply reply) {
            reply.send(503, 0);
        }
    }

    /** More than a look can read lies in the socket as the door ends all: closed over it, the answer would go with it. */
    @Test
    public void whoHasSentAPartOfMuchReadsItsRefusalToTheEnd() throws Exception {
        ClientListener door = new ClientListener(loop, limits, new Refusing());
        InetSocketAddress[] at = new InetSocketAddress[1];
        CountDownLatch open = new CountDownLatch(1);
        loop.thread().execute(() -> {
            try {
                at[0] = door.listen(worker, new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            open.countDown();
        });
        assertTrue(open.await(5, TimeUnit.SECONDS));
        try (Socket client = new Socket(at[0].getAddress(), at[0].getPort())) {
            client.setSoTimeout(5_000);
            OutputStream out = client.getOutputStream();
            out.write("POST /any HTTP/1.1\r\nContent-Length: 65000\r\n\r\n0123456789"
                .getBytes(StandardCharsets.ISO_8859_1));
            CountDownLatch isIn = new CountDownLatch(1);
            CountDownLatch written = new CountDownLatch(1);
            // The head has been read by then: it has come before, and this thread serves it first.
            RelayFixture.pause(200);
            loop.thread().execute(() -> {
                isIn.countDown();
                try {
                    written.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                door.closeRemaining();
            });
            assertTrue(isIn.await(5, TimeUnit.SECONDS));
            out.write(new byte[50_000]);
            written.countDown();
            assertEquals(RelayFixture.readResponse(client).status(), 503);
            assertEquals(client.getInputStream().read(), -1, "a reset");
            // Closed over unread bytes the connection is reset, which a client that still writes meets first. The channel
            // goes as its thread selects the next time: it has once a second task has run.
            for (int i = 0; i < 2; i++) {
                CountDownLatch round = new CountDownLatch(1);
                loop.thread().execute(round::countDown);
                assertTrue(round.await(5, TimeUnit.SECONDS));
            }
            out.write(new byte[1_000]);
        }
    }
}
