package yewpath.lab.world;

import org.HdrHistogram.Histogram;
import yewpath.PolicySettings;
import yewpath.lab.core.Calendar;
import yewpath.lab.core.Chance;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;

/** One run: builds the world, plays it to its end, and tells what became of it. One thread; the same seed, the same run. */
public final class World {
    /** What a run comes to. Delays are in microseconds. */
    public record RunResult(double revenueShare, double deliveredShare, double onTimeShare,
        double failedShare, long requests, long submissions, long refusals, long rejections, long collapses,
        int violationCount, long eventCount, double decisionMicrosPerMessage, Histogram deliveryDelays,
        java.util.List<String> violations, java.util.List<Sample> samples) {}

    /** One of some hundred moments of a run: counts since the moment before, and what is held and served just then. */
    public record Sample(long atMicros, long requests, long deliveries, long refusedOrRejected,
        int openMessages, int callsInService, int callsQueued, int firstRelayOpenMessages,
        int firstRelayOpenCalls) {}

    private static final int MOMENTS = 120;

    /** How long an ordered key rests after a shot that may still run, as relays are told. */
    public static final long SETTLE = 500_000;
    private static final long AFTER = 1_000_000;
    public final Scenario s;
    final String policyName;
    final long seed;
    public final Calendar calendar = new Calendar();
    public final Referee referee;
    public final Station[] stations;
    public final Crowd crowd;
    private final Place[] places;
    private final Host[] relays;
    /** Which relays the front takes to be up. */
    private final boolean[] fronted;
    private final Chance network;
    private final Chance losses;
    private final Chance troubles;
    private boolean[] cut;
    private final java.util.List<Sample> series = new java.util.ArrayList<>();

    /** Makes a relay of a world: emulated, or another kind. */
    public interface Maker {
        Host make(World world, int index);
    }

    public World(Scenario scenario, String policyName, long seed) {
        this(scenario, policyName, seed, RelayHost::new);
    }

    public World(Scenario scenario, String policyName, long seed, Maker maker) {
        s = scenario;
        this.policyName = policyName;
        this.seed = seed;
        // Baselines break what they break by design: they are counted, not stopped.
        referee = new Referee(s.strict, 250_000 + 50_000, 100_000 + 50_000, 300_000 + 50_000);
        network = chance("network");
        losses = chance("losses");
        troubles = chance("troubles");
        places = new Place[s.destinations];
        stations = new Station[s.destinations * s.endpointsEach];
        for (int i = 0; i < places.length; i++) {
            places[i] = new Place(i, s);
        }
        Chance faults = chance("faults");
        Chance service = chance("service");
        for (int i = 0; i < stations.length; i++) {
            stations[i] = new Station(i, places[i / s.endpointsEach], s, calendar, referee, service, faults);
        }
        cut = new boolean[stations.length];
        crowd = new Crowd(this);
        relays = new Host[s.relays];
        fronted = new boolean[s.relays];
        for (int i = 0; i < relays.length; i++) {
            relays[i] = maker.make(this, i);
            fronted[i] = true;
        }
    }

    Chance chance(String cause) {
        return new Chance(seed, cause);
    }

    static Referee.Kind kind(String word) {
        return Referee.Kind.valueOf(word.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
    }

    /** Plays the run. A broken rule in a strict scenario ends it by {@link Referee.Broken}. */
    public RunResult run() {
        begin();
        calendar.playTo(end());
        return close();
    }

    /** Enters all that the scenario has; the calendar does the rest. */
    public void begin() {
        crowd.begin();
        look(0, 0, 0);
        for (Scenario.Trouble trouble : s.troubles) {
            calendar.at(trouble.at(), () -> begin(trouble));
        }
    }

    /** When all that was handed in has come to its end. */
    public long end() {
        long longest = 0;
        for (Scenario.Offering offering : s.offerings) {
            longest = Math.max(longest, offering.expiry());
        }
        return s.length + longest + AFTER;
    }

    /** Closes the books and tells what the run came to. */
    public RunResult close() {
        referee.close(calendar.now(), crowd.envelopes());
        long falls = 0;
        for (Station one : stations) {
            falls += one.falls;
        }
        long nanos = 0;
        for (Host relay : relays) {
            nanos += relay.decideNanos();
        }
        double wishes = Math.max(1, crowd.wishes);
        return new RunResult(crowd.possible == 0 ? 1 : crowd.revenue / crowd.possible,
            crowd.fulfilled / wishes,
            crowd.inAgreedTime / wishes, crowd.failed / wishes, crowd.wishes, crowd.handIns, crowd.refusals,
            crowd.deferrals, falls,
            referee.countAll(), calendar.played(), nanos / 1e3 / Math.max(1, crowd.envelopes()), crowd.delays,
            referee.first(), java.util.List.copyOf(series));
    }

    private void look(long wished, long fulfilled, long refused) {
        calendar.in(Math.max(1, s.length / MOMENTS), () -> {
            int held = 0;
            for (Host relay : relays) {
                held += relay.open();
            }
            int serving = 0;
            int waiting = 0;
            for (Station one : stations) {
                serving += one.serving();
                waiting += one.waiting();
            }
            series
                .add(new Sample(calendar.now(), crowd.wishesEver() - wished, crowd.fulfilledEver - fulfilled,
                    crowd.refusals + crowd.deferrals - refused, held, serving, waiting, relays[0].open(),
                    relays[0].callsOut()));
            if (calendar.now() < s.length) {
                look(crowd.wishesEver(), crowd.fulfilledEver, crowd.refusals + crowd.deferrals);
            }
        });
    }

    // ---- Troubles

    private void begin(Scenario.Trouble trouble) {
        int first = 0;
        switch (trouble.what()) {
            case "burst" -> {
                crowd.burst *= trouble.amount();
                calendar.in(trouble.length(), () -> crowd.burst /= trouble.amount());
            }
            case "relay-kill", "relay-lost" -> {
                int count = Math.max(1, (int) Math.round(trouble.part() * relays.length));
                first = troubles.below(relays.length);
                for (int i = 0; i < count; i++) {
                    kill((first + i) % relays.length, trouble);
                }
            }
            default -> {
                int count = Math.max(1, (int) Math.round(trouble.part() * places.length));
                first = troubles.below(places.length);
                for (int i = 0; i < count; i++) {
                    int place = (first + i) % places.length;
                    for (int j = 0; j < s.endpointsEach; j++) {
                        Station one = stations[place * s.endpointsEach + j];
                        turn(one, trouble, true);
                        calendar.in(trouble.length(), () -> turn(one, trouble, false));
                    }
                }
            }
        }
    }

    private void turn(Station one, Scenario.Trouble trouble, boolean on) {
        switch (trouble.what()) {
            case "silent" -> one.silent = on;
            case "refuse" -> {
                one.refusing = on;
                if (on) {
                    one.drop();
                } else {
                    one.comesBackCold();
                }
            }
            case "vanish" -> {
                one.vanished = on;
                if (!on) {
                    one.comesBackCold();
                }
            }
            case "slow" -> one.slow = on ? trouble.amount() : 1;
            case "errors" -> one.errors = on ? trouble.amount() : 0;
            case "resets" -> one.resets = on ? trouble.amount() : 0;
            case "limit" -> one.place.limitFactor = on ? trouble.amount() : 1;
            case "partition" -> cut[one.index] = on;
            case "drain" -> {
                one.draining = on;
                calendar.in(s.directoryDelay, () -> {
                    for (Host relay : relays) {
                        relay.listed(one);
                    }
                });
            }
            default -> throw new IllegalArgumentException("unknown trouble " + trouble.what());
        }
    }

    private void kill(int which, Scenario.Trouble trouble) {
        Host relay = relays[which];
        if (!relay.isUp()) {
            return;
        }
        relay.dies(trouble.what().equals("relay-kill"));
        // The front notices after some seconds.
        calendar.in(Math.min(trouble.length(), 2_000_000), () -> fronted[which] = relay.isUp());
        calendar.in(trouble.length(), () -> {
            relay.returns();
            fronted[which] = true;
        });
    }

    // ---- What relays and clients ask of the world

    Host choose(Chance chance) {
        int first = chance.below(relays.length);
        for (int i = 0; i < relays.length; i++) {
            int at = (first + i) % relays.length;
            if (fronted[at]) {
                return relays[at];
            }
        }
        return relays[first];
    }

    long trip() {
        return Math.max(1, Math.round(network.logNormal(s.delay, s.delaySpread)));
    }

    boolean lost() {
        return losses.is(s.loss);
    }

    boolean parted(int relay, Station from) {
        return cut[from.index] && relay % 2 == 0;
    }

    /** What discovery tells of an endpoint's rate. */
    public double listedRate() {
        return s.limit > 0 ? s.limit : s.endpointsEach * s.capacity * 1e6 / s.service;
    }

    PolicySettings settings(int self) {
        PolicySettings t = new PolicySettings();
        t.relayCount = s.relays;
        t.relayIndex = self;
        t.maxConcurrentCalls = s.slots;
        t.maxOpenMessages = s.hold;
        t.maxAttempts = s.tries;
        t.cancelAllowed = true;
        t.listReportsRate = true;
        t.reportsRetryAfter = true;
        t.maxRetryAfterMicros = 10_000_000;
        t.warmUpInitialShare = s.coldFrom;
        t.warmUpMicros = s.coldFor;
        t.collapseMultiple = s.fallMultiple;
        t.collapseWindowMicros = s.fallFor;
        t.settleAfterUncertainMicros = SETTLE;
        t.connectTimeoutMicros = s.connectTimeout;
        t.idleConnectionTimeoutMicros = s.connectionIdle;
        t.limitPerEndpoint = new boolean[1];
        t.maxBatchSize = new int[]{1};
        t.messageClasses = s.offerings.stream()
            .map(o -> new PolicySettings.MessageClass(o.revenue(), o.lateRevenue(), o.agreed(), o.expiry(),
                PolicySettings.DeliverySemantics.ofWord(o.kind()), false, o.memory(), o.ordered()))
            .toArray(PolicySettings.MessageClass[]::new);
        return t;
    }
}
