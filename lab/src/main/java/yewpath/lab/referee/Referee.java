package yewpath.lab.referee;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the delivery rules on the events of a run: every submission, call, execution, answer, advertised
 * wait and change of the endpoint list. It reports the first violations together with the events of the
 * message that led to them, and counts all of them.
 *
 * <p> Messages, endpoints, relays and keys are identified by small indices, and the state of messages is kept
 * in flat arrays, for runs with millions of them. All times are microseconds from the start of the run. The
 * referee does no input or output and draws no random numbers. Not thread-safe.
 */
public final class Referee {
    /** The rules in the order of their numbers. The names are part of the reported violations. */
    public enum Rule {
        /** An accepted message has an outcome in time. */
        LOST,
        /** A message takes effect once where its delivery semantics demand it. */
        TWICE,
        /** At most one attempt of a message is at an endpoint at any time. */
        AT_ONCE,
        /** No call is sent to an endpoint that was reported as draining. */
        DRAIN,
        /** An endpoint that warms up after an outage does not collapse under the calls of the relays. */
        PUSHED_OVER,
        /** At most one message of an ordering key is at an endpoint at any time. */
        ORDER,
        /** No call arrives before a wait advertised by the destination has ended. */
        WAIT
    }

    /**
     * Thrown when a rule is violated in a run that stops at the first violation; the message holds the trace.
     */
    public static final class RuleViolation extends RuntimeException {
        private static final long serialVersionUID = 1L;
        public final transient Rule rule;

        RuleViolation(Rule rule, String message) {
            super(message, null, false, false);
            this.rule = rule;
        }
    }

    /** Types of events in a trace; a trace shows these names. */
    private enum TraceEvent {
        HANDED_IN,
        TAKEN,
        REFUSED,
        SENT,
        ARRIVED,
        RAN,
        CALL_OVER,
        FULFILLED,
        DEFERRED,
        ABORTED,
        RESTORED
    }

    /** How often a message may take effect. */
    public enum DeliverySemantics {
        /** The message may take effect any number of times. */
        IDEMPOTENT("repeatable"),
        /**
         * Endpoints recognize a repeated message for a limited time and execute it only once within that
         * time.
         */
        DEDUPLICATED("tagged"),
        /** The message may take effect at most once. */
        AT_MOST_ONCE("once-only");

        private final String word;

        DeliverySemantics(String word) {
            this.word = word;
        }

        /**
         * Returns the semantics with this name in scenario files: repeatable, tagged or once-only.
         *
         * @throws IllegalArgumentException for any other word
         */
        public static DeliverySemantics ofWord(String word) {
            for (DeliverySemantics semantics : values()) {
                if (semantics.word.equals(word)) {
                    return semantics;
                }
            }
            throw new IllegalArgumentException(
                "delivery semantics must be repeatable, tagged or once-only, found " + word);
        }
    }

    /** A map for each relay. */
    private static final class MapPerRelay<T> {
        private final List<Map<Integer, T>> maps = new ArrayList<>();

        Map<Integer, T> of(int relay) {
            while (maps.size() <= relay) {
                maps.add(new HashMap<>());
            }
            return maps.get(relay);
        }
    }

    /** Two attempts of a message may overlap this long, see {@link #checkOverlap}. */
    private static final long ALLOWED_OVERLAP_MICROS = 50_000;
    /** Time that a restarted relay has for the outcome of a message which expired during the restart. */
    private static final long RESTART_GRACE_MICROS = 1_500_000;
    /** Flags of a message's state. */
    private static final byte ACCEPTED = 1, ENDED = 2, EXCUSED = 4;
    /** Number of most recent events that are kept for traces; a power of two. */
    private static final int TRACE_CAPACITY = 1 << 16;
    private static final int MAX_REPORTED_VIOLATIONS = 8;

    private final boolean stopAtFirstViolation;
    private final long drainGraceMicros;
    private final long waitGraceMicros;
    private final long expiryGraceMicros;
    private final int[] violationCounts = new int[Rule.values().length];
    private final List<String> firstViolations = new ArrayList<>();

    // By message.
    private byte[] state = new byte[1024];
    private byte[] attemptsAtEndpoints = new byte[1024];
    private long[] expiresAtMicros = new long[1024];
    private int[] intentOf = new int[1024];
    private DeliverySemantics[] semanticsOf = new DeliverySemantics[1024];
    private long[] deduplicationMicros = new long[1024];
    // By intent, which several submitted messages may share one after another.
    private int[] executionCount = new int[1024];
    private long[] firstExecutedAtMicros = new long[1024];
    /**
     * Start and end of advertised waits, by relay and destination. A single map with the pair as a long key
     * would be slow: the hash of a long is the exclusive or of its halves, so that some hundred thousand
     * pairs would share a few thousand hashes.
     */
    private final MapPerRelay<long[]> waits = new MapPerRelay<>();
    /** Messages with more than one attempt at endpoints, and the time since when. */
    private final Map<Integer, Long> overlappingSince = new HashMap<>();
    /** The time at which a relay learned that an endpoint is draining, by relay and endpoint. */
    private final MapPerRelay<Long> drainingSince = new MapPerRelay<>();
    /** The message that is out for an ordering key, by relay and key. */
    private final MapPerRelay<Integer> messageOutForKey = new MapPerRelay<>();

    // Ring buffer of the most recent events.
    private final long[] traceTimes = new long[TRACE_CAPACITY];
    private final int[] traceMessages = new int[TRACE_CAPACITY];
    private final int[] tracePlaces = new int[TRACE_CAPACITY];
    private final byte[] traceEvents = new byte[TRACE_CAPACITY];
    private long tracedCount;

    /**
     * Creates a referee.
     *
     * @param stopAtFirstViolation whether the first violation ends the run with a {@link RuleViolation}
     * @param drainGraceMicros how long after a relay learned that an endpoint is draining it may still send
     *     calls there
     * @param waitGraceMicros how long after a wait was advertised a call may still arrive
     * @param expiryGraceMicros how long after its expiry a message may still get its outcome
     */
    public Referee(boolean stopAtFirstViolation, long drainGraceMicros, long waitGraceMicros,
        long expiryGraceMicros) {
        this.stopAtFirstViolation = stopAtFirstViolation;
        this.drainGraceMicros = drainGraceMicros;
        this.waitGraceMicros = waitGraceMicros;
        this.expiryGraceMicros = expiryGraceMicros;
    }

    private void recordEvent(long nowMicros, TraceEvent event, int message, int place) {
        int slot = (int) (tracedCount++ & TRACE_CAPACITY - 1);
        traceTimes[slot] = nowMicros;
        traceMessages[slot] = message;
        tracePlaces[slot] = place;
        traceEvents[slot] = (byte) event.ordinal();
    }

    private void reportViolation(Rule rule, long nowMicros, int message, String explanation) {
        violationCounts[rule.ordinal()]++;
        if (firstViolations.size() < MAX_REPORTED_VIOLATIONS || stopAtFirstViolation) {
            String report = rule + " at " + nowMicros + " us, message " + message + ": " + explanation
                + trace(message);
            firstViolations.add(report);
            if (stopAtFirstViolation) {
                throw new RuleViolation(rule, report);
            }
        }
    }

    /** Returns the recent events of all messages that share the intent of this message, one per line. */
    private String trace(int message) {
        StringBuilder text = new StringBuilder();
        int intent = intentOf[message];
        for (long number = Math.max(0, tracedCount - TRACE_CAPACITY); number < tracedCount; number++) {
            int slot = (int) (number & TRACE_CAPACITY - 1);
            if (intentOf[traceMessages[slot]] == intent) {
                text.append("\n  ").append(traceTimes[slot]).append(" us  message ")
                    .append(traceMessages[slot])
                    .append(' ')
                    .append(TraceEvent.values()[traceEvents[slot]])
                    .append(tracePlaces[slot] >= 0 ? " at " + tracePlaces[slot] : "");
            }
        }
        return text.toString();
    }

    /**
     * A client submits a message to a relay.
     *
     * @param message index of the message; each submission has one of its own
     * @param intent index that all submissions of the same client request share
     * @param expiresAt time at which the message expires
     * @param deduplicationTime how long endpoints recognize the message when it is repeated, in microseconds
     */
    public void submitted(long nowMicros, int message, int intent, DeliverySemantics semantics,
        long expiresAt, long deduplicationTime) {
        if (message >= state.length) {
            int size = Math.max(2 * state.length, message + 1);
            state = Arrays.copyOf(state, size);
            attemptsAtEndpoints = Arrays.copyOf(attemptsAtEndpoints, size);
            expiresAtMicros = Arrays.copyOf(expiresAtMicros, size);
            intentOf = Arrays.copyOf(intentOf, size);
            semanticsOf = Arrays.copyOf(semanticsOf, size);
            deduplicationMicros = Arrays.copyOf(deduplicationMicros, size);
        }
        if (intent >= executionCount.length) {
            int size = Math.max(2 * executionCount.length, intent + 1);
            executionCount = Arrays.copyOf(executionCount, size);
            firstExecutedAtMicros = Arrays.copyOf(firstExecutedAtMicros, size);
        }
        state[message] = 0;
        attemptsAtEndpoints[message] = 0;
        expiresAtMicros[message] = expiresAt;
        intentOf[message] = intent;
        semanticsOf[message] = semantics;
        deduplicationMicros[message] = deduplicationTime;
        recordEvent(nowMicros, TraceEvent.HANDED_IN, message, -1);
    }

    /** A relay accepts a message; from now on it owes an outcome. */
    public void accepted(long nowMicros, int message, int relay) {
        state[message] |= ACCEPTED;
        recordEvent(nowMicros, TraceEvent.TAKEN, message, relay);
    }

    /**
     * The platform removed the relay of this message together with its ledger, so no outcome is owed any
     * more.
     */
    public void lossExcused(int message) {
        state[message] |= EXCUSED;
    }

    /** A restarted relay recovers a message from its ledger. */
    public void restored(long nowMicros, int message, int relay) {
        recordEvent(nowMicros, TraceEvent.RESTORED, message, relay);
        // A restarted relay has 1.5 s before anything it recovered counts as overdue, as the operators' rules
        // allow.
        expiresAtMicros[message] = Math.max(expiresAtMicros[message],
            nowMicros + RESTART_GRACE_MICROS - expiryGraceMicros);
    }

    /**
     * A relay begins a call for a message; {@code key} is the ordering key, negative for an unordered
     * message.
     */
    public void callSent(long nowMicros, int message, int relay, int endpoint, int key) {
        recordEvent(nowMicros, TraceEvent.SENT, message, endpoint);
        Long drainStart = drainingSince.of(relay).get(endpoint);
        if (drainStart != null && nowMicros > drainStart + drainGraceMicros) {
            reportViolation(Rule.DRAIN, nowMicros, message, "sent to endpoint " + endpoint + ", "
                + (nowMicros - drainStart) + " us after the relay learned that it is draining");
        }
        if (key >= 0) {
            Integer messageOut = messageOutForKey.of(relay).putIfAbsent(key, message);
            if (messageOut != null && messageOut != message) {
                reportViolation(Rule.ORDER, nowMicros, message,
                    "sent while message " + messageOut + " with the same key has no outcome");
            }
        }
    }

    /**
     * A call reaches an endpoint.
     *
     * @param route what a wait applies to: the relay in the upper 32 bits, the destination in the lower
     */
    public void callArrived(long nowMicros, int message, int endpoint, long route) {
        recordEvent(nowMicros, TraceEvent.ARRIVED, message, endpoint);
        if (++attemptsAtEndpoints[message] > 1) {
            overlappingSince.putIfAbsent(message, nowMicros);
        }
        long[] wait = waits.of((int) (route >> 32)).get((int) route);
        // Calls that were under way when the wait was advertised may still arrive.
        if (wait != null && nowMicros < wait[1] && nowMicros > wait[0] + waitGraceMicros) {
            reportViolation(Rule.WAIT, nowMicros, message,
                (wait[1] - nowMicros) + " us before an advertised wait ends");
        }
    }

    /**
     * An endpoint executes a message; it is not called for a repeated message that the endpoint recognized.
     */
    public void executed(long nowMicros, int message, int endpoint) {
        recordEvent(nowMicros, TraceEvent.RAN, message, endpoint);
        int intent = intentOf[message];
        boolean repeated = executionCount[intent]++ > 0;
        if (repeated && (semanticsOf[message] == DeliverySemantics.AT_MOST_ONCE
            || semanticsOf[message] == DeliverySemantics.DEDUPLICATED
                && nowMicros > firstExecutedAtMicros[intent] + deduplicationMicros[message])) {
            reportViolation(Rule.TWICE, nowMicros, message, "it takes effect a second time");
        }
        firstExecutedAtMicros[intent] = repeated ? firstExecutedAtMicros[intent] : nowMicros;
    }

    /** The endpoint has answered a call, or has noticed that the connection of the call is closed. */
    public void callEnded(long nowMicros, int message, int endpoint) {
        recordEvent(nowMicros, TraceEvent.CALL_OVER, message, endpoint);
        attemptsAtEndpoints[message]--;
        if (attemptsAtEndpoints[message] <= 1) {
            checkOverlap(message, nowMicros);
        }
    }

    /**
     * Checks how long two attempts of a message overlapped. The end of one call and the first byte of the
     * next travel on two connections at the same time and may arrive in either order, so a short overlap is
     * no violation.
     */
    private void checkOverlap(int message, long nowMicros) {
        Long since = overlappingSince.remove(message);
        if (since != null && nowMicros > since + ALLOWED_OVERLAP_MICROS) {
            reportViolation(Rule.AT_ONCE, nowMicros, message,
                "two attempts are at endpoints at the same time for " + (nowMicros - since) + " us");
        }
    }

    /** The relay has received the outcome of a call, so that the next message with this key may be sent. */
    public void outcomeReceived(int message, int relay, int key) {
        if (key >= 0) {
            messageOutForKey.of(relay).remove(key, message);
        }
    }

    /**
     * A relay stops. Its calls are over, and by the operators' rules a restart ends the waits advertised to
     * it.
     */
    public void relayStopped(int relay) {
        waits.of(relay).clear();
        messageOutForKey.of(relay).clear();
        drainingSince.of(relay).clear();
    }

    /** The relay reports a message as delivered. */
    public void delivered(long nowMicros, int message) {
        ended(nowMicros, TraceEvent.FULFILLED, message);
    }

    /** The relay rejects a message, either at its submission or later; the client may submit it again. */
    public void rejected(long nowMicros, int message) {
        if (semanticsOf[message] == DeliverySemantics.AT_MOST_ONCE && executionCount[intentOf[message]] > 0) {
            reportViolation(Rule.TWICE, nowMicros, message, "rejected although it has taken effect");
        }
        ended(nowMicros, (state[message] & ACCEPTED) != 0 ? TraceEvent.DEFERRED : TraceEvent.REFUSED,
            message);
    }

    /** The relay reports a message as failed. */
    public void failed(long nowMicros, int message) {
        ended(nowMicros, TraceEvent.ABORTED, message);
    }

    private void ended(long nowMicros, TraceEvent event, int message) {
        recordEvent(nowMicros, event, message, -1);
        if ((state[message] & ACCEPTED) != 0 && (state[message] & (ENDED | EXCUSED)) == 0
            && nowMicros > expiresAtMicros[message] + expiryGraceMicros) {
            reportViolation(Rule.LOST, nowMicros, message,
                "its outcome comes " + (nowMicros - expiresAtMicros[message]) + " us after its expiry");
        }
        state[message] |= ENDED;
    }

    /**
     * A destination advertises a wait to a relay. A wait that overlaps an earlier one extends it.
     *
     * @param route what the wait applies to: the relay in the upper 32 bits, the destination in the lower
     */
    public void waitAdvertised(long nowMicros, long route, long durationMicros) {
        long[] wait = waits.of((int) (route >> 32)).get((int) route);
        if (wait == null || nowMicros >= wait[1]) {
            waits.of((int) (route >> 32)).put((int) route, new long[]{nowMicros, nowMicros + durationMicros});
        } else {
            wait[1] = Math.max(wait[1], nowMicros + durationMicros);
        }
    }

    /** A relay learns of the state of an endpoint; {@code open} is false for an endpoint that is draining. */
    public void endpointListed(long nowMicros, int relay, int endpoint, boolean open) {
        if (open) {
            drainingSince.of(relay).remove(endpoint);
        } else {
            drainingSince.of(relay).putIfAbsent(endpoint, nowMicros);
        }
    }

    /**
     * An endpoint that was warming up has collapsed under its load; {@code message} is the one that arrived
     * last.
     */
    public void endpointCollapsed(long nowMicros, int message, int endpoint) {
        reportViolation(Rule.PUSHED_OVER, nowMicros, message,
            "endpoint " + endpoint + " collapses while it is warming up");
    }

    /**
     * Ends the run: accepted messages without an outcome that are past their expiry are reported as lost.
     *
     * @param messageCount number of messages submitted in the run
     * @return the number of accepted messages that have no outcome yet and are not overdue
     */
    public int checkLost(long nowMicros, int messageCount) {
        int openCount = 0;
        for (int message : List.copyOf(overlappingSince.keySet())) {
            checkOverlap(message, nowMicros);
        }
        for (int message = 0; message < messageCount; message++) {
            if ((state[message] & ACCEPTED) != 0 && (state[message] & (ENDED | EXCUSED)) == 0) {
                if (nowMicros > expiresAtMicros[message] + expiryGraceMicros) {
                    reportViolation(Rule.LOST, nowMicros, message, "it has no outcome");
                } else {
                    openCount++;
                }
            }
        }
        return openCount;
    }

    /** Returns how often this rule was violated. */
    public int violationCount(Rule rule) {
        return violationCounts[rule.ordinal()];
    }

    /** Returns how often any rule was violated. */
    public int violationCount() {
        return Arrays.stream(violationCounts).sum();
    }

    /** Returns the first violations with their traces, eight at most unless the run stops at the first. */
    public List<String> firstViolations() {
        return List.copyOf(firstViolations);
    }
}
