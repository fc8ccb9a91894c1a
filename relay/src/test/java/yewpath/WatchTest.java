package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.waitUntil;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the watch of the endpoint list: how its data is split and formatted, and how it ends. */
public final class WatchTest extends RelayFixture.RelayTest {
    private void untilListed(int destination) throws Exception {
        waitUntil("destination " + destination + " is listed", 6000,
            () -> fixture.submit("to" + destination + "-" + System.nanoTime(), "status", destination,
                7900) == 202);
    }

    /** Guards against a parser that expects one list per line: an indented list spans several lines. */
    @Test
    public void indentedListIsRead() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.start();
        fixture.publish("{\n  \"version\": 2,\n  \"full\": false,\n  \"servers\": [\n    "
            + fixture.listEntry("e9", endpoint.address(), 9, "plain", "up").replace(",", ",\n      ")
            + "\n  ]\n}");
        untilListed(9);
        fixture.publish("{ \"version\": 3, \"full\": false,\r\n\t\"servers\": [ "
            + fixture.listEntry("e8", endpoint.address(), 8, "plain", "up") + " ] } ");
        untilListed(8);
        assertFalse(fixture.hasLogged("directory.garbled"));
        assertEquals(fixture.watchRequests.size(), 1, "the watch was requested again");
    }

    /**
     * Guards against a list that is lost or used early when its bytes arrive one by one and no line end
     * follows.
     */
    @Test
    public void listSentByteByByteIsReadAtItsLastByte() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.watchKeepAlive = false;
        fixture.start();
        String line = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e9", endpoint.address(), 9, "plain", "up")
            + "]}";
        for (int index = 0; index < line.length() - 1; index++) {
            fixture.publishPart(line.substring(index, index + 1));
        }
        assertEquals(fixture.submit("early", "status", 9, 7900), 503);
        fixture.publishPart("}");
        untilListed(9);
    }

    /**
     * Guards against a lost update: a list is cut off inside, so the watch must be requested again from the
     * last valid version.
     */
    @Test
    public void truncatedListIsRequestedAgain() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.start();
        String entry = fixture.listEntry("e9", endpoint.address(), 9, "plain", "up");
        fixture.initialWatchData = "{\"version\":3,\"full\":false,\"servers\":[" + entry + "]}";
        fixture.publish(
            "{\"version\":2,\"full\":false,\"servers\":[{\"id\":\"e9\",\"ad\n{\"version\":3,\"full\":fal");
        waitUntil("the watch is requested again", 3000, () -> fixture.watchRequests.size() == 2);
        assertEquals(fixture.watchRequests.get(1).replaceAll(".*since=(\\d+).*", "$1"), "1",
            "the watch must be resumed from the last valid version");
        untilListed(9);
    }

    @DataProvider
    public Object[][] unfinishedLists() {
        return new Object[][]{{"{\"version\":", " "}, {"{\"version\":", "1"}, {"{\"name\":\"", "x"},
            {" ", " "}};
    }

    /** Guards against a watch that is kept open for good by bytes that never form a whole list. */
    @Test(dataProvider = "unfinishedLists")
    public void unfinishedListDoesNotKeepTheWatchAlive(String beginning, String rest) throws Exception {
        fixture.addEndpoint(1, request -> OK);
        fixture.operatorConfig = "[discovery]\nsilence = \"600 ms\"\n";
        fixture.watchKeepAlive = false;
        fixture.start();
        int initialCount = fixture.watchRequests.size();
        fixture.publishPart(beginning);
        waitUntil("the watch is requested again", 5000, () -> {
            fixture.publishPart(rest);
            return fixture.watchRequests.size() > initialCount;
        });
    }

    /**
     * Guards against calls by an outdated list: the list that changed while no relay ran arrives in two
     * parts, and nothing may be sent between them.
     */
    @Test
    public void nothingIsSentBeforeTheFirstListIsComplete() throws Exception {
        RelayFixture.StubServer drained = fixture.addEndpoint("e1", 1, "plain", request -> NO_RESPONSE);
        RelayFixture.StubServer other = fixture.addEndpoint("e2", 2, "plain", request -> OK);
        fixture.connectTimeoutMillis = 3_000;
        fixture.start();
        assertEquals(fixture.submit("r1", "status", 1, 7900), 202);
        waitUntil("the message is sent", 2000, () -> drained.requests.size() == 1);
        fixture.kill();
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e3", other.address(), 1, "plain", "up") + ",";
        fixture.remainingWatchData = fixture.listEntry("e1", drained.address(), 1, "plain", "draining")
            + "]}";
        // This exceeds the time limit for the rest of a response and is well below the connect timeout.
        fixture.beforeRemainingWatchData = () -> RelayFixture.pause(900);
        fixture.start();
        waitUntil("the message is delivered by the current list", 4000, () -> other.requests.size() == 1);
        assertEquals(drained.requests.size(), 1, "the message was sent by the old list");
    }

    /**
     * Guards against calls by an outdated list: the head of a watch tells nothing, and discovery may fall
     * silent before its list.
     */
    @Test
    public void headOfAWatchIsNoAnswer() throws Exception {
        RelayFixture.StubServer removed = fixture.addEndpoint("e1", 1, "plain", request -> OK);
        fixture.watchDelayMillis = 2_000;
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e1", removed.address(), 1, "plain", "removed") + "]}";
        fixture.startProcess();
        waitUntil("the relay is ready", 10_000, fixture::isReady);
        assertEquals(fixture.submit("r1", "status", 1, 7900), 202);
        waitUntil("the list is in effect", 6_000, fixture::isListCurrent);
        RelayFixture.pause(300);
        assertEquals(removed.requests.size(), 0, "a message was sent before the list arrived");
    }

    /**
     * Guards against needless requests in the mode on_request: an empty line counts as a response that
     * nothing has changed.
     */
    @Test
    public void aliveWatchIsNotRequestedAgain() throws Exception {
        fixture.discoveryMode = "on_request";
        fixture.addEndpoint(1, request -> OK);
        fixture.start();
        waitUntil("the list was requested", 2000, () -> fixture.watchRequests.size() == 1);
        // This is twice as long as the delivery policy waits for a response.
        RelayFixture.pause(6_500);
        assertEquals(fixture.watchRequests.size(), 1,
            "a watch that was alive was closed and requested again");
    }

    /**
     * Guards against a late update: discovery recovers just after an attempt to reach it started, and its
     * list must be read within 6 s.
     */
    @Test
    public void listIsReadInTimeWhenDiscoveryRecovers() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> OK);
        fixture.start();
        fixture.watchDelayMillis = -1;
        fixture.discovery.closeConnections();
        int initialCount = fixture.watchRequests.size();
        waitUntil("the watch was requested twice more", 12_000,
            () -> fixture.watchRequests.size() >= initialCount + 2);
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e9", endpoint.address(), 9, "plain", "up") + "]}";
        fixture.watchDelayMillis = 0;
        untilListed(9);
    }
}
