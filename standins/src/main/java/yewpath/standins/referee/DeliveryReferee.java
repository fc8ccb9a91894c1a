package yewpath.standins.referee;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The accounts of a run: each envelope's life as clients, endpoints and platform saw it, and each broken rule as a
 * sentence with the envelope's history. Times are microseconds on one clock. Pure, for one thread.
 */
public final class DeliveryReferee implements PlatformObserver {
    /** How an offering may be repeated. */
    public enum DeliverySemantics {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE
    }

    /** How an envelope stands. */
    public enum DeliveryState {
        OPEN,
        DELIVERED,
        REJECTED,
        FAILED
    }

    /** One envelope. */
    public static final class MessageRecord {
        public final String id;
        public final String offering;
        /** Which relay it was handed to: what one relay was told binds no other. */
        public final String relay;
        public final DeliverySemantics kind;
        public final long submittedAtMicros;
        public final long expiry;
        public DeliveryState state = DeliveryState.OPEN;
        public long endedAtMicros = -1;
        private boolean taken;
        private int out;
        /** Since when a shot has been out beside another; -1 where none is. */
        private long besideSince = -1;
        private int runs;
        private long firstRunAt = -1;
        private final List<String> history = new ArrayList<>();

        private MessageRecord(String id, String offering, String relay, DeliverySemantics kind, long at,
            long expiry) {
            this.id = id;
            this.offering = offering;
            this.relay = relay;
            this.kind = kind;
            submittedAtMicros = at;
            this.expiry = expiry;
        }

        public int executionCount() {
            return runs;
        }

        private void note(long at, String what) {
            // Some dozens suffice to see what happened; a shot storm must not fill the heap.
            if (history.size() < 64) {
                history.add((at - submittedAtMicros) / 1000 + " ms " + what);
            }
        }
    }

    private static final long SAME_MOMENT = 50_000;
    /** Added to each time limit, since peers and relay share a busy machine. */
    private final long slack;
    private final long memory;
    private final Map<String, MessageRecord> accounts = new TreeMap<>();
    /** What binds: until when, and how long it was when it was told. */
    private final Map<String, Long> waits = new HashMap<>();
    private final Map<String, Long> waitLengths = new HashMap<>();
    private final Map<String, Long> closed = new HashMap<>();
    private final List<String> broken = new ArrayList<>();

    /** {@code memory}: how long a repeat of a tagged envelope is known; {@code slack}: what time limits are extended by. */
    public DeliveryReferee(long memory, long slack) {
        this.memory = memory;
        this.slack = slack;
    }

    /** {@code relay} tells several apart. */
    public void submitted(String id, String offering, String relay, DeliverySemantics kind, long at,
        long within) {
        accounts.put(id, new MessageRecord(id, offering, relay, kind, at, at + within));
    }

    /** What the client was answered; 0 for nothing at all. */
    public void clientAnswered(String id, int status, long at) {
        MessageRecord one = accounts.get(id);
        if (one == null) {
            return;
        }
        one.note(at, "client got " + status);
        if (status == 200 || status == 202) {
            one.taken = true;
        } else if (status == 429 || status == 503) {
            end(one, DeliveryState.REJECTED, at);
        } else {
            end(one, DeliveryState.FAILED, at);
        }
    }

    /** A call with this envelope has arrived whole. {@code where} is what a wait binds, {@code endpoint} who got it. */
    public void callArrived(String id, String endpoint, String where, long firstByteAt, long at) {
        MessageRecord one = accounts.get(id);
        if (one == null) {
            broken.add("an envelope that nobody handed in: " + id);
            return;
        }
        one.note(at, "arrives at " + endpoint);
        if (one.out++ > 0 && one.besideSince < 0) {
            one.besideSince = at;
        }
        String told = one.relay + " " + where;
        Long until = waits.get(told);
        if (until != null && at < until
            && at > until - waitLengths.getOrDefault(told, 0L) + 100_000 + slack) {
            breaks(one, "sent " + (until - at) / 1000 + " ms before a told wait of " + where + " ends");
        }
        Long since = closed.get(endpoint);
        if (since != null && firstByteAt > since + 250_000 + slack) {
            breaks(one, "sent to " + endpoint + " " + (firstByteAt - since) / 1000
                + " ms after it was told to be closed");
        }
    }

    /** It takes effect now. */
    public void executed(String id, long at) {
        MessageRecord one = accounts.get(id);
        if (one == null) {
            return;
        }
        one.note(at, "runs");
        boolean again = one.runs++ > 0;
        if (again && (one.kind == DeliverySemantics.AT_MOST_ONCE
            || one.kind == DeliverySemantics.DEDUPLICATED && at - one.firstRunAt > memory + slack)) {
            breaks(one, "takes effect twice");
        }
        one.firstRunAt = again ? one.firstRunAt : at;
    }

    /** The call is over: answered, or its connection has ended. {@code delivered} where the answer was a 200. */
    public void callEnded(String id, boolean delivered, long at) {
        MessageRecord one = accounts.get(id);
        if (one == null) {
            return;
        }
        one.out--;
        if (one.besideSince >= 0 && one.out <= 1) {
            judgeBeside(one, at);
        }
        one.note(at, delivered ? "is answered 200" : "its call ends");
        if (delivered) {
            end(one, DeliveryState.DELIVERED, at);
        }
    }

    /**
     * A call may be ended just ahead of the next one, on another connection, and which of the two is read first is
     * chance: only what lasts is two at once.
     */
    private void judgeBeside(MessageRecord one, long at) {
        if (at - one.besideSince > SAME_MOMENT) {
            breaks(one, "two shots at once");
        }
        one.besideSince = -1;
    }

    /** RelaySettings in the answer for this envelope, and so to the relay that has it. */
    public void waitAdvertised(String id, String where, long length, long at) {
        MessageRecord one = accounts.get(id);
        String told = (one == null ? "" : one.relay) + " " + where;
        if (at + length > waits.getOrDefault(told, 0L)) {
            waits.put(told, at + length);
            waitLengths.put(told, length);
        }
    }

    /** The list has told that nothing new is to go there; {@code open} takes it back. */
    @Override
    public void endpointListed(String endpoint, boolean open, long at) {
        if (open) {
            closed.remove(endpoint);
        } else {
            closed.putIfAbsent(endpoint, at);
        }
    }

    /** The platform has heard of an end. */
    @Override
    public void noticeReceived(String id, boolean handedBack, long pause, long at) {
        MessageRecord one = accounts.get(id);
        if (one == null) {
            broken.add("a notice for an envelope that nobody handed in: " + id);
            return;
        }
        one.note(at, handedBack ? "is handed back" : "is given up");
        if (handedBack && one.runs > 0 && one.kind == DeliverySemantics.AT_MOST_ONCE) {
            breaks(one, "handed back although it ran");
        }
        end(one, handedBack ? DeliveryState.REJECTED : DeliveryState.FAILED, at);
    }

    private void end(MessageRecord one, DeliveryState end, long at) {
        // A notice for one that was delivered does no harm, nor does a delivery whose answer came too late.
        if (one.state == DeliveryState.OPEN) {
            one.state = end;
            one.endedAtMicros = at;
        } else if (end == DeliveryState.DELIVERED && one.kind != DeliverySemantics.AT_MOST_ONCE) {
            one.state = end;
        }
    }

    private void breaks(MessageRecord one, String rule) {
        broken.add(one.id + " (" + one.offering + "): " + rule + "; " + String.join(", ", one.history));
    }

    /** Envelopes that were taken on and have no end yet. */
    public long openCount() {
        return accounts.values().stream().filter(one -> one.taken && one.state == DeliveryState.OPEN).count();
    }

    /** Closes the books: whatever was taken on and is past its time without an end is lost. */
    public void checkLost(long at) {
        for (MessageRecord one : accounts.values()) {
            if (one.besideSince >= 0) {
                judgeBeside(one, at);
            }
            if (one.taken && one.state == DeliveryState.OPEN && at > one.expiry + 300_000 + slack) {
                breaks(one, "lost");
            }
        }
    }

    /** Broken rules, a sentence each. */
    public List<String> violations() {
        return List.copyOf(broken);
    }

    public Collection<MessageRecord> messages() {
        return accounts.values();
    }
}
