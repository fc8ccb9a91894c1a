package yewpath.lab.referee;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sees every hand-in, shot, effect, answer, wait and list change of a run, and names the first that breaks a rule with
 * the events that led there. Envelopes and endpoints are small indices; state is flat, for millions of them. Pure.
 */
public final class Referee {
    /** The rules by number, as the operators' pages have them. */
    public enum Rule {
        LOST,
        TWICE,
        AT_ONCE,
        DRAIN,
        PUSHED_OVER,
        ORDER,
        WAIT
    }

    /** A rule was broken: what, and the trace. */
    public static final class RuleViolation extends RuntimeException {
        private static final long serialVersionUID = 1L;
        public final transient Rule rule;

        RuleViolation(Rule rule, String what) {
            super(what, null, false, false);
            this.rule = rule;
        }
    }

    private enum What {
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

    /** The kinds of message class that the rules distinguish. */
    public enum DeliverySemantics {
        IDEMPOTENT("repeatable"),
        DEDUPLICATED("tagged"),
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

    private static final long SAME_MOMENT = 50_000, AFTER_RESTART = 1_500_000;
    /** Maps of relays, each of its own. */
    private static final class Apart<T> {
        private final List<Map<Integer, T>> maps = new ArrayList<>();

        Map<Integer, T> of(int relay) {
            while (maps.size() <= relay) {
                maps.add(new HashMap<>());
            }
            return maps.get(relay);
        }
    }

    private static final byte OWED = 1, OVER = 2, EXCUSED = 4;
    /** The trace holds so many of the last events. */
    private static final int KEPT = 1 << 16;

    private final boolean stops;
    private final long drainAfter;
    private final long waitGrace;
    private final long lostAfter;
    private final int[] counts = new int[Rule.values().length];
    private final List<String> first = new ArrayList<>();

    private byte[] state = new byte[1024];
    private byte[] out = new byte[1024];
    private long[] expiry = new long[1024];
    private int[] intentOf = new int[1024];
    private DeliverySemantics[] kinds = new DeliverySemantics[1024];
    private long[] memory = new long[1024];
    /** Of intents, which one envelope after another may carry. */
    private int[] runs = new int[1024];
    private long[] firstRun = new long[1024];
    /**
     * Each by relay, then by what it is about. One map over pairs would be slow: a long's hash is its halves' exclusive
     * or, so that a few thousand hashes would serve some hundred thousand pairs.
     */
    private final Apart<long[]> waits = new Apart<>();
    /** Envelopes of which more than one shot is out, and since when. */
    private final Map<Integer, Long> beside = new HashMap<>();
    private final Apart<Long> closedSince = new Apart<>();
    private final Apart<Integer> holdsKey = new Apart<>();

    private final long[] traceAt = new long[KEPT];
    private final int[] traceOf = new int[KEPT];
    private final int[] traceWhere = new int[KEPT];
    private final byte[] traceWhat = new byte[KEPT];
    private long traced;

    /**
     * {@code stops}: the first broken rule ends the run. Times are microseconds: how long after a drain was told a call
     * may still begin, how long after a wait was told one may still arrive, how long after its expiry an end may come.
     */
    public Referee(boolean stops, long drainAfter, long waitGrace, long lostAfter) {
        this.stops = stops;
        this.drainAfter = drainAfter;
        this.waitGrace = waitGrace;
        this.lostAfter = lostAfter;
    }

    private void note(long at, What what, int envelope, int where) {
        int i = (int) (traced++ & KEPT - 1);
        traceAt[i] = at;
        traceOf[i] = envelope;
        traceWhere[i] = where;
        traceWhat[i] = (byte) what.ordinal();
    }

    private void breaks(Rule rule, long at, int envelope, String what) {
        counts[rule.ordinal()]++;
        if (first.size() < 8 || stops) {
            String told = rule + " at " + at + " us, envelope " + envelope + ": " + what + trace(envelope);
            first.add(told);
            if (stops) {
                throw new RuleViolation(rule, told);
            }
        }
    }

    private String trace(int envelope) {
        StringBuilder told = new StringBuilder();
        int intent = intentOf[envelope];
        for (long i = Math.max(0, traced - KEPT); i < traced; i++) {
            int at = (int) (i & KEPT - 1);
            if (intentOf[traceOf[at]] == intent) {
                told.append("\n  ").append(traceAt[at]).append(" us  envelope ").append(traceOf[at])
                    .append(' ')
                    .append(What.values()[traceWhat[at]])
                    .append(traceWhere[at] >= 0 ? " at " + traceWhere[at] : "");
            }
        }
        return told.toString();
    }

    /** An envelope on its way to a relay; {@code intent} is the same for all hand-ins of one wish. */
    public void submitted(long at, int envelope, int intent, DeliverySemantics kind, long itsExpiry,
        long itsMemory) {
        if (envelope >= state.length) {
            int size = Math.max(2 * state.length, envelope + 1);
            state = Arrays.copyOf(state, size);
            out = Arrays.copyOf(out, size);
            expiry = Arrays.copyOf(expiry, size);
            intentOf = Arrays.copyOf(intentOf, size);
            kinds = Arrays.copyOf(kinds, size);
            memory = Arrays.copyOf(memory, size);
        }
        if (intent >= runs.length) {
            int size = Math.max(2 * runs.length, intent + 1);
            runs = Arrays.copyOf(runs, size);
            firstRun = Arrays.copyOf(firstRun, size);
        }
        state[envelope] = 0;
        out[envelope] = 0;
        expiry[envelope] = itsExpiry;
        intentOf[envelope] = intent;
        kinds[envelope] = kind;
        memory[envelope] = itsMemory;
        note(at, What.HANDED_IN, envelope, -1);
    }

    public void accepted(long at, int envelope, int relay) {
        state[envelope] |= OWED;
        note(at, What.TAKEN, envelope, relay);
    }

    /** Its relay has gone with all it held, by the platform's doing: nobody is owed anything. */
    public void lossExcused(int envelope) {
        state[envelope] |= EXCUSED;
    }

    /** Back in a relay that came back with its ledger. */
    public void restored(long at, int envelope, int relay) {
        note(at, What.RESTORED, envelope, relay);
        // Nothing is overdue before a relay that was restarted had a moment: 1.5 s, as the operators' pages have it.
        expiry[envelope] = Math.max(expiry[envelope], at + AFTER_RESTART - lostAfter);
    }

    /** {@code relay} begins a call; {@code key} is negative where nothing is ordered. */
    public void callSent(long at, int envelope, int relay, int endpoint, int key) {
        note(at, What.SENT, envelope, endpoint);
        Long closed = closedSince.of(relay).get(endpoint);
        if (closed != null && at > closed + drainAfter) {
            breaks(Rule.DRAIN, at, envelope,
                "sent to " + endpoint + " " + (at - closed) + " us after the relay was told");
        }
        if (key >= 0) {
            Integer holder = holdsKey.of(relay).putIfAbsent(key, envelope);
            if (holder != null && holder != envelope) {
                breaks(Rule.ORDER, at, envelope, "sent while " + holder + " of its key is out");
            }
        }
    }

    /** {@code route} is what a wait binds: a relay in its upper half, a destination in its lower. */
    public void callArrived(long at, int envelope, int endpoint, long route) {
        note(at, What.ARRIVED, envelope, endpoint);
        if (++out[envelope] > 1) {
            beside.putIfAbsent(envelope, at);
        }
        long[] wait = waits.of((int) (route >> 32)).get((int) route);
        // What was under way when it was told may still arrive.
        if (wait != null && at < wait[1] && at > wait[0] + waitGrace) {
            breaks(Rule.WAIT, at, envelope, (wait[1] - at) + " us before a told wait ends");
        }
    }

    public void executed(long at, int envelope, int endpoint) {
        note(at, What.RAN, envelope, endpoint);
        int intent = intentOf[envelope];
        boolean again = runs[intent]++ > 0;
        if (again && (kinds[envelope] == DeliverySemantics.AT_MOST_ONCE
            || kinds[envelope] == DeliverySemantics.DEDUPLICATED
                && at > firstRun[intent] + memory[envelope])) {
            breaks(Rule.TWICE, at, envelope, "it takes effect a second time");
        }
        firstRun[intent] = again ? firstRun[intent] : at;
    }

    /** Answered, or its connection has ended and the endpoint knows. */
    public void callEnded(long at, int envelope, int endpoint) {
        note(at, What.CALL_OVER, envelope, endpoint);
        out[envelope]--;
        if (out[envelope] <= 1) {
            judge(envelope, at);
        }
    }

    /**
     * The end of a call and the first byte of the next one are under way together, on two connections, and may change
     * places: only what lasts is two at once.
     */
    private void judge(int envelope, long at) {
        Long since = beside.remove(envelope);
        if (since != null && at > since + SAME_MOMENT) {
            breaks(Rule.AT_ONCE, at, envelope, "two shots are out together for " + (at - since) + " us");
        }
    }

    /** The relay has the outcome; nothing of this key is out there any more. */
    public void outcomeReceived(int envelope, int relay, int key) {
        if (key >= 0) {
            holdsKey.of(relay).remove(key, envelope);
        }
    }

    /** A relay has died: what it had out is back, and a restart ends the waits it was told, as the operators have it. */
    public void relayStopped(int relay) {
        waits.of(relay).clear();
        holdsKey.of(relay).clear();
        closedSince.of(relay).clear();
    }

    public void delivered(long at, int envelope) {
        over(at, What.FULFILLED, envelope);
    }

    public void rejected(long at, int envelope) {
        if (kinds[envelope] == DeliverySemantics.AT_MOST_ONCE && runs[intentOf[envelope]] > 0) {
            breaks(Rule.TWICE, at, envelope, "handed back although it has run");
        }
        over(at, (state[envelope] & OWED) != 0 ? What.DEFERRED : What.REFUSED, envelope);
    }

    public void failed(long at, int envelope) {
        over(at, What.ABORTED, envelope);
    }

    private void over(long at, What what, int envelope) {
        note(at, what, envelope, -1);
        if ((state[envelope] & OWED) != 0 && (state[envelope] & (OVER | EXCUSED)) == 0
            && at > expiry[envelope] + lostAfter) {
            breaks(Rule.LOST, at, envelope,
                "its end comes " + (at - expiry[envelope]) + " us after its expiry");
        }
        state[envelope] |= OVER;
    }

    /** A wait was written to a relay; {@code route} is what it binds. */
    public void waitAdvertised(long at, long route, long length) {
        long[] wait = waits.of((int) (route >> 32)).get((int) route);
        if (wait == null || at >= wait[1]) {
            waits.of((int) (route >> 32)).put((int) route, new long[]{at, at + length});
        } else {
            wait[1] = Math.max(wait[1], at + length);
        }
    }

    public void endpointListed(long at, int relay, int endpoint, boolean open) {
        if (open) {
            closedSince.of(relay).remove(endpoint);
        } else {
            closedSince.of(relay).putIfAbsent(endpoint, at);
        }
    }

    /** A destination that was coming back has fallen over under what was sent. */
    public void endpointCollapsed(long at, int envelope, int endpoint) {
        breaks(Rule.PUSHED_OVER, at, envelope, "endpoint " + endpoint + " falls over while it is cold");
    }

    /** The end of the run: what is owed and past its time is lost. Returns how many are still open and in time. */
    public int checkLost(long at, int envelopes) {
        int open = 0;
        for (int envelope : List.copyOf(beside.keySet())) {
            judge(envelope, at);
        }
        for (int i = 0; i < envelopes; i++) {
            if ((state[i] & OWED) != 0 && (state[i] & (OVER | EXCUSED)) == 0) {
                if (at > expiry[i] + lostAfter) {
                    breaks(Rule.LOST, at, i, "no end");
                } else {
                    open++;
                }
            }
        }
        return open;
    }

    public int violationCount(Rule rule) {
        return counts[rule.ordinal()];
    }

    public int violationCount() {
        return Arrays.stream(counts).sum();
    }

    /** The first few, with their traces. */
    public List<String> firstViolations() {
        return List.copyOf(first);
    }
}
