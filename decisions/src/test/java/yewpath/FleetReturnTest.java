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
 * All relays of a fleet before one destination that was gone and comes back cold. Each decides for itself; what counts is
 * what arrives from all of them: in any span of the told length N + 2 root N + 2 calls at most, N being what the settings
 * allow in it.
 */
public final class FleetReturnTest {
    private static final long MS = 1_000, SECOND = 1_000_000;
    private static final long GONE = 8 * SECOND, BACK = 22 * SECOND, END = 36 * SECOND;
    private static final double COLD_FROM = 0.2, MULTIPLE = 2;
    private static final long COLD_FOR = 9 * SECOND, FALL_FOR = 2 * SECOND;

    /** What each further message of a call weighs, beside one for the first: the most that deployments are known to have. */
    private static final double FURTHER_WEIGHT = 0.25;

    private record Arrival(long at, double weight) {}

    private record Event(long at, long order, Runnable act) {}

    /** One relay: Logic, and what it asked for in its last turn. */
    private static final class Relay implements PolicyActions {
        final List<int[]> sent = new ArrayList<>();
        final ArrayDeque<Integer> free = new ArrayDeque<>();
        DeliveryPolicy logic;
        int envelopes;
        long alarmIn = -1;

        int envelope() {
            return free.isEmpty() ? envelopes++ : free.poll();
        }

        @Override
        public void send(int envelope, int endpoint, long withinMicros, long leaveBy) {
            sent.add(new int[]{envelope, endpoint});
        }

        @Override
        public void reject(int envelope, long pauseMicros) {
            free.add(envelope);
        }

        @Override
        public void fail(int envelope) {
            free.add(envelope);
        }

        @Override
        public void cancelAttempt(int envelope, int shot) {}

        @Override
        public void closeIdleConnections(int endpoint) {}

        @Override
        public void releaseEndpoint(int endpoint) {}

        @Override
        public void setAlarm(long inMicros) {
            alarmIn = inMicros;
        }

        @Override
        public void requestEndpointList(boolean follow) {}
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(
        Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long ordered;
    /** Calls that arrived after the return. */
    private final List<Arrival> arrived = new ArrayList<>();
    private int delivered;
    /** What the destination can still take at this moment. */
    private double room;
    private long roomAt;

    private void at(long time, Runnable act) {
        events.add(new Event(time, ordered++, act));
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][]{
            // relays, endpoints, calls a second that the destination takes, share of that asked for, turned away at once,
            // messages a call may carry
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
    public void togetherTheyKeepToWhatTheSettingsAllow(int relays, int endpoints, double rate, double load,
        boolean atOnce,
        int bundle) {
        double worst = Double.NEGATIVE_INFINITY;
        StringBuilder told = new StringBuilder();
        for (int seed = 1; seed <= 4; seed++) {
            play(relays, endpoints, rate, load, atOnce, bundle, seed);
            double over = most(rate, bundle, told.append("seed ").append(seed).append(": "));
            worst = Math.max(worst, over);
        }
        assertTrue(worst <= 0, told.toString());
        assertTrue(delivered > 0.3 * rate * (END - BACK) / SECOND, delivered + " delivered after the return");
    }

    private void play(int relays, int endpoints, double rate, double load, boolean atOnce, int bundle,
        int seed) {
        events.clear();
        arrived.clear();
        delivered = 0;
        now = roomAt = 0;
        room = 1;
        SplittableRandom chance = new SplittableRandom(seed);
        PolicySettings s = new PolicySettings();
        s.relayCount = relays;
        s.maxConcurrentCalls = 32;
        s.maxOpenMessages = 400;
        s.maxAttempts = 8;
        s.cancelAllowed = true;
        s.listReportsRate = true;
        s.reportsRetryAfter = true;
        s.maxRetryAfterMicros = 3 * SECOND;
        s.warmUpInitialShare = COLD_FROM;
        s.warmUpMicros = COLD_FOR;
        s.collapseMultiple = MULTIPLE;
        s.collapseWindowMicros = FALL_FOR;
        s.connectTimeoutMicros = SECOND;
        s.idleConnectionTimeoutMicros = 10 * SECOND;
        s.limitPerEndpoint = new boolean[1];
        s.maxBatchSize = new int[]{bundle};
        s.messageClasses = new PolicySettings.MessageClass[]{
            new PolicySettings.MessageClass(1, 0.1, SECOND, 8 * SECOND,
                PolicySettings.DeliverySemantics.IDEMPOTENT, false, 0, false),
            new PolicySettings.MessageClass(1, 0.4, 3 * SECOND, 28 * SECOND,
                PolicySettings.DeliverySemantics.AT_MOST_ONCE, false, 0, false)};
        List<Relay> fleet = new ArrayList<>();
        for (int i = 0; i < relays; i++) {
            Relay relay = new Relay();
            s.relayIndex = i;
            relay.logic = new DeliveryPolicy(s, seed * 1000L + i, relay, 0);
            relay.logic.endpointListStarted(true, false);
            for (int e = 0; e < endpoints; e++) {
                relay.logic.endpointListed(e, 0, 0, 0, 0, rate, 0);
            }
            relay.logic.endpointListEnded();
            fleet.add(relay);
        }
        // Some relays are handed more than others, and in clumps.
        double[] share = new double[relays];
        for (int i = 0; i < relays; i++) {
            share[i] = 0.3 + chance.nextDouble() * (chance.nextInt(5) == 0 ? 4 : 1);
        }
        double sum = Arrays.stream(share).sum();
        for (long t = 0; t < END; t += (long) (-Math.log(1 - chance.nextDouble()) * SECOND / (rate * load))) {
            double pick = chance.nextDouble() * sum;
            int which = 0;
            for (; which < relays - 1 && pick >= share[which]; which++) {
                pick -= share[which];
            }
            Relay to = fleet.get(which);
            int offering = chance.nextInt(2);
            at(t, () -> {
                to.logic.setTime(now);
                to.logic.messageAccepted(to.envelope(), offering, -1, -1, 0,
                    now + s.messageClasses[offering].timeToLiveMicros(), 0,
                    -1, 0);
                turn(to, rate, atOnce, bundle, chance);
            });
        }
        while (!events.isEmpty() && events.peek().at < END) {
            Event event = events.poll();
            now = event.at;
            event.act.run();
        }
    }

    private void turn(Relay relay, double rate, boolean atOnce, int bundle, SplittableRandom chance) {
        relay.alarmIn = -1;
        relay.logic.completeRound(true);
        if (relay.alarmIn >= 0) {
            at(now + relay.alarmIn, () -> {
                relay.logic.setTime(now);
                relay.logic.alarmFired();
                turn(relay, rate, atOnce, bundle, chance);
            });
        }
        List<int[]> sent = List.copyOf(relay.sent);
        relay.sent.clear();
        for (int endpoint : sent.stream().mapToInt(one -> one[1]).distinct().toArray()) {
            int[] messages = sent.stream().filter(one -> one[1] == endpoint).mapToInt(one -> one[0])
                .toArray();
            for (int from = 0; from < messages.length; from += bundle) {
                int[] carried = Arrays.copyOfRange(messages, from, Math.min(messages.length, from + bundle));
                call(relay, endpoint, carried, rate, atOnce, bundle, chance);
            }
        }
    }

    private void call(Relay relay, int endpoint, int[] messages, double rate, boolean atOnce, int bundle,
        SplittableRandom chance) {
        long began = now;
        boolean gone = now >= GONE && now < BACK;
        if (now >= BACK) {
            arrived.add(new Arrival(now, 1 + FURTHER_WEIGHT * (messages.length - 1)));
        }
        boolean full = !gone && !takes(rate);
        long takes = gone ? atOnce ? 2 * MS : SECOND : full ? 25 * MS : 60 * MS + chance.nextLong(80 * MS);
        at(now + takes, () -> {
            relay.logic.setTime(now);
            for (int message : messages) {
                delivered += gone || full || began < BACK ? 0 : 1;
                relay.logic.attemptEnded(message, !gone && !full, 0, endpoint,
                    gone ? PolicyActions.UNREACHABLE : full ? PolicyActions.OVERLOADED
                        : PolicyActions.DELIVERED,
                    0, now - began, Double.NaN, Double.NaN);
                if (!gone && !full) {
                    relay.free.add(message);
                }
            }
            turn(relay, rate, atOnce, bundle, chance);
        });
    }

    /** Whether it takes one more call; refused ones use nothing up. */
    private boolean takes(double rate) {
        double warm = now < BACK ? 1 : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - BACK) / COLD_FOR);
        room = Math.min(rate * warm / 2, room + rate * warm * (now - roomAt) / SECOND);
        roomAt = now;
        if (room < 1) {
            return false;
        }
        room--;
        return true;
    }

    /** How far the fullest span is over what is allowed; below 0 where none is. */
    private double most(double rate, int bundle, StringBuilder told) {
        double worst = Double.NEGATIVE_INFINITY;
        String fullest = "none";
        double weight = 0;
        for (int first = 0, last = 0; last < arrived.size(); last++) {
            weight += arrived.get(last).weight;
            while (arrived.get(last).at - arrived.get(first).at >= FALL_FOR) {
                weight -= arrived.get(first++).weight;
            }
            long since = Math.max(0, arrived.get(last).at - FALL_FOR - BACK);
            if (since >= COLD_FOR || bundle > 1 && arrived.get(last).at - BACK >= COLD_FOR) {
                break;
            }
            double n = MULTIPLE * rate * (COLD_FROM + (1 - COLD_FROM) * since / COLD_FOR) * FALL_FOR / SECOND;
            double allowed = n + 2 * Math.sqrt(n) + 2;
            if (weight - allowed > worst) {
                worst = weight - allowed;
                fullest = String.format("%.1f calls where %.0f are allowed, %.1f s after the return", weight,
                    allowed,
                    (arrived.get(last).at - BACK) / 1e6);
            }
        }
        told.append(fullest).append("; ");
        return worst;
    }
}
