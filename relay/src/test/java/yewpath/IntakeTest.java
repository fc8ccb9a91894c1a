package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.OK;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What clients may do at the door, and what they are answered. */
public final class IntakeTest {
    private static final String FIELDS = "Request-Id: x1\r\nRequest-Timeout: 800m\r\nX-Addressing: dest=1\r\n";
    private RelayFixture fixture;
    private RelayFixture.StubServer endpoint;

    @BeforeClass
    public void start() throws Exception {
        fixture = new RelayFixture();
        fixture.operatorConfig = "[clients]\nconnections = 4\nrequest_within = \"700 ms\"\nidle_for = \"1 min\"\n";
        endpoint = fixture.addEndpoint(1, got -> OK);
        fixture.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    @DataProvider
    public Object[][] bad() {
        String post = "POST /status HTTP/1.1\r\n" + FIELDS;
        return new Object[][]{
            {"both length headers", 400, post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"},
            {"two lengths", 400, post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
            {"two equal lengths", 400, post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
            {"a signed length", 400, post + "Content-Length: +3\r\n\r\nabc"},
            {"an unknown coding", 400, post + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
            {"a bad chunk size", 400, post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
            {"a chunk longer than told", 400,
                post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n"},
            {"a space before the colon", 400, post + "Content-Length : 3\r\n\r\nabc"},
            {"a folded header", 400, post + "X-A: b\r\n c\r\n\r\n"},
            {"a bare line feed", 400, "POST /status HTTP/1.1\n\n"},
            {"no request line", 400, "hello\r\n\r\n"},
            {"another version", 400, "POST /status HTTP/2.0\r\n\r\n"},
            {"a body too long", 413, post + "Content-Length: 65537\r\n\r\n"},
            {"chunks too long", 413, post + "Transfer-Encoding: chunked\r\n\r\nffff\r\n" + "x".repeat(65535)
                + "\r\n2\r\nxx\r\n0\r\n\r\n"},
            {"a head too long", 431, post + "X-A: " + "y".repeat(9000) + "\r\n\r\n"},
            {"a head without end", 431, post + "X-A: " + "y".repeat(9000)},
        };
    }

    @Test(dataProvider = "bad")
    public void refusesAndCloses(String what, int status, String request) throws Exception {
        try (Socket socket = fixture.connect()) {
            assertEquals(RelayFixture.exchange(socket, request).status(), status, what);
            assertTrue(RelayFixture.isClosedWithin(socket, 2000), what + ": stays open");
        }
        assertTrue(endpoint.requests.stream().noneMatch(g -> "x1".equals(g.id())), what + ": was sent on");
    }

    @DataProvider
    public Object[][] unfit() {
        return new Object[][]{
            {404, "POST /elsewhere HTTP/1.1\r\n" + FIELDS + "\r\n"},
            {404, "GET / HTTP/1.1\r\n\r\n"},
            {503, RelayFixture.messageRequest("x3", "status", 77, 800, "no list names its destination")},
            {405, "GET /status HTTP/1.1\r\n" + FIELDS + "\r\n"},
            {405, "POST /health/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n"},
            {400, "POST /status HTTP/1.1\r\nRequest-Timeout: 800m\r\nX-Addressing: dest=1\r\n\r\n"},
            {400, "POST /status HTTP/1.1\r\nRequest-Id: x2\r\nX-Addressing: dest=1\r\n\r\n"},
            {400,
                "POST /status HTTP/1.1\r\nRequest-Id: x2\r\nRequest-Timeout: 8 s\r\nX-Addressing: dest=1\r\n\r\n"},
            {400, "POST /status HTTP/1.1\r\nRequest-Id: x2\r\nRequest-Timeout: 800m\r\n\r\n"},
            {400,
                "POST /status HTTP/1.1\r\nRequest-Id: x2\r\nRequest-Timeout: 800m\r\nX-Addressing: dest=a\r\n\r\n"},
        };
    }

    @Test(dataProvider = "unfit")
    public void refusesAndReadsOn(int status, String request) throws Exception {
        try (Socket socket = fixture.connect()) {
            assertEquals(RelayFixture.exchange(socket, request).status(), status);
            assertEquals(RelayFixture.exchange(socket, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
        }
    }

    /** A list may only be late: who asks for what it does not name yet is told when to come again, not that it failed. */
    @Test
    public void whatIsNotListedYetIsRefusedUntilItIs() throws Exception {
        try (Socket socket = fixture.connect()) {
            RelayFixture.Response early = RelayFixture.exchange(socket,
                RelayFixture.messageRequest("u1", "status", 9, 800, "x"));
            assertEquals(early.status(), 503);
            assertEquals(early.headers().get("retry-after"), "1.000");
            assertEquals(fixture.statistic("open"), 0);
            fixture.publish(false, fixture.listEntry("late", endpoint.address(), 9, "plain", "up"));
            RelayFixture.waitUntil("it is taken on once the list names it", 3000,
                () -> RelayFixture.exchange(socket, RelayFixture.messageRequest("u2", "status", 9, 7900, "x"))
                    .status() == 202);
        }
        RelayFixture.waitUntil("delivered", 2000,
            () -> endpoint.requests.stream().anyMatch(g -> "u2".equals(g.id())));
    }

    @Test
    public void takesAnEnvelopeByteByByteAndInChunks() throws Exception {
        String chunked = "POST /status HTTP/1.1\r\nRequest-Id: c1\r\nRequest-Timeout: 800000.5u\r\nX-Addressing: dest=1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-T: v\r\n\r\n";
        try (Socket socket = fixture.connect()) {
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            for (byte b : chunked.getBytes(StandardCharsets.ISO_8859_1)) {
                out.write(b);
            }
            assertEquals(RelayFixture.readResponse(socket).status(), 202);
        }
        RelayFixture.waitUntil("delivered whole", 2000, () -> endpoint.requests.stream()
            .anyMatch(g -> "c1".equals(g.id()) && g.body.equals("abcde")));
    }

    @Test
    public void answersRequestsSentAheadInTheirOrder() throws Exception {
        StringBuilder ahead = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            ahead.append(RelayFixture.messageRequest("p" + i, "status", 1, 5000, "b".repeat(60_000)));
            ahead.append("GET /nowhere HTTP/1.1\r\n\r\n");
        }
        try (Socket socket = fixture.connect()) {
            socket.getOutputStream().write(ahead.toString().getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < 8; i++) {
                assertEquals(RelayFixture.readResponse(socket).status(), 202);
                assertEquals(RelayFixture.readResponse(socket).status(), 404);
            }
        }
    }

    @Test
    public void readsARequestLongerOnTheWireThanItsRing() throws Exception {
        String small = "1\r\nx\r\n".repeat(30_000) + "0\r\n\r\n";
        String chunked = "POST /status HTTP/1.1\r\nRequest-Id: f2\r\nRequest-Timeout: 5000m\r\nX-Addressing: dest=1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n" + small;
        fixture.signal("STOP");
        try (Socket socket = fixture.connect()) {
            socket.getOutputStream()
                .write((RelayFixture.messageRequest("f1", "status", 1, 5000, "x") + chunked)
                    .getBytes(StandardCharsets.ISO_8859_1));
            fixture.signal("CONT");
            assertEquals(RelayFixture.readResponse(socket).status(), 202);
            assertEquals(RelayFixture.readResponse(socket).status(), 202);
        }
    }

    @Test
    public void asksForTheBodyOfAClientThatWaitsToBeAsked() throws Exception {
        try (Socket socket = fixture.connect()) {
            String head = "POST /status HTTP/1.1\r\n" + FIELDS.replace("x1", "w1")
                + "Expect: 100-continue\r\n"
                + "Content-Length: 2\r\n\r\n";
            assertEquals(RelayFixture.exchange(socket, head).status(), 100);
            assertEquals(RelayFixture.exchange(socket, "ok").status(), 202);
        }
    }

    @Test
    public void endsARequestThatDoesNotCome() throws Exception {
        try (Socket socket = fixture.connect()) {
            assertEquals(RelayFixture.exchange(socket, "POST /status HTTP/1.1\r\nRequest-Id: s").status(),
                408);
            assertTrue(RelayFixture.isClosedWithin(socket, 2000));
        }
    }

    @Test
    public void aClientThatLeftHasNothingSentForIt() throws Exception {
        // Stopped meanwhile, the relay finds the request and the connection's end at once.
        fixture.signal("STOP");
        try (Socket socket = fixture.connect()) {
            socket.getOutputStream().write(RelayFixture.messageRequest("l1", "order", 1, 5000, "x")
                .getBytes(StandardCharsets.ISO_8859_1));
        }
        fixture.signal("CONT");
        assertEquals(fixture.submit("l2", "order", 1, 5000), 202);
        RelayFixture.waitUntil("the next is delivered", 2000,
            () -> endpoint.requests.stream().anyMatch(g -> "l2".equals(g.id())));
        Thread.sleep(200);
        assertTrue(endpoint.requests.stream().noneMatch(g -> "l1".equals(g.id())),
            "sent for a client that had left");
    }

    @Test
    public void unfinishedBodiesOnManyConnectionsDoNotUseUpItsMemory() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        byte[] unfinished = RelayFixture.messageRequest("h", "status", 1, 5000, "h".repeat(65_000))
            .substring(0, 62_000)
            .getBytes(StandardCharsets.ISO_8859_1);
        try (RelayFixture crowded = new RelayFixture()) {
            crowded.addEndpoint(1, got -> OK);
            crowded.start();
            for (int i = 0; i < 620; i++) {
                sockets.add(crowded.connect());
                try {
                    sockets.get(i).getOutputStream().write(unfinished);
                } catch (IOException closedMeanwhile) {
                    continue;
                }
            }
            assertEquals(crowded.submit("after", "status", 1, 5000), 202);
            assertTrue(crowded.process.isAlive());
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    public void silentAndSlowClientsAreEndedWithinThreeSecondsOfConnecting() throws Exception {
        try (RelayFixture usual = new RelayFixture()) {
            usual.addEndpoint(1, got -> OK);
            usual.start();
            long start = System.nanoTime();
            try (Socket silent = usual.connect();
                Socket late = usual.connect();
                Socket kept = usual.connect()) {
                assertEquals(RelayFixture.exchange(kept, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
                RelayFixture.pause(1500);
                late.getOutputStream()
                    .write("POST /status HTTP/1.1\r\nRequest-Id".getBytes(StandardCharsets.ISO_8859_1));
                assertTrue(RelayFixture.isClosedWithin(silent, 1400), "silent, and still open");
                assertTrue(System.nanoTime() - start > 2_000_000_000L, "closed before its 2 s were over");
                assertEquals(RelayFixture.readResponse(late).status(), 408);
                assertTrue(System.nanoTime() - start < 3_000_000_000L, "told too late");
                assertEquals(RelayFixture.exchange(kept, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
            }
        }
    }

    /** Held still, the relay finds far more connections than it has room for, each with a request that it has not read. */
    @Test
    public void whoHasAskedIsNotClosedForWantOfRoom() throws Exception {
        List<Socket> rush = new ArrayList<>();
        try (RelayFixture full = new RelayFixture()) {
            full.operatorConfig = "[clients]\nconnections = 4\n";
            full.addEndpoint(1, got -> OK);
            full.start();
            full.signal("STOP");
            for (int i = 0; i < 300; i++) {
                rush.add(full.connect());
                rush.get(i).getOutputStream()
                    .write(RelayFixture.messageRequest("rush" + i, "status", 1, 7900, "x")
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
            full.signal("CONT");
            for (int i = 0; i < rush.size(); i++) {
                int status = RelayFixture.readResponse(rush.get(i)).status();
                assertTrue(status == 202 || status == 503, "connection " + i + ": " + status);
                rush.get(i).close();
            }
        }
    }

    @Test
    public void silentConnectionsDoNotTakeTheRoomOfThoseThatAsk() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try (Socket kept = fixture.connect()) {
            assertEquals(RelayFixture.exchange(kept, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
            for (int i = 0; i < 9; i++) {
                silent.add(fixture.connect());
                RelayFixture.pause(120);
            }
            assertEquals(RelayFixture.exchange(kept, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
            assertTrue(RelayFixture.isClosedWithin(silent.get(0), 100));
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    @Test
    public void aRushOfConnectsLeavesDescriptorsForAllElse() throws Exception {
        List<Socket> rush = new ArrayList<>();
        try (RelayFixture crowded = new RelayFixture()) {
            crowded.extraLimits = ",\"sockets\":128";
            crowded.maxFileDescriptors = 128;
            RelayFixture.StubServer up = crowded.addEndpoint(1, got -> OK);
            crowded.start();
            crowded.signal("STOP");
            for (int i = 0; i < 400; i++) {
                rush.add(crowded.connect());
            }
            crowded.signal("CONT");
            assertEquals(crowded.submit("after", "status", 1, 5000), 202);
            RelayFixture.waitUntil("delivered", 2000, () -> up.requests.size() == 1);
            assertFalse(Files.readString(crowded.directory.resolve("log")).contains("Too many open files"));
        } finally {
            for (Socket socket : rush) {
                socket.close();
            }
        }
    }

    @Test
    public void doesNotReadAllThatARefusedClientGoesOnSending() throws Exception {
        byte[] much = new byte[1 << 20];
        int sent = 0;
        try (Socket socket = fixture.connect()) {
            assertEquals(
                RelayFixture
                    .exchange(socket,
                        "POST /status HTTP/1.1\r\n" + FIELDS + "Content-Length: 60000000\r\n\r\n")
                    .status(),
                413);
            for (; sent < 60; sent++) {
                socket.getOutputStream().write(much);
            }
        } catch (IOException closed) {
            assertTrue(sent < 30, sent + " MB were read");
        }
        assertTrue(sent < 60, "all was read");
    }

    @Test
    public void boundsItsConnectionsAndStillAnswersTheNewest() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < 9; i++) {
                sockets.add(fixture.connect());
                assertEquals(
                    RelayFixture.exchange(sockets.get(i), "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
            }
            int open = 0;
            for (Socket socket : sockets) {
                open += RelayFixture.isClosedWithin(socket, 100) ? 0 : 1;
            }
            assertTrue(open <= 4, open + " of 9 stayed open");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
