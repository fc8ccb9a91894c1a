package yewpath.lab.world;

import org.HdrHistogram.Histogram;
import yewpath.PolicySettings;
import yewpath.lab.core.EventCalendar;
import yewpath.lab.core.RandomStream;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;

/**
 * One run: builds the world of a scenario, plays it to its end and returns the results. It uses one thread,
 * and the same seed always gives the same run.
 */
public final class World {
    /**
     * The results of a run. The shares, {@code requests} and {@code deliveryDelays} cover the requests
     * created after the warm-up; everything else covers the whole run.
     *
     * @param revenueShare revenue earned as a share of the possible revenue, 1 if there was none to earn
     * @param deliveredShare share of the requests that were delivered
     * @param onTimeShare share of the requests that were delivered within the agreed time
     * @param failedShare share of the requests that failed for good
     * @param requests number of requests
     * @param submissions messages submitted, including resubmissions
     * @param refusals submissions that a relay refused
     * @param rejections messages that a relay accepted and rejected later
     * @param collapses how often an endpoint collapsed while it was cold
     * @param violationCount how often a rule was broken
     * @param eventCount events that were executed
     * @param decisionMicrosPerMessage time spent in the policy, in microseconds for each message submitted
     * @param deliveryDelays delays from a request's creation to its delivery, in microseconds
     * @param violations the first violations, with their traces
     * @param samples the state of the world over the run
     */
    public record RunResult(double revenueShare, double deliveredShare, double onTimeShare,
        double failedShare, long requests, long submissions, long refusals, long rejections, long collapses,
        int violationCount, long eventCount, double decisionMicrosPerMessage, Histogram deliveryDelays,
        java.util.List<String> violations, java.util.List<Sample> samples) {}

    /**
     * The state of the world at one moment of a run. Requests, deliveries and refusals count from the sample
     * before; the other components are counts at this moment.
     */
    public record Sample(long atMicros, long requests, long deliveries, long refusedOrRejected,
        int openMessages, int callsInService, int callsQueued, int firstRelayOpenMessages,
        int firstRelayOpenCalls) {}

    /** Number of samples taken over a run. */
    private static final int SAMPLE_COUNT = 120;

    /**
     * How long the next message of an ordered key waits after an attempt that may still run; part of the
     * relays' settings.
     */
    public static final long SETTLE_AFTER_UNCERTAIN_MICROS = 500_000;
    /** The run goes on this long after the last message has expired. */
    private static final long RUN_ON_MICROS = 1_000_000;
    /** The clients' load balancer notices a stopped relay after this time. */
    private static final long RELAY_DOWN_DETECTION_MICROS = 2_000_000;
    /** Margin that the emulator adds to each grace period of the rules. */
    private static final long GRACE_MARGIN_MICROS = 50_000;
    /** How long after a drain was listed the relay may still start calls to the endpoint. */
    private static final long DRAIN_GRACE_MICROS = 250_000 + GRACE_MARGIN_MICROS;
    /** How long after a wait was advertised a call may still arrive. */
    private static final long RETRY_AFTER_GRACE_MICROS = 100_000 + GRACE_MARGIN_MICROS;
    /** How long after its expiry a message's result may still come. */
    private static final long EXPIRY_GRACE_MICROS = 300_000 + GRACE_MARGIN_MICROS;
    public final Scenario scenario;
    final String policyName;
    final long seed;
    public final EventCalendar calendar = new EventCalendar();
    public final Referee referee;
    public final EmulatedEndpoint[] endpoints;
    public final ClientPopulation clients;
    private final Destination[] destinations;
    private final Relay[] relays;
    /** By relay, whether the clients' load balancer considers it to be up. */
    private final boolean[] inLoadBalancer;
    private final RandomStream network;
    private final RandomStream losses;
    private final RandomStream faultTargets;
    /** By endpoint, whether it is cut off from every second relay. */
    private boolean[] partitioned;
    private final java.util.List<Sample> samples = new java.util.ArrayList<>();

    /** Creates the relays of a world, emulated ones or others. */
    public interface RelayFactory {
        Relay create(World world, int index);
    }

    public World(Scenario scenario, String policyName, long seed) {
        this(scenario, policyName, seed, EmulatedRelay::new);
    }

    public World(Scenario scenario, String policyName, long seed, RelayFactory relayFactory) {
        this.scenario = scenario;
        this.policyName = policyName;
        this.seed = seed;
        // Baseline policies break some rules by design: outside of strict scenarios a violation only counts.
        referee = new Referee(scenario.strict, DRAIN_GRACE_MICROS, RETRY_AFTER_GRACE_MICROS,
            EXPIRY_GRACE_MICROS);
        network = randomStream("network");
        losses = randomStream("losses");
        faultTargets = randomStream("troubles");
        destinations = new Destination[scenario.destinationCount];
        endpoints = new EmulatedEndpoint[scenario.destinationCount * scenario.endpointsPerDestination];
        for (int i = 0; i < destinations.length; i++) {
            destinations[i] = new Destination(i, scenario);
        }
        RandomStream faults = randomStream("faults");
        RandomStream serviceTimes = randomStream("service");
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = new EmulatedEndpoint(i, destinations[i / scenario.endpointsPerDestination],
                scenario, calendar, referee, serviceTimes, faults);
        }
        partitioned = new boolean[endpoints.length];
        clients = new ClientPopulation(this);
        relays = new Relay[scenario.relayCount];
        inLoadBalancer = new boolean[scenario.relayCount];
        for (int i = 0; i < relays.length; i++) {
            relays[i] = relayFactory.create(this, i);
            inLoadBalancer[i] = true;
        }
    }

    /** Random numbers for one purpose, independent of those for other purposes. */
    RandomStream randomStream(String purpose) {
        return new RandomStream(seed, purpose);
    }

    static Referee.DeliverySemantics semantics(String word) {
        return Referee.DeliverySemantics.ofWord(word);
    }

    /**
     * Plays the run and returns its results.
     *
     * @throws Referee.RuleViolation when a rule is broken in a strict scenario
     */
    public RunResult run() {
        start();
        calendar.runUntil(endMicros());
        return finish();
    }

    /** Schedules the first arrival, the first sample and all faults; further events follow from these. */
    public void start() {
        clients.start();
        scheduleSample(0, 0, 0);
        for (Scenario.Fault fault : scenario.faults) {
            calendar.scheduleAt(fault.startMicros(), () -> begin(fault));
        }
    }

    /** When every message submitted has been delivered or has expired, in microseconds from the start. */
    public long endMicros() {
        long longestTimeToLive = 0;
        for (Scenario.MessageClass messageClass : scenario.messageClasses) {
            longestTimeToLive = Math.max(longestTimeToLive, messageClass.timeToLiveMicros());
        }
        return scenario.lengthMicros + longestTimeToLive + RUN_ON_MICROS;
    }

    /** Checks for lost messages and returns the results of the run. */
    public RunResult finish() {
        referee.checkLost(calendar.nowMicros(), clients.messagesSubmitted());
        long collapses = 0;
        for (EmulatedEndpoint endpoint : endpoints) {
            collapses += endpoint.collapses;
        }
        long decisionNanos = 0;
        for (Relay relay : relays) {
            decisionNanos += relay.decisionNanos();
        }
        double requests = Math.max(1, clients.requests);
        return new RunResult(clients.possibleRevenue == 0 ? 1 : clients.revenue / clients.possibleRevenue,
            clients.delivered / requests, clients.deliveredOnTime / requests, clients.failed / requests,
            clients.requests, clients.submissions, clients.refusals, clients.rejections, collapses,
            referee.violationCount(), calendar.executedCount(),
            decisionNanos / 1e3 / Math.max(1, clients.messagesSubmitted()), clients.deliveryDelays,
            referee.firstViolations(), java.util.List.copyOf(samples));
    }

    /** Schedules the next sample; the parameters are the totals at the sample before. */
    private void scheduleSample(long requestsBefore, long deliveriesBefore, long refusedOrRejectedBefore) {
        calendar.scheduleAfter(Math.max(1, scenario.lengthMicros / SAMPLE_COUNT), () -> {
            int openMessages = 0;
            for (Relay relay : relays) {
                openMessages += relay.openMessages();
            }
            int callsInService = 0;
            int callsQueued = 0;
            for (EmulatedEndpoint endpoint : endpoints) {
                callsInService += endpoint.callsInService();
                callsQueued += endpoint.callsQueued();
            }
            samples.add(new Sample(calendar.nowMicros(), clients.requestsCreated() - requestsBefore,
                clients.deliveredIncludingWarmUp - deliveriesBefore,
                clients.refusals + clients.rejections - refusedOrRejectedBefore, openMessages, callsInService,
                callsQueued, relays[0].openMessages(), relays[0].openCalls()));
            if (calendar.nowMicros() < scenario.lengthMicros) {
                scheduleSample(clients.requestsCreated(), clients.deliveredIncludingWarmUp,
                    clients.refusals + clients.rejections);
            }
        });
    }

    // ---- Faults

    private void begin(Scenario.Fault fault) {
        int first = 0;
        switch (fault.type()) {
            case "burst" -> {
                clients.rateFactor *= fault.amount();
                calendar.scheduleAfter(fault.durationMicros(), () -> clients.rateFactor /= fault.amount());
            }
            case "relay-kill", "relay-lost" -> {
                int count = Math.max(1, (int) Math.round(fault.share() * relays.length));
                first = faultTargets.nextInt(relays.length);
                for (int i = 0; i < count; i++) {
                    kill((first + i) % relays.length, fault);
                }
            }
            default -> {
                int count = Math.max(1, (int) Math.round(fault.share() * destinations.length));
                first = faultTargets.nextInt(destinations.length);
                for (int i = 0; i < count; i++) {
                    int destination = (first + i) % destinations.length;
                    for (int j = 0; j < scenario.endpointsPerDestination; j++) {
                        EmulatedEndpoint endpoint = endpoints[destination * scenario.endpointsPerDestination
                            + j];
                        setFault(endpoint, fault, true);
                        calendar.scheduleAfter(fault.durationMicros(),
                            () -> setFault(endpoint, fault, false));
                    }
                }
            }
        }
    }

    private void setFault(EmulatedEndpoint endpoint, Scenario.Fault fault, boolean active) {
        switch (fault.type()) {
            case "silent" -> endpoint.silent = active;
            case "refuse" -> {
                endpoint.refusing = active;
                if (active) {
                    endpoint.dropQueue();
                } else {
                    endpoint.restartCold();
                }
            }
            case "vanish" -> {
                endpoint.vanished = active;
                if (!active) {
                    endpoint.restartCold();
                }
            }
            case "slow" -> endpoint.slowdownFactor = active ? fault.amount() : 1;
            case "errors" -> endpoint.errorProbability = active ? fault.amount() : 0;
            case "resets" -> endpoint.resetProbability = active ? fault.amount() : 0;
            case "limit" -> endpoint.destination.limitFactor = active ? fault.amount() : 1;
            case "partition" -> partitioned[endpoint.index] = active;
            case "drain" -> {
                endpoint.draining = active;
                calendar.scheduleAfter(scenario.directoryDelayMicros, () -> {
                    for (Relay relay : relays) {
                        relay.endpointListed(endpoint);
                    }
                });
            }
            default -> throw new IllegalArgumentException("unknown trouble " + fault.type());
        }
    }

    private void kill(int index, Scenario.Fault fault) {
        Relay relay = relays[index];
        if (!relay.isUp()) {
            return;
        }
        relay.kill(fault.type().equals("relay-kill"));
        calendar.scheduleAfter(Math.min(fault.durationMicros(), RELAY_DOWN_DETECTION_MICROS),
            () -> inLoadBalancer[index] = relay.isUp());
        calendar.scheduleAfter(fault.durationMicros(), () -> {
            relay.restart();
            inLoadBalancer[index] = true;
        });
    }

    // ---- What relays and clients ask of the world

    /**
     * The relay that a client's next submission goes to: a random one of those that the load balancer
     * considers up.
     */
    Relay chooseRelay(RandomStream random) {
        int first = random.nextInt(relays.length);
        for (int i = 0; i < relays.length; i++) {
            int candidate = (first + i) % relays.length;
            if (inLoadBalancer[candidate]) {
                return relays[candidate];
            }
        }
        return relays[first];
    }

    /** Draws the delay of one message over the network, in microseconds. */
    long networkDelay() {
        return Math.max(1,
            Math.round(network.logNormal(scenario.networkDelayMicros, scenario.networkDelaySigma)));
    }

    /** Draws whether a response is lost. */
    boolean isLost() {
        return losses.nextBoolean(scenario.answerLossProbability);
    }

    /** Whether the endpoint is cut off from this relay; a partition affects the relays with an even index. */
    boolean isPartitioned(int relay, EmulatedEndpoint endpoint) {
        return partitioned[endpoint.index] && relay % 2 == 0;
    }

    /** The rate that discovery reports for an endpoint, in calls a second. */
    public double listedRate() {
        return scenario.callsPerSecondLimit > 0 ? scenario.callsPerSecondLimit
            : scenario.endpointsPerDestination * scenario.endpointCapacity * 1e6 / scenario.meanServiceMicros;
    }

    PolicySettings settings(int relayIndex) {
        PolicySettings settings = new PolicySettings();
        settings.relayCount = scenario.relayCount;
        settings.relayIndex = relayIndex;
        settings.maxConcurrentCalls = scenario.maxConcurrentCalls;
        settings.maxOpenMessages = scenario.maxOpenMessages;
        settings.maxAttempts = scenario.maxAttempts;
        settings.cancelAllowed = true;
        settings.listReportsRate = true;
        settings.reportsRetryAfter = true;
        settings.maxRetryAfterMicros = 10_000_000;
        settings.warmUpInitialShare = scenario.endpointWarmUpInitialShare;
        settings.warmUpMicros = scenario.endpointWarmUpMicros;
        settings.collapseMultiple = scenario.collapseMultiple;
        settings.collapseWindowMicros = scenario.collapseMicros;
        settings.settleAfterUncertainMicros = SETTLE_AFTER_UNCERTAIN_MICROS;
        settings.connectTimeoutMicros = scenario.connectTimeoutMicros;
        settings.idleConnectionTimeoutMicros = scenario.idleConnectionTimeoutMicros;
        settings.limitPerEndpoint = new boolean[1];
        settings.maxBatchSize = new int[]{1};
        settings.messageClasses = scenario.messageClasses.stream()
            .map(messageClass -> new PolicySettings.MessageClass(messageClass.revenue(),
                messageClass.lateRevenueShare(), messageClass.onTimeMicros(), messageClass.timeToLiveMicros(),
                PolicySettings.DeliverySemantics.ofWord(messageClass.semantics()), false,
                messageClass.deduplicationMicros(), messageClass.ordered()))
            .toArray(PolicySettings.MessageClass[]::new);
        return settings;
    }
}
