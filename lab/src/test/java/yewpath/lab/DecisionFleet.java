package yewpath.lab;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.lab.core.EventCalendar;

/**
 * Simulates a fleet of relays whose endpoints fail in every way that the delivery policy distinguishes, from
 * a seed. The purpose is to run through each branch of the policy, not to deliver well; the result is a
 * digest of all its actions.
 */
final class DecisionFleet {
    private static final long MILLISECOND_MICROS = 1_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long END_MICROS = 120 * SECOND_MICROS;
    private static final int DESTINATION_COUNT = 12;
    /** Destinations differ in their limit; this is the number of different limits. */
    private static final int LIMIT_COUNT = 6;
    private static final int ENDPOINTS_PER_DESTINATION = 3;
    private static final long STATE_CHANGE_INTERVAL_MICROS = 3 * SECOND_MICROS;
    private static final int KEY_COUNT = 5;
    private static final int UP = 0;
    private static final int DRAINING = 1;
    private static final int GONE = 2;

    /** What a fleet varies besides the policy settings. */
    static final class Options {
        int relays = 2;
        /** Messages submitted, as a share of what all destinations can take. */
        double load = 0.8;
        /** Whether responses report the destination's limit and its remaining share. */
        boolean reports;
    }

    private enum State {
        HEALTHY,
        REFUSES_CONNECTIONS,
        CONNECT_TIMES_OUT,
        NEVER_RESPONDS,
        ERRORS,
        SLOW,
        RESETS,
        CLOSES_IDLE_CONNECTIONS,
        LOSES_RESPONSES
    }

    private static final class Endpoint {
        final int destination;
        State state = State.HEALTHY;
        int phase = UP;
        long recoveredAtMicros;

        Endpoint(int destination) {
            this.destination = destination;
        }
    }

    private final PolicySettings settings;
    private final Options options;
    private final SplittableRandom random;
    private final EventCalendar calendar = new EventCalendar();
    private final MessageDigest digest;
    private final Endpoint[] endpoints = new Endpoint[DESTINATION_COUNT * ENDPOINTS_PER_DESTINATION];
    private final int[] callsThisSecond = new int[DESTINATION_COUNT];
    private final double[] limits = new double[DESTINATION_COUNT];
    private final List<Relay> relays = new ArrayList<>();

    DecisionFleet(PolicySettings settings, Options options, long seed) {
        this.settings = settings;
        this.options = options;
        random = new SplittableRandom(seed);
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = new Endpoint(i / ENDPOINTS_PER_DESTINATION);
        }
        Arrays.setAll(limits, i -> limitOf(i));
        for (int i = 0; i < options.relays; i++) {
            relays.add(new Relay(i, seed * 1000 + i));
        }
    }

    /**
     * Plays the fleet for two minutes of simulated time and returns the SHA-256 digest of all actions in
     * hexadecimal.
     */
    String play() {
        relays.forEach(relay -> relay.sendList(true));
        calendar.scheduleAt(STATE_CHANGE_INTERVAL_MICROS, this::changeStates);
        calendar.scheduleAt(SECOND_MICROS, this::resetLimits);
        relays.forEach(this::scheduleSubmissions);
        calendar.runUntil(END_MICROS);
        return HexFormat.of().formatHex(digest.digest());
    }

    /** The limit of a destination, in calls a second from all relays. */
    private static double limitOf(int destination) {
        return 6 + 9 * (destination % LIMIT_COUNT);
    }

    private void resetLimits() {
        Arrays.fill(callsThisSecond, 0);
        calendar.scheduleAfter(SECOND_MICROS, this::resetLimits);
    }

    /**
     * Draws a new state for each endpoint. Outages mostly affect all endpoints of a destination; some
     * endpoints drain, are removed, and are listed again later.
     */
    private void changeStates() {
        for (int destination = 0; destination < DESTINATION_COUNT; destination++) {
            State destinationState = random.nextInt(4) == 0
                ? State.values()[random.nextInt(State.values().length)]
                : State.HEALTHY;
            limits[destination] = limitOf(destination) * (random.nextInt(5) == 0 ? 0.5 : 1);
            for (int i = destination * ENDPOINTS_PER_DESTINATION; i < (destination + 1)
                * ENDPOINTS_PER_DESTINATION; i++) {
                changeState(endpoints[i], random.nextInt(10) == 0 ? State.ERRORS : destinationState);
            }
        }
        relays.forEach(relay -> relay.sendList(random.nextInt(3) == 0));
        calendar.scheduleAfter(STATE_CHANGE_INTERVAL_MICROS, this::changeStates);
    }

    private void changeState(Endpoint endpoint, State next) {
        boolean wasUnhealthy = endpoint.state != State.HEALTHY
            && endpoint.state != State.CLOSES_IDLE_CONNECTIONS;
        endpoint.recoveredAtMicros = wasUnhealthy && next == State.HEALTHY ? calendar.nowMicros()
            : endpoint.recoveredAtMicros;
        endpoint.state = next;
        int draw = random.nextInt(12);
        if (endpoint.phase == UP && draw == 0) {
            endpoint.phase = DRAINING;
        } else if (endpoint.phase == DRAINING) {
            endpoint.phase = GONE;
        } else if (endpoint.phase == GONE && draw < 3) {
            endpoint.phase = UP;
        }
    }

    private void scheduleSubmissions(Relay relay) {
        double perSecond = options.load * Arrays.stream(limits).sum() / Math.max(1, options.relays);
        calendar.scheduleAfter((long) (-Math.log(1 - random.nextDouble()) * SECOND_MICROS / perSecond) + 1,
            () -> {
                int batchSize = random.nextInt(20) == 0 ? 1 + random.nextInt(15) : 1;
                int destination = (int) (DESTINATION_COUNT * Math.sqrt(random.nextDouble()));
                for (int i = 0; i < batchSize; i++) {
                    relay.submit(destination);
                }
                relay.completeRound();
                scheduleSubmissions(relay);
            });
    }

    /** One relay: the policy under test, whose actions go into the digest and are carried out. */
    private final class Relay implements PolicyActions {
        private record Send(int message, int endpoint, long timeoutMicros) {}

        private final int index;
        private final DeliveryPolicy policy;
        private final List<Send> pendingSends = new ArrayList<>();
        private final ArrayDeque<Integer> freeIndices = new ArrayDeque<>();
        private final List<Boolean> isOpen = new ArrayList<>();
        private final List<Integer> attempts = new ArrayList<>();
        private final List<Boolean> isCancelled = new ArrayList<>();
        private final boolean[] listed = new boolean[endpoints.length];

        Relay(int index, long seed) {
            this.index = index;
            settings.relayIndex = index;
            settings.zone = index % 2;
            policy = new DeliveryPolicy(settings, seed, this, 0);
        }

        private void record(String action, long... values) {
            String line = calendar.nowMicros() + " " + index + " " + action + " " + Arrays.toString(values)
                + "\n";
            digest.update(line.getBytes(StandardCharsets.US_ASCII));
        }

        void submit(int destination) {
            int message = freeIndices.isEmpty() ? isOpen.size() : freeIndices.poll();
            if (message == isOpen.size()) {
                isOpen.add(true);
                attempts.add(0);
                isCancelled.add(false);
            }
            isOpen.set(message, true);
            int messageClass = random.nextInt(settings.messageClasses.length);
            boolean restored = random.nextInt(40) == 0;
            boolean uncertain = restored && random.nextBoolean();
            attempts.set(message, restored ? 1 : 0);
            int key = settings.messageClasses[messageClass].ordered() ? random.nextInt(KEY_COUNT) : -1;
            long nowMicros = calendar.nowMicros();
            policy.setTime(nowMicros);
            policy.messageAccepted(message, messageClass, 0, key, destination,
                nowMicros + settings.messageClasses[messageClass].timeToLiveMicros(),
                restored ? 1 : 0, uncertain ? nowMicros - 500 * MILLISECOND_MICROS : -1, random.nextInt(2));
            if (random.nextInt(100) == 0) {
                calendar.scheduleAfter(100 * MILLISECOND_MICROS, () -> withdraw(message));
            }
        }

        private void withdraw(int message) {
            if (isOpen.get(message)) {
                policy.setTime(calendar.nowMicros());
                policy.messageWithdrawn(message);
                isOpen.set(message, false);
                completeRound();
            }
        }

        void sendList(boolean complete) {
            policy.setTime(calendar.nowMicros());
            if (random.nextInt(6) == 0) {
                policy.endpointListFailed();
                completeRound();
                return;
            }
            policy.endpointListStarted(complete, false);
            for (int i = 0; i < endpoints.length; i++) {
                Endpoint endpoint = endpoints[i];
                if (endpoint.phase != GONE || listed[i] && !complete) {
                    listed[i] |= endpoint.phase != GONE;
                    policy.endpointListed(i, i % 2, endpoint.destination % 3, endpoint.destination,
                        endpoint.phase,
                        limitOf(endpoint.destination), 0);
                }
            }
            policy.endpointListEnded();
            completeRound();
        }

        void completeRound() {
            policy.setTime(calendar.nowMicros());
            policy.completeRound(true);
            List<Send> current = List.copyOf(pendingSends);
            pendingSends.clear();
            for (int endpoint : current.stream().mapToInt(Send::endpoint).distinct().toArray()) {
                List<Send> batch = current.stream().filter(send -> send.endpoint == endpoint).toList();
                int maxBatchSize = settings.maxBatchSize[endpoints[endpoint].destination % 3];
                for (int from = 0; from < batch.size(); from += maxBatchSize) {
                    startCall(endpoints[endpoint], endpoint,
                        batch.subList(from, Math.min(batch.size(), from + maxBatchSize)));
                }
            }
        }

        private void startCall(Endpoint endpoint, int endpointIndex, List<Send> batch) {
            long startedAtMicros = calendar.nowMicros();
            State state = endpoint.phase == GONE ? State.REFUSES_CONNECTIONS : endpoint.state;
            long warmForMicros = startedAtMicros - endpoint.recoveredAtMicros;
            double warmShare = endpoint.recoveredAtMicros == 0 ? 1
                : Math.min(1, 0.2 + 0.8 * warmForMicros / settings.warmUpMicros);
            boolean overloaded = ++callsThisSecond[endpoint.destination] > limits[endpoint.destination]
                * warmShare;
            long normalDurationMicros = 40 * MILLISECOND_MICROS + random.nextLong(200 * MILLISECOND_MICROS);
            long timeoutMicros = batch.get(0).timeoutMicros > 0 ? batch.get(0).timeoutMicros
                : 15 * SECOND_MICROS;
            boolean responseLost = state == State.LOSES_RESPONSES && random.nextInt(8) == 0;
            boolean stale = state == State.CLOSES_IDLE_CONNECTIONS && random.nextInt(3) == 0;
            int outcome = switch (state) {
                case REFUSES_CONNECTIONS, CONNECT_TIMES_OUT -> UNREACHABLE;
                case NEVER_RESPONDS -> TIMEOUT;
                case RESETS -> CONNECTION_LOST;
                case ERRORS -> ERROR;
                default ->
                    stale ? STALE_CONNECTION : responseLost ? TIMEOUT : overloaded ? OVERLOADED : DELIVERED;
            };
            long durationMicros = switch (state) {
                case REFUSES_CONNECTIONS -> 2 * MILLISECOND_MICROS;
                case CONNECT_TIMES_OUT -> SECOND_MICROS - random.nextLong(150 * MILLISECOND_MICROS);
                case NEVER_RESPONDS -> timeoutMicros;
                case SLOW -> 10 * normalDurationMicros;
                default -> stale ? 5 * MILLISECOND_MICROS
                    : responseLost ? timeoutMicros
                        : overloaded ? 25 * MILLISECOND_MICROS : normalDurationMicros;
            };
            boolean timedOut = durationMicros >= timeoutMicros && outcome != UNREACHABLE;
            int finalOutcome = timedOut ? TIMEOUT : outcome;
            long retryAfterMicros = finalOutcome == OVERLOADED && random.nextInt(3) == 0
                ? 200 * MILLISECOND_MICROS + random.nextLong(4 * SECOND_MICROS)
                : 0;
            double remainingShare = options.reports
                ? Math.max(0, 1 - callsThisSecond[endpoint.destination] / limits[endpoint.destination])
                : Double.NaN;
            double reportedLimit = !options.reports ? Double.NaN
                : endpoint.destination % LIMIT_COUNT == 5 ? 0 : limits[endpoint.destination];
            calendar.scheduleAfter(timedOut ? timeoutMicros : durationMicros,
                () -> settle(endpointIndex, batch, finalOutcome, retryAfterMicros, startedAtMicros,
                    remainingShare, reportedLimit));
        }

        private void settle(int endpointIndex, List<Send> batch, int outcome, long retryAfterMicros,
            long startedAtMicros, double remainingShare,
            double reportedLimit) {
            policy.setTime(calendar.nowMicros());
            for (Send send : batch) {
                int message = send.message;
                boolean finished = outcome == DELIVERED || !isOpen.get(message);
                int reportedOutcome = isCancelled.get(message) && outcome == TIMEOUT ? CANCELLED : outcome;
                isCancelled.set(message, false);
                isOpen.set(message, isOpen.get(message) && !finished);
                policy.attemptEnded(message, finished, attempts.get(message) - 1, endpointIndex,
                    reportedOutcome, retryAfterMicros,
                    calendar.nowMicros() - startedAtMicros, remainingShare, reportedLimit);
            }
            completeRound();
        }

        @Override
        public void send(int message, int endpoint, long timeoutMicros, long sendByMicros) {
            record("send", message, endpoint, timeoutMicros, sendByMicros);
            pendingSends.add(new Send(message, endpoint, timeoutMicros));
            attempts.set(message, attempts.get(message) + 1);
        }

        @Override
        public void reject(int message, long retryAfterMicros) {
            record("defer", message, retryAfterMicros);
            isOpen.set(message, false);
        }

        @Override
        public void fail(int message) {
            record("abort", message);
            isOpen.set(message, false);
        }

        @Override
        public void cancelAttempt(int message, int attempt) {
            record("cancel", message, attempt);
            isCancelled.set(message, true);
        }

        @Override
        public void closeIdleConnections(int endpoint) {
            record("close", endpoint);
        }

        @Override
        public void releaseEndpoint(int endpoint) {
            record("forget", endpoint);
            listed[endpoint] = false;
        }

        @Override
        public void endpointHealthChanged(int endpoint, boolean healthy) {
            record("health", endpoint, healthy ? 1 : 0);
        }

        @Override
        public void setAlarm(long delayMicros) {
            record("alarm", delayMicros);
            calendar.scheduleAfter(delayMicros, () -> {
                policy.setTime(calendar.nowMicros());
                policy.alarmFired();
                completeRound();
            });
        }

        @Override
        public void requestEndpointList(boolean subscribe) {
            record("list", subscribe ? 1 : 0);
            calendar.scheduleAfter(30 * MILLISECOND_MICROS, () -> sendList(true));
        }
    }
}
