package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static yewpath.CopyingEndpoint.BUSY;
import static yewpath.CopyingEndpoint.bulkAnswer;
import static yewpath.CopyingEndpoint.ids;
import static yewpath.CopyingEndpoint.staysOpen;
import static yewpath.CopyingEndpoint.write;
import static yewpath.Stand.OK;
import static yewpath.Stand.until;

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

/**
 * A duplicate of an earlier response arrives on a connection while its next request is in progress. The
 * relay must not take it for the response to that request.
 */
public final class StrayAnswerTest extends Stand.Tests {
    private static final String TOO_MANY_REQUESTS = "HTTP/1.1 429 X\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n";
    private static final int MESSAGE_COUNT = 30;

    private final Map<Integer, String> lastResponses = new ConcurrentHashMap<>();

    @BeforeMethod
    public void forgetResponses() {
        lastResponses.clear();
    }

    /**
     * If the connection has had a response before, sends that again and then waits, as for the work on the
     * request.
     */
    private void resendLastResponse(Stand.Server server, Stand.Got request, int workMillis) {
        String earlierResponse = lastResponses.get(request.connection);
        if (earlierResponse != null) {
            write(server, request, earlierResponse);
            Stand.pause(workMillis);
        }
    }

    /** Remembers a response as the last one of its connection, and returns it. */
    private String remember(Stand.Got request, String response) {
        lastResponses.put(request.connection, response);
        return response;
    }

    /**
     * Submits all messages and waits until each has its outcome. The set holds the ids of the messages that
     * the endpoint has executed.
     */
    private void submitAll(String messageClass, Stand.Server server, Set<String> executed) throws Exception {
        for (int i = 0; i < MESSAGE_COUNT; i++) {
            assertEquals(stand.handIn("m" + i, messageClass, 1, 5_000), 202);
            Stand.pause(15);
        }
        until("each message has its outcome", 8_000,
            () -> executed.size() + stand.notices.size() >= MESSAGE_COUNT
                && stand.figure("open") == 0 && stand.figure("notices_owed") == 0);
        assertTrue(server.got.size() >= MESSAGE_COUNT);
    }

    /** Successful responses that all have the same bytes, and ones that each have a body of their own. */
    @DataProvider
    public Object[][] successResponses() {
        Supplier<String> identical = () -> OK;
        Supplier<String> distinct = Stand::distinctOk;
        return new Object[][]{{identical}, {distinct}};
    }

    /**
     * Guards against an at-most-once message that is sent again because a duplicate of an earlier refusal is
     * taken for its response, while the endpoint executes it.
     */
    @Test(dataProvider = "successResponses")
    public void duplicateOfARefusalRepeatsNoAtMostOnceMessage(Supplier<String> success) throws Exception {
        List<String> executions = new ArrayList<>();
        Set<String> executed = ConcurrentHashMap.newKeySet();
        Stand.Server[] server = {null};
        server[0] = stand.endpoint(1, request -> {
            boolean isRefused = !lastResponses.containsKey(request.connection)
                && server[0].posts().size() % 4 == 1;
            if (isRefused) {
                return remember(request, BUSY);
            }
            synchronized (executions) {
                executions.add(request.id());
            }
            executed.add(request.id());
            resendLastResponse(server[0], request, 100);
            return remember(request, success.get());
        });
        stand.start();
        submitAll("order", server[0], executed);
        assertEquals(executions.size(), Set.copyOf(executions).size(),
            "executed more than once: " + executions);
    }

    /**
     * Guards against a message that is lost because a duplicate of an earlier success is taken for its
     * response, while the endpoint refuses it.
     */
    @Test(dataProvider = "successResponses")
    public void duplicateOfASuccessDoesNotCompleteARefusedMessage(Supplier<String> success) throws Exception {
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        Stand.Server[] server = {null};
        server[0] = stand.endpoint(1, request -> {
            if (lastResponses.containsKey(request.connection)) {
                resendLastResponse(server[0], request, 60);
                return TOO_MANY_REQUESTS;
            }
            delivered.add(request.id());
            return remember(request, success.get());
        });
        stand.start();
        for (int i = 0; i < MESSAGE_COUNT; i++) {
            assertEquals(stand.handIn("m" + i, "status", 1, 3_000), 202);
            Stand.pause(15);
        }
        until("no message is open and no notice unacknowledged", 6_000,
            () -> stand.figure("open") == 0 && stand.figure("notices_owed") == 0);
        for (int i = 0; i < MESSAGE_COUNT; i++) {
            String id = "m" + i;
            assertTrue(delivered.contains(id) || stand.ended(id, "outcome"), id + " has no outcome");
        }
    }

    /**
     * Guards against two attempts of one message at the same time: a duplicate is taken for the response to
     * a batch whose call is still in progress, and its messages are sent again.
     */
    @Test
    public void duplicateDuringABatchStartsNoConcurrentAttempt() throws Exception {
        Map<String, Integer> inProgress = new ConcurrentHashMap<>();
        List<String> concurrent = new ArrayList<>();
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        Stand.Server[] server = {null};
        server[0] = stand.endpoint("e1", 1, "bundled", request -> {
            List<String> ids = ids(request);
            for (String id : ids) {
                if (inProgress.merge(id, 1, Integer::sum) > 1) {
                    concurrent.add(id);
                }
            }
            boolean sendsDuplicate = server[0].posts().size() % 3 == 0
                && lastResponses.containsKey(request.connection);
            if (sendsDuplicate) {
                write(server[0], request, lastResponses.get(request.connection));
            }
            boolean open = staysOpen(server[0], request, 300);
            ids.forEach(id -> inProgress.merge(id, -1, Integer::sum));
            if (!open) {
                return Stand.CUT;
            }
            delivered.addAll(ids);
            return remember(request, ids.size() == 1 && !request.line.contains("bulk") ? OK
                : bulkAnswer(ids.stream().collect(Collectors.toMap(id -> id, id -> "done"))));
        });
        stand.start();
        for (int i = 0; i < 2 * MESSAGE_COUNT; i++) {
            assertEquals(stand.handIn("m" + i, "status", 1, 6_000), 202);
            Stand.pause(15);
        }
        until("all messages are delivered", 8_000, () -> delivered.size() == 2 * MESSAGE_COUNT);
        assertEquals(concurrent, List.of(), "two attempts at the same time");
    }

    /**
     * Guards against a notice that is lost because a duplicate of an earlier acknowledgement is taken for
     * the response to it, while the platform rejects it.
     */
    @Test
    public void duplicateOfAnAcknowledgementDropsNoNotice() throws Exception {
        String noContent = "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n";
        String serverError = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n";
        Set<String> acknowledged = ConcurrentHashMap.newKeySet();
        stand.endpoint(1, request -> "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        stand.onNotice = request -> {
            if (lastResponses.containsKey(request.connection)) {
                resendLastResponse(stand.discovery, request, 60);
                return serverError;
            }
            acknowledged.add(request.body);
            return remember(request, noContent);
        };
        stand.start();
        for (int i = 0; i < 10; i++) {
            assertEquals(stand.handIn("n" + i, "order", 1, 3_000), 202);
            Stand.pause(40);
        }
        until("no message is open and no notice unacknowledged", 5_000,
            () -> stand.figure("open") == 0 && stand.figure("notices_owed") == 0);
        for (int i = 0; i < 10; i++) {
            String id = '"' + "n" + i + '"';
            assertTrue(acknowledged.stream().anyMatch(body -> body.contains(id)),
                id + " was never acknowledged");
        }
    }

    /**
     * {@code -Dstray.seeds} seeds from {@code -Dstray.first} on; every second one is played with calls of
     * several messages.
     */
    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(0, Long.getLong("stray.seeds", 5))
            .map(seed -> seed + Long.getLong("stray.first", 1))
            .mapToObj(seed -> new Object[]{seed, seed % 2 == 0 ? "bundled" : "plain"})
            .toArray(Object[][]::new);
    }

    /**
     * Guards against the same errors with duplicates of any earlier response on the connection, which come
     * before, during or after the work on a request, as drawn from the seed.
     */
    @Test(dataProvider = "seeds")
    public void duplicatesAtAnyTimeViolateNoRule(long seed, String kind) throws Exception {
        stand.holdMost = 200;
        MessageRules rules = new MessageRules();
        CopyingEndpoint.listed(stand, "e1", 1, kind, seed, rules);
        stand.start();
        for (int i = 0; i < 2 * MESSAGE_COUNT; i++) {
            assertEquals(stand.handIn("m" + i, i % 2 == 0 ? "order" : "status", 1, 3_000), 202);
            Stand.pause(10);
        }
        until("no message is open and no notice unacknowledged", 8_000,
            () -> stand.figure("open") == 0 && stand.figure("notices_owed") == 0);
        assertEquals(rules.broken, List.of());
        for (int i = 0; i < 2 * MESSAGE_COUNT; i++) {
            String id = "m" + i;
            assertTrue(rules.delivered.contains(id) || stand.ended(id, "outcome"), id + " has no outcome");
        }
    }
}
