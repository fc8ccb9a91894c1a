package yewpath;

import static java.lang.Math.max;
import static java.lang.Math.min;
import static java.util.Arrays.copyOf;
import static yewpath.Egress.*;

import java.util.*;
import java.util.zip.CRC32;

/**
 * Every decision of one relay. A caller hands in what happened (the clock by {@link #at}, then the public
 * methods below) and closes each round with {@link #turn}, in which envelopes go out; what is to be done is
 * asked of {@link Egress}, the interface; {@link Settings} is what the relay is told at start. No threads.
 * Envelopes, endpoints, destinations, offerings, tenants, kinds, zones and keys are small indices of the
 * caller's. docs/design.md explains the mechanism and each exception with its condition.
 */
public final class Logic {
    private static final int UP = 0;
    private static final long MS = 1_000, SECOND = 1_000_000, NEVER = Long.MAX_VALUE / 4;

    // The design's own figures: where a window starts and ends, how it is cut and raised, and how often.
    private static final double START = 0.75, CUT = 0.8, RAISE = 1.5;
    private static final long TICK = SECOND, IDLE = 20 * SECOND;

    /** What an envelope's last step left to be done with that step's result. */
    private interface Next {
        void with(int outcome);
    }

    private static final class Envelope {
        int id, offering, shots, doubtZone;
        long agreedAt, expiry, giveUpAt, doubtSince = -1;
        boolean ended, held;
        Destination to;
        KeyLine line;
        Call call;
        Next next;
    }

    private static final class Call {
        int endpoint, generation, size, left;
        long sentAt;
        boolean learnt, calledOff;
        Destination to;
        final List<Envelope> carried = new ArrayList<>(1);
    }

    private static final class KeyLine {
        final ArrayDeque<Envelope> waiting = new ArrayDeque<>();
        long restUntil;
    }

    /** What limit, wait and pace belong to: a destination, or an endpoint where routes are apart. */
    private static final class Route {
        double listed = Double.NaN, told = Double.NaN, pace, tokens = 1;
        long waitUntil, tokensAt;
        int fulls, members;
        boolean pressed;
    }

    private final class Destination {
        int[] endpoints = new int[2];
        int size, generation, sentUnder, inFlight, held, bundle = 1;
        double window = start;
        boolean filled;
        long lastUsed;
        Route shared;
        final List<ArrayDeque<Envelope>> fresh = new ArrayList<>();
        final List<ArrayDeque<Envelope>> late = new ArrayList<>();

        Destination() {
            for (int i = 0; i < offerings.length; i++) {
                fresh.add(new ArrayDeque<>());
                late.add(new ArrayDeque<>());
            }
        }
    }

    private final Egress out;
    private final long seed;
    private long now, drawn, turns, tickAt, alarmAt = NEVER;
    private int slotsOut, open;
    private Envelope[] envelopes = new Envelope[64];
    private Destination[] destinations = new Destination[16];
    private final ArrayList<Destination> known = new ArrayList<>();
    private final Map<Integer, KeyLine> keyLines = new HashMap<>();
    private final PriorityQueue<Envelope> byGiveUp =
        new PriorityQueue<>((a, b) -> a.giveUpAt != b.giveUpAt ? Long.compare(a.giveUpAt, b.giveUpAt)
            : Integer.compare(a.id, b.id));
    private final ArrayList<KeyLine> resting = new ArrayList<>();

    // ---- Settings to figures

    private final Settings.Offering[] offerings;
    private final boolean[] apart;
    private final int[] bundles;
    private final int slots, cap, sickCap, shotLimit, fillMark, relays;
    private final boolean halving, ratesListed, mayCancel;
    private final double start, rateDoubt, coldFrom, coldMultiple;
    private final long coldFor, fallFor, settle, askAgain, idleFor, connectFor;

    public Logic(Settings s, long seed, Egress out, long now) {
        this.out = out;
        this.seed = seed;
        this.now = now;
        offerings = s.offerings.clone();
        apart = s.routesApart.clone();
        bundles = s.bundle.clone();
        slots = max(1, s.slots);
        cap = max(1, (int) (START * slots));
        sickCap = max(1, slots / 2);
        start = cap;
        shotLimit = s.shotLimit > 0 ? s.shotLimit : Integer.MAX_VALUE;
        fillMark = s.holdLimit > 0 ? max(1, s.holdLimit - max(1, s.holdLimit / 16)) : Integer.MAX_VALUE;
        relays = max(1, s.relays);
        halving = s.halving;
        ratesListed = s.listTellsRate;
        rateDoubt = s.rateIsRough ? 1 / 1.5 : 1;
        coldFrom = s.coldFrom > 0 ? s.coldFrom : 0.2;
        coldFor = s.coldFor > 0 ? s.coldFor : 15 * SECOND;
        coldMultiple = 0.85 * (s.fallMultiple > 0 ? s.fallMultiple : 2);
        fallFor = s.fallFor > 0 ? s.fallFor : 3 * SECOND;
        settle = s.settleAfterDoubt;
        mayCancel = s.mayCancel;
        connectFor = s.connectTimeout > 0 ? s.connectTimeout - s.connectTimeout / 8 : NEVER;
        idleFor = s.connectionIdle > 0 ? s.connectionIdle : NEVER;
        askAgain = s.askEvery > 0 ? min(SECOND, s.askEvery / 8) : SECOND;
        tickAt = now + TICK;
        if (s.listAsked) {
            askList();
        }
    }

    public void at(long clock) {
        now = clock;
    }

    /** Uniform in [0, 1): a checksum, so that the same events give the same actions on any machine. */
    private double chance() {
        CRC32 crc = new CRC32();
        long word = seed;
        for (int i = 0; i < 16; i++) {
            crc.update((int) word & 0xff);
            word = i == 7 ? drawn : word >>> 8;
        }
        drawn++;
        return crc.getValue() / 4294967296.0;
    }

    // ---- Hold

    public void taken(int id, int offering, int tenant, int key, int destination, long expiry) {
        if (id >= envelopes.length) {
            envelopes = copyOf(envelopes, id * 2);
        }
        Envelope e = new Envelope();
        envelopes[id] = e;
        Settings.Offering o = offerings[offering];
        e.id = id;
        e.offering = offering;
        e.expiry = expiry;
        e.agreedAt = expiry - o.expiry() + o.agreed();
        e.to = destination(destination);
        e.giveUpAt = expiry - GIVE_UP_AHEAD;
        open++;
        byGiveUp.add(e);
        if (o.ordered() && key >= 0) {
            e.line = keyLines.computeIfAbsent(key, k -> new KeyLine());
            e.line.waiting.add(e);
            if (e.line.waiting.peek() == e) {
                step(e.line);
            }
        } else {
            hold(e, false);
        }
        if (open > fillMark) {
            shed();
        }
    }

    /** An answer must leave ahead of the expiry: a round lost to a late alarm would lose the envelope. */
    private static final long GIVE_UP_AHEAD = 40 * MS;

    private Destination destination(int index) {
        if (index >= destinations.length) {
            destinations = copyOf(destinations, index * 2);
        }
        if (destinations[index] == null) {
            destinations[index] = new Destination();
            known.add(destinations[index]);
        }
        return destinations[index];
    }

    private void hold(Envelope e, boolean again) {
        e.held = true;
        e.to.held++;
        ArrayDeque<Envelope> line = e.to.fresh.get(e.offering);
        if (!again || !line.offerFirst(e)) {
            line.addLast(e);
        }
    }

    private void unhold(Envelope e) {
        e.to.held -= e.held ? 1 : 0;
        e.held = false;
    }

    private double worth(Envelope e, long at) {
        Settings.Offering o = offerings[e.offering];
        if (at <= e.agreedAt || at >= e.expiry) {
            return at <= e.agreedAt ? o.revenue() : 0;
        }
        double lateBy = at - e.agreedAt;
        double part = halving ? max(o.lateRevenue(), Math.pow(0.5, lateBy / max(1, o.agreed())))
            : 1 - (1 - o.lateRevenue()) * lateBy / max(1, e.expiry - e.agreedAt);
        return o.revenue() * part;
    }

    /** In order of arrival a whole backlog would be late; this asks what a delay would cost. */
    private double urgency(Envelope e, long lat, long horizon) {
        double soon = worth(e, now + lat);
        return soon - worth(e, now + lat + horizon) + 0.25 * soon;
    }

    private Envelope end(ArrayDeque<Envelope> line, boolean first) {
        Envelope e = first ? line.peekFirst() : line.peekLast();
        for (; e != null && !e.held; e = first ? line.peekFirst() : line.peekLast()) {
            boolean gone = first ? line.remove(e) : line.removeLastOccurrence(e);
        }
        return e;
    }

    /** Envelopes that can't make their agreed time any more leave the line of those that can. */
    private void sortLate(Destination d, long lat) {
        for (int i = 0; i < offerings.length; i++) {
            ArrayDeque<Envelope> fresh = d.fresh.get(i);
            for (Envelope e = end(fresh, true); e != null && now + lat > e.agreedAt; e = end(fresh, true)) {
                fresh.pollFirst();
                d.late.get(i).addLast(e);
            }
        }
    }

    /** The hold is nearly full: what one destination can't take must not keep out the others' envelopes. */
    private void shed() {
        Destination most = null;
        for (Destination d : known) {
            if (d.held > 0 && (most == null || d.held > most.held)) {
                most = d;
            }
        }
        Envelope least = null;
        double leastWorth = Double.MAX_VALUE;
        for (int i = 0; most != null && i < offerings.length; i++) {
            Envelope e = end(most.late.get(i), true);
            e = e == null ? end(most.fresh.get(i), false) : e;
            if (e != null && worth(e, now + SECOND) < leastWorth) {
                least = e;
                leastWorth = worth(e, now + SECOND);
            }
        }
        if (least != null) {
            finish(least, SECOND);
        }
    }

    /** One envelope of a key at a time, in the order taken; after a shot that may still run the key rests. */
    private void step(KeyLine line) {
        Envelope first = line.waiting.peek();
        for (; first != null && first.ended && first.call == null; first = line.waiting.peek()) {
            line.waiting.poll();
        }
        if (first == null || first.held || first.call != null) {
            return;
        }
        if (line.restUntil > now && first.shots == 0) {
            resting.add(line);
        } else {
            hold(first, false);
        }
    }

    /** The one place that answers: a deferral promises that nothing ran, or that a repeat is known. */
    private void finish(Envelope e, long pause) {
        Settings.Offering o = offerings[e.offering];
        close(e);
        if (mayRepeat(e) && (e.doubtSince < 0 || o.kind() == Settings.Kind.REPEATABLE || !o.oneZone())) {
            out.defer(e.id, pause);
        } else {
            out.abort(e.id);
        }
        advance(e);
    }

    private void close(Envelope e) {
        unhold(e);
        if (!e.ended) {
            e.ended = true;
            open--;
        }
    }

    private void advance(Envelope e) {
        if (e.line != null && e.ended) {
            if (e.line.waiting.peek() == e) {
                step(e.line);
            } else if (e.call == null) {
                e.line.waiting.remove(e);
            }
        }
    }

    private boolean mayRepeat(Envelope e) {
        Settings.Offering o = offerings[e.offering];
        return e.doubtSince < 0 || o.kind() == Settings.Kind.REPEATABLE
            || o.kind() == Settings.Kind.TAGGED && now < e.doubtSince + o.memory();
    }

    public void withdrawn(int id) {
        Envelope e = envelopes[id];
        if (e != null && !e.ended) {
            close(e);
            advance(e);
        }
    }

    // ---- Window

    private int room(Destination d) {
        int limit = min(cap, max(1, (int) d.window));
        return (isSick(d) ? min(limit, sickCap) : limit) - d.inFlight;
    }

    private void cut(Destination d, int stamp) {
        if (stamp == d.generation) {
            move(d, max(1, min(d.window, cap) * CUT));
        }
    }

    private void move(Destination d, double window) {
        d.window = window;
        d.generation++;
        d.sentUnder = 0;
    }

    private void tick() {
        for (Destination d : known) {
            double raise = d.window * (RAISE - 1);
            if (d.filled && d.held > 0 && d.sentUnder >= raise && d.window < cap) {
                move(d, min(cap, d.window * RAISE));
            }
            d.filled = false;
            for (int i = 0; i < d.size; i++) {
                routeOf[d.endpoints[i]].pressed = false;
            }
            if (d.held == 0 && d.inFlight == 0 && now - d.lastUsed > IDLE) {
                move(d, start);
            }
        }
    }

    // ---- Pick

    private Route[] routeOf = new Route[32];
    private int[] zoneOf = new int[32], phase = new int[32], lastBad = new int[32], badRun = new int[32];
    private int[] calls = new int[32], callCap = new int[32], backCap = new int[32];
    private double[] lat = new double[32], spread = new double[32], gap = new double[32];
    private double[] ill = new double[32], credit = new double[32], turnOf = new double[32];
    private double[] budget = new double[32];
    private boolean[] mayHaveRun = new boolean[32];
    private long[] lastAnswer = new long[32], lastSend = new long[32], sentLast = new long[32];
    private long[] sickSince = new long[32], backSince = new long[32], trialAt = new long[32];
    private long[] budgetAt = new long[32], crowdedAt = new long[32];
    private List<ArrayDeque<Call>> outAt = new ArrayList<>();
    private int endpointCount;

    private static final double USUAL_LAT = 0.5 * SECOND;

    private int pick(Destination d, Envelope e) {
        int best = -1;
        double sum = 0;
        for (int i = 0; i < d.size; i++) {
            int at = d.endpoints[i];
            if (!usable(at, e)) {
                continue;
            }
            double weight = (1.05 - min(1, ill[at])) / (lat[at] + 50 * MS);
            sum += weight;
            turnOf[at] += weight;
            if (best < 0 || turnOf[at] > turnOf[best]) {
                best = at;
            }
        }
        if (best >= 0) {
            turnOf[best] -= sum;
        }
        return best;
    }

    private boolean usable(int at, Envelope e) {
        Settings.Offering o = offerings[e.offering];
        Route r = routeOf[at];
        if (phase[at] != UP || now < r.waitUntil || r.tokens < 1
            || calls[at] >= callCap[at] || now < crowdedAt[at]
            || !knowsRepeat(at, e)
            || e.to.bundle > 1 && lastSend[at] == turns) {
            return false;
        }
        if (sickSince[at] >= 0) {
            // A trial may be lost: it is one that can be mended, unless the trouble proves that none ran.
            return now >= trialAt[at] && calls[at] == 0
                && (o.kind() != Settings.Kind.ONCE_ONLY || !mayHaveRun[at]
                || now - trialAt[at] > LONE_TRIAL);
        }
        if (backSince[at] >= 0 && (calls[at] >= backCap[at] || budget[at] < 1)) {
            return false;
        }
        return e.shots == 0 || credit[at] >= 1;
    }

    private boolean knowsRepeat(int at, Envelope e) {
        return e.doubtSince < 0 || !offerings[e.offering].oneZone() || zoneOf[at] == e.doubtZone;
    }

    private static final long CROWDED_PAUSE = 60 * MS, LONE_TRIAL = 3 * SECOND;

    // ---- Pace

    private static final double PACE_UP = 0.015, PACE_DOWN = 0.85, PACE_FLOOR = 0.5;
    private static final double PACE_START = 1.2, LENT = 0.05;

    private double rateOf(Route r) {
        return r.told > 0 ? r.told : r.listed;
    }

    /** This relay's even part, and some of what the others, the more they are, leave unused on the whole. */
    private double part(Route r) {
        return rateOf(r) * (PACE_START / relays + LENT * (1 - 1.0 / relays));
    }

    private void refill(Route r) {
        double rate = rateOf(r);
        if (!(rate > 0) || r.told == 0) {
            // A destination that says it has no limit is left to the window: an even part of a guessed rate
            // kept envelopes waiting wherever many relays send little each.
            r.tokens = slots;
            r.tokensAt = now;
            return;
        }
        r.pace = r.pace > 0 ? r.pace : part(r);
        r.tokens = min(max(1, r.pace * 0.5), r.tokens + r.pace * (now - r.tokensAt) / SECOND);
        r.tokensAt = now;
    }

    private void refused(Route r, Call call, long wait) {
        r.fulls++;
        if (call.generation == call.to.generation) {
            double even = rateOf(r) / relays;
            r.pace = r.pace > even ? (r.pace + even) / 2 : max(PACE_FLOOR * even, r.pace * PACE_DOWN);
        }
        // Guards against refusals feeding on themselves where refused calls use up the limit, and many relays
        // back at one told moment: in a run the pause grows past this relay's even part of the limit, and
        // after a wait as long as an outage the first calls spread like trials.
        double one = SECOND / max(0.1, rateOf(r) > 0 ? rateOf(r) : 4);
        double growth = Math.pow(2 + min(2, relays / 24.0), min(9, r.fulls - 1));
        double pause = min(max(2 * SECOND, 1.5 * relays * one),
            max(120 * MS, min(relays / 8.0, 6) * one) * growth);
        pause = wait > SHUT_AFTER ? max(pause, trialGap(call.endpoint) - 2 * SECOND) : pause;
        pause *= wait > 0 ? chance() : 0.75 + chance() / 2;
        r.waitUntil = max(r.waitUntil, now + wait + (long) pause);
    }

    // ---- Health and return

    private boolean isSick(Destination d) {
        for (int i = 0; i < d.size; i++) {
            int at = d.endpoints[i];
            if (phase[at] == UP && (sickSince[at] >= 0 || ill[at] > 0.3)) {
                return true;
            }
        }
        return false;
    }

    private void learn(Call call, int outcome, long elapsed) {
        int at = call.endpoint;
        if (outcome == CANCELLED || outcome == MOOT) {
            return;
        }
        if (outcome == FULFILLED || outcome == FULL) {
            lastAnswer[at] = now;
            credit[at] = min(CREDIT_MOST, credit[at] + (outcome == FULL ? 1 : CREDIT_GAIN));
        }
        if (outcome == FULL) {
            trialAt[at] = routeOf[at].waitUntil;
            return;
        }
        if (outcome == FULFILLED) {
            Route r = routeOf[at];
            r.fulls /= 2;
            // Raised by answers, not by time: where many relays send little each, a raise a tick outran cuts.
            r.pace = r.pressed ? min(rateOf(r), r.pace + PACE_UP * max(part(r), r.pace)) : r.pace;
            if (callCap[at] < NO_CAP && now - crowdedAt[at] > SECOND) {
                callCap[at]++;
                crowdedAt[at] = now;
            }
            boolean alone = badRun[at] == 1 && lastBad[at] == TIMEOUT && elapsed < 2 * lat[at];
            lost += 0.03 * ((alone ? 1 : 0) - lost);
            renewUntil = lost > 2 * LOSSY ? now + RENEW_FOR : renewUntil;
            badRun[at] = 0;
            ill[at] *= 0.8;
            double off = min(elapsed, 4 * lat[at]) - lat[at];
            lat[at] += 0.15 * off;
            spread[at] += 0.15 * (Math.abs(off) - spread[at]);
            if (sickSince[at] >= 0) {
                if (ill[at] < 0.15 && !mayHaveRun[at]) {
                    sickSince[at] = -1;
                } else {
                    back(at);
                }
            } else if (backSince[at] >= 0) {
                backCap[at]++;
            }
            return;
        }
        lastAnswer[at] = outcome == ERROR || outcome == BROKEN ? now : lastAnswer[at];
        badRun[at]++;
        lastBad[at] = outcome;
        if (outcome == TIMEOUT && badRun[at] > 1) {
            lat[at] = max(lat[at], min(elapsed, 2 * lat[at]));
        }
        boolean ran = outcome != UNREACHED;
        boolean turnedAway = !ran && elapsed < connectFor;
        if (turnedAway && sickSince[at] < 0 && backSince[at] < 0 && badRun[at] < CROWDED_RUN) {
            // Guards against reading a full connection table as an outage: it turns a call away at once, a
            // silent machine lets it run into its time. Some connects still succeed, so it takes a run of
            // failures, each tried a bit later than the last. A crash is seen that later.
            callCap[at] = max(1, min(callCap[at], calls[at]));
            crowdedAt[at] = now + (CROWDED_PAUSE << badRun[at]);
            return;
        }
        ill[at] += 0.2 * (1 - ill[at]);
        if (sickSince[at] >= 0) {
            mayHaveRun[at] |= ran;
            long soon = turnedAway ? CROWDED_PAUSE << min(badRun[at], 16) : NEVER;
            trialAt[at] = now + min(soon, trialGap(at));
        } else if (backSince[at] >= 0 ? ill[at] > 0.3 || !ran && badRun[at] >= 2 : ill[at] > 0.5 || !ran) {
            // Most calls must fail, not a few of many: a thin spread of resets is no outage, and ramping for
            // one costs more than it loses. An endpoint just back is doubted sooner.
            sicken(at, ran);
        }
    }

    private static final double CREDIT_MOST = 8, CREDIT_GAIN = 0.5, LOSSY = 0.04;
    private static final long RENEW_FOR = 30 * SECOND;
    private double lost;
    private long renewUntil;
    private static final long CROWDED_FOR = 60 * SECOND, SHUT_AFTER = 2500 * MS;
    private static final int NO_CAP = 1 << 20, CROWDED_RUN = 4;

    private void sicken(int at, boolean ran) {
        if (sickSince[at] >= 0) {
            return;
        }
        sickSince[at] = now;
        backSince[at] = -1;
        mayHaveRun[at] = ran;
        trialAt[at] = now + trialGap(at);
    }

    private void back(int at) {
        sickSince[at] = -1;
        backSince[at] = now;
        backCap[at] = 1;
        budget[at] = min(1, 2 * ramp(at, 0) * fallFor / SECOND);
        budgetAt[at] = now;
        ill[at] = 0;
        badRun[at] = 0;
    }

    /**
     * What this relay may send a second to an endpoint back from an outage: its part, among the relays that
     * can have met the outage, of what the destination bears and of what the others, who know nothing, send.
     */
    private double ramp(int at, long since) {
        Route r = routeOf[at];
        double rate = r.told > 0 ? r.told : r.listed > 0 ? r.listed * rateDoubt : 2;
        double warm = coldFrom + (1 - coldFrom) * min(1, since / (double) coldFor);
        double knowing = min(relays, max(1, rate * IDLE / SECOND));
        return rate * (coldMultiple * warm + 1 - knowing / relays) / knowing / max(1, r.members);
    }

    private long trialGap(int at) {
        double gap = SECOND / max(0.01, ramp(at, 0));
        // Many relays' trials add up: at their even part a call each 2.5 s would push over what returns.
        double most = 2500 * MS * max(1, relays * routeOf[at].members / 6.0);
        return (long) (max(400 * MS, min(most, gap)) * (0.9 + 0.2 * chance()));
    }

    /** Silence is no outcome: shots out for far longer than answers take here say that none will come. */
    private void listen() {
        for (int at = 0; at < endpointCount; at++) {
            if (backSince[at] >= 0) {
                if (now - backSince[at] > coldFor) {
                    backSince[at] = -1;
                } else {
                    double rate = ramp(at, now - backSince[at]);
                    budget[at] = min(max(1, rate / 2),
                        budget[at] + rate * (now - budgetAt[at]) / SECOND);
                    budgetAt[at] = now;
                }
            }
            if (calls[at] == 0 || sickSince[at] >= 0) {
                continue;
            }
            ArrayDeque<Call> line = outAt.get(at);
            while (line.peekFirst().left == 0) {
                line.pollFirst();
            }
            // One answer may be lost anywhere; silence is two that stay away long, or one after two failures.
            int needed = badRun[at] > 1 ? 1 : 2;
            long quiet = 0;
            for (Call call : line) {
                if (call.left > 0 && --needed == 0) {
                    quiet = now - max(call.sentAt, lastAnswer[at]);
                    break;
                }
            }
            if (quiet > 700 * MS && quiet > lat[at] * (2.5 + 4.0 / calls[at])) {
                sicken(at, true);
            }
        }
    }

    // ---- Further shots

    private long patience(Envelope e, int at) {
        // Giving up on a once-only shot gains nothing: the envelope may have run and could not go again.
        if (offerings[e.offering].kind() == Settings.Kind.ONCE_ONLY) {
            return 0;
        }
        // Answers lost one by one, with others at their usual pace around them, won't come; but where whole
        // endpoints stall or queue, a short time-out only adds to their work.
        long within = (long) (lost > LOSSY ? max(600 * MS, lat[at] + 4 * spread[at])
            : max(1500 * MS, 6 * lat[at]));
        return now + within >= e.expiry ? 0 : within;
    }

    private void send(Envelope e, Call call) {
        unhold(e);
        int at = call.endpoint;
        long within = patience(e, at);
        if (e.shots > 0) {
            credit[at] = max(0, credit[at] - 1);
        }
        e.shots++;
        e.call = call;
        call.size++;
        call.carried.add(e);
        call.left++;
        call.to.sentUnder++;
        e.next = outcome -> afterShot(e, call, outcome);
        out.send(e.id, at, within);
    }

    /**
     * Guards against calls without answer holding the slots that others need, whatever the cause:
     * where slots run short the oldest shots at sick endpoints are called off, for the design leaves a sick
     * destination half of the slots and two could hold all. Harms once-only envelopes that would be answered.
     */
    private void callOff() {
        int wanted = max(1, slots / 4) - (slots - slotsOut);
        if (wanted <= 0 || !mayCancel) {
            return;
        }
        boolean othersWait = false;
        for (Destination d : known) {
            othersWait |= d.held > 0 && !isSick(d) && room(d) > 0;
        }
        for (int at = 0; othersWait && wanted > 0 && at < endpointCount; at++) {
            double hopeless = sickSince[at] >= 0 ? max(HOPELESS, 4 * lat[at])
                : max(2 * HOPELESS, 8 * lat[at]);
            for (Call call : calls[at] > 0 ? outAt.get(at) : NO_CALLS) {
                if (wanted > 0 && call.left > 0 && now - call.sentAt > hopeless) {
                    wanted--;
                    for (Envelope e : call.calledOff ? List.<Envelope>of() : call.carried) {
                        if (e.call == call) {
                            out.cancel(e.id, e.shots - 1);
                        }
                    }
                    call.calledOff = true;
                }
            }
        }
    }

    private static final ArrayDeque<Call> NO_CALLS = new ArrayDeque<>();
    private static final long HOPELESS = 1500 * MS;

    private void afterShot(Envelope e, Call call, int outcome) {
        boolean neverRan = outcome == FULL || outcome == UNREACHED || outcome == MOOT;
        Settings.Offering o = offerings[e.offering];
        if (!neverRan && e.doubtSince < 0) {
            e.doubtSince = call.sentAt;
            e.doubtZone = zoneOf[call.endpoint];
            if (o.kind() == Settings.Kind.TAGGED && e.doubtSince + o.memory() - GIVE_UP_AHEAD < e.giveUpAt) {
                byGiveUp.remove(e);
                e.giveUpAt = e.doubtSince + o.memory() - GIVE_UP_AHEAD;
                byGiveUp.add(e);
            }
        }
        if (!mayRepeat(e) || e.shots >= shotLimit || now >= e.giveUpAt) {
            finish(e, 0);
        } else {
            hold(e, true);
        }
    }

    // ---- Answers

    public void settled(int id, boolean over, int shot, int endpoint, int outcome, long wait, long elapsed,
                        double left, double limit) {
        Envelope e = envelopes[id];
        Call call = e == null ? null : e.call;
        if (call == null) {
            return;
        }
        e.call = null;
        Destination d = call.to;
        if (--call.left == 0) {
            slotsOut--;
            d.inFlight--;
            calls[call.endpoint]--;
        }
        Route r = routeOf[call.endpoint];
        int at = call.endpoint;
        if (calls[at] == 0 && outcome != UNREACHED && outcome != MOOT
            && (now - crowdedAt[at] < CROWDED_FOR || gap[at] > idleFor && d.held == 0)) {
            // Guards against idle connections of many relays filling a table, also before any connect failed:
            // one that would hardly be used again before it closes by itself only keeps others out.
            out.close(at);
        }
        if (limit >= 0) {
            r.told = !(r.told > 0) || limit == 0 ? limit : r.told + 0.2 * (limit - r.told);
        }
        if (outcome == FULL) {
            if (!call.learnt) {
                refused(r, call, wait);
            } else if (wait > 0) {
                r.waitUntil = max(r.waitUntil, now + wait);
            }
            cut(d, call.generation);
        }
        if (!call.learnt) {
            call.learnt = true;
            learn(call, outcome, elapsed);
        }
        if (e.line != null && (outcome == TIMEOUT || outcome == BROKEN || outcome == CANCELLED)) {
            e.line.restUntil = max(e.line.restUntil, now + settle);
        }
        if (over || e.ended) {
            close(e);
            advance(e);
        } else {
            e.next.with(outcome);
        }
    }

    /** No probe or note is sent yet: nothing hangs on either. */
    public void probed(int endpoint, int outcome, long elapsed, double left, double limit) { }

    public void noted(int relay, byte[] text) { }

    // ---- List

    private boolean listWhole;
    private boolean[] listNamed = new boolean[32];
    private long askAt = NEVER;
    private long askBackoff;

    private void askList() {
        out.list(true);
        askAt = now + 3 * SECOND;
    }

    public void listBegins(boolean whole, boolean cached) {
        listWhole = whole;
        if (!cached) {
            askAt = NEVER;
            askBackoff = 0;
        }
        Arrays.fill(listNamed, false);
    }

    public void listed(int at, int zone, int kind, int destination, int phaseNow, double rate, long since) {
        if (at >= routeOf.length) {
            grow(at * 2);
        }
        listNamed[at] = true;
        Destination d = destination(destination);
        boolean isApart = kind < apart.length && apart[kind];
        if (routeOf[at] == null) {
            while (outAt.size() <= at) {
                outAt.add(new ArrayDeque<>());
            }
            endpointCount = max(endpointCount, at + 1);
            lat[at] = USUAL_LAT;
            spread[at] = USUAL_LAT / 2;
            credit[at] = 3;
            sickSince[at] = backSince[at] = -1;
            callCap[at] = NO_CAP;
            crowdedAt[at] = -NEVER;
            lastSend[at] = -1;
            phase[at] = 2;
            if (d.size == d.endpoints.length) {
                d.endpoints = copyOf(d.endpoints, d.size * 2);
            }
            d.endpoints[d.size++] = at;
            d.bundle = kind < bundles.length ? max(1, bundles[kind]) : 1;
            if (!isApart && d.shared == null) {
                d.shared = new Route();
            }
            routeOf[at] = isApart ? new Route() : d.shared;
            routeOf[at].tokensAt = now;
        }
        zoneOf[at] = zone;
        if (ratesListed) {
            routeOf[at].listed = rate;
        }
        turnPhase(at, phaseNow);
        if (sentLast[at] == 0) {
            gap[at] = SECOND * relays * max(1, routeOf[at].members) / max(0.1, rateOf(routeOf[at]));
        }
    }

    private void turnPhase(int at, int phaseNow) {
        if ((phase[at] == UP) != (phaseNow == UP)) {
            routeOf[at].members += phaseNow == UP ? 1 : -1;
        }
        phase[at] = phaseNow;
    }

    public void listEnds() {
        for (int at = 0; listWhole && at < endpointCount; at++) {
            if (!listNamed[at] && routeOf[at] != null) {
                turnPhase(at, 2);
            }
        }
    }

    public void listFailed() {
        // The notice doesn't say whether the watch still stands, so it is asked for again, ever more slowly.
        askBackoff = askBackoff == 0 ? askAgain : min(4 * askAgain, askBackoff * 2);
        askAt = min(askAt, now + (long) (askBackoff * (0.5 + chance())));
    }

    private void grow(int size) {
        routeOf = copyOf(routeOf, size); zoneOf = copyOf(zoneOf, size); phase = copyOf(phase, size);
        lat = copyOf(lat, size); ill = copyOf(ill, size); gap = copyOf(gap, size);
        spread = copyOf(spread, size); credit = copyOf(credit, size); turnOf = copyOf(turnOf, size);
        budget = copyOf(budget, size); lastBad = copyOf(lastBad, size); badRun = copyOf(badRun, size);
        calls = copyOf(calls, size); callCap = copyOf(callCap, size); backCap = copyOf(backCap, size);
        sentLast = copyOf(sentLast, size); lastSend = copyOf(lastSend, size);
        mayHaveRun = copyOf(mayHaveRun, size); lastAnswer = copyOf(lastAnswer, size);
        sickSince = copyOf(sickSince, size); backSince = copyOf(backSince, size);
        trialAt = copyOf(trialAt, size); budgetAt = copyOf(budgetAt, size);
        crowdedAt = copyOf(crowdedAt, size); listNamed = copyOf(listNamed, size);
    }

    // ---- The turn

    public void due() {
        alarmAt = NEVER;
    }

    /** Closes a round: what time alone decides, then whatever may go out goes. */
    public void turn() {
        turns++;
        if (now >= askAt) {
            askList();
        }
        listen();
        while (!byGiveUp.isEmpty() && (byGiveUp.peek().ended || byGiveUp.peek().giveUpAt <= now)) {
            Envelope e = byGiveUp.poll();
            if (!e.ended && e.call == null) {
                finish(e, 0);
            }
        }
        for (int i = resting.size() - 1; i >= 0; i--) {
            if (resting.get(i).restUntil <= now) {
                step(resting.remove(i));
            }
        }
        if (now >= tickAt) {
            tick();
            tickAt = now + TICK;
        }
        dispatch();
        callOff();
        long wake = min(tickAt, now + (open > 0 ? 20 * MS : TICK));
        if (alarmAt > wake) {
            alarmAt = wake;
            out.alarm(wake - now);
        }
    }

    private void dispatch() {
        boolean sent = true;
        for (int round = 0; sent; round++) {
            sent = false;
            for (int i = 0; i < known.size(); i++) {
                Destination d = known.get((int) ((turns + i) % known.size()));
                sent |= d.held > 0 && d.size > 0 && offer(d, round == 0);
            }
        }
    }

    private boolean offer(Destination d, boolean first) {
        long typical = (long) USUAL_LAT;
        for (int i = 0; i < d.size; i++) {
            typical = min(typical, (long) lat[d.endpoints[i]]);
            if (first) {
                refill(routeOf[d.endpoints[i]]);
            }
        }
        boolean full = room(d) <= 0;
        d.filled |= full;
        if (full || slotsOut >= slots) {
            return false;
        }
        sortLate(d, typical);
        int at = -1;
        Call call = null;
        for (Envelope e = next(d, typical, at); e != null; e = next(d, typical, at)) {
            if (call == null) {
                at = chosen;
                call = begin(d, at);
            }
            send(e, call);
            if (call.size >= d.bundle || sickSince[at] >= 0 || backSince[at] >= 0) {
                break;
            }
        }
        if (call == null) {
            for (int i = 0; i < d.size; i++) {
                routeOf[d.endpoints[i]].pressed |= routeOf[d.endpoints[i]].tokens < 1;
            }
            return false;
        }
        lastSend[at] = turns;
        return true;
    }

    private int chosen;

    private Call begin(Destination d, int at) {
        Call call = new Call();
        call.endpoint = at;
        call.to = d;
        call.generation = d.generation;
        call.sentAt = now;
        slotsOut++;
        d.inFlight++;
        d.lastUsed = now;
        calls[at]++;
        outAt.get(at).addLast(call);
        gap[at] += sentLast[at] == 0 ? 0 : 0.3 * (now - sentLast[at] - gap[at]);
        sentLast[at] = now;
        charge(at);
        d.filled |= room(d) <= 0;
        if (now < renewUntil) {
            // Guards against connections that died while idle, unseen here: a call on one is lost.
            out.close(at);
        }
        return call;
    }

    private void charge(int at) {
        routeOf[at].tokens--;
        if (backSince[at] >= 0) {
            budget[at]--;
        }
        if (sickSince[at] >= 0) {
            trialAt[at] = now + trialGap(at);
        }
    }

    /** The held envelope to go next: the one a delay costs most among those that some endpoint may have. */
    private Envelope next(Destination d, long typical, int joined) {
        Route r = routeOf[d.endpoints[0]];
        double rate = rateOf(r) > 0 ? rateOf(r) / relays : 2;
        long horizon = (long) max(250 * MS, min(8 * SECOND, d.held / rate * SECOND));
        long tried = 0;
        while (true) {
            Envelope best = null;
            double most = -1;
            int from = -1;
            for (int i = 0; i < 2 * offerings.length; i++) {
                Envelope e = (tried >> i & 1) != 0 ? null
                    : i % 2 == 0 ? end(d.fresh.get(i / 2), true) : end(d.late.get(i / 2), false);
                if (e != null) {
                    double gain = urgency(e, typical, horizon);
                    if (gain > most) {
                        most = gain;
                        best = e;
                        from = i;
                    }
                }
            }
            chosen = best == null ? -1 : joined < 0 ? pick(d, best)
                : knowsRepeat(joined, best) && (best.shots == 0 || credit[joined] >= 1) ? joined : -1;
            if (best == null || chosen >= 0) {
                return best;
            }
            tried |= 1L << from;
        }
    }
}
