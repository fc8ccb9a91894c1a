package yewpath;

import static org.testng.Assert.assertTrue;
import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;

/**
 * The messages of one soak and their outcomes: each accepted message must have one outcome in time, and no
 * at-most-once message may be executed twice.
 */
final class SoakOutcomes {
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final long OUTCOME_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long RESTART_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_100);
    private static final int LAST_OUTCOME_MILLIS = 12_000;
    private static final Pattern NOTICE = Pattern
        .compile("\"message\":\"([^\"]+)\",\"outcome\":\"([^\"]+)\"");

    /** A message that was answered with 202. */
    private record Accepted(int relay, long deadlineNanos) {}

    final MessageRules rules = new MessageRules() {
        @Override
        void messageDelivered(String id) {
            super.messageDelivered(id);
            outcomeNanosById.putIfAbsent(id, System.nanoTime());
        }
    };
    private final Map<String, Accepted> accepted = new ConcurrentHashMap<>();
    private final Map<String, Long> outcomeNanosById = new ConcurrentHashMap<>();
    private final AtomicInteger messageCount = new AtomicInteger();
    private final AtomicLongArray readyNanos;

    /** Creates the record of a soak with this number of relays. */
    SoakOutcomes(int relayCount) {
        readyNanos = new AtomicLongArray(relayCount);
    }

    /** Returns {@code -Dsoak.seeds} seeds from {@code -Dsoak.first} on, as rows of a data provider. */
    static Object[][] seeds(int defaultCount) {
        long first = Long.getLong("soak.first", 1);
        return LongStream.range(first, first + Long.getLong("soak.seeds", defaultCount))
            .mapToObj(seed -> new Object[]{seed})
            .toArray(Object[][]::new);
    }

    /** Records that a relay is ready, so that the outcomes of restored messages are due soon. */
    void relayReady(int relay) {
        readyNanos.set(relay, System.nanoTime());
    }

    /** Records the outcomes that the platform is notified of, and acknowledges the notices. */
    String receiveNotices(RelayFixture.ReceivedRequest request) {
        for (Matcher notice = NOTICE.matcher(request.body); notice.find();) {
            if (notice.group(2).equals("handed_back") && !outcomeNanosById.containsKey(notice.group(1))) {
                rules.messageRejected(notice.group(1));
            }
            outcomeNanosById.putIfAbsent(notice.group(1), System.nanoTime());
        }
        return "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n";
    }

    /** Submits a message on an open connection to a relay; every second one is an at-most-once message. */
    void submit(Socket socket, int relay, int destination, String body) throws IOException {
        int number = messageCount.incrementAndGet();
        String id = "m" + number;
        long submittedNanos = System.nanoTime();
        int status = RelayFixture
            .exchange(socket,
                RelayFixture.messageRequest(id, number % 2 == 0 ? "order" : "status", destination,
                    TIMEOUT_MILLIS, body))
            .status();
        if (status == 202) {
            accepted.put(id,
                new Accepted(relay, submittedNanos + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS)));
        } else {
            rules.refusedToClients.add(id);
        }
    }

    /** Returns the number of messages that were answered with 202 so far. */
    int acceptedCount() {
        return accepted.size();
    }

    /** Waits for the last outcomes and checks all; at least this number of messages must have been accepted. */
    void check(long seed, int minAccepted) throws Exception {
        waitUntil("each accepted message has its outcome", LAST_OUTCOME_MILLIS,
            () -> outcomeNanosById.keySet().containsAll(accepted.keySet()));
        accepted.forEach(this::checkOutcomeInTime);
        assertTrue(rules.violations.isEmpty(), "seed " + seed + ": " + rules.violations);
        assertTrue(accepted.size() > minAccepted, "only " + accepted.size() + " messages were accepted");
    }

    /**
     * Records a violation if the outcome came later than the tolerance after the deadline, and after the
     * last restart.
     */
    private void checkOutcomeInTime(String id, Accepted message) {
        long lateNanos = outcomeNanosById.get(id) - Math.max(message.deadlineNanos + OUTCOME_TOLERANCE_NANOS,
            readyNanos.get(message.relay) + RESTART_TOLERANCE_NANOS);
        if (lateNanos > 0) {
            rules.violations
                .add(id + " had its outcome " + TimeUnit.NANOSECONDS.toMillis(lateNanos) + " ms late");
        }
    }
}
