package yewpath;

import static java.lang.Math.max;
import static java.lang.Math.min;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import java.util.zip.CRC32;

/**
 * Every decision of one relay. A caller hands in what happened (the clock by {@link #setTime}, then the public
 * methods below) and closes each round with {@link #completeRound}; what is to be done is asked of {@link PolicyActions},
 * the interface; {@link PolicySettings} is what the relay is told. No threads. Envelopes, endpoints and all else
 * named are small indices of the caller's. docs/design.md explains the mechanism and each exception.
 */
public final class DeliveryPolicy {
    private static final int UP = 0, GONE = 2, NO_CAP = 1 << 20, CROWDED_RUN = 4, CHOICE = 8;
    private static final long MS = 1_000, SECOND = 1_000_000, NEVER = Long.MAX_VALUE / 4;

    // The design's own figures: where a window starts and ends, how it is cut and raised, and how often.
    private static final double START = 0.75, CUT = 0.8, RAISE = 1.5;
    private static final long TICK = SECOND, IDLE = 20 * SECOND;
    // An answer must leave ahead of the expiry: a round lost to a late alarm would lose the envelope.
    private static final long GIVE_UP_AHEAD = 40 * MS;

    private static final class Envelope {
        int id, offering, shots, doubtZone;
        long agreedAt, expiry, giveUpAt, doubtSince = -1;
        boolean ended, held;
        Destination to;
        KeyLine line;
        Call call;
    }

    private static final class Call {
        int generation, left;
        Endpoint endpoint;
        long sentAt;
        boolean learnt, calledOff;
        Destination to;
        final List<Envelope> carried = new ArrayList<>(1);
    }

    private static final class KeyLine {
        final int key;
        final ArrayDeque<Envelope> waiting = new ArrayDeque<>(2);
        long restUntil;

        KeyLine(int key) {
            this.key = key;
        }
    }

    /** What limit, wait and pace belong to: a destination, or an endpoint where routes are apart. */
    private static final class Route {
        double listed = Double.NaN, told = Double.NaN, pace, left, tokens = 1;
        long waitUntil, tokensAt, pressedAt = -NEVER;
        int fulls, members, answers;
        final Count refusals = new Count();
        final Destination of;

        Route(Destination of) {
            this.of = of;
        }
    }

    /** How often something happened, with what is long past fading out of it. */
    private static final class Count {
        private double sum;
        private long at;

        double by(long now, int more) {
            sum = sum * Math.exp((at - now) / (double) IDLE) + more;
            at = now;
            return sum;
        }
    }

    /** What falls due at a time: nothing is looked at between events but what one of these names. */
    private record Due(long at, long order, Runnable act) {}

    private final class Destination {
        Endpoint[] endpoints = {};
        int generation, sentUnder, inFlight, held, open, bundle = 1;
        double window = cap, earned;
        boolean filled, ready;
        long lastUsed, wakeAt = NEVER;
        final Route shared = new Route(this);
        final Count asked = new Count();
        /** Two for each offering: those in time in order of arrival, then the late. */
        final List<ArrayDeque<Envelope>> lines = Stream.generate(ArrayDeque<Envelope>::new)
            .limit(2 * offerings.length).toList();
        final ArrayDeque<Envelope> behind = new ArrayDeque<>(2);
    }

    /** What this relay knows of one endpoint; a new one counts with the usual latency until it answers. */
    private final class Endpoint {
        final int id;
        final Destination owner;
        final Route route;
        int zone, kind, phase = GONE, lastBad, badRun, calls, callCap = NO_CAP, backCap;
        double lat = USUAL_LAT, spread = USUAL_LAT / 2, gap, ill, credit = 3, turn, budget;
        boolean mayHaveRun;
        long lastAnswer, lastSend = -1, sentLast, sickSince = -1, backSince = -1;
        long trialAt, budgetAt, crowdedAt = -NEVER, listenAt, namedIn;

        Endpoint(int id, Destination owner, int kind) {
            this.id = id;
            this.owner = owner;
            route = kind < apart.length && apart[kind] ? new Route(owner) : owner.shared;
        }
    }

    private final PolicyActions out;
    private final long seed, began;
    private final Count askedInAll = new Count();
    private long now, drawn, turns, ordered, callOffAt, renewUntil, wholeLists, alarmAt = NEVER;
    private int slotsOut, open;
    private Endpoint chosen;
    private boolean listWhole;
    private Envelope[] envelopes = new Envelope[64];
    private final Map<Integer, Destination> destinations = new HashMap<>();
    private final Set<Destination> holding = new LinkedHashSet<>();
    private final ArrayList<Destination> filled = new ArrayList<>();
    private final ArrayDeque<Destination> ready = new ArrayDeque<>();
    private final ArrayList<Call> callsOut = new ArrayList<>();
    private final Map<Integer, KeyLine> keyLines = new HashMap<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>((a, b) -> a.at != b.at
        ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));

    // ---- Settings to figures

    private final PolicySettings.MessageClass[] offerings;
    private final boolean[] apart;
    private final int[] bundles;
    private final int slots, cap, sickCap, shotLimit, fillMark, relays, zone;
    private final double[] fees;
    private final boolean halving, ratesListed, mayCancel;
    private final double crossing, pricedCut, lone, rateDoubt, coldFrom, coldMultiple;
    private final long pauseLimit, coldFor, fallFor, settle, askAgain, idleFor, connectFor;

    public DeliveryPolicy(PolicySettings s, long seed, PolicyActions out, long now) {
        this.out = out;
        this.seed = seed;
        this.now = began = now;
        offerings = s.messageClasses.clone();
        apart = s.limitPerEndpoint.clone();
        bundles = s.maxBatchSize.clone();
        kindCrowdedAt = new long[max(1, apart.length)];
        Arrays.fill(kindCrowdedAt, -NEVER);
        slots = max(1, s.maxConcurrentCalls);
        lone = Arrays.stream(offerings).mapToDouble(o -> ALONE * SECOND / o.timeToLiveMicros()).max()
            .orElse(0);
        cap = max(1, (int) (START * slots));
        sickCap = max(1, slots / 2);
        shotLimit = s.maxAttempts > 0 ? s.maxAttempts : Integer.MAX_VALUE;
        fillMark = s.maxOpenMessages > 0 ? max(1, s.maxOpenMessages - max(1, s.maxOpenMessages / 16))
            : Integer.MAX_VALUE;
        relays = max(1, s.relayCount);
        halving = s.lateRevenueHalves;
        zone = s.zone;
        crossing = s.crossZonePrice;
        // The dearer a refusal, the deeper the cut: a tenth of a message's worth halves the pace.
        pricedCut = max(0.5, PACE_DOWN - 3.5 * s.refusalPrice);
        fees = s.zoneFees.clone();
        ratesListed = s.listReportsRate;
        rateDoubt = s.listedRateIsApproximate || !ratesListed ? 1 / 1.5 : 1;
        coldFrom = s.warmUpInitialShare > 0 ? s.warmUpInitialShare : 0.2;
        coldFor = s.warmUpMicros > 0 ? s.warmUpMicros : 15 * SECOND;
        coldMultiple = 0.425 * (s.collapseMultiple > 0 ? s.collapseMultiple : 2);
        fallFor = s.collapseWindowMicros > 0 ? s.collapseWindowMicros : 3 * SECOND;
        settle = s.settleAfterUncertainMicros;
        pauseLimit = s.maxRetryAfterMicros;
        mayCancel = s.cancelAllowed;
        connectFor = s.connectTimeoutMicros > 0 ? s.connectTimeoutMicros - s.connectTimeoutMicros / 8 : NEVER;
        idleFor = s.idleConnectionTimeoutMicros > 0 ? s.idleConnectionTimeoutMicros : NEVER;
        askAgain = s.listRequestIntervalMicros > 0 ? min(SECOND, s.listRequestIntervalMicros / 8) : SECOND;
        if (s.listOnRequest) {
            askBy(now);
        }
    }

    public void setTime(long clock) {
        now = clock;
    }

    private void later(long at, Runnable act) {
        dues.add(new Due(at, ordered++, act));
    }

    /** Uniform in [0, 1): a checksum, so that the same events give the same actions on any machine. */
    private double chance() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(drawn++).flip());
        return crc.getValue() / 4294967296.0;
    }

    // ---- Hold

    /** Shots and doubt are those of an earlier life of this relay: none, -1 and 0 for a new envelope. */
    public void messageAccepted(int id, int offering, int tenant, int key, int destination, long expiry,
        int shots,
        long doubtSince, int doubtZone) {
        if (id >= envelopes.length) {
            envelopes = Arrays.copyOf(envelopes, id * 2);
        }
        Envelope e = envelopes[id] = new Envelope();
        PolicySettings.MessageClass o = offerings[offering];
        e.id = id;
        e.offering = offering;
        e.expiry = expiry;
        e.agreedAt = expiry - o.timeToLiveMicros() + o.onTimeMicros();
        e.to = destinations.computeIfAbsent(destination, i -> new Destination());
        e.to.asked.by(now, 1);
        askedInAll.by(now, 1);
        earn(e.to);
        e.giveUpAt = expiry - GIVE_UP_AHEAD;
        e.shots = shots;
        open++;
        if (e.to.open++ == 0) {
            holding.add(e.to);
        }
        later(e.giveUpAt, () -> giveUp(e));
        if (o.ordered() && key >= 0) {
            e.line = keyLines.computeIfAbsent(key, KeyLine::new);
            e.line.waiting.add(e);
            lastBehind(e.to);
            e.to.behind.addLast(e);
            e.line.restUntil = doubtSince >= 0 ? now + settle : e.line.restUntil;
        }
        doubt(e, doubtSince, doubtZone);
        if (!mayShoot(e)) {
            finish(e, 0);
        } else if (e.line == null) {
            hold(e, false);
        } else if (e.line.waiting.peek() == e) {
            step(e.line);
        }
        if (open > fillMark) {
            shed();
        }
    }

    private void hold(Envelope e, boolean again) {
        e.held = true;
        e.to.held++;
        rouse(e.to);
        ArrayDeque<Envelope> line = e.to.lines.get(2 * e.offering);
        if (!again || !line.offerFirst(e)) {
            line.addLast(e);
        }
    }

    private void unhold(Envelope e) {
        e.to.held -= e.held ? 1 : 0;
        e.held = false;
    }

    private double worth(Envelope e, long at) {
        PolicySettings.MessageClass o = offerings[e.offering];
        double lateBy = max(0, at - e.agreedAt);
        double part = halving ? max(o.lateRevenueShare(), Math.pow(0.5, lateBy / max(1, o.onTimeMicros())))
            : 1 - (1 - o.lateRevenueShare()) * lateBy / max(1, e.expiry - e.agreedAt);
        return at >= e.expiry ? 0 : o.revenue() * part;
    }

    /** In order of arrival a whole backlog would be late; this asks what a delay would cost. */
    private double urgency(Envelope e, long lat, long horizon) {
        double soon = worth(e, now + lat);
        return soon - worth(e, now + lat + horizon) + 0.25 * soon;
    }

    private Envelope head(Destination d, int line) {
        return end(d.lines.get(line), line % 2 == 0);
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
        for (int i = 0; i < d.lines.size(); i += 2) {
            for (Envelope e = head(d, i); e != null && now + lat > e.agreedAt; e = head(d, i)) {
                d.lines.get(i + 1).addLast(d.lines.get(i).pollFirst());
            }
        }
    }

    /**
     * The hold is nearly full: what one destination can't take must not keep out the others' envelopes. Those
     * that wait behind another of their key count too, and the newest of them has the least to hope for.
     */
    private void shed() {
        Destination most = holding.stream()
            .max(Comparator.comparing(this::isSick).thenComparingInt(d -> d.open)).orElse(null);
        Envelope least = most == null ? null : lastBehind(most);
        for (int i = 0; most != null && i < most.lines.size(); i++) {
            Envelope e = end(most.lines.get(i), i % 2 == 1);
            boolean more = least != null && e != null && worth(e, now + SECOND) >= worth(least, now + SECOND);
            least = e == null || more ? least : e;
        }
        if (least != null) {
            finish(least, isSick(most) ? max(SECOND, pauseLimit) : resubmitDelayMicros());
        }
    }

    private Envelope lastBehind(Destination d) {
        Predicate<Envelope> waits = e -> e == null || !e.ended && e.line.waiting.peek() != e;
        while (!waits.test(d.behind.peekFirst())) {
            d.behind.pollFirst();
        }
        while (!waits.test(d.behind.peekLast())) {
            d.behind.pollLast();
        }
        return d.behind.peekLast();
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
            later(line.restUntil, () -> step(line));
        } else {
            hold(first, false);
        }
    }

    private void giveUp(Envelope e) {
        if (!e.ended && e.call == null && now >= e.giveUpAt) {
            finish(e, 0);
        }
    }

    /** The one place that answers: a deferral promises that nothing ran, or that a repeat is known. */
    private void finish(Envelope e, long pause) {
        PolicySettings.MessageClass o = offerings[e.offering];
        close(e);
        if (mayRepeat(e) && (e.doubtSince < 0 || o.semantics() == PolicySettings.DeliverySemantics.IDEMPOTENT
            || !o.deduplicatedPerZone())) {
            out.reject(e.id, pause);
        } else {
            out.fail(e.id);
        }
        advance(e);
    }

    private void close(Envelope e) {
        unhold(e);
        open -= e.ended ? 0 : 1;
        if (!e.ended && --e.to.open == 0) {
            holding.remove(e.to);
            e.to.behind.clear();
        }
        e.ended = true;
    }

    private void advance(Envelope e) {
        if (e.line != null && e.ended) {
            if (e.line.waiting.peek() == e) {
                step(e.line);
            } else if (e.call == null) {
                e.line.waiting.remove(e);
            }
            letGo(e.line);
        }
    }

    /** Guards against keys long over being kept for good: one that neither waits nor rests counts no more. */
    private void letGo(KeyLine line) {
        if (line.waiting.isEmpty() && line.restUntil > now) {
            later(line.restUntil, () -> letGo(line));
        } else if (line.waiting.isEmpty()) {
            keyLines.remove(line.key, line);
        }
    }

    /** Keys of which something is kept. */
    public int trackedKeyCount() {
        return keyLines.size();
    }

    private boolean mayRepeat(Envelope e) {
        PolicySettings.MessageClass o = offerings[e.offering];
        return e.doubtSince < 0 || o.semantics() == PolicySettings.DeliverySemantics.IDEMPOTENT
            || o.semantics() == PolicySettings.DeliverySemantics.DEDUPLICATED
                && now < e.doubtSince + o.deduplicationMicros();
    }

    public long resubmitDelayMicros() {
        return SECOND;
    }

    public void messageWithdrawn(int id) {
        close(envelopes[id]);
        advance(envelopes[id]);
    }

    // ---- Window

    private int room(Destination d) {
        return min(max(1, (int) d.window), isSick(d) ? sickCap : cap) - d.inFlight;
    }

    private void move(Destination d, double window) {
        d.window = window;
        d.generation++;
        d.sentUnder = 0;
    }

    private void fill(Destination d) {
        if (!d.filled && room(d) <= 0) {
            d.filled = filled.add(d);
            if (filled.size() == 1) {
                later(now + TICK, this::tick);
            }
        }
    }

    private void tick() {
        for (Destination d : filled) {
            double raise = d.window * (RAISE - 1);
            if (d.held > 0 && d.sentUnder >= raise && d.window < cap) {
                move(d, min(cap, d.window * RAISE));
                rouse(d);
            }
            d.filled = false;
        }
        filled.clear();
    }

    // ---- Pick

    private Endpoint[] endpoints = {};
    private final long[] kindCrowdedAt;

    /** Costs, as a part of an envelope's revenue, that halve an endpoint's turns. */
    private static final double HALVES = 0.006;

    private Endpoint pick(Destination d, Envelope e) {
        Endpoint best = null;
        double sum = 0;
        for (Endpoint target : d.endpoints) {
            double weight = usable(target, e) ? preference(target) : 0;
            sum += weight;
            target.turn += weight;
            best = weight > 0 && (best == null || target.turn > best.turn) ? target : best;
        }
        if (best != null) {
            best.turn -= sum;
        }
        return best;
    }

    /** Quick and healthy endpoints get more turns, dear ones fewer. */
    private double preference(Endpoint target) {
        return (1.05 - min(1, target.ill)) / (target.lat + 50 * MS) / dearness(target);
    }

    /** A crossing between zones, and a route's fee, take from the turns of an endpoint as from the result. */
    private double dearness(Endpoint target) {
        boolean hasFee = target.route != target.owner.shared && target.zone < fees.length;
        return 1 + ((target.zone == zone ? 0 : crossing) + (hasFee ? fees[target.zone] : 0)) / HALVES;
    }

    /** When this endpoint may have a call as far as time decides; NEVER where only an answer can tell. */
    private long opensAt(Endpoint target) {
        Route r = target.route;
        if (target.phase != UP || target.calls >= target.callCap || target.sickSince >= 0 && target.calls > 0
            || target.backSince >= 0 && target.calls >= target.backCap) {
            return NEVER;
        }
        long from = max(r.waitUntil, target.owner.earned >= 1 ? 0 : target.crowdedAt);
        from = r.tokens < 1 ? max(from, now + 1 + (long) ((1 - r.tokens) / speed(r) * SECOND)) : from;
        if (target.sickSince >= 0) {
            from = target.owner.earned >= 1 ? from : max(from, target.trialAt);
        } else if (target.backSince >= 0 && target.budget < 1) {
            double rate = ramp(target, now - target.backSince);
            from = max(from, now + 1 + (long) ((1 - target.budget) / rate * SECOND));
        }
        return target.lastSend == turns ? max(from, now + MS) : from;
    }

    private boolean usable(Endpoint target, Envelope e) {
        // A trial may be lost: it is one that can be mended, unless the trouble proves that none ran.
        return opensAt(target) <= now && knowsRepeat(target, e) && (target.sickSince < 0 ? e.shots == 0
            || target.credit >= 1 : !target.mayHaveRun || !onceOnly(e) || now - target.trialAt > LONE_TRIAL);
    }

    private boolean onceOnly(Envelope e) {
        return offerings[e.offering].semantics() == PolicySettings.DeliverySemantics.AT_MOST_ONCE;
    }

    private boolean knowsRepeat(Endpoint target, Envelope e) {
        return e.doubtSince < 0 || !offerings[e.offering].deduplicatedPerZone() || target.zone == e.doubtZone;
    }

    // ---- Pace

    private static final double PACE_UP = 0.015, PACE_DOWN = 0.85, PACE_FLOOR = 0.5, QUIET = 4,
        PACE_START = 1.2, LENT = 0.05, ALONE = 5, AT_ONCE = 0.5, SPARED = 0.2, CATCH_UP = 8;
    // What a further envelope weighs in a call, at most, and the weight that a ramp may run ahead, once warm.
    private static final double FURTHER = 0.25, DEBT = 2;

    private double rateOf(Route r) {
        return r.told > 0 ? r.told : r.listed;
    }

    /**
     * Calls a second a route takes from all relays, roughly. Where nothing is told or listed, what this relay
     * is asked for there stands in, with the mean over all destinations as one envelope's worth of doubt.
     */
    private double sizeOf(Route r) {
        double known = rateOf(r);
        if (known > 0) {
            return known;
        }
        double since = IDLE * (1 - Math.exp((began - now) / (double) IDLE)) / SECOND;
        double each = max(1, askedInAll.by(now, 0)) / destinations.size();
        return relays * (r.of.asked.by(now, 0) + 1) / max(1, since) / (1 + 1 / each)
            / (r == r.of.shared ? 1 : max(1, r.of.endpoints.length));
    }

    /** This relay's even part, and what others leave: the limit once for all, or a call for one envelope. */
    private double part(Route r) {
        double lent = r.told > 0 ? 0 : min(LENT, max(1.0 / relays, lone / rateOf(r)));
        return rateOf(r) * (PACE_START / relays + lent * (1 - 1.0 / relays));
    }

    /** Where the limit's share left is told, what is unused now may be sent for by whoever has envelopes. */
    private double speed(Route r) {
        return r.told > 0 ? max(r.pace, min(CATCH_UP * r.of.asked.by(now, 0) * SECOND / IDLE,
            r.told * AT_ONCE * (r.left - SPARED) / (1 + r.refusals.by(now, 0)))) : r.pace;
    }

    private void refill(Endpoint target) {
        Route r = target.route;
        r.pace = r.pace > 0 ? r.pace : part(r);
        // A destination that says it has no limit is left to the window: an even part of a guessed rate
        // kept envelopes waiting wherever many relays send little each.
        r.tokens = !(r.pace > 0) || r.told == 0 ? slots
            : min(max(1, r.pace * 0.5), r.tokens + speed(r) * (now - r.tokensAt) / SECOND);
        r.tokensAt = now;
        if (now - target.backSince > coldFor) {
            target.backSince = -1;
        } else if (target.backSince >= 0) {
            double rate = ramp(target, now - target.backSince);
            target.budget = min(max(1, rate / 2), target.budget + rate * (now - target.budgetAt) / SECOND);
            target.budgetAt = now;
        }
    }

    private void refused(Route r, Call call, long wait) {
        r.fulls++;
        r.answers = 0;
        r.refusals.by(now, 1);
        if (call.generation == call.to.generation) {
            double even = rateOf(r) / relays, own = PACE_START * even;
            // A lone envelope fills no limit; a second refusal would keep it waiting past its time.
            double cut = r.of.asked.by(now, 0) < 2 ? PACE_DOWN : pricedCut;
            r.pace = max(PACE_FLOOR * even, cut * (r.pace > own ? (r.pace + own) / 2 : r.pace));
        }
        // Many refused at one moment, as by a full queue, would all have their next token at one moment too.
        r.tokens -= (1 - 1.0 / relays) * chance();
        double spread = wait > SHUT_AFTER ? trialGap(call.endpoint) - 2 * SECOND : 0;
        double pause = max(pauseAfter(sizeOf(r), r.fulls), spread);
        r.waitUntil = max(r.waitUntil, now + wait + (long) (wait > 0 ? pause * chance() : pause));
    }

    private double pauseAfter(double rate, int run) {
        // Guards against refusals feeding on themselves where refused calls use up the limit, and many relays
        // back at one moment: in a run the pause grows past this relay's even part of the limit.
        double one = SECOND / max(0.1, rate);
        double growth = Math.pow(2 + min(2, relays / 24.0), min(9, run - 1)) * (0.75 + chance() / 2);
        return min(max(2 * SECOND, 1.5 * relays * one), max(120 * MS, min(relays / 40.0, 30) * one) * growth);
    }

    // ---- Health and return

    private boolean isSick(Destination d) {
        return Arrays.stream(d.endpoints).anyMatch(i -> i.phase == UP && (i.sickSince >= 0 || i.ill > 0.3));
    }

    private void learn(Call call, int outcome, long elapsed) {
        Endpoint target = call.endpoint;
        // Guards against connections that the other side closed unseen: a reset at once on a kept one tells
        // nothing of health, and where these are not rare, new connections cost less. Not every caller can
        // tell a kept connection from a new one, so the time tells: a round trip, well under an answer's.
        boolean inVain = (outcome == PolicyActions.STALE_CONNECTION
            || outcome == PolicyActions.CONNECTION_LOST) && elapsed < target.lat / 2;
        stale += inVain ? 0.06 * (1 - stale) : 0;
        if (inVain || outcome == PolicyActions.CANCELLED || outcome == PolicyActions.NOT_EXECUTED) {
            return;
        }
        if (outcome == PolicyActions.DELIVERED || outcome == PolicyActions.OVERLOADED) {
            target.lastAnswer = now;
            target.credit = min(CREDIT_MOST,
                target.credit + (outcome == PolicyActions.OVERLOADED ? 1 : CREDIT_GAIN));
        }
        if (outcome == PolicyActions.OVERLOADED) {
            target.trialAt = max(target.trialAt, target.route.waitUntil);
            return;
        }
        if (outcome == PolicyActions.DELIVERED) {
            learnDelivered(call, elapsed);
            return;
        }
        target.lastAnswer = outcome == PolicyActions.ERROR || outcome >= PolicyActions.CONNECTION_LOST ? now
            : target.lastAnswer;
        target.badRun++;
        target.lastBad = outcome;
        if (outcome == PolicyActions.TIMEOUT && target.badRun > 1) {
            target.lat = max(target.lat, min(elapsed, 2 * target.lat));
        }
        boolean ran = outcome != PolicyActions.UNREACHABLE, turnedAway = !ran && elapsed < connectFor;
        int run = Arrays.stream(call.to.endpoints)
            .mapToInt(i -> i.phase == UP && i.route == target.route ? i.badRun : 0).sum();
        long pause = (long) pauseAfter(sizeOf(target.route) / max(1, target.route.members), run + 1);
        if (turnedAway && target.sickSince < 0 && target.backSince < 0 && run < CROWDED_RUN) {
            // Guards against reading a full connection table, which turns calls away at once, as an outage:
            // it takes a run of failures over all endpoints.
            target.callCap = max(1, min(target.callCap, target.calls));
            kindCrowdedAt[target.kind] = now;
            call.to.earned = 0;
            for (Endpoint i : call.to.endpoints) {
                i.crowdedAt = i.badRun > 0 && i.route == target.route ? now + pause : i.crowdedAt;
            }
            return;
        }
        target.ill += 0.2 * (1 - target.ill);
        if (target.sickSince >= 0) {
            target.mayHaveRun |= ran;
            target.trialAt = now + trialGap(target);
        } else if (target.ill > 0.5 || target.backSince < 0 && !ran
            || target.backSince >= 0 && target.ill > 0.3) {
            // Most calls must fail, not a few of many: a thin spread of resets is no outage, and ramping for
            // one costs more than it loses. An endpoint just back is doubted sooner. A connect that ran into
            // its time speaks for all of the route not heard since: they mostly go together.
            boolean all = !ran && !turnedAway;
            for (Endpoint i : call.to.endpoints) {
                if (i == target || all && i.route == target.route && i.lastAnswer < call.sentAt) {
                    sicken(i, ran);
                }
            }
        }
    }

    private void learnDelivered(Call call, long elapsed) {
        Endpoint target = call.endpoint;
        Route r = target.route;
        r.fulls /= 2;
        // Raised by answers, not by time: where many relays send little each, a raise a tick outran cuts.
        double raise = PACE_UP * (1 + r.answers++ / QUIET) * max(PACE_START * rateOf(r) / relays, r.pace);
        raise = now - r.pressedAt < TICK ? raise : 0;
        r.pace = min(max(r.pace, rateOf(r)), r.pace + raise);
        if (target.callCap < NO_CAP && now - target.crowdedAt > SECOND) {
            target.callCap++;
            target.crowdedAt = now;
        }
        boolean alone = target.badRun == 1 && elapsed < 2 * target.lat;
        lost += 0.03 * ((alone && target.lastBad == PolicyActions.TIMEOUT ? 1 : 0) - lost);
        stale *= 0.97;
        renewUntil = max(lost, stale) > 2 * LOSSY ? now + RENEW_FOR : renewUntil;
        target.badRun = 0;
        target.ill *= 0.8;
        usual += 0.05 * (min(elapsed, 4 * usual) - usual);
        double off = min(elapsed, 4 * target.lat) - target.lat;
        target.lat += 0.15 * off;
        target.spread += 0.15 * (Math.abs(off) - target.spread);
        // Guards against ramps where answers get lost: one in time to a call from before ends no outage.
        boolean falseAlarm = call.sentAt <= target.sickSince && elapsed < SECOND;
        if (target.sickSince >= 0 && !falseAlarm && (target.ill >= 0.15 || target.mayHaveRun)) {
            // As they mostly go together, so they return: each is ramped, and doubted sooner.
            Arrays.stream(call.to.endpoints).filter(i -> i == target || i.sickSince >= 0
                && i.route == target.route).forEach(this::back);
        } else if (target.backSince >= 0) {
            target.backCap++;
        }
        well(target);
    }

    private static final double CREDIT_MOST = 8, CREDIT_GAIN = 0.5, LOSSY = 0.04, USUAL_LAT = 0.5 * SECOND;
    private static final long RENEW_FOR = 30 * SECOND, CROWDED_FOR = 60 * SECOND, SHUT_AFTER = 2500 * MS,
        LONE_TRIAL = 3 * SECOND, HOPELESS = 1500 * MS;
    private double lost, stale, usual = USUAL_LAT;

    private void sicken(Endpoint target, boolean ran) {
        if (target.sickSince < 0) {
            out.endpointHealthChanged(target.id, false);
        }
        target.sickSince = now;
        target.backSince = -1;
        target.owner.earned = 0;
        target.mayHaveRun = ran;
        target.trialAt = now + trialGap(target);
    }

    private void back(Endpoint target) {
        target.backSince = target.budgetAt = now;
        target.backCap = 1;
        target.budget = min(1, ramp(target, 0) * fallFor / SECOND / 3);
        target.ill = target.badRun = 0;
        well(target);
    }

    private void well(Endpoint target) {
        if (target.sickSince >= 0) {
            out.endpointHealthChanged(target.id, true);
        }
        target.sickSince = -1;
    }

    /**
     * What this relay may send a second to an endpoint back from an outage: its part, among the relays that
     * can have met it, of half of what the destination bears (arrivals earn the rest) and what others send.
     */
    private double ramp(Endpoint target, long since) {
        Route r = target.route;
        double rate = r.told > 0 ? r.told : sizeOf(r) * rateDoubt;
        double knowing = min(relays, max(1, rate * IDLE / SECOND));
        return rate * (coldMultiple * warm(since) + 1 - knowing / relays) / knowing / max(1, r.members);
    }

    /**
     * Each envelope that comes for what is sick or back earns its part of a full call. Who sends there now
     * are a few relays with much for it, by keys and clumps: an even part over all kept these waiting.
     */
    private void earn(Destination d) {
        double part = coldMultiple * (FURTHER + (1 - FURTHER) / d.bundle);
        d.earned = min(1, d.earned + part * coldFrom);
        for (Endpoint target : d.endpoints) {
            target.budget += target.backSince < 0 ? 0
                : part * warm(now - target.backSince) / max(1, target.route.members);
        }
    }

    private double warm(long since) {
        return coldFrom + (1 - coldFrom) * min(1, since / (double) coldFor);
    }

    private long trialGap(Endpoint target) {
        double gap = SECOND / max(0.01, ramp(target, 0));
        // Many relays' trials add up: at their even part a call each 2.5 s would push over what returns.
        double most = 2500 * MS * max(1, relays * target.route.members / 6.0);
        return (long) (max(400 * MS, min(most, gap)) * (0.9 + 0.2 * chance()));
    }

    /** Silence is no outcome: shots out for far longer than answers take here say that none will come. */
    private void listen(Endpoint target) {
        boolean idle = target.calls == 0 || target.sickSince >= 0;
        // One answer may be lost anywhere; silence is two that stay away long, or one after two failures.
        int needed = target.badRun > 1 ? 1 : 2;
        for (Call call : idle ? List.<Call>of() : callsOut) {
            if (call.endpoint == target && --needed == 0) {
                long quiet = max(call.sentAt, target.lastAnswer) + 1
                    + (long) max(700 * MS, target.lat * (2.5 + 4.0 / target.calls));
                if (now >= quiet) {
                    sicken(target, true);
                    rouse(call.to);
                } else if (target.listenAt <= now || quiet < target.listenAt) {
                    target.listenAt = quiet;
                    later(quiet, () -> listen(target));
                }
                return;
            }
        }
    }

    // ---- Further shots

    private long patience(Envelope e, Endpoint target) {
        // Answers lost one by one, with others at their usual pace around them, won't come; but where whole
        // endpoints stall or queue, a short time-out only adds to their work.
        double within = lost > LOSSY ? max(600 * MS, target.lat + 4 * target.spread) : timeOut(target.lat);
        // Giving up on a once-only shot gains nothing: the envelope may have run and could not go again.
        return onceOnly(e) || now + within >= e.expiry ? 0 : (long) within;
    }

    private static long timeOut(double usually) {
        return (long) max(1500 * MS, 6 * usually);
    }

    private void send(Envelope e, Call call) {
        unhold(e);
        Endpoint target = call.endpoint;
        out.send(e.id, target.id, patience(e, target), e.giveUpAt);
        target.credit = max(0, target.credit - min(1, e.shots));
        e.shots++;
        e.call = call;
        target.budget -= call.carried.isEmpty() ? 1 : FURTHER;
        call.carried.add(e);
        call.left++;
        call.to.sentUnder++;
    }

    /**
     * Guards against calls without answer holding the slots that others need: the design leaves a sick
     * destination half of them. Harms once-only envelopes that would be answered.
     */
    private void callOff(boolean maySend) {
        int wanted = max(1, slots / 4) - (slots - slotsOut);
        if (wanted <= 0 || !mayCancel || !maySend) {
            return;
        }
        boolean othersWait = ready.stream().anyMatch(d -> !isSick(d) && room(d) > 0);
        for (Call call : othersWait ? callsOut : List.<Call>of()) {
            double hopeless = max(HOPELESS, 4 * call.endpoint.lat);
            if (now - call.sentAt > (call.endpoint.sickSince >= 0 ? 1 : 2) * hopeless && wanted-- > 0) {
                call.carried.stream().filter(e -> e.call == call && !call.calledOff)
                    .forEach(e -> out.cancelAttempt(e.id, e.shots - 1));
                call.calledOff = true;
            }
        }
        if (othersWait && callOffAt <= now) {
            callOffAt = now + HOPELESS / 8;
            later(callOffAt, () -> {});
        }
    }

    private void afterShot(Envelope e, Call call, int outcome) {
        boolean neverRan = outcome == PolicyActions.OVERLOADED || outcome == PolicyActions.UNREACHABLE
            || outcome == PolicyActions.NOT_EXECUTED;
        doubt(e, neverRan ? -1 : call.sentAt, call.endpoint.zone);
        if (mayShoot(e)) {
            hold(e, true);
        } else {
            finish(e, 0);
        }
    }

    private void doubt(Envelope e, long since, int zone) {
        PolicySettings.MessageClass o = offerings[e.offering];
        if (since >= 0 && e.doubtSince < 0) {
            e.doubtSince = since;
            e.doubtZone = zone;
            if (o.semantics() == PolicySettings.DeliverySemantics.DEDUPLICATED
                && e.doubtSince + o.deduplicationMicros() - GIVE_UP_AHEAD < e.giveUpAt) {
                e.giveUpAt = e.doubtSince + o.deduplicationMicros() - GIVE_UP_AHEAD;
                later(e.giveUpAt, () -> giveUp(e));
            }
        }
    }

    private boolean mayShoot(Envelope e) {
        return mayRepeat(e) && e.shots < shotLimit && now < e.giveUpAt;
    }

    // ---- Answers

    public void attemptEnded(int id, boolean over, int shot, int endpoint, int outcome, long wait,
        long elapsed,
        double left, double limit) {
        Envelope e = envelopes[id];
        Call call = e == null ? null : e.call;
        if (call == null) {
            return;
        }
        e.call = null;
        Destination d = call.to;
        Endpoint target = call.endpoint;
        Route r = target.route;
        if (--call.left == 0) {
            slotsOut--;
            d.inFlight--;
            target.calls--;
            callsOut.remove(call);
        }
        if (target.calls == 0 && outcome != PolicyActions.UNREACHABLE && outcome != PolicyActions.NOT_EXECUTED
            && (now - kindCrowdedAt[target.kind] < CROWDED_FOR
                || target.gap > idleFor && d.held == 0 && e.line == null)) {
            // Guards against idle connections of many relays filling a table, also before any connect failed:
            // one that would hardly be used again before it closes by itself only keeps others out. Tables of
            // one kind are alike, and a relay with an idle one never meets the failure that it causes.
            out.closeIdleConnections(target.id);
        }
        r.told = limit > 0 && r.told > 0 ? r.told + 0.2 * (limit - r.told) : limit >= 0 ? limit : r.told;
        r.left = left >= 0 ? left : r.left;
        if (outcome == PolicyActions.OVERLOADED) {
            if (!call.learnt) {
                refused(r, call, wait);
            }
            if (call.generation == d.generation) {
                move(d, max(1, min(d.window, cap) * CUT));
            }
        }
        r.waitUntil = wait > 0 ? max(r.waitUntil, now + wait) : r.waitUntil;
        if (!call.learnt) {
            call.learnt = true;
            learn(call, outcome, elapsed);
            listen(target);
        }
        rouse(d);
        boolean mayRun = outcome == PolicyActions.TIMEOUT
            || outcome >= PolicyActions.CONNECTION_LOST && outcome != PolicyActions.NOT_EXECUTED;
        if (e.line != null && mayRun) {
            e.line.restUntil = max(e.line.restUntil, now + settle);
        }
        if (over || e.ended) {
            close(e);
            advance(e);
        } else {
            afterShot(e, call, outcome);
        }
    }

    // ---- List

    private long askAt = NEVER, askBackoff;

    private void askBy(long at) {
        askAt = at;
        later(at, () -> {
            if (askAt == at) {
                out.requestEndpointList(true);
                askBy(now + 3 * SECOND);
            }
        });
    }

    public void endpointListStarted(boolean whole, boolean cached) {
        listWhole = whole;
        askAt = cached ? askAt : NEVER;
        askBackoff = cached ? askBackoff : 0;
        wholeLists += whole ? 1 : 0;
    }

    public void endpointListed(int id, int zone, int kind, int destination, int phase, double rate,
        long since) {
        Destination d = destinations.computeIfAbsent(destination, i -> new Destination());
        endpoints = id < endpoints.length ? endpoints : Arrays.copyOf(endpoints, 2 * id + 32);
        if (endpoints[id] == null) {
            meet(endpoints[id] = new Endpoint(id, d, kind), kind);
        }
        Endpoint target = endpoints[id];
        target.namedIn = wholeLists;
        target.zone = zone;
        target.kind = min(kind, kindCrowdedAt.length - 1);
        target.route.listed = ratesListed ? rate : target.route.listed;
        turnPhase(target, phase);
        rouse(d);
    }

    private void meet(Endpoint target, int kind) {
        Destination d = target.owner;
        d.endpoints = Arrays.copyOf(d.endpoints, d.endpoints.length + 1);
        d.endpoints[d.endpoints.length - 1] = target;
        d.bundle = kind < bundles.length ? max(1, bundles[kind]) : 1;
        target.route.tokensAt = now;
        int health = Arrays.stream(d.endpoints)
            .mapToInt(i -> i.sickSince >= 0 ? 1 : i.phase == UP ? 2 : 0).reduce(0, (a, b) -> a | b);
        if (health == 1 && target.route == d.shared) {
            // Guards against what all relays hold storming an endpoint listed while its fellows are down.
            sicken(target, false);
            target.trialAt = now + (long) (trialGap(target) * chance());
        }
    }

    private void turnPhase(Endpoint target, int phase) {
        target.route.members += (phase == UP ? 1 : 0) - (target.phase == UP ? 1 : 0);
        target.phase = phase;
        if (phase == GONE) {
            later(now + IDLE, () -> forget(target.id));
        }
    }

    /**
     * Guards against memory growing while endpoints are replaced by others: as with a window, what is known
     * of one that stays away goes, and its index may be another's. A destination keeps its last.
     */
    private void forget(int id) {
        Endpoint target = endpoints[id];
        if (target == null || target.phase != GONE) {
            return;
        }
        Destination d = target.owner;
        if (target.calls > 0 || d.endpoints.length == 1) {
            later(now + IDLE, () -> forget(id));
        } else {
            d.endpoints = Arrays.stream(d.endpoints).filter(i -> i != target).toArray(Endpoint[]::new);
            endpoints[id] = null;
            out.releaseEndpoint(id);
        }
    }

    public void endpointListEnded() {
        for (Endpoint target : endpoints) {
            if (listWhole && target != null && target.namedIn != wholeLists) {
                turnPhase(target, GONE);
            }
        }
    }

    public void endpointListFailed() {
        // The notice doesn't say whether the watch still stands, so it is asked for again, ever more slowly.
        askBackoff = askBackoff == 0 ? askAgain : min(4 * askAgain, askBackoff * 2);
        askBy(min(askAt, now + (long) (askBackoff * (0.5 + chance()))));
    }

    // ---- The turn

    public void alarmFired() {
        alarmAt = now < alarmAt ? alarmAt : NEVER;
    }

    /** Closes a round: what time alone decides, then, where the caller can send, whatever may go out goes. */
    public void completeRound(boolean maySend) {
        turns++;
        while (!dues.isEmpty() && dues.peek().at <= now) {
            dues.poll().act.run();
        }
        dispatch(maySend);
        callOff(maySend);
        if (!dues.isEmpty() && alarmAt > dues.peek().at) {
            alarmAt = dues.peek().at;
            out.setAlarm(alarmAt - now);
        }
    }

    private void rouse(Destination d) {
        if (d.held > 0 && !d.ready && d.endpoints.length > 0) {
            d.ready = true;
            ready.addLast(d);
        }
    }

    private void dispatch(boolean maySend) {
        while (maySend && !ready.isEmpty() && slotsOut < slots) {
            Destination d = slots - slotsOut < ready.size() ? dearest() : ready.pollFirst();
            d.ready = false;
            if (d.held == 0 || offer(d)) {
                rouse(d);
            } else {
                sleep(d);
            }
        }
    }

    /**
     * Guards against slow destinations taking the slots that quick ones would turn over: where slots are
     * short the next call goes where it earns most in its time, of a few of those ready, in turns.
     */
    private Destination dearest() {
        Destination best = null;
        double most = -1;
        for (int i = min(CHOICE, ready.size()); i > 0; i--) {
            Destination d = ready.pollFirst();
            ready.addLast(d);
            long typical = typical(d);
            int line = foremost(d, typical, 0);
            // A trial may keep its slot until it times out.
            long takes = isSick(d) ? timeOut(typical) : typical;
            double gain = line < 0 ? 0 : urgency(head(d, line), typical, horizon(d)) / (takes + 50 * MS);
            if (gain > most) {
                most = gain;
                best = d;
            }
        }
        ready.removeLastOccurrence(best);
        return best;
    }

    private void sleep(Destination d) {
        long wake = NEVER;
        for (Endpoint target : d.endpoints) {
            long from = opensAt(target);
            from = from <= now && target.sickSince >= 0 ? target.trialAt + LONE_TRIAL + 1 : from;
            wake = from > now ? min(wake, from) : wake;
        }
        if (room(d) > 0 && wake < NEVER && (wake < d.wakeAt || d.wakeAt <= now)) {
            long due = d.wakeAt = wake;
            later(wake, () -> {
                if (d.wakeAt == due) {
                    rouse(d);
                }
            });
        }
    }

    private long typical(Destination d) {
        return (long) Arrays.stream(d.endpoints).mapToDouble(i -> i.lat).reduce(USUAL_LAT, Math::min);
    }

    private long horizon(Destination d) {
        double rate = rateOf(d.endpoints[0].route);
        return (long) max(250 * MS, min(8 * SECOND, d.held / (rate > 0 ? rate / relays : 2) * SECOND));
    }

    private boolean offer(Destination d) {
        long typical = typical(d);
        Arrays.stream(d.endpoints).forEach(this::refill);
        fill(d);
        if (room(d) <= 0) {
            return false;
        }
        sortLate(d, typical);
        Endpoint target = null;
        Call call = null;
        for (Envelope e = next(d, typical, target); e != null; e = next(d, typical, target)) {
            if (call == null) {
                target = chosen;
                call = begin(d, target);
            }
            send(e, call);
            if (call.carried.size() >= d.bundle || target.sickSince >= 0
                || target.backSince >= 0 && target.budget < FURTHER - DEBT * warm(now - target.backSince)) {
                break;
            }
        }
        if (call == null) {
            for (Endpoint i : d.endpoints) {
                i.route.pressedAt = i.route.tokens < 1 ? now : i.route.pressedAt;
            }
            return false;
        }
        target.lastSend = d.bundle > 1 ? turns : -1;
        return true;
    }

    private Call begin(Destination d, Endpoint target) {
        Call call = new Call();
        call.endpoint = target;
        call.to = d;
        call.sentAt = now;
        slotsOut++;
        if (d.inFlight++ == 0 && now - d.lastUsed > IDLE) {
            move(d, cap);
        }
        call.generation = d.generation;
        d.lastUsed = now;
        target.calls++;
        callsOut.add(call);
        target.lat = target.lastAnswer == 0 ? usual : target.lat;
        double since = now - target.sentLast;
        target.gap = target.sentLast == 0
            ? SECOND * relays * max(1, target.route.members) / max(0.1, sizeOf(target.route))
            : target.gap + (since < target.gap ? 0.7 : 0.3) * (since - target.gap);
        target.sentLast = now;
        target.route.tokens--;
        target.trialAt = target.sickSince >= 0 ? now + trialGap(target) : 0;
        d.earned = target.sickSince >= 0 || target.crowdedAt > now ? 0 : d.earned;
        fill(d);
        listen(target);
        if (now < renewUntil) {
            // Guards against connections that died while idle, unseen here: a call on one is lost.
            out.closeIdleConnections(target.id);
        }
        return call;
    }

    /** The line whose head a delay costs most. */
    private int foremost(Destination d, long typical, long tried) {
        long horizon = horizon(d);
        double most = -1;
        int line = -1;
        for (int i = 0; i < d.lines.size(); i++) {
            Envelope e = (tried >> i & 1) != 0 ? null : head(d, i);
            double gain = e == null ? -1 : urgency(e, typical, horizon);
            if (gain > most) {
                most = gain;
                line = i;
            }
        }
        return line;
    }

    /** The held envelope to go next: the one a delay costs most among those that some endpoint may have. */
    private Envelope next(Destination d, long typical, Endpoint joined) {
        long tried = 0;
        while (true) {
            int line = foremost(d, typical, tried);
            Envelope e = line < 0 ? null : head(d, line);
            chosen = e == null ? null : joined == null ? pick(d, e)
                : knowsRepeat(joined, e) && (e.shots == 0 || joined.credit >= 1) ? joined : null;
            if (e == null || chosen != null) {
                return e;
            }
            tried |= 1L << line;
        }
    }
}
