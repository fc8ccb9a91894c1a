package yewpath.lab.scenario;

import java.util.List;
import java.util.Map;

/**
 * One run's world, filled from a scenario file. Times are microseconds, rates a second, parts from 0 to 1. Where a
 * model comes from is told in {@code yewpath.lab.world}.
 */
public final class Scenario {
    /** One kind of envelope; {@code kind} is repeatable, tagged or once-only, {@code share} its part of the load. */
    public record MessageClass(String name, String semantics, boolean ordered, double share, double revenue,
        double lateRevenueShare, long onTimeMicros, long timeToLiveMicros, long deduplicationMicros) {}

    /**
     * A trouble: from {@code at} for {@code length}, {@code what} happens to this part of the destinations or relays.
     * {@code amount} is a factor or a part, by kind.
     */
    public record Fault(long startMicros, long durationMicros, String type, double share, double amount) {}

    public String name = "unnamed";
    public long seed = 1;
    public long lengthMicros;
    /** What is handed in before is played and not counted. */
    public long runWarmUpMicros;
    public int repeats = 1;
    public List<String> policies = List.of("logic");
    /** Parameter by path to the values it takes in turn. */
    public Map<String, List<Double>> sweeps = Map.of();
    public boolean strict;

    public int relayCount;
    public int destinationCount;
    public int endpointsPerDestination;
    public int maxOpenMessages;
    public int maxConcurrentCalls;
    public int maxAttempts;

    public double requestsPerSecond;
    public double zipfExponent;
    public double meanArrivalBatchSize;
    public int maxClientRetries;
    public boolean clientsHonorRetryAfter;
    public long clientRetryDelayMicros;
    public int keysPerDestination;

    public long meanServiceMicros;
    public double serviceSigma;
    public int endpointCapacity;
    public int endpointQueueCapacity;
    /** Of a destination, over all relays; 0 for none. */
    public double callsPerSecondLimit;
    public boolean fixedWindowLimit;
    public boolean rejectedCallsCount;
    public long limitRetryAfterMicros;
    public double endpointWarmUpInitialShare;
    public long endpointWarmUpMicros;
    public double collapseMultiple;
    public long collapseMicros;

    public long networkDelayMicros;
    public double networkDelaySigma;
    public double answerLossProbability;
    public long handshakeMicros;
    public long connectTimeoutMicros;
    public long idleConnectionTimeoutMicros;
    public long directoryDelayMicros;

    public List<MessageClass> messageClasses = List.of();
    public List<Fault> faults = List.of();

    /** Requests a second that the whole fleet of endpoints can serve, warm and well. */
    public double capacityPerSecond() {
        double served = (double) destinationCount * endpointsPerDestination * endpointCapacity * 1e6
            / meanServiceMicros;
        return callsPerSecondLimit > 0 ? Math.min(served, callsPerSecondLimit * destinationCount) : served;
    }
}
