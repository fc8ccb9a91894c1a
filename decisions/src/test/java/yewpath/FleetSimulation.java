package yewpath;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

/**
 * The policies of all relays of a fleet against one destination, which is out for some time and returns with a
 * part of its capacity. Records the calls that reach it after the return, and which relays had noticed the
 * outage.
 */
final class FleetSimulation {
    /** Durations and times in microseconds. */
    static final long MILLISECOND = 1_000;
    static final long SECOND = 1_000_000;
    static final long OUTAGE_START_MICROS = 8 * SECOND;
    static final double WARM_UP_INITIAL_SHARE = 0.2;
    static final double COLLAPSE_MULTIPLE = 2;
    static final long WARM_UP_MICROS = 9 * SECOND;
    static final long COLLAPSE_WINDOW_MICROS = 2 * SECOND;
    /** The simulation ends this long after the return. */
    static final long OBSERVED_MICROS = 14 * SECOND;

    /**
     * The weight of each further message of a call, beside 1 for the first: the highest of all known
     * deployments.
     */
    private static final double FURTHER_MESSAGE_WEIGHT = 0.25;
    private static final long CONNECT_TIMEOUT_MICROS = SECOND;
    private static final long RESTART_DURATION_MICROS = 600 * MILLISECOND;

    /** How calls fail while the destination is out. */
    enum Symptom {
        CONNECT_REFUSED,
        CONNECT_TIMED_OUT,
        /** The connection breaks about when an answer would come, or at once. */
        RESET,
        RESET_AT_ONCE,
        ERROR,
        /** No answer. */
        SILENCE,
        /** Each call is refused as over the limit, without or with the time to wait. */
        SHUT,
        SHUT_WITH_WAIT
    }

    /**
     * What is played.
     *
     * @param callsPerSecond the calls that the destination accepts
     * @param load messages submitted, as a multiple of that
     * @param maxBatchSize messages that a call may carry
     * @param restartLeadMicros how long before the return the processes of all relays have started again after a
     *     kill; negative for a start after the return, {@link #NO_RESTART} for none
     * @param reportsConnectionLimit see {@link PolicySettings#reportsConnectionLimit}
     */
    record Scenario(int relays, int endpoints, double callsPerSecond, double load, Symptom symptom,
        long outageMicros, int maxBatchSize, long restartLeadMicros,
        boolean reportsConnectionLimit) {
        static final long NO_RESTART = Long.MIN_VALUE;

        long returnMicros() {
            return OUTAGE_START_MICROS + outageMicros;
        }

        long endMicros() {
            return returnMicros() + OBSERVED_MICROS;
        }
    }

    /** A call that reached the destination after its return. */
    record Arrival(long atMicros, double weight, int relay) {}

    /** The calls that exceed what the settings allow within one collapse window. */
    record Overload(double excess, long afterReturnMicros, double weight, double allowed,
        double shareOfNotifiedRelays) {
        @Override
        public String toString() {
            return String.format(
                "%.1f calls where %.1f are allowed, %.1f s after the return, %.0f %% by relays that "
                    + "had noticed the outage",
                weight, allowed, afterReturnMicros / 1e6, 100 * shareOfNotifiedRelays);
        }
    }

    private record Event(long atMicros, long sequence, Runnable action) {}

    /** A message that a relay has accepted and not finished. */
    private static final class OpenMessage {
        final int messageClass;
        final long expiresAtMicros;
        int attempts;
        long sentAtMicros = -1;
        long uncertainSinceMicros = -1;

        OpenMessage(int messageClass, long expiresAtMicros) {
            this.messageClass = messageClass;
            this.expiresAtMicros = expiresAtMicros;
        }
    }

    private record Send(int message, int endpoint, long timeoutMicros) {}

    /** One process of a relay: its policy, and the actions that the policy asked for in its last round. */
    private static final class Process implements PolicyActions {
        final int relay;
        final List<Send> sent = new ArrayList<>();
        final ArrayDeque<Integer> freeIndices = new ArrayDeque<>();
        final Map<Integer, OpenMessage> openMessages = new HashMap<>();
        final Map<Integer, OutageState> outages = new HashMap<>();
        DeliveryPolicy policy;
        int messageCount;
        long alarmDelayMicros = -1;
        boolean killed;

        Process(int relay) {
            this.relay = relay;
        }

        void end(int message) {
            openMessages.remove(message);
            freeIndices.add(message);
        }

        @Override
        public void send(int message, int endpoint, long timeoutMicros, long sendByMicros) {
            sent.add(new Send(message, endpoint, timeoutMicros));
        }

        @Override
        public void reject(int message, long retryAfterMicros) {
            end(message);
        }

        @Override
        public void fail(int message) {
            end(message);
        }

        @Override
        public void outageChanged(int endpoint, OutageState state) {
            outages.put(endpoint, state);
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

    private final Scenario scenario;
    private final int seed;
    private final SplittableRandom random;
    private final PolicySettings settings;
    private final Process[] processes;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
        Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Set<Integer> notifiedRelays = new HashSet<>();
    private long nowMicros;
    private long eventCount;
    private int deliveredMessages;
    /** Calls that the destination accepts at this moment, as tokens of a bucket. */
    private double tokens = 1;
    private long tokensAtMicros;

    private FleetSimulation(Scenario scenario, int seed) {
        this.scenario = scenario;
        this.seed = seed;
        random = new SplittableRandom(seed);
        settings = settings(scenario);
        processes = new Process[scenario.relays];
    }

    /** Plays a scenario to its end. */
    static FleetSimulation run(Scenario scenario, int seed) {
        FleetSimulation simulation = new FleetSimulation(scenario, seed);
        simulation.run();
        return simulation;
    }

    /** Returns the number of messages delivered by calls after the return. */
    int deliveredMessages() {
        return deliveredMessages;
    }

    private static PolicySettings settings(Scenario scenario) {
        PolicySettings settings = new PolicySettings();
        settings.relayCount = scenario.relays;
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
        settings.connectTimeoutMicros = CONNECT_TIMEOUT_MICROS;
        settings.reportsConnectionLimit = scenario.reportsConnectionLimit;
        settings.idleConnectionTimeoutMicros = 10 * SECOND;
        settings.limitPerEndpoint = new boolean[1];
        settings.maxBatchSize = new int[]{scenario.maxBatchSize};
        settings.messageClasses = new PolicySettings.MessageClass[]{
            new PolicySettings.MessageClass(1, 0.1, SECOND, 8 * SECOND,
                PolicySettings.DeliverySemantics.IDEMPOTENT, false, 0, false),
            new PolicySettings.MessageClass(1, 0.4, 3 * SECOND, 28 * SECOND,
                PolicySettings.DeliverySemantics.AT_MOST_ONCE, false, 0, false)};
        return settings;
    }

    private void run() {
        for (int i = 0; i < scenario.relays; i++) {
            processes[i] = startProcess(i, seed * 1000L + i);
        }
        submitMessages();
        if (scenario.restartLeadMicros != Scenario.NO_RESTART) {
            long startMicros = scenario.returnMicros() - scenario.restartLeadMicros;
            for (int i = 0; i < scenario.relays; i++) {
                int relay = i;
                schedule(startMicros - RESTART_DURATION_MICROS, () -> processes[relay].killed = true);
                schedule(startMicros, () -> restart(relay));
            }
        }
        while (!events.isEmpty() && events.peek().atMicros < scenario.endMicros()) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            event.action.run();
        }
    }

    private Process startProcess(int relay, long policySeed) {
        Process process = new Process(relay);
        settings.relayIndex = relay;
        process.policy = new DeliveryPolicy(settings, policySeed, process, nowMicros);
        process.policy.endpointListStarted(true, false);
        for (int endpoint = 0; endpoint < scenario.endpoints; endpoint++) {
            process.policy.endpointListed(endpoint, 0, 0, 0, 0, scenario.callsPerSecond, 0);
        }
        process.policy.endpointListEnded();
        return process;
    }

    /** Starts a killed relay again with the messages that its ledger holds. */
    private void restart(int relay) {
        Process killed = processes[relay];
        Process process = startProcess(relay, (seed + 500) * 1000L + relay);
        processes[relay] = process;
        process.policy.setTime(nowMicros);
        for (OpenMessage message : killed.openMessages.values()) {
            long uncertainSinceMicros = message.uncertainSinceMicros >= 0 ? message.uncertainSinceMicros
                : message.sentAtMicros;
            accept(process, message, uncertainSinceMicros);
        }
        killed.outages.forEach(process.policy::restoreOutage);
        completeRound(process);
    }

    private void schedule(long atMicros, Runnable action) {
        events.add(new Event(atMicros, eventCount++, action));
    }

    private void submitMessages() {
        // Some relays get more messages than others: every fifth one, on average, several times as many.
        double[] shares = new double[scenario.relays];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = 0.3 + random.nextDouble() * (random.nextInt(5) == 0 ? 4 : 1);
        }
        double shareSum = Arrays.stream(shares).sum();
        double messagesPerSecond = scenario.callsPerSecond * scenario.load;
        for (long atMicros = 0; atMicros < scenario
            .endMicros(); atMicros += (long) (-Math.log(1 - random.nextDouble()) * SECOND
                / messagesPerSecond)) {
            double pick = random.nextDouble() * shareSum;
            int relay = 0;
            for (; relay < shares.length - 1 && pick >= shares[relay]; relay++) {
                pick -= shares[relay];
            }
            int receiver = relay;
            int messageClass = random.nextInt(2);
            schedule(atMicros, () -> submit(processes[receiver], messageClass));
        }
    }

    private void submit(Process process, int messageClass) {
        if (process.killed) {
            return;
        }
        process.policy.setTime(nowMicros);
        accept(process, new OpenMessage(messageClass,
            nowMicros + settings.messageClasses[messageClass].timeToLiveMicros()), -1);
        completeRound(process);
    }

    private void accept(Process process, OpenMessage message, long uncertainSinceMicros) {
        int index = process.freeIndices.isEmpty() ? process.messageCount++ : process.freeIndices.poll();
        process.openMessages.put(index, message);
        process.policy.messageAccepted(index, message.messageClass, -1, -1, 0, message.expiresAtMicros,
            message.attempts, uncertainSinceMicros, 0);
    }

    private void completeRound(Process process) {
        process.alarmDelayMicros = -1;
        process.policy.completeRound(true);
        if (process.alarmDelayMicros >= 0) {
            schedule(nowMicros + process.alarmDelayMicros, () -> {
                if (!process.killed) {
                    process.policy.setTime(nowMicros);
                    process.policy.alarmFired();
                    completeRound(process);
                }
            });
        }
        List<Send> sent = List.copyOf(process.sent);
        process.sent.clear();
        for (int endpoint : sent.stream().mapToInt(Send::endpoint).distinct().toArray()) {
            List<Send> toEndpoint = sent.stream().filter(send -> send.endpoint == endpoint).toList();
            for (int from = 0; from < toEndpoint.size(); from += scenario.maxBatchSize) {
                call(process,
                    toEndpoint.subList(from, Math.min(toEndpoint.size(), from + scenario.maxBatchSize)));
            }
        }
    }

    private void call(Process process, List<Send> batch) {
        long startedAtMicros = nowMicros;
        boolean isOut = nowMicros >= OUTAGE_START_MICROS && nowMicros < scenario.returnMicros();
        if (nowMicros >= scenario.returnMicros()) {
            arrivals
                .add(new Arrival(nowMicros, 1 + FURTHER_MESSAGE_WEIGHT * (batch.size() - 1), process.relay));
        }
        boolean isOverloaded = !isOut && !acceptsCall();
        int outcome = isOut ? outcomeWhileOut()
            : isOverloaded ? PolicyActions.OVERLOADED : PolicyActions.DELIVERED;
        long durationMicros = isOut ? durationWhileOut()
            : isOverloaded ? 25 * MILLISECOND : 60 * MILLISECOND + random.nextLong(80 * MILLISECOND);
        for (Send send : batch) {
            OpenMessage message = process.openMessages.get(send.message);
            message.attempts++;
            message.sentAtMicros = isExecutionExcluded(outcome) ? -1 : nowMicros;
            durationMicros = outcome != PolicyActions.TIMEOUT ? durationMicros
                : Math.min(durationMicros, send.timeoutMicros > 0 ? send.timeoutMicros
                    : message.expiresAtMicros - nowMicros);
        }
        long retryAfterMicros = isOut && scenario.symptom == Symptom.SHUT_WITH_WAIT
            ? scenario.returnMicros() - nowMicros : 0;
        schedule(nowMicros + durationMicros, () -> endCall(process, batch, startedAtMicros, outcome,
            retryAfterMicros));
    }

    private static boolean isExecutionExcluded(int outcome) {
        return outcome == PolicyActions.UNREACHABLE || outcome == PolicyActions.OVERLOADED;
    }

    private int outcomeWhileOut() {
        return switch (scenario.symptom) {
            case CONNECT_REFUSED, CONNECT_TIMED_OUT -> PolicyActions.UNREACHABLE;
            case RESET, RESET_AT_ONCE -> PolicyActions.CONNECTION_LOST;
            case ERROR -> PolicyActions.ERROR;
            case SILENCE -> PolicyActions.TIMEOUT;
            case SHUT, SHUT_WITH_WAIT -> PolicyActions.OVERLOADED;
        };
    }

    private long durationWhileOut() {
        return switch (scenario.symptom) {
            case CONNECT_REFUSED, RESET_AT_ONCE -> 2 * MILLISECOND;
            case CONNECT_TIMED_OUT -> CONNECT_TIMEOUT_MICROS;
            case RESET -> 60 * MILLISECOND + random.nextLong(80 * MILLISECOND);
            case ERROR -> 30 * MILLISECOND;
            case SILENCE -> Long.MAX_VALUE / 4;
            case SHUT, SHUT_WITH_WAIT -> 25 * MILLISECOND;
        };
    }

    private void endCall(Process process, List<Send> batch, long startedAtMicros, int outcome,
        long retryAfterMicros) {
        if (process.killed) {
            return;
        }
        boolean isDelivered = outcome == PolicyActions.DELIVERED;
        if (!isDelivered && nowMicros >= OUTAGE_START_MICROS && nowMicros < scenario.returnMicros()) {
            notifiedRelays.add(process.relay);
        }
        process.policy.setTime(nowMicros);
        for (Send send : batch) {
            OpenMessage message = process.openMessages.get(send.message);
            if (!isDelivered && !isExecutionExcluded(outcome) && message.uncertainSinceMicros < 0) {
                message.uncertainSinceMicros = startedAtMicros;
            }
            message.sentAtMicros = -1;
            deliveredMessages += isDelivered && startedAtMicros >= scenario.returnMicros() ? 1 : 0;
            process.policy.attemptEnded(send.message, isDelivered, 0, send.endpoint, outcome,
                retryAfterMicros,
                nowMicros - startedAtMicros, Double.NaN, Double.NaN);
            if (isDelivered) {
                process.end(send.message);
            }
        }
        completeRound(process);
    }

    /** Returns whether the destination accepts one more call; refused calls don't use up its limit. */
    private boolean acceptsCall() {
        double callsPerSecond = scenario.callsPerSecond;
        long sinceReturnMicros = nowMicros - scenario.returnMicros();
        double capacityShare = sinceReturnMicros < 0 ? 1 : capacityShare(sinceReturnMicros);
        tokens = Math.min(callsPerSecond * capacityShare / 2,
            tokens + callsPerSecond * capacityShare * (nowMicros - tokensAtMicros) / SECOND);
        tokensAtMicros = nowMicros;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private static double capacityShare(long sinceReturnMicros) {
        return Math.min(1, WARM_UP_INITIAL_SHARE
            + (1 - WARM_UP_INITIAL_SHARE) * sinceReturnMicros / WARM_UP_MICROS);
    }

    /** Returns N, the calls that the settings allow in a collapse window, by the time since the return. */
    private double allowedBySettings(long sinceReturnMicros) {
        return COLLAPSE_MULTIPLE * scenario.callsPerSecond * capacityShare(sinceReturnMicros)
            * COLLAPSE_WINDOW_MICROS / SECOND;
    }

    /** Returns the collapse window that exceeds N + 2 sqrt(N) + 2 by the most, or that stays below it by least. */
    Overload largestOverload() {
        return overloads(FleetSimulation::usualBudget).stream()
            .max(Comparator.comparingDouble(Overload::excess)).orElse(null);
    }

    /**
     * Returns the first collapse window in which the destination collapses, or null if it doesn't: over
     * N + 2 sqrt(N) + 2 calls, for N under 30 over N + 3 sqrt(N) + 3.
     */
    Overload firstCollapse() {
        return overloads(n -> n < 30 ? n + 3 * Math.sqrt(n) + 3 : usualBudget(n)).stream()
            .filter(overload -> overload.excess > 0).findFirst().orElse(null);
    }

    private static double usualBudget(double n) {
        return n + 2 * Math.sqrt(n) + 2;
    }

    /** Returns the load of the collapse windows that end with a call, in order of time. */
    private List<Overload> overloads(DoubleUnaryOperator budget) {
        List<Overload> overloads = new ArrayList<>();
        double weight = 0;
        double notifiedWeight = 0;
        for (int first = 0, last = 0; last < arrivals.size(); last++) {
            Arrival latest = arrivals.get(last);
            weight += latest.weight;
            notifiedWeight += notifiedRelays.contains(latest.relay) ? latest.weight : 0;
            while (latest.atMicros - arrivals.get(first).atMicros >= COLLAPSE_WINDOW_MICROS) {
                Arrival earliest = arrivals.get(first++);
                weight -= earliest.weight;
                notifiedWeight -= notifiedRelays.contains(earliest.relay) ? earliest.weight : 0;
            }
            long afterReturnMicros = latest.atMicros - scenario.returnMicros();
            long windowStartMicros = Math.max(0, afterReturnMicros - COLLAPSE_WINDOW_MICROS);
            if (windowStartMicros >= WARM_UP_MICROS
                || scenario.maxBatchSize > 1 && afterReturnMicros >= WARM_UP_MICROS) {
                break;
            }
            double allowed = budget.applyAsDouble(allowedBySettings(windowStartMicros));
            overloads.add(new Overload(weight - allowed, afterReturnMicros, weight, allowed,
                notifiedWeight / weight));
        }
        return overloads;
    }
}
