package yewpath.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import yewpath.standins.referee.DeliveryReferee;
import yewpath.standins.referee.DeliveryReferee.DeliverySemantics;
import yewpath.standins.referee.DeliveryReferee.DeliveryState;

/**
 * Checks message courses that violate each delivery rule, and similar ones just inside the limits that do
 * not.
 */
public final class DeliveryRefereeTest {
    private static final long MS = 1_000;
    private DeliveryReferee referee;

    /** Message r is idempotent, t is deduplicated and o is to be executed at most once. */
    @BeforeMethod
    public void submitMessages() {
        referee = new DeliveryReferee(1_000 * MS, 50 * MS);
        referee.submitted("r", "status", "relay", DeliverySemantics.IDEMPOTENT, 0, 2_000 * MS);
        referee.submitted("t", "serial", "relay", DeliverySemantics.DEDUPLICATED, 0, 2_000 * MS);
        referee.submitted("o", "order", "relay", DeliverySemantics.AT_MOST_ONCE, 0, 2_000 * MS);
        for (String id : new String[]{"r", "t", "o"}) {
            referee.clientAnswered(id, 202, 1 * MS);
        }
    }

    private void playCall(String id, long atMicros, boolean delivered) {
        referee.callArrived(id, "e", "d", atMicros, atMicros);
        referee.executed(id, atMicros);
        referee.callEnded(id, delivered, atMicros + MS);
    }

    private void assertViolations(String... expectedTexts) {
        assertEquals(referee.violations().size(), expectedTexts.length, referee.violations().toString());
        for (int i = 0; i < expectedTexts.length; i++) {
            assertTrue(referee.violations().get(i).contains(expectedTexts[i]),
                referee.violations().toString());
        }
    }

    private DeliveryState stateOf(String id) {
        return referee.messages().stream().filter(message -> message.id.equals(id)).findFirst()
            .orElseThrow().state;
    }

    @Test
    public void acceptedMessageWithoutOutcomeAfterItsDeadlineIsLost() {
        playCall("r", 10 * MS, true);
        referee.noticeReceived("t", true, 0, 1_900 * MS);
        assertEquals(referee.openCount(), 1);
        referee.checkLost(2_340 * MS);
        assertViolations();
        referee.checkLost(2_360 * MS);
        assertViolations("o (order): lost");
        assertEquals(stateOf("r"), DeliveryState.DELIVERED);
        assertEquals(stateOf("t"), DeliveryState.REJECTED);
    }

    @Test
    public void messageThatTheRelayDidNotAcceptNeedsNoOutcome() {
        referee.submitted("x", "status", "relay", DeliverySemantics.IDEMPOTENT, 0, 10 * MS);
        referee.clientAnswered("x", 503, 1 * MS);
        assertEquals(referee.openCount(), 3);
        assertEquals(stateOf("x"), DeliveryState.REJECTED);
    }

    @Test
    public void repeatedExecutionsAreJudgedByDeliverySemantics() {
        playCall("r", 10 * MS, false);
        playCall("r", 20 * MS, true);
        playCall("t", 10 * MS, false);
        playCall("t", 1_050 * MS, true);
        assertViolations();
        playCall("t", 1_070 * MS, true);
        playCall("o", 10 * MS, false);
        playCall("o", 20 * MS, true);
        assertViolations("t (serial): takes effect twice", "o (order): takes effect twice");
    }

    @Test
    public void concurrentAttemptsAreDetectedAcrossEndpoints() {
        referee.callArrived("r", "e", "d", 0, 10 * MS);
        referee.callEnded("r", false, 20 * MS);
        referee.callArrived("r", "f", "d", 0, 20 * MS);
        assertViolations();
        referee.callArrived("r", "e", "d", 0, 21 * MS);
        referee.callEnded("r", false, 60 * MS);
        assertViolations();
        referee.callArrived("r", "e", "d", 0, 100 * MS);
        referee.callEnded("r", false, 200 * MS);
        referee.callArrived("o", "e", "d", 0, 100 * MS);
        referee.callArrived("o", "f", "d", 0, 100 * MS);
        referee.checkLost(300 * MS);
        assertViolations("r (status): two concurrent attempts", "o (order): two concurrent attempts");
    }

    @Test
    public void newCallToADrainingEndpointIsAViolation() {
        referee.endpointListed("e", false, 100 * MS);
        referee.callArrived("r", "e", "d", 400 * MS, 900 * MS);
        referee.callEnded("r", false, 900 * MS);
        referee.callArrived("r", "f", "d", 500 * MS, 900 * MS);
        assertViolations();
        referee.callArrived("o", "e", "d", 401 * MS, 401 * MS);
        assertViolations("301 ms after discovery listed it as not accepting calls");
        referee.endpointListed("e", true, 500 * MS);
        referee.callArrived("t", "e", "d", 900 * MS, 900 * MS);
        assertEquals(referee.violations().size(), 1);
    }

    @Test
    public void advertisedWaitBindsAllMessagesOfItsDestination() {
        referee.waitAdvertised("r", "d", 1_000 * MS, 100 * MS);
        referee.callArrived("r", "e", "d", 200 * MS, 240 * MS);
        referee.callArrived("t", "e", "other", 300 * MS, 300 * MS);
        assertViolations();
        referee.callArrived("o", "f", "d", 300 * MS, 300 * MS);
        assertViolations("before the wait advertised by d ends");
        referee.callEnded("o", false, 300 * MS);
        referee.callArrived("o", "f", "d", 1_100 * MS, 1_100 * MS);
        assertEquals(referee.violations().size(), 1);
    }

    @Test
    public void advertisedWaitBindsOnlyTheRelayThatReceivedIt() {
        referee.submitted("other", "status", "another relay", DeliverySemantics.IDEMPOTENT, 0, 2_000 * MS);
        referee.waitAdvertised("r", "d", 1_000 * MS, 100 * MS);
        referee.callArrived("other", "e", "d", 300 * MS, 300 * MS);
        assertViolations();
    }

    @Test
    public void atMostOnceMessageMustNotBeRejectedAfterItsExecution() {
        referee.noticeReceived("o", true, 0, 10 * MS);
        assertViolations();
        playCall("t", 10 * MS, false);
        referee.noticeReceived("t", true, 0, 20 * MS);
        assertViolations();
        referee.submitted("p", "order", "relay", DeliverySemantics.AT_MOST_ONCE, 0, 2_000 * MS);
        playCall("p", 10 * MS, false);
        referee.noticeReceived("p", true, 0, 20 * MS);
        referee.noticeReceived("nobody", false, 0, 20 * MS);
        referee.callArrived("none", "e", "d", 0, 0);
        assertViolations("rejected although it was executed", "no client submitted: nobody",
            "no client submitted: none");
    }
}
