package yewpath.standins.referee;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records the course of each message of a run, as clients, endpoints and platform saw it, and checks the
 * delivery rules. Each violation is a sentence that ends with the message's history.
 *
 * <p>All times are microseconds on one clock. Does no I/O and reads no clock; not thread-safe.
 */
public final class DeliveryReferee implements PlatformObserver {
    /** How often an endpoint may execute a message of a class. */
    public enum DeliverySemantics {
        /** Executing a message again has no further effect, so it may be repeated at any time. */
        IDEMPOTENT,
        /** Endpoints recognize a repeated message within the deduplication window. */
        DEDUPLICATED,
        /** A message must not be executed twice. */
        AT_MOST_ONCE
    }

    /** The state of a message as its client has learned it. */
    public enum DeliveryState {
        /** No outcome yet. */
        OPEN,
        /** An endpoint answered a call with status 200. */
        DELIVERED,
        /** The relay returned the message to the client, which may submit it again. */
        REJECTED,
        /** The message was not delivered and will not be. */
        FAILED
    }

    /** The course of one message. */
    public static final class MessageRecord {
        public final String id;
        public final String messageClass;
        /**
         * The relay that the message was submitted to. A wait that one relay was asked for does not bind
         * others.
         */
        public final String relay;
        public final DeliverySemantics semantics;
        public final long submittedAtMicros;
        public final long deadlineMicros;
        public DeliveryState state = DeliveryState.OPEN;
        /** When the state left OPEN; -1 until then. */
        public long endedAtMicros = -1;
        private boolean accepted;
        private int callsInFlight;
        /** Since when more than one call has been in flight; -1 if at most one is. */
        private long concurrentSinceMicros = -1;
        private int executionCount;
        private long firstExecutedAtMicros = -1;
        private final List<String> history = new ArrayList<>();

        private MessageRecord(String id, String messageClass, String relay, DeliverySemantics semantics,
            long atMicros,
            long deadlineMicros) {
            this.id = id;
            this.messageClass = messageClass;
            this.relay = relay;
            this.semantics = semantics;
            submittedAtMicros = atMicros;
            this.deadlineMicros = deadlineMicros;
        }

        /** Returns how often endpoints executed the message. */
        public int executionCount() {
            return executionCount;
        }

        private void addToHistory(long atMicros, String event) {
            // 64 entries suffice to understand a violation; a message that is retried endlessly must not fill
            // the heap.
            if (history.size() < 64) {
                history.add((atMicros - submittedAtMicros) / 1000 + " ms " + event);
            }
        }
    }

    /** How long two calls of a message may overlap, see {@link #checkConcurrency}. */
    private static final long MAX_OVERLAP_MICROS = 50_000;
    /** Time in which a relay has to apply an advertised wait; a call that arrives earlier is no violation. */
    private static final long WAIT_REACTION_MICROS = 100_000;
    /** Time in which a relay has to apply a published list; a call that starts earlier is no violation. */
    private static final long LIST_REACTION_MICROS = 250_000;
    /** Time after a message's deadline in which its outcome has to be known. */
    private static final long OUTCOME_GRACE_MICROS = 300_000;
    /** Added to each time limit, since the relay and the test servers share a busy machine. */
    private final long slackMicros;
    private final long deduplicationWindowMicros;
    private final Map<String, MessageRecord> records = new TreeMap<>();
    /** End of the longest advertised wait, by relay and the part of an address that the wait binds. */
    private final Map<String, Long> waitEnds = new HashMap<>();
    /** Duration of the wait in {@link #waitEnds}, by the same key. */
    private final Map<String, Long> waitDurations = new HashMap<>();
    /** Since when endpoints have been listed as not accepting calls, by endpoint id. */
    private final Map<String, Long> notAcceptingSince = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * @param deduplicationWindowMicros how long after the first execution an endpoint recognizes a repeated
     * message of semantics DEDUPLICATED
     * @param slackMicros is added to each time limit
     */
    public DeliveryReferee(long deduplicationWindowMicros, long slackMicros) {
        this.deduplicationWindowMicros = deduplicationWindowMicros;
        this.slackMicros = slackMicros;
    }

    /**
     * A client submits a message.
     *
     * @param relay identifies the relay, if a run has several
     * @param timeoutMicros time from {@code atMicros} to the deadline
     */
    public void submitted(String id, String messageClass, String relay, DeliverySemantics semantics,
        long atMicros,
        long timeoutMicros) {
        records.put(id,
            new MessageRecord(id, messageClass, relay, semantics, atMicros, atMicros + timeoutMicros));
    }

    /**
     * The relay has answered the client's request with {@code status}; 0 if the client received no answer.
     */
    public void clientAnswered(String id, int status, long atMicros) {
        MessageRecord message = records.get(id);
        if (message == null) {
            return;
        }
        message.addToHistory(atMicros, "client received status " + status);
        if (status == 200 || status == 202) {
            message.accepted = true;
        } else if (status == 429 || status == 503) {
            setOutcome(message, DeliveryState.REJECTED, atMicros);
        } else {
            setOutcome(message, DeliveryState.FAILED, atMicros);
        }
    }

    /**
     * A call that carries this message has arrived completely.
     *
     * @param endpoint id of the endpoint that received the call
     * @param waitScope what an advertised wait applies to, such as the destination
     * @param firstByteAtMicros when the first byte of the call arrived
     */
    public void callArrived(String id, String endpoint, String waitScope, long firstByteAtMicros,
        long atMicros) {
        MessageRecord message = records.get(id);
        if (message == null) {
            violations.add("an endpoint received a message that no client submitted: " + id);
            return;
        }
        message.addToHistory(atMicros, "call arrived at " + endpoint);
        if (message.callsInFlight++ > 0 && message.concurrentSinceMicros < 0) {
            message.concurrentSinceMicros = atMicros;
        }
        String waitKey = message.relay + " " + waitScope;
        Long waitEnd = waitEnds.get(waitKey);
        if (waitEnd != null && atMicros < waitEnd
            && atMicros > waitEnd - waitDurations.getOrDefault(waitKey, 0L) + WAIT_REACTION_MICROS
                + slackMicros) {
            addViolation(message,
                "sent " + (waitEnd - atMicros) / 1000 + " ms before the wait advertised by " + waitScope
                    + " ends");
        }
        Long since = notAcceptingSince.get(endpoint);
        if (since != null && firstByteAtMicros > since + LIST_REACTION_MICROS + slackMicros) {
            addViolation(message, "sent to " + endpoint + " " + (firstByteAtMicros - since) / 1000
                + " ms after discovery listed it as not accepting calls");
        }
    }

    /** An endpoint executes the message. */
    public void executed(String id, long atMicros) {
        MessageRecord message = records.get(id);
        if (message == null) {
            return;
        }
        message.addToHistory(atMicros, "executed");
        boolean repeated = message.executionCount++ > 0;
        if (repeated && (message.semantics == DeliverySemantics.AT_MOST_ONCE
            || message.semantics == DeliverySemantics.DEDUPLICATED
                && atMicros - message.firstExecutedAtMicros > deduplicationWindowMicros + slackMicros)) {
            addViolation(message, "takes effect twice");
        }
        message.firstExecutedAtMicros = repeated ? message.firstExecutedAtMicros : atMicros;
    }

    /**
     * A call that carried this message was answered, or its connection has ended.
     *
     * @param delivered whether the answer had status 200
     */
    public void callEnded(String id, boolean delivered, long atMicros) {
        MessageRecord message = records.get(id);
        if (message == null) {
            return;
        }
        message.callsInFlight--;
        if (message.concurrentSinceMicros >= 0 && message.callsInFlight <= 1) {
            checkConcurrency(message, atMicros);
        }
        message.addToHistory(atMicros, delivered ? "call answered with status 200" : "call ended");
        if (delivered) {
            setOutcome(message, DeliveryState.DELIVERED, atMicros);
        }
    }

    /**
     * Reports two calls of a message that overlapped for longer than {@link #MAX_OVERLAP_MICROS}. A shorter
     * overlap is no violation: the relay may end one call just before it starts the next on another
     * connection, and the order in which the test servers see the two events is random.
     */
    private void checkConcurrency(MessageRecord message, long atMicros) {
        if (atMicros - message.concurrentSinceMicros > MAX_OVERLAP_MICROS) {
            addViolation(message, "two concurrent attempts");
        }
        message.concurrentSinceMicros = -1;
    }

    /**
     * An endpoint's answer asks the relay to wait. The wait binds the relay that sent the call.
     *
     * @param id a message of the call
     * @param waitScope what the wait applies to, as for {@link #callArrived}
     */
    public void waitAdvertised(String id, String waitScope, long durationMicros, long atMicros) {
        MessageRecord message = records.get(id);
        String waitKey = (message == null ? "" : message.relay) + " " + waitScope;
        if (atMicros + durationMicros > waitEnds.getOrDefault(waitKey, 0L)) {
            waitEnds.put(waitKey, atMicros + durationMicros);
            waitDurations.put(waitKey, durationMicros);
        }
    }

    @Override
    public void endpointListed(String endpoint, boolean accepting, long atMicros) {
        if (accepting) {
            notAcceptingSince.remove(endpoint);
        } else {
            notAcceptingSince.putIfAbsent(endpoint, atMicros);
        }
    }

    @Override
    public void noticeReceived(String id, boolean rejected, long waitMicros, long atMicros) {
        MessageRecord message = records.get(id);
        if (message == null) {
            violations.add("a notice names a message that no client submitted: " + id);
            return;
        }
        message.addToHistory(atMicros, rejected ? "notice: rejected" : "notice: failed");
        if (rejected && message.executionCount > 0
            && message.semantics == DeliverySemantics.AT_MOST_ONCE) {
            addViolation(message, "rejected although it was executed");
        }
        setOutcome(message, rejected ? DeliveryState.REJECTED : DeliveryState.FAILED, atMicros);
    }

    private void setOutcome(MessageRecord message, DeliveryState outcome, long atMicros) {
        // A notice after a delivery is no violation, and neither is a delivery whose answer came too late.
        if (message.state == DeliveryState.OPEN) {
            message.state = outcome;
            message.endedAtMicros = atMicros;
        } else if (outcome == DeliveryState.DELIVERED
            && message.semantics != DeliverySemantics.AT_MOST_ONCE) {
            message.state = outcome;
        }
    }

    private void addViolation(MessageRecord message, String rule) {
        violations.add(message.id + " (" + message.messageClass + "): " + rule + "; "
            + String.join(", ", message.history));
    }

    /** Returns how many messages the relay accepted that have no outcome yet. */
    public long openCount() {
        return records.values().stream()
            .filter(message -> message.accepted && message.state == DeliveryState.OPEN).count();
    }

    /**
     * Ends the run: reports accepted messages that have no outcome well after their deadline as lost, and
     * concurrent calls that are still in flight.
     */
    public void checkLost(long atMicros) {
        for (MessageRecord message : records.values()) {
            if (message.concurrentSinceMicros >= 0) {
                checkConcurrency(message, atMicros);
            }
            if (message.accepted && message.state == DeliveryState.OPEN
                && atMicros > message.deadlineMicros + OUTCOME_GRACE_MICROS + slackMicros) {
                addViolation(message, "lost");
            }
        }
    }

    /** Returns the violations found so far, in the order of time, each as a sentence. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns all submitted messages, by id. */
    public Collection<MessageRecord> messages() {
        return records.values();
    }
}
