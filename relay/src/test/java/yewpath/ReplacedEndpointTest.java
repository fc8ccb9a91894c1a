package yewpath;

import static org.testng.Assert.assertEquals;
import static yewpath.RelayFixture.NO_RESPONSE;
import static yewpath.RelayFixture.uniqueOk;
import static yewpath.RelayFixture.waitUntil;

import java.util.List;
import org.testng.annotations.Test;

/** Tests what happens when a new process comes up at the address of an endpoint that has gone. */
public final class ReplacedEndpointTest extends RelayFixture.RelayTest {
    private static final List<String> CLASSES = List.of("status", "order", "serial");

    /**
     * Guards against a new process that is taken for the old one: messages of the old destination must not reach
     * it, and a once-only message whose call was open must not be sent again.
     */
    @Test
    public void processOfAnotherDestinationGetsNoMessageOfTheOldOne() throws Exception {
        RelayFixture.StubServer old = fixture.addEndpoint("e1", 1, "plain",
            request -> request.id().startsWith("open") ? NO_RESPONSE : uniqueOk());
        fixture.listDrainingEndpoint(2);
        fixture.start();
        for (String messageClass : CLASSES) {
            assertEquals(fixture.submit("first-" + messageClass, messageClass, 1, 15_000), 202);
        }
        waitUntil("the first messages are delivered", 3_000, () -> fixture.statistic("fulfilled") == 3);
        assertEquals(fixture.submit("open", "order", 1, 15_000), 202);
        waitUntil("the call is open", 3_000, () -> old.requests.size() == 4);
        int port = old.port();
        old.close();
        RelayFixture.StubServer other = new RelayFixture.StubServer(request -> uniqueOk());
        try (RelayFixture.StubServer replacement = new RelayFixture.StubServer(request -> uniqueOk(), port)) {
            fixture.publish(false, fixture.listEntry("e1", replacement.address(), 1, "plain", "removed"),
                fixture.listEntry("e9", replacement.address(), 2, "plain", "up"),
                fixture.listEntry("e8", other.address(), 1, "plain", "up"));
            waitUntil("the list is in use", 3_000, () -> fixture.submit("probe", "status", 2, 7_900) == 202);
            for (String messageClass : CLASSES) {
                assertEquals(fixture.submit("old-" + messageClass, messageClass, 1, 15_000), 202);
                assertEquals(fixture.submit("new-" + messageClass, messageClass, 2, 15_000), 202);
            }
            waitUntil("all messages are delivered", 8_000,
                () -> other.requests.size() == 3 && replacement.requests.size() == 4);
            waitUntil("the open call has its outcome", 3_000,
                () -> fixture.hasOutcomeNotice("open", "given_up"));
            assertEquals(replacement.requests.stream().filter(request -> !request.id().startsWith("new"))
                .map(RelayFixture.ReceivedRequest::id).toList(), List.of("probe"));
        }
        other.close();
    }
}
