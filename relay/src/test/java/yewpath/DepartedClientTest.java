package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.uniqueOk;
import static yewpath.RelayFixture.waitUntil;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what happens to the requests of a client that has closed its connection before they were read. */
public final class DepartedClientTest extends RelayFixture.RelayTest {
    private static final int REQUESTS = 200;
    /** The close is not known before the answer to the first request has met a closed connection. */
    private static final int MAX_SENT = 2;

    @DataProvider
    public Object[][] departures() {
        return new Object[][]{{"status", false}, {"status", true}, {"order", false}, {"order", true},
            {"serial", false}, {"serial", true}};
    }

    /**
     * Guards against requests that are sent on although their client left before they were read, and against an
     * id that is sent twice when it comes again. The relay stands still until the client has left.
     */
    @Test(dataProvider = "departures")
    public void unreadRequestsAreNotSentOn(String messageClass, boolean resets) throws Exception {
        RelayFixture.StubServer endpoint = fixture.addEndpoint(1, request -> uniqueOk());
        fixture.maxOpenMessages = 1_000;
        fixture.start();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS; i++) {
            requests.append(RelayFixture.messageRequest("m" + i, messageClass, 1, 7_000, "x"));
        }
        SuspendedRelay suspended = new SuspendedRelay(fixture);
        try (Socket client = fixture.connect()) {
            client.getOutputStream().write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
            client.setSoLinger(resets, 0);
        }
        suspended.resume();
        assertEquals(fixture.submit("m100", messageClass, 1, 7_000), 202);
        waitUntil("the message that came again is delivered", 3_000,
            () -> receivedIds(endpoint).contains("m100"));
        RelayFixture.pause(500);
        List<String> received = receivedIds(endpoint);
        assertTrue(received.size() <= MAX_SENT + 1, "sent although their client had left: " + received);
        assertEquals(new HashSet<>(received).size(), received.size(), received.toString());
    }

    private static List<String> receivedIds(RelayFixture.StubServer endpoint) {
        return endpoint.requests.stream().map(RelayFixture.ReceivedRequest::id).filter(Objects::nonNull)
            .toList();
    }
}
