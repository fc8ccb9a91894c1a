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

/**
 * Requests of clients, valid and invalid, complete and incomplete, and the responses that the relay gives.
 */
public final class IntakeTest {
    private static final String FIELDS = "Request-Id: x1\r\nRequest-Timeout: 800m\r\nX-Addressing: dest=1\r\n";
    private RelayFixture fixture;
    private RelayFixture.StubServer endpoint;

    @BeforeClass
    public void start() throws Exception {
        fixture = new RelayFixture();
        fixture.operatorConfig = "[clients]\nconnections = 4\n"
            + "request_within = \"700 ms\"\nidle_for = \"1 min\"\n";
        endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    @DataProvider
    public Object[][] malformedRequests() {
        String post = "POST /status HTTP/1.1\r\n" + FIELDS;
        return new Object[][]{
            {"both length headers", 400, post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"},
            {"two lengths", 400, post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
            {"two equal lengths", 400, post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
            {"a signed length", 400, post + "Content-Length: +3\r\n\r\nabc"},
            {"an unknown coding", 400, post + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
            {"a bad chunk size", 400, post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
            {"a chunk longer than its size", 400,
                post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n"},
            {"a space before the colon", 400, post + "Content-Length : 3\r\n\r\nabc"},
            {"a folded header", 400, post + "X-A: b\r\n c\r\n\r\n"},
            {"a bare line feed", 400, "POST /status HTTP/1.1\n\n"},
            {"no request line", 400, "hello\r\n\r\n"},
            {"another version", 400, "POST /status HTTP/2.0\r\n\r\n"},
            {"a body that is too long", 413, post + "Content-Length: 65537\r\n\r\n"},
            {"chunks that are too long together", 413,
                post + "Transfer-Encoding: chunked\r\n\r\nffff\r\n" + "x".repeat(65535)
                    + "\r\n2\r\nxx\r\n0\r\n\r\n"},
            {"a head that is too long", 431, post + "X-A: " + "y".repeat(9000) + "\r\n\r\n"},
            {"a head that is too long and incomplete", 431, post + "X-A: " + "y".repeat(9000)},
        };
    }

    /**
     * Guards against request smuggling and unbounded requests. Where the length of a request is unclear or
     * too large, the following bytes can't be read as a new request, so the relay must respond, close the
     * connection and send nothing to the endpoint.
     */
    @Test(dataProvider = "malformedRequests")
    public void malformedRequestIsRefusedAndTheConnectionClosed(String description, int status,
        String request) throws Exception {
        try (Socket socket = fixture.connect()) {
            assertEquals(RelayFixture.exchange(socket, request).status(), status, description);
            assertTrue(RelayFixture.isClosedWithin(socket, 2000),
                description + ": the connection stays open");
        }
        assertTrue(endpoint.requests.stream().noneMatch(call -> "x1".equals(call.id())),
            description + ": was sent to the endpoint");
    }

    @DataProvider
    public Object[][] unacceptableRequests() {
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

    /**
     * Guards against a connection that is closed or misread after a well-formed request that the relay can't
     * accept: the next request on it must still be answered.
     */
    @Test(dataProvider = "unacceptableRequests")
    public void unacceptableRequestIsRefusedAndTheConnectionKept(int status, String request)
        throws Exception {
        try (Socket socket = fixture.connect()) {
            assertEquals(RelayFixture.exchange(socket, request).status(), status);
            assertEquals(RelayFixture.exchange(socket, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
        }
    }

    /**
     * Guards against a final failure for a destination that is not listed yet. Since the list may only be
     * late, the client must be told when to retry.
     */
    @Test
    public void unlistedDestinationIsRefusedWithARetryTimeUntilItIsListed() throws Exception {
        try (Socket socket = fixture.connect()) {
            RelayFixture.Response early = RelayFixture.exchange(socket,
                RelayFixture.messageRequest("u1", "status", 9, 800, "x"));
            assertEquals(early.status(), 503);
            assertEquals(early.headers().get("retry-after"), "1.000");
            assertEquals(fixture.statistic("open"), 0);
            fixture.publish(false, fixture.listEntry("late", endpoint.address(), 9, "plain", "up"));
            RelayFixture.waitUntil("the message is accepted once its destination is listed", 3000,
                () -> RelayFixture.exchange(socket, RelayFixture.messageRequest("u2", "status", 9, 7900, "x"))
                    .status() == 202);
        }
        RelayFixture.waitUntil("the message is delivered", 2000,
            () -> endpoint.requests.stream().anyMatch(call -> "u2".equals(call.id())));
    }

    /**
     * Guards against a parser that fails when a request arrives byte by byte, or that counts chunk
     * extensions and trailers as parts of the body.
     */
    @Test
    public void acceptsAMessageThatArrivesByteByByteInChunks() throws Exception {
        String chunked = "POST /status HTTP/1.1\r\nRequest-Id: c1\r\nRequest-Timeout: 800000.5u\r\nX-Addressing: dest=1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-T: v\r\n\r\n";
        try (Socket socket = fixture.connect()) {
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            for (byte requestByte : chunked.getBytes(StandardCharsets.ISO_8859_1)) {
                out.write(requestByte);
            }
            assertEquals(RelayFixture.readResponse(socket).status(), 202);
        }
        RelayFixture.waitUntil("the complete message is delivered", 2000, () -> endpoint.requests.stream()
            .anyMatch(call -> "c1".equals(call.id()) && call.body.equals("abcde")));
    }

    /**
     * Guards against responses that are lost or out of order when a client pipelines requests that exceed
     * the relay's buffers.
     */
    @Test
    public void answersPipelinedRequestsInOrder() throws Exception {
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            pipelined.append(RelayFixture.messageRequest("p" + i, "status", 1, 5000, "b".repeat(60_000)));
            pipelined.append("GET /nowhere HTTP/1.1\r\n\r\n");
        }
        try (Socket socket = fixture.connect()) {
            socket.getOutputStream().write(pipelined.toString().getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < 8; i++) {
                assertEquals(RelayFixture.readResponse(socket).status(), 202);
                assertEquals(RelayFixture.readResponse(socket).status(), 404);
            }
        }
    }

    /**
     * Guards against a request that never completes because its encoding in very small chunks is longer than
     * the buffer, although its body is not. Suspending the relay makes all bytes available at once.
     */
    @Test
    public void readsARequestThatIsLongerThanTheBufferOnTheWire() throws Exception {
        String smallChunks = "1\r\nx\r\n".repeat(30_000) + "0\r\n\r\n";
        String chunked = "POST /status HTTP/1.1\r\nRequest-Id: f2\r\nRequest-Timeout: 5000m\r\nX-Addressing: dest=1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n" + smallChunks;
        SuspendedRelay suspended = new SuspendedRelay(fixture);
        try (Socket socket = fixture.connect()) {
            socket.getOutputStream()
                .write((RelayFixture.messageRequest("f1", "status", 1, 5000, "x") + chunked)
                    .getBytes(StandardCharsets.ISO_8859_1));
            suspended.resume();
            assertEquals(RelayFixture.readResponse(socket).status(), 202);
            assertEquals(RelayFixture.readResponse(socket).status(), 202);
        }
    }

    /**
     * Guards against refusing a request as incomplete that was received in time, but not read yet, since the relay
     * was suspended.
     */
    @Test
    public void requestReceivedInTimeIsNotRefusedAfterAStandstill() throws Exception {
        String request = RelayFixture.messageRequest("st1", "status", 1, 7_900, "x");
        try (Socket socket = fixture.connect()) {
            socket.getOutputStream().write(request.substring(0, 20).getBytes(StandardCharsets.ISO_8859_1));
            RelayFixture.pause(300);
            SuspendedRelay suspended = new SuspendedRelay(fixture);
            socket.getOutputStream().write(request.substring(20).getBytes(StandardCharsets.ISO_8859_1));
            RelayFixture.pause(2_500);
            suspended.resume();
            assertEquals(RelayFixture.readResponse(socket).status(), 202);
        }
    }

    /** Guards against a deadlock with a client that sends its body only after the response 100 Continue. */
    @Test
    public void requestsTheBodyOfAClientThatExpectsContinue() throws Exception {
        try (Socket socket = fixture.connect()) {
            String head = "POST /status HTTP/1.1\r\n" + FIELDS.replace("x1", "w1")
                + "Expect: 100-continue\r\n"
                + "Content-Length: 2\r\n\r\n";
            assertEquals(RelayFixture.exchange(socket, head).status(), 100);
            assertEquals(RelayFixture.exchange(socket, "ok").status(), 202);
        }
    }

    /** Guards against a connection that is occupied without limit by an incomplete request. */
    @Test
    public void incompleteRequestTimesOut() throws Exception {
        try (Socket socket = fixture.connect()) {
            assertEquals(RelayFixture.exchange(socket, "POST /status HTTP/1.1\r\nRequest-Id: s").status(),
                408);
            assertTrue(RelayFixture.isClosedWithin(socket, 2000));
        }
    }

    /**
     * Guards against sending a message whose client closed its connection before the relay read the request.
     * That client gets no response, and will submit the message again.
     */
    @Test
    public void messageOfAClientThatHasGoneIsNotSent() throws Exception {
        // The relay is suspended, so that it finds the request and the end of the connection at once.
        SuspendedRelay suspended = new SuspendedRelay(fixture);
        try (Socket socket = fixture.connect()) {
            socket.getOutputStream().write(RelayFixture.messageRequest("l1", "order", 1, 5000, "x")
                .getBytes(StandardCharsets.ISO_8859_1));
        }
        suspended.resume();
        assertEquals(fixture.submit("l2", "order", 1, 5000), 202);
        RelayFixture.waitUntil("the next message is delivered", 2000,
            () -> endpoint.requests.stream().anyMatch(call -> "l2".equals(call.id())));
        Thread.sleep(200);
        assertTrue(endpoint.requests.stream().noneMatch(call -> "l1".equals(call.id())),
            "sent although its client had gone");
    }

    /** Guards against memory exhaustion by clients that each send most of a large body and then wait. */
    @Test
    public void incompleteBodiesOnManyConnectionsDoNotExhaustMemory() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        byte[] incomplete = RelayFixture.messageRequest("h", "status", 1, 5000, "h".repeat(65_000))
            .substring(0, 62_000)
            .getBytes(StandardCharsets.ISO_8859_1);
        try (RelayFixture crowdedFixture = new RelayFixture()) {
            crowdedFixture.addEndpoint(1, request -> OK);
            crowdedFixture.start();
            for (int i = 0; i < 620; i++) {
                sockets.add(crowdedFixture.connect());
                try {
                    sockets.get(i).getOutputStream().write(incomplete);
                } catch (IOException closedMeanwhile) {
                    continue;
                }
            }
            assertEquals(crowdedFixture.submit("after", "status", 1, 5000), 202);
            assertTrue(crowdedFixture.process.isAlive());
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /**
     * Guards against connections that are occupied by clients that send nothing, or start a request late and
     * never complete it. A connection that has had a request stays open.
     */
    @Test
    public void silentAndSlowClientsAreDisconnectedWithinThreeSeconds() throws Exception {
        try (RelayFixture defaultFixture = new RelayFixture()) {
            defaultFixture.addEndpoint(1, request -> OK);
            defaultFixture.start();
            long startNanos = System.nanoTime();
            try (Socket silent = defaultFixture.connect();
                Socket late = defaultFixture.connect();
                Socket kept = defaultFixture.connect()) {
                assertEquals(RelayFixture.exchange(kept, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
                RelayFixture.pause(1500);
                late.getOutputStream()
                    .write("POST /status HTTP/1.1\r\nRequest-Id".getBytes(StandardCharsets.ISO_8859_1));
                assertTrue(RelayFixture.isClosedWithin(silent, 1400), "the silent connection is still open");
                assertTrue(System.nanoTime() - startNanos > 2_000_000_000L,
                    "the silent connection was closed before 2 s had passed");
                assertEquals(RelayFixture.readResponse(late).status(), 408);
                assertTrue(System.nanoTime() - startNanos < 3_000_000_000L, "the response 408 came too late");
                assertEquals(RelayFixture.exchange(kept, "GET /health/live HTTP/1.1\r\n\r\n").status(), 200);
            }
        }
    }

    /**
     * Guards against connections that are evicted although their request has arrived. The suspended relay
     * finds far more connections than its limit at once, each with a request that it has not read.
     */
    @Test
    public void connectionsWithARequestAreNotEvicted() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (RelayFixture crowdedFixture = new RelayFixture()) {
            crowdedFixture.operatorConfig = "[clients]\nconnections = 4\n";
            crowdedFixture.addEndpoint(1, request -> OK);
            crowdedFixture.start();
            SuspendedRelay suspended = new SuspendedRelay(crowdedFixture);
            for (int i = 0; i < 300; i++) {
                clients.add(crowdedFixture.connect());
                clients.get(i).getOutputStream()
                    .write(RelayFixture.messageRequest("rush" + i, "status", 1, 7900, "x")
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
            suspended.resume();
            for (int i = 0; i < clients.size(); i++) {
                int status = RelayFixture.readResponse(clients.get(i)).status();
                assertTrue(status == 202 || status == 503, "connection " + i + ": " + status);
                clients.get(i).close();
            }
        }
    }

    /** Guards against active connections that are evicted in favour of new ones that never send a request. */
    @Test
    public void silentConnectionsDoNotDisplaceActiveOnes() throws Exception {
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

    /**
     * Guards against a burst of connections that uses up the file descriptors, so that calls, notices and
     * the discovery connection can't be opened.
     */
    @Test
    public void burstOfConnectionsLeavesDescriptorsForCalls() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (RelayFixture crowdedFixture = new RelayFixture()) {
            crowdedFixture.extraLimits = ",\"sockets\":128";
            crowdedFixture.maxFileDescriptors = 128;
            RelayFixture.StubServer healthyEndpoint = crowdedFixture.addEndpoint(1, request -> OK);
            crowdedFixture.start();
            SuspendedRelay suspended = new SuspendedRelay(crowdedFixture);
            for (int i = 0; i < 400; i++) {
                clients.add(crowdedFixture.connect());
            }
            suspended.resume();
            assertEquals(crowdedFixture.submit("after", "status", 1, 5000), 202);
            RelayFixture.waitUntil("the message is delivered", 2000,
                () -> healthyEndpoint.requests.size() == 1);
            assertFalse(
                Files.readString(crowdedFixture.directory.resolve("log")).contains("Too many open files"));
        } finally {
            for (Socket socket : clients) {
                socket.close();
            }
        }
    }

    /** Guards against a relay that reads without limit what a refused client keeps sending. */
    @Test
    public void readsOnlyALimitedAmountAfterARefusal() throws Exception {
        byte[] megabyte = new byte[1 << 20];
        int sentMegabytes = 0;
        try (Socket socket = fixture.connect()) {
            assertEquals(
                RelayFixture
                    .exchange(socket,
                        "POST /status HTTP/1.1\r\n" + FIELDS + "Content-Length: 60000000\r\n\r\n")
                    .status(),
                413);
            for (; sentMegabytes < 60; sentMegabytes++) {
                socket.getOutputStream().write(megabyte);
            }
        } catch (IOException closed) {
            assertTrue(sentMegabytes < 30, sentMegabytes + " MB were read");
        }
        assertTrue(sentMegabytes < 60, "everything was read");
    }

    /**
     * Guards against a relay that exceeds its limit of connections, or reaches it and refuses new clients
     * instead of evicting idle ones.
     */
    @Test
    public void evictsIdleConnectionsInFavourOfNewOnes() throws Exception {
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
            assertTrue(open <= 4, open + " of 9 connections stayed open");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
