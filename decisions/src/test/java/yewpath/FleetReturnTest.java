package yewpath;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates all relays of a fleet that send to one destination, which is down for some time and returns with
 * a part of its capacity. Each relay decides by itself, but together they must not make the destination
 * collapse again: in any collapse window it may get N + 2 sqrt(N) + 2 calls at most, where N is the number
 * that the settings allow.
 */
public final class FleetReturnTest {
    /** Durations and times in microseconds. */
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long OUTAGE_START_MICROS = 8 * SECOND;
    private static final long RETURN_MICROS = 22 * SECOND;
    private static final long END_MICROS = 36 * SECOND;
    private static final double WARM_UP_INITIAL_SHARE = 0.2;
    private static final double COLLAPSE_MULTIPLE = 2;
    private static final long WARM_UP_MICROS = 9 * SECOND;
    private static final long COLLAPSE_WINDOW_MICROS = 2 * SECOND;

    /**
     * The weight of each further message of a call, beside 1 for the first: the highest of all known
     * deployments.
     */
    private static final double FURTHER_MESSAGE_WEIGHT = 0.25;

    private record Arrival(long atMicros, double weight) {}

    private record Event(long atMicros, long sequence, Runnable action) {}

    /** One relay: its policy, and the actions that the policy asked for in its last round. */
    private static final class Relay implements PolicyActions {
        /** Pairs of a message and an endpoint. */
        final List<int[]> sent = new ArrayList<>();
        final ArrayDeque<Integer> freeIndices = new ArrayDeque<>();
        DeliveryPolicy policy;
        int messageCount;
        long alarmDelayMicros = -1;

        int newMessage() {
            return freeIndices.isEmpty() ? messageCount++ : freeIndices.poll();
        }

        @Override
        public void send(int message, int endpoint, long timeoutMicros, long sendByMicros) {
            sent.add(new int[]{message, endpoint});
        }

        @Override
        public void reject(int message, long retryAfterMicros) {
            freeIndices.add(message);
        }

        @Override
        public void fail(int message) {
            freeIndices.add(message);
        }

        @Override
        public void cancelAttempt(int message, int attempt) {}

        @Override
        public void closeIdleConnections(int endpoint) {}

        @Override
        public void releaseEndpoint(int endpoint) {}

        @Override
        public void setAlarm(long delayMicros) {
            alarmDelayMicros = delayMicros;
        }

        @Override
        public void requestEndpointList(boolean subscribe) {}
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(
        Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long eventCount;
    /** Calls that arrived after the return. */
    private final List<Arrival> arrivals = new ArrayList<>();
    private int deliveredMessages;
    /** Calls that the destination accepts at this moment, as tokens of a bucket. */
    private double tokens;
    private long tokensAtMicros;

    private void schedule(long atMicros, Runnable action) {
        events.add(new Event(atMicros, eventCount++, action));
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][]{
            // relays, endpoints, calls per second that the destination accepts, messages submitted as a
            // multiple of that, whether connects are refused at once during the outage, messages that a call
            // may carry
            {6, 1, 40, 0.9, true, 1}, {20, 1, 40, 0.9, true, 1}, {30, 1, 20, 0.9, true, 1},
            {24, 2, 60, 1.2, true, 1},
            {100, 1, 40, 0.9, true, 1}, {20, 1, 40, 1.3, false, 1}, {30, 2, 40, 0.9, false, 1},
            {100, 2, 120, 0.9, false, 1}, {110, 1, 12, 0.7, true, 1},
            {2, 1, 40, 2.5, true, 20}, {14, 2, 50, 2.5, true, 20}, {14, 2, 50, 2.5, false, 20},
            {30, 1, 40, 1.5, true, 5},
            {30, 2, 60, 2.5, false, 20}, {120, 2, 120, 2.5, true, 20},
        };
    }

    @Test(dataProvider = "fleets")
    public void callsAfterTheReturnStayBelowTheCollapseLimit(int relays, int endpoints, double callsPerSecond,
        double load, boolean refusesAtOnce, int maxBatchSize) {
        double worst = Double.NEGATIVE_INFINITY;
        StringBuilder report = new StringBuilder();
        for (int seed = 1; seed <= 4; seed++) {
            simulate(relays, endpoints, callsPerSecond, load, refusesAtOnce, maxBatchSize, seed);
            double excess = largestExcess(callsPerSecond, maxBatchSize,
                report.append("seed ").append(seed).append(": "));
            worst = Math.max(worst, excess);
        }
        assertTrue(worst <= 0, report.toString());
        assertTrue(deliveredMessages > 0.3 * callsPerSecond * (END_MICROS - RETURN_MICROS) / SECOND,
            deliveredMessages + " delivered after the return");
    }

    private void simulate(int relays, int endpoints, double callsPerSecond, double load,
        boolean refusesAtOnce,
        int maxBatchSize, int seed) {
        events.clear();
        arrivals.clear();
        deliveredMessages = 0;
        nowMicros = tokensAtMicros = 0;
        tokens = 1;
        SplittableRandom random = new SplittableRandom(seed);
        PolicySettings settings = new PolicySettings();
        settings.relayCount = relays;
        settings.maxConcurrentCalls = 32;
        settings.maxOpenMessages = 400;
        settings.maxAttempts = 8;
        settings.cancelAllowed = true;
        settings.listReportsRate = true;
        settings.reportsRetryAfter = true;
        settings.maxRetryAfterMicros = 3 * SECOND;
        settings.warmUpInitialShare = WARM_UP_INITIAL_SHARE;
        settings.warmUpMicros = WARM_UP_MICROS;
        settings.collapseMultiple = COLLAPSE_MULTIPLE;
        settings.collapseWindowMicros = COLLAPSE_WINDOW_MICROS;
        settings.connectTimeoutMicros = SECOND;
        settings.idleConnectionTimeoutMicros = 10 * SECOND;
        settings.limitPerEndpoint = new boolean[1];
        settings.maxBatchSize = new int[]{maxBatchSize};
        settings.messageClasses = new PolicySettings.MessageClass[]{
            new PolicySettings.MessageClass(1, 0.1, SECOND, 8 * SECOND,
                PolicySettings.DeliverySemantics.IDEMPOTENT, false, 0, false),
            new PolicySettings.MessageClass(1, 0.4, 3 * SECOND, 28 * SECOND,
                PolicySettings.DeliverySemantics.AT_MOST_ONCE, false, 0, false)};
        List<Relay> fleet = new ArrayList<>();
        for (int i = 0; i < relays; i++) {
            Relay relay = new Relay();
            settings.relayIndex = i;
            relay.policy = new DeliveryPolicy(settings, seed * 1000L + i, relay, 0);
            relay.policy.endpointListStarted(true, false);
            for (int endpoint = 0; endpoint < endpoints; endpoint++) {
                relay.policy.endpointListed(endpoint, 0, 0, 0, 0, callsPerSecond, 0);
            }
            relay.policy.endpointListEnded();
            fleet.add(relay);
        }
        // Some relays get more messages than others: every fifth one, on average, several times as many.
        double[] shares = new double[relays];
        for (int i = 0; i < relays; i++) {
            shares[i] = 0.3 + random.nextDouble() * (random.nextInt(5) == 0 ? 4 : 1);
        }
        double shareSum = Arrays.stream(shares).sum();
        for (long atMicros = 0; atMicros < END_MICROS; atMicros += (long) (-Math.log(1 - random.nextDouble())
            * SECOND / (callsPerSecond * load))) {
            double pick = random.nextDouble() * shareSum;
            int index = 0;
            for (; index < relays - 1 && pick >= shares[index]; index++) {
                pick -= shares[index];
            }
            Relay relay = fleet.get(index);
            int messageClass = random.nextInt(2);
            schedule(atMicros, () -> {
                relay.policy.setTime(nowMicros);
                relay.policy.messageAccepted(relay.newMessage(), messageClass, -1, -1, 0,
                    nowMicros + settings.messageClasses[messageClass].timeToLiveMicros(), 0, -1, 0);
                completeRound(relay, callsPerSecond, refusesAtOnce, maxBatchSize, random);
            });
        }
        while (!events.isEmpty() && events.peek().atMicros < END_MICROS) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            event.action.run();
        }
    }

    private void completeRound(Relay relay, double callsPerSecond, boolean refusesAtOnce, int maxBatchSize,
        SplittableRandom random) {
        relay.alarmDelayMicros = -1;
        relay.policy.completeRound(true);
        if (relay.alarmDelayMicros >= 0) {
            schedule(nowMicros + relay.alarmDelayMicros, () -> {
                relay.policy.setTime(nowMicros);
                relay.policy.alarmFired();
                completeRound(relay, callsPerSecond, refusesAtOnce, maxBatchSize, random);
            });
        }
        List<int[]> sent = List.copyOf(relay.sent);
        relay.sent.clear();
        for (int endpoint : sent.stream().mapToInt(send -> send[1]).distinct().toArray()) {
            int[] messages = sent.stream().filter(send -> send[1] == endpoint).mapToInt(send -> send[0])
                .toArray();
            for (int from = 0; from < messages.length; from += maxBatchSize) {
                int[] batch = Arrays.copyOfRange(messages, from,
                    Math.min(messages.length, from + maxBatchSize));
                call(relay, endpoint, batch, callsPerSecond, refusesAtOnce, maxBatchSize, random);
            }
        }
    }

    private void call(Relay relay, int endpoint, int[] messages, double callsPerSecond, boolean refusesAtOnce,
        int maxBatchSize, SplittableRandom random) {
        long startedAtMicros = nowMicros;
        boolean isDown = nowMicros >= OUTAGE_START_MICROS && nowMicros < RETURN_MICROS;
        if (nowMicros >= RETURN_MICROS) {
            arrivals.add(new Arrival(nowMicros, 1 + FURTHER_MESSAGE_WEIGHT * (messages.length - 1)));
        }
        boolean isOverloaded = !isDown && !acceptsCall(callsPerSecond);
        long durationMicros = isDown ? refusesAtOnce ? 2 * MILLISECOND : SECOND
            : isOverloaded ? 25 * MILLISECOND : 60 * MILLISECOND + random.nextLong(80 * MILLISECOND);
        schedule(nowMicros + durationMicros, () -> {
            relay.policy.setTime(nowMicros);
            for (int message : messages) {
                deliveredMessages += isDown || isOverloaded || startedAtMicros < RETURN_MICROS ? 0 : 1;
                relay.policy.attemptEnded(message, !isDown && !isOverloaded, 0, endpoint,
                    isDown ? PolicyActions.UNREACHABLE
                        : isOverloaded ? PolicyActions.OVERLOADED : PolicyActions.DELIVERED,
                    0, nowMicros - startedAtMicros, Double.NaN, Double.NaN);
                if (!isDown && !isOverloaded) {
                    relay.freeIndices.add(message);
                }
            }
            completeRound(relay, callsPerSecond, refusesAtOnce, maxBatchSize, random);
        });
    }

    /** Returns whether the destination accepts one more call; refused calls don't use up its limit. */
    private boolean acceptsCall(double callsPerSecond) {
        double capacityShare = nowMicros < RETURN_MICROS ? 1 : Math.min(1, WARM_UP_INITIAL_SHARE
            + (1 - WARM_UP_INITIAL_SHARE) * (nowMicros - RETURN_MICROS) / WARM_UP_MICROS);
        tokens = Math.min(callsPerSecond * capacityShare / 2,
            tokens + callsPerSecond * capacityShare * (nowMicros - tokensAtMicros) / SECOND);
        tokensAtMicros = nowMicros;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns by how many calls the collapse window with the most calls exceeds its limit; negative if none
     * does. Appends a description of that window to the report.
     */
    private double largestExcess(double callsPerSecond, int maxBatchSize, StringBuilder report) {
        double worst = Double.NEGATIVE_INFINITY;
        String description = "none";
        double weight = 0;
        for (int first = 0, last = 0; last < arrivals.size(); last++) {
            weight += arrivals.get(last).weight;
            while (arrivals.get(last).atMicros - arrivals.get(first).atMicros >= COLLAPSE_WINDOW_MICROS) {
                weight -= arrivals.get(first++).weight;
            }
            long sinceReturnMicros = Math.max(0,
                arrivals.get(last).atMicros - COLLAPSE_WINDOW_MICROS - RETURN_MICROS);
            if (sinceReturnMicros >= WARM_UP_MICROS
                || maxBatchSize > 1 && arrivals.get(last).atMicros - RETURN_MICROS >= WARM_UP_MICROS) {
                break;
            }
            double allowedBySettings = COLLAPSE_MULTIPLE * callsPerSecond
                * (WARM_UP_INITIAL_SHARE + (1 - WARM_UP_INITIAL_SHARE) * sinceReturnMicros / WARM_UP_MICROS)
                * COLLAPSE_WINDOW_MICROS / SECOND;
            double limit = allowedBySettings + 2 * Math.sqrt(allowedBySettings) + 2;
            if (weight - limit > worst) {
                worst = weight - limit;
                description = String.format("%.1f calls where %.0f are allowed, %.1f s after the return",
                    weight,
                    limit, (arrivals.get(last).atMicros - RETURN_MICROS) / 1e6);
            }
        }
        report.append(description).append("; ");
        return worst;
    }
}
