package yewpath.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import yewpath.standins.referee.DeliveryReferee;
import yewpath.standins.referee.DeliveryReferee.DeliverySemantics;
import yewpath.standins.referee.DeliveryReferee.DeliveryState;

/** Lives that break each rule on purpose, and their nearest neighbours that do not. */
public final class DeliveryRefereeTest {
    private static final long MS = 1_000;
    private DeliveryReferee accounts;

    @BeforeMethod
    public void taken() {
        accounts = new DeliveryReferee(1_000 * MS, 50 * MS);
        accounts.submitted("r", "status", "relay", DeliverySemantics.IDEMPOTENT, 0, 2_000 * MS);
        accounts.submitted("t", "serial", "relay", DeliverySemantics.DEDUPLICATED, 0, 2_000 * MS);
        accounts.submitted("o", "order", "relay", DeliverySemantics.AT_MOST_ONCE, 0, 2_000 * MS);
        for (String id : new String[]{"r", "t", "o"}) {
            accounts.clientAnswered(id, 202, 1 * MS);
        }
    }

    private void call(String id, long at, boolean delivered) {
        accounts.callArrived(id, "e", "d", at, at);
        accounts.executed(id, at);
        accounts.callEnded(id, delivered, at + MS);
    }

    private void broken(String... words) {
        assertEquals(accounts.violations().size(), words.length, accounts.violations().toString());
        for (int i = 0; i < words.length; i++) {
            assertTrue(accounts.violations().get(i).contains(words[i]), accounts.violations().toString());
        }
    }

    private DeliveryState end(String id) {
        return accounts.messages().stream().filter(one -> one.id.equals(id)).findFirst().orElseThrow().state;
    }

    @Test
    public void whatHasNoEndInItsTimeIsLost() {
        call("r", 10 * MS, true);
        accounts.noticeReceived("t", true, 0, 1_900 * MS);
        assertEquals(accounts.openCount(), 1);
        accounts.checkLost(2_340 * MS);
        broken();
        accounts.checkLost(2_360 * MS);
        broken("o (order): lost");
        assertEquals(end("r"), DeliveryState.DELIVERED);
        assertEquals(end("t"), DeliveryState.REJECTED);
    }

    @Test
    public void whatWasRefusedIsNotOwed() {
        accounts.submitted("x", "status", "relay", DeliverySemantics.IDEMPOTENT, 0, 10 * MS);
        accounts.clientAnswered("x", 503, 1 * MS);
        assertEquals(accounts.openCount(), 3);
        assertEquals(end("x"), DeliveryState.REJECTED);
    }

    @Test
    public void effectsAreCountedByKind() {
        call("r", 10 * MS, false);
        call("r", 20 * MS, true);
        call("t", 10 * MS, false);
        call("t", 1_050 * MS, true);
        broken();
        call("t", 1_070 * MS, true);
        call("o", 10 * MS, false);
        call("o", 20 * MS, true);
        broken("t (serial): takes effect twice", "o (order): takes effect twice");
    }

    @Test
    public void twoShotsAtOnceAreSeenOverEndpoints() {
        accounts.callArrived("r", "e", "d", 0, 10 * MS);
        accounts.callEnded("r", false, 20 * MS);
        accounts.callArrived("r", "f", "d", 0, 20 * MS);
        broken();
        accounts.callArrived("r", "e", "d", 0, 21 * MS);
        accounts.callEnded("r", false, 60 * MS);
        broken();
        accounts.callArrived("r", "e", "d", 0, 100 * MS);
        accounts.callEnded("r", false, 200 * MS);
        accounts.callArrived("o", "e", "d", 0, 100 * MS);
        accounts.callArrived("o", "f", "d", 0, 100 * MS);
        accounts.checkLost(300 * MS);
        broken("r (status): two shots at once", "o (order): two shots at once");
    }

    @Test
    public void nothingNewAfterADrainWasTold() {
        accounts.endpointListed("e", false, 100 * MS);
        accounts.callArrived("r", "e", "d", 400 * MS, 900 * MS);
        accounts.callEnded("r", false, 900 * MS);
        accounts.callArrived("r", "f", "d", 500 * MS, 900 * MS);
        broken();
        accounts.callArrived("o", "e", "d", 401 * MS, 401 * MS);
        broken("301 ms after it was told to be closed");
        accounts.endpointListed("e", true, 500 * MS);
        accounts.callArrived("t", "e", "d", 900 * MS, 900 * MS);
        assertEquals(accounts.violations().size(), 1);
    }

    @Test
    public void aToldWaitBindsEveryEnvelopeOfItsRoute() {
        accounts.waitAdvertised("r", "d", 1_000 * MS, 100 * MS);
        accounts.callArrived("r", "e", "d", 200 * MS, 240 * MS);
        accounts.callArrived("t", "e", "other", 300 * MS, 300 * MS);
        broken();
        accounts.callArrived("o", "f", "d", 300 * MS, 300 * MS);
        broken("before a told wait of d ends");
        accounts.callEnded("o", false, 300 * MS);
        accounts.callArrived("o", "f", "d", 1_100 * MS, 1_100 * MS);
        assertEquals(accounts.violations().size(), 1);
    }

    @Test
    public void aWaitBindsTheRelayThatWasTold() {
        accounts.submitted("other", "status", "another relay", DeliverySemantics.IDEMPOTENT, 0, 2_000 * MS);
        accounts.waitAdvertised("r", "d", 1_000 * MS, 100 * MS);
        accounts.callArrived("other", "e", "d", 300 * MS, 300 * MS);
        broken();
    }

    @Test
    public void aOnceOnlyEnvelopeThatRanIsNotHandedBack() {
        accounts.noticeReceived("o", true, 0, 10 * MS);
        broken();
        call("t", 10 * MS, false);
        accounts.noticeReceived("t", true, 0, 20 * MS);
        broken();
        accounts.submitted("p", "order", "relay", DeliverySemantics.AT_MOST_ONCE, 0, 2_000 * MS);
        call("p", 10 * MS, false);
        accounts.noticeReceived("p", true, 0, 20 * MS);
        accounts.noticeReceived("nobody", false, 0, 20 * MS);
        accounts.callArrived("none", "e", "d", 0, 0);
        broken("handed back although it ran", "nobody handed in: nobody", "nobody handed in: none");
    }
}
