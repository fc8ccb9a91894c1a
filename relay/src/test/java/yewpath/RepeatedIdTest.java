package yewpath;

import static org.testng.Assert.assertEquals;
import static yewpath.RelayFixture.CLOSE_CONNECTION;
import static yewpath.RelayFixture.waitUntil;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests under the id of a message that was accepted before and has ended since. */
public final class RepeatedIdTest extends RelayFixture.RelayTest {
    private static final int WITHIN_MILLIS = 7_000;

    @DataProvider
    public Object[][] messageClasses() {
        return new Object[][]{{"order"}, {"status"}, {"serial"}};
    }

    /** Guards against a delivered message that is accepted and executed again when its id is repeated. */
    @Test(dataProvider = "messageClasses")
    public void repeatOfADeliveredMessageIsNotSent(String messageClass) throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> RelayFixture.uniqueOk());
        fixture.start();
        assertEquals(fixture.submit("m1", messageClass, 1, WITHIN_MILLIS), 202);
        waitUntil("the message is delivered", 2_000, () -> fixture.statistic("open") == 0);
        assertEquals(submitAgain("m1", messageClass), 202);
        assertSentOnce(endpoint);
    }

    /** Guards against a message that failed and is attempted again when its id is repeated. */
    @Test
    public void repeatOfAFailedMessageIsNotSent() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> CLOSE_CONNECTION);
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, WITHIN_MILLIS), 202);
        waitUntil("the failure is reported", 2_000, () -> fixture.hasOutcomeNotice("m1", "given_up"));
        endpoint.responder = request -> RelayFixture.uniqueOk();
        assertEquals(submitAgain("m1", "order"), 202);
        assertSentOnce(endpoint);
    }

    /**
     * Guards against attempts for a message that was already reported as rejected. The client learns that it
     * is not accepted.
     */
    @Test
    public void repeatOfARejectedMessageIsRefused() throws Exception {
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("m1", "status", 1, 500), 202);
        waitUntil("the rejection is reported", 2_000, () -> fixture.hasOutcomeNotice("m1", "handed_back"));
        RelayFixture.StubServer endpoint = new RelayFixture.StubServer(request -> RelayFixture.uniqueOk());
        fixture.publish(false, fixture.listEntry("e2", endpoint.address(), 1, "plain", "up"));
        waitUntil("the new endpoint is in use", 2_000,
            () -> fixture.submit("m" + System.nanoTime(), "status", 1, WITHIN_MILLIS) == 202
                && !endpoint.requests.isEmpty());
        assertEquals(submitAgain("m1", "status"), 503);
        RelayFixture.pause(300);
        assertEquals(endpoint.requests.stream().filter(request -> "m1".equals(request.id())).count(), 0);
        endpoint.close();
    }

    /** Guards against a refused message that can't be submitted again under the same id. */
    @Test
    public void repeatOfARefusedMessageIsAccepted() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> RelayFixture.uniqueOk());
        fixture.start();
        assertEquals(fixture.submit("m1", "status", 9, WITHIN_MILLIS), 503);
        assertEquals(fixture.submit("m1", "status", 1, WITHIN_MILLIS), 202);
        waitUntil("the message is delivered", 2_000, () -> endpoint.requests.size() == 1);
    }

    /**
     * Guards against 202 for a repeat of a message that is not accepted after all: both requests are read in one
     * round, at whose end the ledger can't be written.
     */
    @Test
    public void repeatInTheRoundOfAFailedWriteIsRefused() throws Exception {
        FaultShim shim = new FaultShim(fixture);
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> RelayFixture.uniqueOk());
        fixture.start();
        try (Socket first = fixture.connect(); Socket second = fixture.connect()) {
            SuspendedRelay suspended = new SuspendedRelay(fixture);
            shim.failSystemCalls("write=" + FaultShim.ENOSPC, "open=" + FaultShim.ENOSPC);
            byte[] request = RelayFixture.messageRequest("m1", "order", 1, WITHIN_MILLIS, "x").getBytes();
            first.getOutputStream().write(request);
            second.getOutputStream().write(request);
            suspended.resume();
            assertEquals(RelayFixture.readResponse(first).status(), 503);
            assertEquals(RelayFixture.readResponse(second).status(), 503);
            shim.clearFaults();
        }
        waitUntil("the relay accepts messages again", 2_000, fixture::isReady);
        assertEquals(fixture.submit("m1", "order", 1, WITHIN_MILLIS), 202);
        waitUntil("the message is delivered", 2_000, () -> endpoint.requests.size() == 1);
    }

    @DataProvider
    public Object[][] signals() {
        return new Object[][]{{"KILL"}, {"TERM"}};
    }

    /** Guards against a restart that forgets which messages have ended. */
    @Test(dataProvider = "signals")
    public void repeatAfterARestartIsNotSent(String signal) throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> RelayFixture.uniqueOk());
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, WITHIN_MILLIS), 202);
        waitUntil("the message is delivered", 2_000, () -> fixture.statistic("open") == 0);
        fixture.signal(signal);
        fixture.process.waitFor(5, TimeUnit.SECONDS);
        fixture.start();
        assertEquals(submitAgain("m1", "order"), 202);
        assertSentOnce(endpoint);
    }

    /** Guards against a message whose notice is still owed after a restart and that is executed again. */
    @Test
    public void repeatOfAMessageWithAnOwedNoticeIsNotSentAfterARestart() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> CLOSE_CONNECTION);
        fixture.noticeStatus = 500;
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, WITHIN_MILLIS), 202);
        waitUntil("a notice is sent", 2_000, () -> !fixture.discovery.postRequests().isEmpty());
        fixture.kill();
        endpoint.responder = request -> RelayFixture.uniqueOk();
        fixture.start();
        assertEquals(submitAgain("m1", "order"), 202);
        assertSentOnce(endpoint);
    }

    /**
     * Guards against 202 for a request whose message is neither accepted nor ended by a notice: another client's
     * message has the same id.
     */
    @Test(dataProvider = "messageClasses")
    public void anotherMessageUnderTheSameIdIsRefused(String messageClass) throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1,
            RelayFixture.respondAfter(mayAnswer, request -> RelayFixture.uniqueOk()));
        fixture.start();
        assertEquals(fixture.submit("m1", messageClass, 1, WITHIN_MILLIS), 202);
        waitUntil("the message is sent", 2_000, () -> endpoint.requests.size() == 1);
        assertEquals(submitAnother("m1", messageClass), 409);
        assertEquals(submitAgain("m1", messageClass), 202);
        mayAnswer.countDown();
        waitUntil("the message is delivered", 2_000, () -> fixture.statistic("open") == 0);
        assertEquals(submitAnother("m1", messageClass), 409);
        assertSentOnce(endpoint);
    }

    /** Guards against a restart that forgets the content of messages that have ended. */
    @Test(dataProvider = "signals")
    public void anotherMessageIsRefusedAfterARestart(String signal) throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1,
            request -> "m1".equals(request.id()) ? RelayFixture.uniqueOk() : CLOSE_CONNECTION);
        fixture.noticeStatus = 500;
        fixture.start();
        assertEquals(fixture.submit("m1", "order", 1, WITHIN_MILLIS), 202);
        assertEquals(fixture.submit("m2", "order", 1, WITHIN_MILLIS), 202);
        waitUntil("the messages have ended", 2_000, () -> !fixture.discovery.postRequests().isEmpty());
        for (int restarts = 0; restarts < 2; restarts++) {
            fixture.signal(signal);
            fixture.process.waitFor(5, TimeUnit.SECONDS);
            fixture.start();
            for (String id : List.of("m1", "m2")) {
                assertEquals(submitAnother(id, "order"), 409, id);
                assertEquals(submitAgain(id, "order"), 202, id);
            }
        }
        RelayFixture.pause(300);
        assertEquals(endpoint.requests.size(), 2, "a message was sent again");
    }

    private int submitAgain(String id, String messageClass) throws Exception {
        return fixture.submit(id, messageClass, 1, WITHIN_MILLIS);
    }

    private int submitAnother(String id, String messageClass) throws Exception {
        return fixture.exchange(
            RelayFixture.messageRequest(id, messageClass, 1, WITHIN_MILLIS, "another body")).status();
    }

    private static void assertSentOnce(RelayFixture.StubServer endpoint) {
        RelayFixture.pause(300);
        assertEquals(endpoint.requests.size(), 1, "the message was sent again");
    }
}
