package yewpath.lab.scenario;

import java.util.List;
import java.util.Map;

/**
 * The parameters of one run, filled from a scenario file. Times are microseconds, rates are per second,
 * shares and probabilities are from 0 to 1. The sources of the models are named in {@code yewpath.lab.world}.
 */
public final class Scenario {
    /**
     * A class of messages.
     *
     * @param semantics delivery semantics as a scenario file names them: repeatable, tagged or once-only
     * @param ordered whether messages with the same key are delivered one at a time
     * @param share weight of the class among the submitted messages
     * @param revenue value of a message that is delivered on time
     * @param lateRevenueShare share of the revenue that is left at the expiry
     * @param onTimeMicros delay up to which a delivery is on time
     * @param timeToLiveMicros time from the client's request to its expiry
     * @param deduplicationMicros how long an endpoint recognizes a repeated message
     */
    public record MessageClass(String name, String semantics, boolean ordered, double share, double revenue,
        double lateRevenueShare, long onTimeMicros, long timeToLiveMicros, long deduplicationMicros) {}

    /**
     * An injected fault.
     *
     * @param type what happens, one of the words that a scenario file accepts
     * @param share share of the destinations or relays that it affects; at least one is affected
     * @param amount a factor or a probability, depending on the type
     */
    public record Fault(long startMicros, long durationMicros, String type, double share, double amount) {}

    public String name = "unnamed";
    /** Seed of the first repetition; each further one uses the next number. */
    public long seed = 1;
    /** How long clients submit messages. */
    public long lengthMicros;
    /** Client requests made before this time are simulated but not counted in the results. */
    public long runWarmUpMicros;
    /** Number of seeds for each point of the sweeps. */
    public int repeats = 1;
    public List<String> policies = List.of("logic");
    /** The swept parameters: the path of each and the values that it takes. */
    public Map<String, List<Double>> sweeps = Map.of();
    /** Whether the first violated rule ends the run. */
    public boolean strict;

    public int relayCount;
    public int destinationCount;
    public int endpointsPerDestination;
    /** Limits of a relay. */
    public int maxOpenMessages;
    public int maxConcurrentCalls;
    /** Attempts of a message; 0 for no limit. */
    public int maxAttempts;

    /** Rate of new client requests over all clients. */
    public double requestsPerSecond;
    /** Exponent of the Zipf distribution of requests over destinations; 0 for a uniform distribution. */
    public double zipfExponent;
    public double meanArrivalBatchSize;
    public int maxClientRetries;
    /** Whether clients wait as long as a rejection asks them to; otherwise they wait their own delay only. */
    public boolean clientsHonorRetryAfter;
    /** Mean of the clients' own delay before they submit again. */
    public long clientRetryDelayMicros;
    /** Number of ordering keys; 0 if no message has a key. */
    public int keysPerDestination;

    public long meanServiceMicros;
    /** Standard deviation of the logarithm of the service time. */
    public double serviceSigma;
    /** Calls that an endpoint serves concurrently. */
    public int endpointCapacity;
    /** Calls that wait at an endpoint before further calls are rejected. */
    public int endpointQueueCapacity;
    /** Limit of a destination over all relays; 0 for no limit. */
    public double callsPerSecondLimit;
    /** Whether the limit counts by whole seconds; otherwise it is a token bucket. */
    public boolean fixedWindowLimit;
    /** Whether rejected calls use up the limit, too. */
    public boolean rejectedCallsCount;
    /** The wait advertised to a call over the limit; 0 for none. */
    public long limitRetryAfterMicros;
    /** Share of its capacity that an endpoint has immediately after an outage. */
    public double endpointWarmUpInitialShare;
    /** Time until an endpoint has its full capacity after an outage. */
    public long endpointWarmUpMicros;
    /**
     * Load at which an endpoint that is warming up collapses, as a multiple of its current capacity; 0 for
     * never.
     */
    public double collapseMultiple;
    /** How long an endpoint rejects all calls after a collapse. */
    public long collapseMicros;

    /** Mean one-way delay. */
    public long networkDelayMicros;
    /** Standard deviation of the logarithm of the delay. */
    public double networkDelaySigma;
    public double answerLossProbability;
    /** Additional delay of the first call on a new connection. */
    public long handshakeMicros;
    public long connectTimeoutMicros;
    public long idleConnectionTimeoutMicros;
    /** Delay until relays learn of a change in the endpoint list. */
    public long directoryDelayMicros;

    public List<MessageClass> messageClasses = List.of();
    public List<Fault> faults = List.of();

    /**
     * Returns the calls per second that all endpoints together can serve when they are healthy and warmed up.
     */
    public double capacityPerSecond() {
        double served = (double) destinationCount * endpointsPerDestination * endpointCapacity * 1e6
            / meanServiceMicros;
        return callsPerSecondLimit > 0 ? Math.min(served, callsPerSecondLimit * destinationCount) : served;
    }
}
