package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.CopyingEndpoint.SERVICE_UNAVAILABLE;
import static yewpath.CopyingEndpoint.bulkResponse;
import static yewpath.CopyingEndpoint.messageIds;
import static yewpath.CopyingEndpoint.staysOpen;
import static yewpath.CopyingEndpoint.writeRaw;
import static yewpath.RelayFixture.OK;
import static yewpath.RelayFixture.waitUntil;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A second copy of an earlier answer comes while the next request on that connection is out. */
public final class StrayAnswerTest extends RelayFixture.RelayTest {
    private static final String WAIT = "HTTP/1.1 429 X\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n";
    private static final int MESSAGES = 30;

    private final Map<Integer, String> lastAnswers = new ConcurrentHashMap<>();

    @BeforeMethod
    public void forgetAnswers() {
        lastAnswers.clear();
    }

    /** Where the connection has had an answer before, sends that once more and works on for a while. */
    private void repeatLastAnswer(RelayFixture.StubServer server, RelayFixture.ReceivedRequest got,
        int workMs) {
        String earlier = lastAnswers.get(got.connectionNumber);
        if (earlier != null) {
            writeRaw(server, got, earlier);
            RelayFixture.pause(workMs);
        }
    }

    private String answer(RelayFixture.ReceivedRequest got, String bytes) {
        lastAnswers.put(got.connectionNumber, bytes);
        return bytes;
    }

    /** Of what runs: a message is read and answered with 200, whoever hears that. */
    private void handInAll(String offering, RelayFixture.StubServer server, Set<String> over)
        throws Exception {
        for (int i = 0; i < MESSAGES; i++) {
            assertEquals(fixture.submit("m" + i, offering, 1, 5_000), 202);
            RelayFixture.pause(15);
        }
        waitUntil("each has its end", 8_000, () -> over.size() + fixture.notices.size() >= MESSAGES
            && fixture.statistic("open") == 0 && fixture.statistic("notices_owed") == 0);
        assertTrue(server.requests.size() >= MESSAGES);
    }

    /** Answers that are all the same bytes, and such of which each has its own. */
    @DataProvider
    public Object[][] successes() {
        Supplier<String> alike = () -> OK;
        Supplier<String> distinct = RelayFixture::uniqueOk;
        return new Object[][]{{alike}, {distinct}};
    }

    @Test(dataProvider = "successes")
    public void aCopyOfARefusalDoesNotSendAnOnceOnlyMessageAgain(Supplier<String> success) throws Exception {
        List<String> ran = new ArrayList<>();
        Set<String> over = ConcurrentHashMap.newKeySet();
        RelayFixture.StubServer[] server = {null};
        server[0] = fixture.addEndpoint(1, got -> {
            boolean refuses = !lastAnswers.containsKey(got.connectionNumber)
                && server[0].postRequests().size() % 4 == 1;
            if (refuses) {
                return answer(got, SERVICE_UNAVAILABLE);
            }
            synchronized (ran) {
                ran.add(got.id());
            }
            over.add(got.id());
            repeatLastAnswer(server[0], got, 100);
            return answer(got, success.get());
        });
        fixture.start();
        handInAll("order", server[0], over);
        assertEquals(ran.size(), Set.copyOf(ran).size(), "run more than once: " + ran);
    }

    @Test(dataProvider = "successes")
    public void aCopyOfASuccessDoesNotEndAMessageThatWasRefused(Supplier<String> success) throws Exception {
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        RelayFixture.StubServer[] server = {null};
        server[0] = fixture.addEndpoint(1, got -> {
            if (lastAnswers.containsKey(got.connectionNumber)) {
                repeatLastAnswer(server[0], got, 60);
                return WAIT;
            }
            delivered.add(got.id());
            return answer(got, success.get());
        });
        fixture.start();
        for (int i = 0; i < MESSAGES; i++) {
            assertEquals(fixture.submit("m" + i, "status", 1, 3_000), 202);
            RelayFixture.pause(15);
        }
        waitUntil("nothing is held any more", 6_000,
            () -> fixture.statistic("open") == 0 && fixture.statistic("notices_owed") == 0);
        for (int i = 0; i < MESSAGES; i++) {
            String id = "m" + i;
            assertTrue(delivered.contains(id) || fixture.hasOutcomeNotice(id, "outcome"), id + " is lost");
        }
    }

    @Test
    public void aCopyInCallsOfSeveralLeavesNoTwoAttemptsOut() throws Exception {
        Map<String, Integer> out = new ConcurrentHashMap<>();
        List<String> twice = new ArrayList<>();
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        RelayFixture.StubServer[] server = {null};
        server[0] = fixture.addEndpoint("e1", 1, "bundled", got -> {
            List<String> ids = messageIds(got);
            for (String id : ids) {
                if (out.merge(id, 1, Integer::sum) > 1) {
                    twice.add(id);
                }
            }
            boolean strays = server[0].postRequests().size() % 3 == 0
                && lastAnswers.containsKey(got.connectionNumber);
            if (strays) {
                writeRaw(server[0], got, lastAnswers.get(got.connectionNumber));
            }
            boolean open = staysOpen(server[0], got, 300);
            ids.forEach(id -> out.merge(id, -1, Integer::sum));
            if (!open) {
                return RelayFixture.CLOSE_CONNECTION;
            }
            delivered.addAll(ids);
            return answer(got, ids.size() == 1 && !got.requestLine.contains("bulk") ? OK
                : bulkResponse(ids.stream().collect(Collectors.toMap(id -> id, id -> "done"))));
        });
        fixture.start();
        for (int i = 0; i < 2 * MESSAGES; i++) {
            assertEquals(fixture.submit("m" + i, "status", 1, 6_000), 202);
            RelayFixture.pause(15);
        }
        waitUntil("all delivered", 8_000, () -> delivered.size() == 2 * MESSAGES);
        assertEquals(twice, List.of(), "out twice at once");
    }

    @Test
    public void aCopyOfAnAcknowledgementDoesNotSwallowANotice() throws Exception {
        String heard = "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n";
        String unheard = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n";
        Set<String> acknowledged = ConcurrentHashMap.newKeySet();
        fixture.addEndpoint(1, got -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        fixture.noticeResponder = got -> {
            if (lastAnswers.containsKey(got.connectionNumber)) {
                repeatLastAnswer(fixture.discovery, got, 60);
                return unheard;
            }
            acknowledged.add(got.body);
            return answer(got, heard);
        };
        fixture.start();
        for (int i = 0; i < 10; i++) {
            assertEquals(fixture.submit("n" + i, "order", 1, 3_000), 202);
            RelayFixture.pause(40);
        }
        waitUntil("none is owed any more", 5_000,
            () -> fixture.statistic("open") == 0 && fixture.statistic("notices_owed") == 0);
        for (int i = 0; i < 10; i++) {
            String id = '"' + "n" + i + '"';
            assertTrue(acknowledged.stream().anyMatch(body -> body.contains(id)), id + " was never heard");
        }
    }

    /** As many as {@code -Dstray.seeds} asks for, from {@code -Dstray.first} on; every second one with calls of several messages. */
    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(0, Long.getLong("stray.seeds", 5))
            .map(seed -> seed + Long.getLong("stray.first", 1))
            .mapToObj(seed -> new Object[]{seed, seed % 2 == 0 ? "bundled" : "plain"})
            .toArray(Object[][]::new);
    }

    /** Copies of any earlier answer on the connection, ahead of the true one, in the middle of the work or behind it. */
    @Test(dataProvider = "seeds")
    public void copiesAtAnyTimeBreakNoRule(long seed, String kind) throws Exception {
        fixture.maxOpenMessages = 200;
        MessageRules rules = new MessageRules();
        CopyingEndpoint.addTo(fixture, "e1", 1, kind, seed, rules);
        fixture.start();
        for (int i = 0; i < 2 * MESSAGES; i++) {
            assertEquals(fixture.submit("m" + i, i % 2 == 0 ? "order" : "status", 1, 3_000), 202);
            RelayFixture.pause(10);
        }
        waitUntil("nothing is held any more", 8_000,
            () -> fixture.statistic("open") == 0 && fixture.statistic("notices_owed") == 0);
        assertEquals(rules.violations, List.of());
        for (int i = 0; i < 2 * MESSAGES; i++) {
            String id = "m" + i;
            assertTrue(rules.delivered.contains(id) || fixture.hasOutcomeNotice(id, "outcome"),
                id + " is lost");
        }
    }
}
