package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.CLOSE_CONNECTION;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.waitUntil;

import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How long a key pauses after a call that one of its messages was part of and that ended without a response. */
public final class KeyPauseTest extends RelayFixture.RelayTest {
    private static final int PAUSE_MILLIS = 2_500;
    /** The platform extends each time limit by this much. */
    private static final int TOLERANCE_MILLIS = 50;

    @DataProvider
    public Object[][] endsOfABatch() {
        return new Object[][]{{CLOSE_CONNECTION}, {NO_RESPONSE}};
    }

    /**
     * Guards against a key that pauses from the time when its message expired during a batch call, not from
     * the end of that call, until which the endpoint may execute the message.
     */
    @Test(dataProvider = "endsOfABatch")
    public void keyPausesAfterTheBatchOfAnExpiredMessage(String endOfBatch) throws Exception {
        CountDownLatch mayEnd = new CountDownLatch(1);
        RelayFixture.StubServer endpoint = sendBatchWithAnExpiringMessage(mayEnd, endOfBatch);
        mayEnd.countDown();
        waitUntil("the batch call ends", 10_000,
            () -> endOfBatch.equals(CLOSE_CONNECTION) || !endpoint.requests.get(0).open);
        long endedAtNanos = System.nanoTime();
        assertPauseSince(endedAtNanos, endpoint);
    }

    /**
     * Guards against a restart that ends the pause of a key: the batch call of the expired message ended with
     * the killed process.
     */
    @Test
    public void keyPausesAfterARestart() throws Exception {
        CountDownLatch mayEnd = new CountDownLatch(1);
        RelayFixture.StubServer endpoint = sendBatchWithAnExpiringMessage(mayEnd, NO_RESPONSE);
        mayEnd.countDown();
        fixture.kill();
        long endedAtNanos = System.nanoTime();
        fixture.start();
        assertPauseSince(endedAtNanos, endpoint);
    }

    /**
     * Sends a batch with one message of the key that expires during the call, and submits the next message of
     * the key. The call waits for {@code mayEnd}, then ends in the given way.
     */
    private RelayFixture.StubServer sendBatchWithAnExpiringMessage(CountDownLatch mayEnd, String endOfBatch)
        throws Exception {
        Function<RelayFixture.ReceivedRequest, String> endBatch = RelayFixture.respondAfter(mayEnd,
            request -> endOfBatch);
        RelayFixture.StubServer endpoint = new RelayFixture.StubServer(
            request -> isFirstBatch(request) ? endBatch.apply(request) : OK);
        fixture.settleMillis = PAUSE_MILLIS;
        fixture.listDrainingEndpoint(1);
        fixture.start();
        assertEquals(fixture.submit("other", "order", 1, 6_000), 202);
        assertEquals(fixture.exchange(RelayFixture.keyedMessageRequest("ahead", 1_000)).status(), 202);
        assertEquals(fixture.exchange(RelayFixture.keyedMessageRequest("behind", 18_000)).status(), 202);
        fixture.listEndpoint("e1", endpoint.address(), 1);
        fixture.publish(false, fixture.listEntry("e1", endpoint.address(), 1, "bundled", "up"));
        waitUntil("both messages are sent in one call", 2_000, () -> endpoint.requests.size() == 1);
        waitUntil("the first message of the key has expired", 3_000,
            () -> fixture.hasOutcomeNotice("ahead", ""));
        // Any pause that counts from the expiry is over after that.
        RelayFixture.pause(PAUSE_MILLIS + 200);
        assertEquals(endpoint.requests.size(), 1);
        return endpoint;
    }

    private static boolean isFirstBatch(RelayFixture.ReceivedRequest request) {
        return request.requestLine.contains("bulk") && request.body.contains("\"ahead\"");
    }

    private void assertPauseSince(long endedAtNanos, RelayFixture.StubServer endpoint) throws Exception {
        waitUntil("the next message of the key is sent", 8_000,
            () -> endpoint.requests.stream().anyMatch(KeyPauseTest::carriesNextMessage));
        long sentAtNanos = endpoint.requests.stream().filter(KeyPauseTest::carriesNextMessage).findFirst()
            .orElseThrow().receivedAtNanos;
        long pausedMillis = (sentAtNanos - endedAtNanos) / 1_000_000;
        assertTrue(pausedMillis >= PAUSE_MILLIS - TOLERANCE_MILLIS, "paused for " + pausedMillis + " ms");
    }

    private static boolean carriesNextMessage(RelayFixture.ReceivedRequest request) {
        return "behind".equals(request.id()) || request.body.contains("\"behind\"");
    }
}
