package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static yewpath.Stand.CUT;
import static yewpath.Stand.OK;
import static yewpath.Stand.SILENCE;
import static yewpath.Stand.distinctOk;
import static yewpath.Stand.until;

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
public final class DeliveryTest extends Stand.Tests {
    private static String status(int status, String... headers) {
        return "HTTP/1.1 " + status + " X\r\n" + List.of(headers).stream().map(h -> h + "\r\n")
            .collect(Collectors.joining()) + "Content-Length: 0\r\n\r\n";
    }

    /** Answers once the latch lets it. */
    private static Function<Stand.Got, String> after(CountDownLatch latch,
        Function<Stand.Got, String> answer) {
        return got -> {
            try {
                latch.await();
            } catch (InterruptedException e) {
                return CUT;
            }
            return answer.apply(got);
        };
    }

    private static String body(String json) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
    }

    @Test
    public void passesIdAndBodyOnAndKeepsTheConnection() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> distinctOk());
        stand.start();
        assertEquals(stand.handIn("a1", "status", 1, 5000), 202);
        until("delivered", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(50);
        assertEquals(stand.handIn("a2", "order", 1, 5000), 202);
        until("delivered", 2000, () -> endpoint.got.size() == 2);
        Stand.Got got = endpoint.got.get(1);
        assertEquals(got.line, "POST /inbox HTTP/1.1");
        assertEquals(got.id(), "a2");
        assertEquals(got.body, "body of a2");
        assertTrue(got.headers.get("request-timeout").matches("[0-9]+[um]"));
        assertEquals(got.connection, 1);
        assertTrue(stand.notices.isEmpty());
    }

    @Test
    public void closesIdleConnectionsBeforeTheEndpointDoes() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> distinctOk());
        stand.start();
        stand.handIn("a1", "status", 1, 5000);
        until("delivered", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(1950);
        // The endpoint's time is 2 s: by now the relay has ended its side, and a new call comes on a new one.
        stand.handIn("a2", "status", 1, 5000);
        until("delivered", 2000, () -> endpoint.got.size() == 2);
        assertEquals(endpoint.got.get(1).connection, 2);
    }

    @Test
    public void aConnectionThatDiedWhileIdleIsNotUsed() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> distinctOk());
        stand.start();
        stand.handIn("a1", "order", 1, 5000);
        until("delivered", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(100);
        endpoint.cutAll();
        Thread.sleep(100);
        stand.handIn("a2", "order", 1, 5000);
        until("delivered", 2000, () -> endpoint.got.size() == 2);
        assertTrue(stand.notices.isEmpty());
    }

    @Test
    public void keptConnectionsThatDieUnseenAreNotUsedForLong() throws Exception {
        Stand.Server endpoint = stand.endpoint("e1", 1, "plain", got -> distinctOk());
        endpoint.answer = got -> endpoint.got.stream().filter(g -> g.connection == got.connection).count() > 1
            ? CUT : distinctOk();
        stand.start();
        for (int i = 1; i <= 12; i++) {
            stand.handIn("k" + i, "status", 1, 7900);
            int fulfilled = i;
            until("delivered", 3000, () -> stand.figure("fulfilled") == fulfilled);
        }
        assertTrue(endpoint.got.size() <= 16, endpoint.got.size() + " calls for 12 envelopes");
    }

    @Test
    public void aGarbledOrCutAnswerMayHaveRun() throws Exception {
        stand.endpoint(1, got -> "HTP/9 what\r\n\r\n");
        Stand.Server cutting = stand.endpoint(2, got -> CUT);
        Stand.Server mending = stand.endpoint("e3", 3, "plain", got -> CUT);
        mending.answer = got -> mending.got.size() == 1 ? CUT : OK;
        stand.start();
        stand.handIn("g1", "order", 1, 9000);
        stand.handIn("g2", "order", 2, 9000);
        stand.handIn("g3", "status", 3, 7000);
        until("once-only envelopes in doubt are given up", 3000, () -> stand.ended("g1", "given_up")
            && stand.ended("g2", "given_up"));
        until("a repeatable one goes again", 5000, () -> mending.got.size() == 2);
        Thread.sleep(300);
        assertEquals(cutting.got.size(), 1);
        assertFalse(stand.ended("g3", "g3"));
    }

    @Test
    public void aTwoHundredWhoseBodyIsCutIsADelivery() throws Exception {
        stand.endpoint(1, got -> "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nabc");
        stand.endpoint(2, got -> "HTTP/1.1 100 Continue\r\n\r\n" + OK);
        stand.start();
        stand.handIn("d1", "order", 1, 1500);
        stand.handIn("d2", "order", 2, 1500);
        Thread.sleep(2000);
        assertTrue(stand.notices.isEmpty(), "" + stand.notices);
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
        Stand.Server endpoint = stand.endpoint(1, got -> bytes);
        stand.start();
        assertEquals(stand.handIn("s1", "order", 1, 9000), 202);
        // Else it would keep its slot until its expiry.
        until(what, 1500, () -> stand.figure("open") == 0);
        assertEquals(stand.figure("fulfilled"), delivered ? 1 : 0, what);
        until("its end is told", 500, () -> delivered || stand.ended("s1", "given_up"));
        assertEquals(endpoint.got.size(), 1);
    }

    @Test
    public void whatComesBehindAGoodAnswerIsNotTheNextOnes() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> distinctOk());
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
        until("the first is delivered", 2000, () -> outcomes.get() == 1);
        loop.thread().execute(() -> {
            try {
                // Comes while a round is at work, which sees nothing of it by itself.
                endpoint.sockets.get(0).getOutputStream()
                    .write(distinctOk().getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                outcomes.addAndGet(100);
            }
            Stand.pause(100);
            delivery.startCall(0, List.of(cargo), loop.nowMicros() + 5_000_000);
        });
        until("the next is delivered", 2000, () -> outcomes.get() == 2);
        worker.shutdownNow();
        assertEquals(endpoint.got.size() + " " + endpoint.connections.get(), "2 2");
    }

    @Test
    public void anAnswerJustAheadOfAResetCounts() throws Exception {
        Stand.Server endpoint = stand.endpoint("e1", 1, "plain", got -> OK);
        endpoint.answer = got -> {
            try {
                // Stopped meanwhile, the relay finds the answer and the reset at once.
                stand.signal("STOP");
                Socket socket = endpoint.sockets.get(got.connection - 1);
                socket.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
                socket.setSoLinger(true, 0);
                socket.close();
                stand.signal("CONT");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
            return CUT;
        };
        stand.start();
        assertEquals(stand.handIn("z1", "order", 1, 9000), 202);
        until("called", 2000, () -> endpoint.got.size() == 1);
        until("nothing is owed any more", 3000, () -> stand.figure("open") == 0);
        assertEquals(stand.figure("fulfilled"), 1, "" + stand.notices);
    }

    @Test
    public void whatNeverReachedAnEndpointGoesAgainEvenIfOnceOnly() throws Exception {
        Stand.Server gone = new Stand.Server(got -> OK);
        int port = gone.port();
        gone.close();
        stand.listed("e1", "127.0.0.1:" + port, 1);
        stand.start();
        assertEquals(stand.handIn("u1", "order", 1, 15000), 202);
        Thread.sleep(300);
        try (Stand.Server back = new Stand.Server(got -> OK, port)) {
            until("sent once it is up", 8000, () -> back.got.size() == 1);
        }
        assertTrue(stand.notices.isEmpty());
    }

    @Test
    public void connectionsThatNeverComeUpAreGivenUpAndLeaveNothingOpen() throws Exception {
        try (Stand.Deaf deaf = new Stand.Deaf()) {
            stand.listed("e1", deaf.address(), 1);
            stand.start();
            Thread.sleep(300);
            long before = descriptors();
            for (int i = 0; i < 6; i++) {
                assertEquals(stand.handIn("c" + i, "order", 1, 6000), 202);
            }
            until("none can have run", 8000, () -> stand.notices.size() == 6);
            assertTrue(stand.notices.stream().allMatch(n -> n.contains("handed_back")), "" + stand.notices);
            Thread.sleep(1200);
            assertTrue(descriptors() <= before + 1, before + " descriptors, then " + descriptors());
        }
    }

    @Test
    public void aDrainReachesCallsThatAreStillConnecting() throws Exception {
        Stand.Server second = new Stand.Server(got -> OK);
        try (Stand.Deaf deaf = new Stand.Deaf()) {
            stand.listed("e1", deaf.address(), 1);
            stand.start();
            assertEquals(stand.handIn("d1", "order", 1, 9000), 202);
            Thread.sleep(100);
            stand.tell(false, stand.entry("e2", second.address(), 1, "plain", "up"),
                stand.entry("e1", deaf.address(), 1, "plain", "draining"));
            // Its connection might come up any time within a second, long after the drain was told.
            until("sent where it may go", 500, () -> second.got.size() == 1);
            stand.tell(true, stand.entry("e1", deaf.address(), 1, "plain", "up"));
            Thread.sleep(100);
            assertEquals(stand.handIn("d2", "order", 1, 9000), 202);
            Thread.sleep(100);
            stand.tell(true, stand.entry("e2", second.address(), 1, "plain", "up"));
            until("sent where the whole list says", 500, () -> second.got.size() == 2);
        }
        second.close();
    }

    private long descriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + stand.process.pid() + "/fd"))) {
            return all.count();
        }
    }

    @Test
    public void aToldWaitIsHeeded() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> OK);
        endpoint.answer = got -> endpoint.got.size() == 1 ? status(429, "Retry-After: 0.85") : OK;
        stand.start();
        stand.handIn("w1", "status", 1, 7000);
        stand.handIn("w2", "order", 1, 7000);
        until("both delivered after the wait", 6000, () -> endpoint.got.size() >= 3);
        long first = endpoint.got.get(0).at;
        for (Stand.Got got : endpoint.got.subList(1, 3)) {
            long after = (got.at - first) / 1_000_000;
            assertTrue(after < 100 || after >= 850, "sent " + after + " ms after the wait was told");
        }
    }

    @Test
    public void aToldWaitReachesCallsThatAreStillConnecting() throws Exception {
        Stand.Server first = stand.endpoint("e1", 1, "plain", got -> {
            Stand.pause(400);
            return status(429, "Retry-After: 3");
        });
        try (Stand.Deaf deaf = new Stand.Deaf()) {
            stand.listed("e2", deaf.address(), 1);
            stand.start();
            stand.handIn("y1", "order", 1, 9000);
            stand.handIn("y2", "order", 1, 9000);
            until("one is out, one connecting", 350,
                () -> stand.figure("calls_out") == 2 && first.got.size() == 1);
            Thread.sleep(400);
            // Left alone, the other might come up and leave any time within a second, in the middle of the wait.
            until("neither goes on", 250, () -> stand.figure("calls_out") == 0);
            Thread.sleep(1000);
            assertEquals(first.got.size(), 1);
        }
    }

    @Test
    public void overAndNotSentAreToldApart() throws Exception {
        Stand.Server over = stand.endpoint(1, got -> status(410));
        Stand.Server usedUp = stand.endpoint(2, got -> status(504));
        stand.start();
        stand.handIn("o1", "order", 1, 1500);
        stand.handIn("o2", "order", 2, 1500);
        until("what is still owed has its end", 3000, () -> stand.notices.size() > 0);
        Thread.sleep(200);
        assertTrue(stand.ended("o2", "handed_back"), "" + stand.notices);
        assertEquals(stand.notices.size(), 1, "" + stand.notices);
        assertEquals(over.got.size(), 1);
        assertTrue(usedUp.got.size() > 1);
    }

    @Test
    public void aCallTooManyForTheSlotsIsNoRefusal() throws Exception {
        // As refusals the two would bring pauses of a quarter of a second at least.
        Stand.Server endpoint = stand.endpoint(1, got -> OK);
        endpoint.answer = got -> endpoint.got.size() <= 2 ? status(503, "X-Over-Slots: 1") : OK;
        stand.start();
        stand.handIn("v1", "order", 1, 7000);
        until("sent until it is taken", 3000, () -> endpoint.got.size() == 3);
        long took = (endpoint.got.get(2).at - endpoint.got.get(0).at) / 1_000_000;
        assertTrue(took < 200, took + " ms");
    }

    @Test
    public void noSecondCopyWhileTheFirstIsOut() throws Exception {
        Stand.Server endpoint = stand.endpoint(1, got -> SILENCE);
        endpoint.answer = got -> {
            assertTrue(endpoint.got.stream().noneMatch(g -> g != got && g.open));
            return endpoint.got.size() == 1 ? SILENCE : OK;
        };
        stand.start();
        stand.handIn("t1", "status", 1, 7900);
        until("sent again after a time-out", 7000, () -> endpoint.got.size() == 2);
        until("the first was given up", 1000, () -> !endpoint.got.get(0).open);
        assertTrue(endpoint.got.get(1).at - endpoint.got.get(0).at > 1_000_000_000L);
    }

    @Test
    public void anExpiredEnvelopeHasItsEndInTime() throws Exception {
        stand.endpoint(1, got -> SILENCE);
        stand.closed(9);
        stand.start();
        long start = System.nanoTime();
        stand.handIn("x1", "order", 1, 1000);
        stand.handIn("x2", "status", 9, 1000);
        until("both ended", 2500, () -> stand.ended("x1", "given_up") && stand.ended("x2", "handed_back"));
        assertTrue(System.nanoTime() - start > 800_000_000L);
    }

    @Test
    public void aHoldNearlyFullHandsBackWithAPause() throws Exception {
        stand.closed(9);
        stand.start();
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            Stand.Answer answer = stand
                .ask(Stand.envelope("h" + i, i % 2 == 0 ? "status" : "order", 9, 7000, "x"));
            if (answer.status() != 202) {
                refused++;
                assertEquals(answer.status() + " " + answer.headers().get("retry-after"), "503 1.000");
            }
        }
        int handedBack = 60 - 47 - refused;
        until("the others are handed back by notice", 2000, () -> stand.notices.size() == handedBack);
        assertTrue(stand.notices.stream().allMatch(n -> n.contains("\"handed_back\",\"retry_in_ms\":1000")),
            "" + stand.notices);
    }

    @Test
    public void aConnectionIsNotKeptToWhereItsEndpointNoLongerStands() throws Exception {
        CountDownLatch moved = new CountDownLatch(1);
        Stand.Server before = stand.endpoint(1, after(moved, got -> distinctOk()));
        Stand.Server after = new Stand.Server(got -> distinctOk());
        stand.start();
        assertEquals(stand.handIn("m1", "status", 1, 7900), 202);
        until("it is out", 2000, () -> before.got.size() == 1);
        stand.tell(false, stand.entry("e1", after.address(), 1, "plain", "up"),
            stand.entry("e2", after.address(), 2, "plain", "up"));
        until("the move is known", 2000,
            () -> stand.handIn("n" + System.nanoTime(), "status", 2, 7900) == 202);
        assertEquals(stand.handIn("m2", "status", 1, 7900), 202);
        until("the next goes to where it stands now", 2000,
            () -> after.got.stream().anyMatch(g -> "m2".equals(g.id())));
        until("it is delivered", 2000, () -> stand.figure("calls_out") == 1);
        moved.countDown();
        until("the first is delivered too", 2000, () -> stand.figure("calls_out") == 0);
        assertEquals(stand.handIn("m3", "status", 1, 7900), 202);
        until("the third is delivered", 2000,
            () -> after.got.stream().anyMatch(g -> "m3".equals(g.id())) || before.got.size() > 1);
        assertEquals(before.got.size(), 1, "it went where the endpoint stood before");
        after.close();
    }

    @Test
    public void aConnectionOfACallThatOutlivedADrainIsNotUsedOn() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        Stand.Server endpoint = stand.endpoint(1, after(drains, got -> distinctOk()));
        Stand.Server other = stand.endpoint(2, got -> distinctOk());
        stand.start();
        assertEquals(stand.handIn("d1", "order", 1, 9000), 202);
        until("it is out", 2000, () -> endpoint.got.size() == 1);
        stand.tell(false, stand.entry("e1", endpoint.address(), 1, "plain", "draining"),
            stand.entry("e3", other.address(), 3, "plain", "up"));
        until("the drain is known", 2000,
            () -> stand.handIn("n" + System.nanoTime(), "status", 3, 7900) == 202);
        drains.countDown();
        until("it is delivered", 2000, () -> stand.figure("fulfilled") >= 2);
        stand.tell(false, stand.entry("e1", endpoint.address(), 1, "plain", "up"));
        assertEquals(stand.handIn("d2", "order", 1, 9000), 202);
        until("it is delivered after the return", 4000, () -> endpoint.got.size() == 2);
        assertEquals(endpoint.got.get(1).connection, 2, "on a connection from before the drain");
    }

    /**
     * The connection of a repeat comes up when the first shot, which may have run, is forgotten: the endpoint takes one
     * connection, lets its queue fill up, cuts, and takes the others in only after the repeat's time.
     */
    @Test
    public void aRepeatWhoseConnectionComesUpTooLateIsNotSent() throws Exception {
        stand.memoryMs = 1_000;
        stand.connectTimeoutMs = 3_000;
        List<String> got = new CopyOnWriteArrayList<>();
        CountDownLatch forgotten = new CountDownLatch(1);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            stand.listed("e1", "127.0.0.1:" + listener.getLocalPort(), 1);
            Thread server = new Thread(() -> {
                try (Socket first = listener.accept()) {
                    got.add(Stand.read(first.getInputStream(), 1).id());
                    List<Socket> filling = Stand.fill(listener);
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
            stand.start();
            assertEquals(stand.handIn("t1", "serial", 1, 9000), 202);
            until("it has come once", 2000, () -> got.size() == 1);
            Stand.pause(1_000);
            forgotten.countDown();
            until("it has its end, or comes again", 5000, () -> stand.ended("t1", "") || got.size() == 2);
            Stand.pause(1_500);
            assertEquals(got, List.of("t1"), "it came again when nobody knew it any more");
            assertTrue(stand.ended("t1", ""));
        }
    }

    /** Notes each request's id until the listener is closed. */
    private static void recordAll(ServerSocket listener, List<String> got) throws IOException {
        while (true) {
            try (Socket later = listener.accept()) {
                Stand.Got request = Stand.read(later.getInputStream(), 2);
                if (request != null) {
                    got.add(request.id());
                }
            }
        }
    }

    @Test
    public void severalInOneCallEachHaveTheirEnd() throws Exception {
        Stand.Server endpoint = stand.endpoint("e1", 1, "bundled", got -> OK);
        endpoint.answer = got -> got.line.startsWith("POST /inbox/bulk") && endpoint.got.size() == 1
            ? body(
                "[{\"id\":\"b1\",\"state\":\"done\"},{\"id\":\"b2\",\"state\":\"failed\"},{\"id\":\"b3\",\"state\":\"busy\"},"
                    + "{\"id\":\"b4\",\"state\":\"void\"}]")
            : got.line.contains("bulk") ? body("[]") : OK;
        stand.start();
        stand.tell(false, stand.entry("e1", endpoint.address(), 1, "bundled", "draining"));
        Thread.sleep(200);
        for (int i = 1; i <= 5; i++) {
            assertEquals(stand.handIn("b" + i, "order", 1, 9000), 202);
        }
        Thread.sleep(100);
        assertTrue(endpoint.got.isEmpty());
        stand.tell(false, stand.entry("e1", endpoint.address(), 1, "bundled", "up"));
        until("one call for all", 2000, () -> endpoint.got.size() >= 1);
        String first = endpoint.got.get(0).body;
        assertTrue(first.contains("\"b1\"") && first.contains("\"b5\"") && first.contains("Ym9keSBvZiBiMQ=="),
            first);
        until("failed and unnamed may have run", 3000,
            () -> stand.ended("b2", "given_up") && stand.ended("b5", "given_up"));
        until("busy never ran", 5000,
            () -> endpoint.got.size() >= 2 && "b3".equals(endpoint.got.get(1).id()));
        assertEquals(stand.notices.size(), 2, "" + stand.notices);
    }

    /**
     * A platform that knows a call of several by its first envelope takes the call for over when it is told that this
     * one has ended: no other may outlive the first.
     */
    @Test
    public void theFirstOfSeveralInOneCallOutlivesTheOthers() throws Exception {
        Stand.Server endpoint = new Stand.Server(got -> {
            try {
                until("the one with the least time is told to be at its end", 4000,
                    () -> stand.ended("short", "given_up"));
            } catch (Exception never) {
                return CUT;
            }
            return body("[{\"id\":\"long\",\"state\":\"done\"},{\"id\":\"middle\",\"state\":\"done\"},"
                + "{\"id\":\"short\",\"state\":\"done\"}]");
        });
        stand.closed(1);
        stand.start();
        // Of those that can no longer make their agreed time the newest goes first.
        assertEquals(stand.handIn("long", "order", 1, 9000), 202);
        assertEquals(stand.handIn("middle", "order", 1, 6000), 202);
        assertEquals(stand.handIn("short", "order", 1, 1200), 202);
        stand.tell(false, stand.entry("e1", endpoint.address(), 1, "bundled", "up"));
        until("one call for all", 2000, () -> endpoint.got.size() == 1);
        String bundle = endpoint.got.get(0).body;
        assertTrue(bundle.indexOf("\"long\"") < bundle.indexOf("\"middle\"")
            && bundle.indexOf("\"middle\"") < bundle.indexOf("\"short\""), bundle);
        until("the others are delivered", 4000,
            () -> stand.figure("fulfilled") == 2 && stand.figure("open") == 0);
        assertEquals(endpoint.got.size(), 1);
        endpoint.close();
    }

    /** An envelope whose time runs out in a call of several is still part of it: its key waits until that is over. */
    @Test
    public void whatFollowsOnAKeyWaitsForTheCallThatTheOneAheadIsStillPartOf() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        Stand.Server endpoint = new Stand.Server(after(answer, got -> got.line.contains("bulk")
            ? body("[{\"id\":\"other\",\"state\":\"done\"},{\"id\":\"ahead\",\"state\":\"done\"}]") : OK));
        stand.closed(1);
        stand.start();
        assertEquals(stand.handIn("other", "order", 1, 15_000), 202);
        for (String id : List.of("ahead", "behind")) {
            String asked = Stand.envelope(id, "serial", 1, id.equals("ahead") ? 1_000 : 15_000, "x");
            assertEquals(stand.ask(asked.replaceFirst("\r\n", "\r\nAffinity-Key: doc\r\n")).status(), 202);
        }
        stand.tell(false, stand.entry("e1", endpoint.address(), 1, "bundled", "up"));
        until("one call for both", 2000, () -> endpoint.got.size() == 1);
        until("the one ahead has run out", 3000, () -> stand.ended("ahead", ""));
        // Longer than a key rests after a shot without outcome.
        Stand.pause(1_200);
        assertEquals(endpoint.got.size(), 1, "it went while the one ahead still had a call out");
        answer.countDown();
        until("it goes once the call is over", 4000, () -> endpoint.got.size() == 2);
        assertEquals(endpoint.got.get(1).id(), "behind");
        endpoint.close();
    }

    @Test
    public void followsTheListAndKeepsItThroughGarbage() throws Exception {
        Stand.Server first = stand.endpoint(1, got -> OK);
        Stand.Server second = new Stand.Server(got -> OK);
        stand.start();
        until("watched", 2000, () -> stand.watched.size() == 1);
        stand.tell(false, stand.entry("e2", second.address(), 1, "plain", "up"),
            stand.entry("e1", first.address(), 1, "plain", "draining"));
        int earlier = untilOneReaches(second, first, "l");
        for (int i = 0; i < 4; i++) {
            stand.handIn("m" + i, "status", 1, 8000);
        }
        until("all at the one listed up", 8000, () -> first.got.size() + second.got.size() == earlier + 4);
        assertTrue(first.got.stream().noneMatch(got -> got.id().startsWith("m")),
            "one went to the draining endpoint");
        stand.tell("{\"version\":9,\"full\":true,\"servers\":[{\"id\":7}]}");
        until("the watch is taken up from the version understood", 8000, () -> stand.watched.size() >= 2);
        assertTrue(stand.watched.get(1).contains("since=2"), "" + stand.watched);
        stand.handIn("n1", "status", 1, 8000);
        until("the last list still holds", 8000,
            () -> second.got.stream().anyMatch(got -> "n1".equals(got.id())));
        stand.discovery.cutAll();
        until("a watch that broke is taken up again", 8000, () -> stand.watched.size() >= 3);
        stand.tell(true, stand.entry("e1", first.address(), 1, "plain", "up"));
        untilOneReaches(first, second, "o");
        stand.handIn("p1", "status", 1, 8000);
        until("what a whole list leaves out is gone", 8000,
            () -> first.got.stream().anyMatch(got -> "p1".equals(got.id())));
        second.close();
    }

    /** Hands in until a list that leaves {@code here} alone is in force; how many both endpoints have got by then. */
    private int untilOneReaches(Stand.Server here, Stand.Server other, String prefix) throws Exception {
        int before = here.got.size() + other.got.size();
        int[] handed = {0};
        int reached = here.got.size();
        until("one reaches the endpoint that is left", 20_000, () -> {
            stand.handIn(prefix + handed[0]++, "status", 1, 8000);
            until("it is delivered", 8000, () -> here.got.size() + other.got.size() == before + handed[0]);
            return here.got.size() > reached;
        });
        return before + handed[0];
    }

    /**
     * A server without room for one more connection answers 503 and closes. Read as full, as everything else that is 503,
     * it would slow the pace for a limit that nobody had reached.
     */
    @Test
    public void aFullTableIsNoLimitReached() throws Exception {
        stand.operator = "[log]\nlevel = \"debug\"\n";
        List<String> answers = List.of(distinctOk(), status(503, "Connection: close"),
            status(503, "Connection: close"),
            status(503, "Connection: close", "Retry-After: 0.010"), status(503), distinctOk());
        AtomicInteger asked = new AtomicInteger();
        stand.endpoint(1, got -> answers.get(Math.min(asked.getAndIncrement(), answers.size() - 1)));
        stand.start();
        stand.handIn("t0", "status", 1, 20_000);
        until("the first is delivered", 10_000,
            () -> asked.get() == 1 && stand.hasLogged("envelope.fulfilled"));
        stand.handIn("t1", "status", 1, 20_000);
        until("the second is delivered", 20_000, () -> asked.get() == 6
            && stand.log().stream().filter(line -> line.contains("envelope.fulfilled")).count() == 2);
        List<String> backs = stand.log().stream().filter(line -> line.contains("envelope.back"))
            .map(line -> line.replaceAll(".*\"outcome\":\"([a-z]+)\".*", "$1")).toList();
        // On a kept connection; on a fresh one; with a wait told; on a fresh one that stays open.
        assertEquals(backs, List.of("full", "unreached", "full", "full"));
    }

    @Test
    public void whereListsAreAskedForTheModuleAsksAgain() throws Exception {
        stand.mode = "on_request";
        Stand.Server endpoint = stand.endpoint(1, got -> OK);
        stand.start();
        until("asked for", 2000, () -> stand.watched.size() == 1);
        stand.discovery.cutAll();
        until("asked for again", 5000, () -> stand.watched.size() == 2);
        stand.handIn("q1", "status", 1, 5000);
        until("delivered", 2000, () -> endpoint.got.size() == 1);
    }

    @Test
    public void whatAnAnswerTellsOfTheLimitReachesTheModule() throws Exception {
        stand.settings = "\"load_report\":{\"how\":\"answers\",\"fields\":[\"x0\",\"x1\"]},";
        stand.weight = "1.0";
        // Listed at one a second; the answers say that there is no limit, so nothing is spaced any more.
        Stand.Server endpoint = stand.endpoint(1, got -> status(200, "Server-Load: TEXT x0=1.0, x1=0"));
        stand.start();
        stand.handIn("m0", "status", 1, 7000);
        until("the first answer", 2000, () -> endpoint.got.size() == 1);
        Thread.sleep(100);
        for (int i = 1; i <= 4; i++) {
            stand.handIn("m" + i, "status", 1, 7000);
        }
        until("the others at once", 1500, () -> endpoint.got.size() == 5);
    }

    @Test
    public void aShotWithoutAnswerTellsNothingOfTheLimit() throws Exception {
        stand.settings = "\"load_report\":{\"how\":\"answers\",\"fields\":[\"x0\",\"x1\"]},";
        stand.weight = "1.0";
        Stand.Server unlimited = stand.endpoint(1, got -> status(200, "Server-Load: TEXT x0=1.0, x1=0"));
        Stand.Server other = stand.endpoint("e2", 2, "plain", got -> CUT);
        stand.start();
        stand.handIn("m0", "status", 1, 7000);
        until("one endpoint says that it has no limit", 2000, () -> unlimited.got.size() == 1);
        Thread.sleep(100);
        stand.handIn("m1", "order", 2, 7000);
        until("the other breaks off", 2000, () -> stand.ended("m1", "given_up"));
        other.answer = got -> OK;
        for (int i = 2; i <= 6; i++) {
            stand.handIn("m" + i, "status", 2, 7000);
        }
        Thread.sleep(1200);
        assertTrue(other.got.size() <= 4, other.got.size() + " calls in 1.2 s at one a second");
    }

    @Test
    public void aListThatStaysGarbledIsAskedForEverMoreSlowly() throws Exception {
        stand.start();
        until("watched", 2000, () -> stand.watched.size() == 1);
        long end = System.nanoTime() + 3_000_000_000L;
        while (System.nanoTime() < end) {
            stand.tell("{\"version\":");
            Thread.sleep(20);
        }
        assertTrue(stand.watched.size() >= 3 && stand.watched.size() <= 8,
            stand.watched.size() + " times in 3 s");
    }

    @Test
    public void aWatchGoneSilentIsTakenUpAnew() throws Exception {
        stand.start();
        stand.beats = false;
        // A drain counts as told after 6 s, whether the watch brought it or not.
        until("asked again", 4500, () -> stand.watched.size() == 2);
    }

    @Test
    public void aNoticeWithoutAnswerGoesAgainAtOnce() throws Exception {
        stand.endpoint(1, got -> status(500));
        stand.noticeStatus = 0;
        stand.start();
        stand.handIn("n1", "order", 1, 5000);
        until("told", 2000, () -> stand.discovery.posts().size() == 1);
        stand.noticeStatus = 204;
        long start = System.nanoTime();
        until("told again", 4000, () -> stand.ended("n1", "given_up"));
        long took = (System.nanoTime() - start) / 1_000_000;
        assertTrue(took < 1000, took + " ms");
    }

    @Test
    public void noticesGoOutUntilTheyAreHeard() throws Exception {
        stand.endpoint(1, got -> status(500));
        stand.noticeStatus = 503;
        stand.start();
        stand.handIn("n1", "order", 1, 5000);
        until("told", 2000, () -> stand.discovery.posts().size() >= 2);
        assertTrue(stand.notices.isEmpty());
        stand.noticeStatus = 204;
        until("heard", 4000, () -> stand.ended("n1", "given_up"));
        Thread.sleep(300);
        assertEquals(stand.notices.size(), 1);
    }
}
