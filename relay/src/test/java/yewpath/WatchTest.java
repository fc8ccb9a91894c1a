package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.waitUntil;

import org.testng.annotations.Test;

/** The watch on discovery's list, in whatever pieces and forms its bytes come, and however it dies. */
public final class WatchTest extends RelayFixture.RelayTest {
    private void untilListed(int destination) throws Exception {
        waitUntil("destination " + destination + " is listed", 6000,
            () -> fixture.submit("to" + destination + "-" + System.nanoTime(), "status", destination,
                7900) == 202);
    }

    @Test
    public void anIndentedListIsTakenUpWhole() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        fixture.start();
        fixture.publish("{\n  \"version\": 2,\n  \"full\": false,\n  \"servers\": [\n    "
            + fixture.listEntry("e9", endpoint.address(), 9, "plain", "up").replace(",", ",\n      ")
            + "\n  ]\n}");
        untilListed(9);
        fixture.publish("{ \"version\": 3, \"full\": false,\r\n\t\"servers\": [ "
            + fixture.listEntry("e8", endpoint.address(), 8, "plain", "up") + " ] } ");
        untilListed(8);
        assertFalse(fixture.hasLogged("directory.garbled"));
        assertEquals(fixture.watchRequests.size(), 1, "the watch was taken up anew");
    }

    @Test
    public void aListThatComesByteByByteIsTakenUpAtItsLast() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        fixture.watchKeepAlive = false;
        fixture.start();
        String line = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e9", endpoint.address(), 9, "plain", "up")
            + "]}";
        for (int i = 0; i < line.length() - 1; i++) {
            fixture.publishPart(line.substring(i, i + 1));
        }
        assertEquals(fixture.submit("early", "status", 9, 7900), 503);
        fixture.publishPart("}");
        untilListed(9);
    }

    @Test
    public void aLineCutOffIsToldAgain() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        fixture.start();
        String entry = fixture.listEntry("e9", endpoint.address(), 9, "plain", "up");
        fixture.initialWatchData = "{\"version\":3,\"full\":false,\"servers\":[" + entry + "]}";
        fixture.publish(
            "{\"version\":2,\"full\":false,\"servers\":[{\"id\":\"e9\",\"ad\n{\"version\":3,\"full\":fal");
        waitUntil("the watch is taken up anew", 3000, () -> fixture.watchRequests.size() == 2);
        assertEquals(fixture.watchRequests.get(1).replaceAll(".*since=(\\d+).*", "$1"), "1",
            "from the version understood");
        untilListed(9);
    }

    /** Guards against a watch kept alive for good by bytes that never make up anything. */
    @Test
    public void aLineThatDripsAndNeverEndsIsNoSignOfLife() throws Exception {
        fixture.addEndpoint(1, got -> OK);
        fixture.operatorConfig = "[discovery]\nsilence = \"600 ms\"\n";
        fixture.watchKeepAlive = false;
        fixture.start();
        int watched = fixture.watchRequests.size();
        fixture.publishPart("{\"version\":");
        waitUntil("the watch is taken up anew", 5000, () -> {
            fixture.publishPart(" ");
            return fixture.watchRequests.size() > watched;
        });
    }

    /** What was told while no process ran comes in two pieces: nothing is sent in between. */
    @Test
    public void nothingIsSentBeforeTheFirstListIsWhole() throws Exception {
        RelayFixture.StubServer drained = fixture.addEndpoint("e1", 1, "plain", got -> NO_RESPONSE);
        RelayFixture.StubServer other = fixture.addEndpoint("e2", 2, "plain", got -> OK);
        fixture.connectTimeoutMillis = 3_000;
        fixture.start();
        assertEquals(fixture.submit("r1", "status", 1, 7900), 202);
        waitUntil("it is out", 2000, () -> drained.requests.size() == 1);
        fixture.kill();
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e3", other.address(), 1, "plain", "up") + ",";
        fixture.remainingWatchData = fixture.listEntry("e1", drained.address(), 1, "plain", "draining")
            + "]}";
        // Longer than an answer that has begun may take for its rest, well within what a connection may take.
        fixture.beforeRemainingWatchData = () -> RelayFixture.pause(900);
        fixture.start();
        waitUntil("it is delivered where the list of now says", 4000, () -> other.requests.size() == 1);
        assertEquals(drained.requests.size(), 1, "sent by the old list");
    }

    /** Where lists are asked for, an empty line answers as much as a list: there is no news, and nothing is asked again. */
    @Test
    public void aWatchThatLivesWithoutNewsIsNotAskedForAgain() throws Exception {
        fixture.discoveryMode = "on_request";
        fixture.addEndpoint(1, got -> OK);
        fixture.start();
        waitUntil("it was asked for", 2000, () -> fixture.watchRequests.size() == 1);
        // Twice as long as the module waits for an answer.
        RelayFixture.pause(6_500);
        assertEquals(fixture.watchRequests.size(), 1, "a living watch was dropped and asked for anew");
    }

    /** Discovery returns just after a try to reach it began: what it has is taken up 6 s after that at the latest. */
    @Test
    public void whatDiscoveryHasAtItsReturnIsTakenUpInTime() throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, got -> OK);
        fixture.start();
        fixture.watchDelayMillis = -1;
        fixture.discovery.closeConnections();
        int watched = fixture.watchRequests.size();
        waitUntil("it was tried some times", 12_000, () -> fixture.watchRequests.size() >= watched + 2);
        fixture.initialWatchData = "{\"version\":2,\"full\":false,\"servers\":["
            + fixture.listEntry("e9", endpoint.address(), 9, "plain", "up") + "]}";
        fixture.watchDelayMillis = 0;
        untilListed(9);
    }
}
