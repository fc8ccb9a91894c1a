package yewpath.lab.world;

import org.HdrHistogram.Histogram;
import yewpath.PolicySettings;
import yewpath.lab.core.EventCalendar;
import yewpath.lab.core.RandomStream;
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
    public final EventCalendar calendar = new EventCalendar();
    public final Referee referee;
    public final Station[] stations;
    public final Crowd crowd;
    private final Place[] places;
    private final Host[] relays;
    /** Which relays the front takes to be up. */
    private final boolean[] fronted;
    private final RandomStream network;
    private final RandomStream losses;
    private final RandomStream troubles;
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
        places = new Place[s.destinationCount];
        stations = new Station[s.destinationCount * s.endpointsPerDestination];
        for (int i = 0; i < places.length; i++) {
            places[i] = new Place(i, s);
        }
        RandomStream faults = chance("faults");
        RandomStream service = chance("service");
        for (int i = 0; i < stations.length; i++) {
            stations[i] = new Station(i, places[i / s.endpointsPerDestination], s, calendar, referee, service,
                faults);
        }
        cut = new boolean[stations.length];
        crowd = new Crowd(this);
        relays = new Host[s.relayCount];
        fronted = new boolean[s.relayCount];
        for (int i = 0; i < relays.length; i++) {
            relays[i] = maker.make(this, i);
            fronted[i] = true;
        }
    }

    RandomStream chance(String cause) {
        return new RandomStream(seed, cause);
    }

    static Referee.DeliverySemantics kind(String word) {
        return Referee.DeliverySemantics.ofWord(word);
    }

    /** Plays the run. A broken rule in a strict scenario ends it by {@link Referee.RuleViolation}. */
    public RunResult run() {
        begin();
        calendar.runUntil(end());
        return close();
    }

    /** Enters all that the scenario has; the calendar does the rest. */
    public void begin() {
        crowd.begin();
        look(0, 0, 0);
        for (Scenario.Fault trouble : s.faults) {
            calendar.scheduleAt(trouble.startMicros(), () -> begin(trouble));
        }
    }

    /** When all that was handed in has come to its end. */
    public long end() {
        long longest = 0;
        for (Scenario.MessageClass offering : s.messageClasses) {
            longest = Math.max(longest, offering.timeToLiveMicros());
        }
        return s.lengthMicros + longest + AFTER;
    }

    /** Closes the books and tells what the run came to. */
    public RunResult close() {
        referee.checkLost(calendar.nowMicros(), crowd.envelopes());
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
            referee.violationCount(), calendar.executedCount(), nanos / 1e3 / Math.max(1, crowd.envelopes()),
            crowd.delays,
            referee.firstViolations(), java.util.List.copyOf(series));
    }

    private void look(long wished, long fulfilled, long refused) {
        calendar.scheduleAfter(Math.max(1, s.lengthMicros / MOMENTS), () -> {
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
                .add(new Sample(calendar.nowMicros(), crowd.wishesEver() - wished,
                    crowd.fulfilledEver - fulfilled,
                    crowd.refusals + crowd.deferrals - refused, held, serving, waiting, relays[0].open(),
                    relays[0].callsOut()));
            if (calendar.nowMicros() < s.lengthMicros) {
                look(crowd.wishesEver(), crowd.fulfilledEver, crowd.refusals + crowd.deferrals);
            }
        });
    }

    // ---- Troubles

    private void begin(Scenario.Fault trouble) {
        int first = 0;
        switch (trouble.type()) {
            case "burst" -> {
                crowd.burst *= trouble.amount();
                calendar.scheduleAfter(trouble.durationMicros(), () -> crowd.burst /= trouble.amount());
            }
            case "relay-kill", "relay-lost" -> {
                int count = Math.max(1, (int) Math.round(trouble.share() * relays.length));
                first = troubles.nextInt(relays.length);
                for (int i = 0; i < count; i++) {
                    kill((first + i) % relays.length, trouble);
                }
            }
            default -> {
                int count = Math.max(1, (int) Math.round(trouble.share() * places.length));
                first = troubles.nextInt(places.length);
                for (int i = 0; i < count; i++) {
                    int place = (first + i) % places.length;
                    for (int j = 0; j < s.endpointsPerDestination; j++) {
                        Station one = stations[place * s.endpointsPerDestination + j];
                        turn(one, trouble, true);
                        calendar.scheduleAfter(trouble.durationMicros(), () -> turn(one, trouble, false));
                    }
                }
            }
        }
    }

    private void turn(Station one, Scenario.Fault trouble, boolean on) {
        switch (trouble.type()) {
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
                calendar.scheduleAfter(s.directoryDelayMicros, () -> {
                    for (Host relay : relays) {
                        relay.listed(one);
                    }
                });
            }
            default -> throw new IllegalArgumentException("unknown trouble " + trouble.type());
        }
    }

    private void kill(int which, Scenario.Fault trouble) {
        Host relay = relays[which];
        if (!relay.isUp()) {
            return;
        }
        relay.dies(trouble.type().equals("relay-kill"));
        // The front notices after some seconds.
        calendar.scheduleAfter(Math.min(trouble.durationMicros(), 2_000_000),
            () -> fronted[which] = relay.isUp());
        calendar.scheduleAfter(trouble.durationMicros(), () -> {
            relay.returns();
            fronted[which] = true;
        });
    }

    // ---- What relays and clients ask of the world

    Host choose(RandomStream chance) {
        int first = chance.nextInt(relays.length);
        for (int i = 0; i < relays.length; i++) {
            int at = (first + i) % relays.length;
            if (fronted[at]) {
                return relays[at];
            }
        }
        return relays[first];
    }

    long trip() {
        return Math.max(1, Math.round(network.logNormal(s.networkDelayMicros, s.networkDelaySigma)));
    }

    boolean lost() {
        return losses.nextBoolean(s.answerLossProbability);
    }

    boolean parted(int relay, Station from) {
        return cut[from.index] && relay % 2 == 0;
    }

    /** What discovery tells of an endpoint's rate. */
    public double listedRate() {
        return s.callsPerSecondLimit > 0 ? s.callsPerSecondLimit
            : s.endpointsPerDestination * s.endpointCapacity * 1e6 / s.meanServiceMicros;
    }

    PolicySettings settings(int self) {
        PolicySettings t = new PolicySettings();
        t.relayCount = s.relayCount;
        t.relayIndex = self;
        t.maxConcurrentCalls = s.maxConcurrentCalls;
        t.maxOpenMessages = s.maxOpenMessages;
        t.maxAttempts = s.maxAttempts;
        t.cancelAllowed = true;
        t.listReportsRate = true;
        t.reportsRetryAfter = true;
        t.maxRetryAfterMicros = 10_000_000;
        t.warmUpInitialShare = s.endpointWarmUpInitialShare;
        t.warmUpMicros = s.endpointWarmUpMicros;
        t.collapseMultiple = s.collapseMultiple;
        t.collapseWindowMicros = s.collapseMicros;
        t.settleAfterUncertainMicros = SETTLE;
        t.connectTimeoutMicros = s.connectTimeoutMicros;
        t.idleConnectionTimeoutMicros = s.idleConnectionTimeoutMicros;
        t.limitPerEndpoint = new boolean[1];
        t.maxBatchSize = new int[]{1};
        t.messageClasses = s.messageClasses.stream()
            .map(o -> new PolicySettings.MessageClass(o.revenue(), o.lateRevenueShare(), o.onTimeMicros(),
                o.timeToLiveMicros(),
                PolicySettings.DeliverySemantics.ofWord(o.semantics()), false, o.deduplicationMicros(),
                o.ordered()))
            .toArray(PolicySettings.MessageClass[]::new);
        return t;
    }
}
