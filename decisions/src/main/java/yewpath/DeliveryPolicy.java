package yewpath;

import static java.lang.Math.max;
import static java.lang.Math.min;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import yewpath.OutageState.Phase;
import yewpath.OutageState.Symptom;
import yewpath.PolicySettings.DeliverySemantics;
import yewpath.PolicySettings.MessageClass;

/**
 * Makes every delivery decision of one relay: which message goes to which endpoint and when, when an attempt
 * is repeated, and when a message is rejected or fails.
 *
 * <p>The caller processes events in rounds. In each round it sets the clock with {@link #setTime}, reports
 * what happened through the other methods, and ends the round with {@link #completeRound}. The policy asks
 * for actions through {@link PolicyActions}; {@link PolicySettings} holds its configuration. Messages,
 * endpoints, destinations, keys, zones, tenants and message classes are small non-negative indices that the
 * caller assigns.
 *
 * <p>Not safe for use by several threads. All times are microseconds of the caller's clock, all rates are
 * calls per second. docs/design.md explains the mechanism and each exception.
 */
public final class DeliveryPolicy {
    /** Phases of an endpoint as {@link #endpointListed} receives them; 1 is draining. */
    private static final int PHASE_UP = 0;
    private static final int PHASE_GONE = 2;
    private static final int NO_CALL_LIMIT = 1 << 20;
    /**
     * Consecutive failures, summed over all endpoints that share a limit, from which on a refused connect
     * counts as part of an outage.
     */
    private static final int OUTAGE_FAILURE_RUN = 4;
    /** Ready destinations that are compared when call slots are short. */
    private static final int COMPARED_DESTINATIONS = 8;
    /** Durations in microseconds. */
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE / 4;
    private static final OutageState NO_OUTAGE = new OutageState(Phase.NONE, null, 0);

    /** The window of a new destination, and the largest one, as a share of all call slots. */
    private static final double WINDOW_SHARE = 0.75;
    /** Factor for the window after a call was answered with OVERLOADED. */
    private static final double WINDOW_CUT = 0.8;
    /** Factor for the window at each interval in which it was used up without an overload. */
    private static final double WINDOW_RAISE = 1.5;
    private static final long RAISE_INTERVAL_MICROS = SECOND;
    /**
     * How long observations count: the time constant of decaying counts, the time without a call after which
     * a window starts anew, and the time after which an endpoint that is gone is released.
     */
    private static final long RETENTION_MICROS = 20 * SECOND;
    /**
     * A rejection or failure must leave this long before the message expires: if the alarm came a round late,
     * the message would expire without an outcome.
     */
    private static final long FINISH_BEFORE_EXPIRY_MICROS = 40 * MILLISECOND;

    /** An accepted message that is not finished, or whose attempt is still in flight. */
    private static final class Message {
        int index;
        int messageClass;
        /** Attempts so far, including those of an earlier process of this relay. */
        int attempts;
        /** The zone of the first attempt whose outcome is unknown. */
        int uncertainZone;
        long onTimeUntilMicros;
        long expiresAtMicros;
        /** The message finishes at this time at the latest unless an attempt is in flight. */
        long sendByMicros;
        /** When the first attempt was sent whose outcome is unknown; -1 if there is none. */
        long uncertainSinceMicros = -1;
        boolean finished;
        boolean queued;
        Destination destination;
        /** The queue of its key if its class is delivered in order, otherwise null. */
        KeyQueue keyQueue;
        /** The call that carries its attempt in flight, otherwise null. */
        Call call;
        /** Its size in a call of several messages. */
        int callBytes;
        /** An untried message of an earlier process is not rejected for room before this; 0 for other messages. */
        long keptUntilMicros;
    }

    /** One request to an endpoint, which carries one or several messages. */
    private static final class Call {
        /** The generation of the destination's window when the call began. */
        int windowGeneration;
        int openAttempts;
        Endpoint endpoint;
        long startedAtMicros;
        /**
         * Whether the health and rate of the endpoint have been updated, by the first outcome of the call.
         */
        boolean outcomeObserved;
        boolean cancelled;
        Destination destination;
        final List<Message> messages = new ArrayList<>(1);
        long bytes;
    }

    /** The unfinished messages of one key in the order accepted. */
    private static final class KeyQueue {
        final int key;
        final ArrayDeque<Message> messages = new ArrayDeque<>(2);
        /**
         * No message of the key is sent for the first time before this, since an earlier one may still run.
         */
        long pausedUntilMicros;

        KeyQueue(int key) {
            this.key = key;
        }
    }

    /**
     * The send rate of this relay to a destination, or to one endpoint where each endpoint has its own limit.
     */
    private static final class RateLimiter {
        /** Calls per second from all relays by the endpoint list; NaN if not listed. */
        double listedRate = Double.NaN;
        /** Calls per second from all relays by load reports: 0 for no limit, NaN if not reported. */
        double reportedLimit = Double.NaN;
        /** Calls per second of this relay; 0 until the first use. */
        double sendRate;
        /** The share of the limit that the endpoint last reported as unused. */
        double remainingShare;
        /** Calls that may be sent now; may be below 0. */
        double tokens = 1;
        /** No call before this, as the endpoint asked or after an overload. */
        long waitUntilMicros;
        long tokensAtMicros;
        /** When a message last had to wait for a token. */
        long throttledAtMicros = -NEVER;
        /** Overloads in a run; each delivery halves the number. */
        int overloadRun;
        int endpointsUp;
        int deliveriesSinceOverload;
        final DecayingCount recentOverloads = new DecayingCount();
        final Destination destination;

        RateLimiter(Destination destination) {
            this.destination = destination;
        }
    }

    /** A count of events whose weight decays exponentially with their age. */
    private static final class DecayingCount {
        private double sum;
        private long updatedAtMicros;

        /** Adds {@code increment} events and returns the decayed count. */
        double add(long nowMicros, int increment) {
            sum = sum * Math.exp((updatedAtMicros - nowMicros) / (double) RETENTION_MICROS) + increment;
            updatedAtMicros = nowMicros;
            return sum;
        }
    }

    /** A destination with its endpoints, its window and its queues. */
    private final class Destination {
        Endpoint[] endpoints = {};
        /** Increases with each change of the window. */
        int windowGeneration;
        /** Messages sent since the window was changed. */
        int sentInGeneration;
        int callsInFlight;
        int queuedMessages;
        int openMessages;
        int maxBatchSize = 1;
        /** Calls that may be in flight at once. */
        double window = maxWindow;
        /** Calls to an unhealthy or crowded endpoint that arriving messages have earned, from 0 to 1. */
        double earnedCalls;
        /** Whether the window was used up since windows were last raised. */
        boolean windowFull;
        boolean inReadyQueue;
        long lastCallAtMicros;
        /** When the destination is looked at again. */
        long wakeAtMicros = NEVER;
        final RateLimiter sharedLimiter = new RateLimiter(this);
        final DecayingCount recentArrivals = new DecayingCount();
        /** Two queues for each message class: messages on time in order of arrival, then the late ones. */
        final List<ArrayDeque<Message>> queues = Stream.generate(ArrayDeque<Message>::new)
            .limit(2 * messageClasses.length).toList();
        /** Ordered messages in order of arrival; those that don't wait for their key any more are skipped. */
        final ArrayDeque<Message> waitingForKey = new ArrayDeque<>(2);
    }

    /** What this relay knows of one endpoint. */
    private final class Endpoint {
        final int index;
        final Destination destination;
        final RateLimiter limiter;
        int zone;
        int kind;
        int phase = PHASE_GONE;
        int lastFailure;
        int consecutiveFailures;
        int callsInFlight;
        /** Calls that may be in flight; set when a connect was refused, then raised again by deliveries. */
        int callLimit = NO_CALL_LIMIT;
        /** Calls that may be in flight while the endpoint recovers; each delivery adds one. */
        int recoveryCallLimit;
        /** Moving average of the time to an answer; that of all endpoints until this one has answered. */
        double latencyMicros = DEFAULT_LATENCY_MICROS;
        double latencyDeviationMicros = DEFAULT_LATENCY_MICROS / 2;
        /** Moving average of the time between calls. */
        double callIntervalMicros;
        /** Moving average of failed calls, from 0 to 1. */
        double failureShare;
        /** Retries that the answers of this endpoint have earned. */
        double retryCredit = 3;
        /** The state of the weighted round robin. */
        double roundRobinWeight;
        /** Calls that may be sent now while the endpoint recovers. */
        double recoveryTokens;
        final OutageEvidence outageEvidence = new OutageEvidence();
        /** The state that was reported last, see {@link PolicyActions#outageChanged}. */
        OutageState reportedOutage = NO_OUTAGE;
        /** Whether a call of the present outage may have been executed. */
        boolean mayHaveExecuted;
        long lastAnswerAtMicros;
        /** The round in which the last batch was sent; -1 where calls carry one message. */
        long lastBatchRound = -1;
        long lastCallAtMicros;
        /** -1 while the endpoint is not unhealthy. */
        long unhealthySinceMicros = -1;
        /** -1 while the endpoint is not recovering from an outage. */
        long recoveringSinceMicros = -1;
        /** When an unhealthy endpoint may have a call again. */
        long nextProbeAtMicros;
        long recoveryTokensAtMicros;
        /** No call before this after a refused connect; also when the call limit was last raised. */
        long crowdedUntilMicros = -NEVER;
        long silenceCheckAtMicros;
        /** The number of the last complete list that named the endpoint. */
        long listedInVersion;

        Endpoint(int index, Destination destination, int kind) {
            this.index = index;
            this.destination = destination;
            limiter = kind < limitPerEndpoint.length && limitPerEndpoint[kind] ? new RateLimiter(destination)
                : destination.sharedLimiter;
        }
    }

    private final PolicyActions actions;
    private final SeededRandom random;
    private final long startedAtMicros;
    private final DecayingCount allRecentArrivals = new DecayingCount();
    private long nowMicros;
    private long rounds;
    private long cancelCheckAtMicros;
    /** Until this time idle connections are closed before each call, so that it goes over a new one. */
    private long renewConnectionsUntilMicros;
    private long completeListCount;
    private long alarmAtMicros = NEVER;
    private int callsInFlight;
    private int openMessages;
    /** The endpoint that {@link #nextMessage} has found for the message that it returned. */
    private Endpoint selectedEndpoint;
    private boolean listIsComplete;
    private Message[] messages = new Message[64];
    private final Map<Integer, Destination> destinations = new HashMap<>();
    private final Set<Destination> destinationsInUse = new LinkedHashSet<>();
    private final ArrayList<Destination> fullWindows = new ArrayList<>();
    private final ArrayDeque<Destination> readyDestinations = new ArrayDeque<>();
    private final ArrayList<Call> activeCalls = new ArrayList<>();
    private final Map<Integer, KeyQueue> keyQueues = new HashMap<>();
    private final TimedActions timedActions = new TimedActions();

    // ---- Values derived from the settings

    /** Factor for a rate that is listed as approximate or not listed. */
    private static final double APPROXIMATE_RATE_CONFIDENCE = 1 / 1.5;
    /**
     * By how much the price of a refusal deepens the cut: a tenth of a message's revenue halves the send
     * rate.
     */
    private static final double CUT_PER_REFUSAL_PRICE = 3.5;
    private static final double DEEPEST_SEND_RATE_CUT = 0.5;

    private final MessageClass[] messageClasses;
    private final boolean[] limitPerEndpoint;
    private final int[] maxBatchSizes;
    private final long maxCallBytes;
    private final int maxConcurrentCalls;
    private final int maxWindow;
    private final int maxUnhealthyWindow;
    private final int maxAttempts;
    private final int shedThreshold;
    private final int relayCount;
    private final int zone;
    private final double[] zoneFees;
    private final boolean lateRevenueHalves;
    private final boolean listReportsRate;
    private final boolean cancelAllowed;
    private final boolean reportsConnectionLimit;
    private final double crossZonePrice;
    /** Factor for the send rate after an overload, by the price of a refusal. */
    private final double overloadRateCut;
    /**
     * Calls per second that let the only message of a destination be attempted several times before it
     * expires.
     */
    private final double loneMessageRate;
    /** Factor for a rate that is only approximately known. */
    private final double rateConfidence;
    private final RecoveryBudget recoveryBudget;
    private final long maxRetryAfterMicros;
    private final long settleAfterUncertainMicros;
    private final long listRetryMicros;
    private final long idleConnectionTimeoutMicros;
    /** A connect that fails sooner was refused; one that takes as long ran into its timeout. */
    private final long refusedConnectMicros;

    /**
     * Creates the policy of one relay. Sends nothing, but asks for the endpoint list at the end of the first
     * round if the list is sent on request only.
     *
     * @param settings copied, except for its elements
     * @param seed makes the random choices; the same events with the same seed lead to the same actions
     * @param nowMicros the present time of the caller's clock
     */
    public DeliveryPolicy(PolicySettings settings, long seed, PolicyActions actions, long nowMicros) {
        this.actions = actions;
        random = new SeededRandom(seed);
        this.nowMicros = startedAtMicros = nowMicros;
        messageClasses = settings.messageClasses.clone();
        limitPerEndpoint = settings.limitPerEndpoint.clone();
        maxBatchSizes = settings.maxBatchSize.clone();
        maxCallBytes = settings.maxCallBytes > 0 ? settings.maxCallBytes : Long.MAX_VALUE;
        kindCrowdedAtMicros = new long[max(1, limitPerEndpoint.length)];
        Arrays.fill(kindCrowdedAtMicros, -NEVER);
        maxConcurrentCalls = max(1, settings.maxConcurrentCalls);
        loneMessageRate = Arrays.stream(messageClasses)
            .mapToDouble(messageClass -> LONE_MESSAGE_ATTEMPTS * SECOND / messageClass.timeToLiveMicros())
            .max()
            .orElse(0);
        maxWindow = max(1, (int) (WINDOW_SHARE * maxConcurrentCalls));
        maxUnhealthyWindow = max(1, maxConcurrentCalls / 2);
        maxAttempts = settings.maxAttempts > 0 ? settings.maxAttempts : Integer.MAX_VALUE;
        shedThreshold = settings.maxOpenMessages > 0
            ? max(1, settings.maxOpenMessages - max(1, settings.maxOpenMessages / 16)) : Integer.MAX_VALUE;
        relayCount = max(1, settings.relayCount);
        lateRevenueHalves = settings.lateRevenueHalves;
        zone = settings.zone;
        crossZonePrice = settings.crossZonePrice;
        overloadRateCut = max(DEEPEST_SEND_RATE_CUT,
            SEND_RATE_CUT - CUT_PER_REFUSAL_PRICE * settings.refusalPrice);
        zoneFees = settings.zoneFees.clone();
        listReportsRate = settings.listReportsRate;
        rateConfidence = settings.listedRateIsApproximate || !listReportsRate ? APPROXIMATE_RATE_CONFIDENCE
            : 1;
        recoveryBudget = new RecoveryBudget(settings, relayCount);
        settleAfterUncertainMicros = settings.settleAfterUncertainMicros;
        maxRetryAfterMicros = settings.maxRetryAfterMicros;
        cancelAllowed = settings.cancelAllowed;
        reportsConnectionLimit = settings.reportsConnectionLimit;
        refusedConnectMicros = settings.connectTimeoutMicros > 0
            ? settings.connectTimeoutMicros - settings.connectTimeoutMicros / 8 : NEVER;
        idleConnectionTimeoutMicros = settings.idleConnectionTimeoutMicros > 0
            ? settings.idleConnectionTimeoutMicros : NEVER;
        listRetryMicros = settings.listRequestIntervalMicros > 0
            ? min(SECOND, settings.listRequestIntervalMicros / 8) : SECOND;
        if (settings.listOnRequest) {
            requestListAt(nowMicros);
        }
    }

    /** Sets the clock; called before the events of a round are reported. */
    public void setTime(long nowMicros) {
        this.nowMicros = nowMicros;
    }

    private void schedule(long dueAtMicros, Runnable action) {
        timedActions.schedule(dueAtMicros, action);
    }

    private double random() {
        return random.next();
    }

    // ---- Accepted messages and their queues

    /** The part of its present revenue that counts for a message beside what a delay would lose. */
    private static final double PRESENT_REVENUE_WEIGHT = 0.25;

    /**
     * Accepts responsibility for a message: from now on it ends by a delivery, by
     * {@link PolicyActions#reject} or by {@link PolicyActions#fail}, unless the client withdraws it.
     *
     * @param index the message, an index that no open message has
     * @param messageClass index into {@link PolicySettings#messageClasses}
     * @param tenant index of the tenant, or -1; not used by this policy
     * @param key the key that orders the message, or -1 for none; ignored unless its class is ordered
     * @param expiresAtMicros when the message expires
     * @param attempts attempts that an earlier process of this relay made; 0 for a new message
     * @param uncertainSinceMicros when the first of these with unknown outcome was sent, or -1 for none
     * @param uncertainZone the zone of that attempt
     * @param callBytes its size in a call of several messages, see {@link PolicySettings#maxCallBytes}
     */
    public void messageAccepted(int index, int messageClass, int tenant, int key, int destination,
        long expiresAtMicros, int attempts, long uncertainSinceMicros, int uncertainZone, int callBytes) {
        if (index >= messages.length) {
            messages = Arrays.copyOf(messages, index * 2);
        }
        Message message = messages[index] = new Message();
        MessageClass properties = messageClasses[messageClass];
        message.index = index;
        message.callBytes = callBytes;
        message.messageClass = messageClass;
        message.expiresAtMicros = expiresAtMicros;
        message.onTimeUntilMicros = expiresAtMicros - properties.timeToLiveMicros()
            + properties.onTimeMicros();
        message.destination = destinations.computeIfAbsent(destination, i -> new Destination());
        message.destination.recentArrivals.add(nowMicros, 1);
        allRecentArrivals.add(nowMicros, 1);
        earnCalls(message.destination);
        message.sendByMicros = expiresAtMicros - FINISH_BEFORE_EXPIRY_MICROS;
        message.attempts = attempts;
        openMessages++;
        if (message.destination.openMessages++ == 0) {
            destinationsInUse.add(message.destination);
        }
        schedule(message.sendByMicros, () -> finishIfDue(message));
        if (properties.ordered() && key >= 0) {
            message.keyQueue = keyQueues.computeIfAbsent(key, KeyQueue::new);
            message.keyQueue.messages.add(message);
            newestWaitingForKey(message.destination);
            message.destination.waitingForKey.addLast(message);
            message.keyQueue.pausedUntilMicros = uncertainSinceMicros >= 0
                ? nowMicros + settleAfterUncertainMicros : message.keyQueue.pausedUntilMicros;
        }
        markUncertain(message, uncertainSinceMicros, uncertainZone);
        if (!mayAttempt(message)) {
            finish(message, 0);
        } else if (message.keyQueue == null) {
            enqueue(message, false);
        } else if (message.keyQueue.messages.peek() == message) {
            enqueueNextOfKey(message.keyQueue);
        }
        if (openMessages > shedThreshold) {
            shedOne();
        }
    }

    /** Accepts a message of unknown size. */
    public void messageAccepted(int index, int messageClass, int tenant, int key, int destination,
        long expiresAtMicros, int attempts, long uncertainSinceMicros, int uncertainZone) {
        messageAccepted(index, messageClass, tenant, key, destination, expiresAtMicros, attempts,
            uncertainSinceMicros, uncertainZone, 0);
    }

    /** Puts the message at the end of its queue, or at the front if it is to be repeated. */
    private void enqueue(Message message, boolean repeated) {
        message.queued = true;
        message.destination.queuedMessages++;
        markReady(message.destination);
        ArrayDeque<Message> queue = message.destination.queues.get(2 * message.messageClass);
        if (!repeated || !queue.offerFirst(message)) {
            queue.addLast(message);
        }
    }

    /**
     * Takes the message out of its queue; the entry itself is removed when it reaches an end of the queue.
     */
    private void dequeue(Message message) {
        message.destination.queuedMessages -= message.queued ? 1 : 0;
        message.queued = false;
    }

    /** Returns the revenue of a delivery at the given time. */
    private double revenueAt(Message message, long atMicros) {
        MessageClass properties = messageClasses[message.messageClass];
        double lateMicros = max(0, atMicros - message.onTimeUntilMicros);
        double share = lateRevenueHalves
            ? max(properties.lateRevenueShare(),
                Math.pow(0.5, lateMicros / max(1, properties.onTimeMicros())))
            : 1 - (1 - properties.lateRevenueShare()) * lateMicros
                / max(1, message.expiresAtMicros - message.onTimeUntilMicros);
        return atMicros >= message.expiresAtMicros ? 0 : properties.revenue() * share;
    }

    /**
     * Returns the revenue that a delay by {@code delayMicros} would lose, plus a part of the present
     * revenue. Messages are sent by this instead of in order of arrival, where a whole backlog would be
     * delivered late.
     */
    private double urgency(Message message, long latencyMicros, long delayMicros) {
        double revenue = revenueAt(message, nowMicros + latencyMicros);
        return revenue - revenueAt(message, nowMicros + latencyMicros + delayMicros)
            + PRESENT_REVENUE_WEIGHT * revenue;
    }

    /**
     * Returns the next message of a queue, or null: the oldest of those on time, but the newest of the late
     * ones.
     */
    private Message head(Destination destination, int queue) {
        return end(destination.queues.get(queue), queue % 2 == 0);
    }

    private Message end(ArrayDeque<Message> queue, boolean first) {
        Message message = first ? queue.peekFirst() : queue.peekLast();
        for (; message != null && !message.queued; message = first ? queue.peekFirst() : queue.peekLast()) {
            boolean removed = first ? queue.remove(message) : queue.removeLastOccurrence(message);
        }
        return message;
    }

    /** Moves messages that can't be delivered on time any more to the queues of late messages. */
    private void moveLateMessages(Destination destination, long latencyMicros) {
        for (int i = 0; i < destination.queues.size(); i += 2) {
            for (Message message = head(destination, i); message != null
                && nowMicros + latencyMicros > message.onTimeUntilMicros; message = head(destination, i)) {
                destination.queues.get(i + 1).addLast(destination.queues.get(i).pollFirst());
            }
        }
    }

    /** The part of its time that an untried message of an earlier process has left if it is kept. */
    private static final double KEPT_TIME_LEFT = 0.5;
    /** With less of its time left, a message that is given up is not given up early. */
    private static final double LATE_TIME_LEFT = 0.3;
    /** Until when any message is kept. */
    private long lastKeptUntilMicros;

    /**
     * Marks the messages accepted so far as those of an earlier process of this relay. New messages don't replace the
     * untried ones of them that have enough time left: the relay took them on, and nobody submits them again.
     */
    public void messagesRestored() {
        for (Message message : messages) {
            if (message != null && !message.finished && message.attempts == 0) {
                long timeToLiveMicros = messageClasses[message.messageClass].timeToLiveMicros();
                long timeLeftMicros = message.expiresAtMicros - nowMicros;
                message.keptUntilMicros = timeLeftMicros >= KEPT_TIME_LEFT * timeToLiveMicros
                    ? message.expiresAtMicros - (long) (LATE_TIME_LEFT * timeToLiveMicros) : 0;
                lastKeptUntilMicros = max(lastKeptUntilMicros, message.keptUntilMicros);
            }
        }
    }

    /**
     * Rejects one message when the relay is nearly full, so that a destination that accepts nothing doesn't
     * keep out the messages of the others. It is one of the destination with the most open messages,
     * unhealthy destinations first. Where all of that are kept for a time, see {@link #messagesRestored}, it is one
     * of the next destination.
     */
    private void shedOne() {
        Comparator<Destination> order = Comparator.comparing(this::isUnhealthy)
            .thenComparingInt(destination -> destination.openMessages);
        Destination largest = destinationsInUse.stream().max(order).orElse(null);
        Message cheapest = largest == null ? null : cheapestMessage(largest);
        if (cheapest == null && nowMicros < lastKeptUntilMicros) {
            cheapest = destinationsInUse.stream().sorted(order.reversed()).map(this::cheapestMessage)
                .filter(Objects::nonNull).findFirst().orElse(null);
        }
        if (cheapest != null) {
            finish(cheapest,
                isUnhealthy(cheapest.destination) ? max(SECOND, maxRetryAfterMicros) : resubmitDelayMicros());
        }
    }

    /**
     * Returns the message with the lowest revenue among the newest on-time message and the oldest late message of
     * each class and the newest message that waits for its key, since that one is sent last; null if there is none.
     */
    private Message cheapestMessage(Destination destination) {
        Message cheapest = newestWaitingForKey(destination);
        cheapest = cheapest == null || isKept(cheapest) ? null : cheapest;
        for (int i = 0; i < destination.queues.size(); i++) {
            Message last = endNotKept(destination.queues.get(i), i % 2 == 1);
            boolean higher = cheapest != null && last != null
                && revenueAt(last, nowMicros + SECOND) >= revenueAt(cheapest, nowMicros + SECOND);
            cheapest = last == null || higher ? cheapest : last;
        }
        return cheapest;
    }

    private boolean isKept(Message message) {
        return message.attempts == 0 && nowMicros < message.keptUntilMicros;
    }

    /** Returns the queued message that is next to this end of a queue and not kept; null if there is none. */
    private Message endNotKept(ArrayDeque<Message> queue, boolean first) {
        Message end = end(queue, first);
        if (end == null || !isKept(end)) {
            return end;
        }
        Iterator<Message> fromEnd = first ? queue.iterator() : queue.descendingIterator();
        while (fromEnd.hasNext()) {
            Message message = fromEnd.next();
            if (message.queued && !isKept(message)) {
                return message;
            }
        }
        return null;
    }

    private Message newestWaitingForKey(Destination destination) {
        Predicate<Message> waits = message -> message == null
            || !message.finished && message.keyQueue.messages.peek() != message;
        while (!waits.test(destination.waitingForKey.peekFirst())) {
            destination.waitingForKey.pollFirst();
        }
        while (!waits.test(destination.waitingForKey.peekLast())) {
            destination.waitingForKey.pollLast();
        }
        return destination.waitingForKey.peekLast();
    }

    /**
     * Queues the first unfinished message of a key for delivery. Only one message of a key is attempted at a
     * time, in the order accepted; after an attempt that may still run, the key pauses.
     */
    private void enqueueNextOfKey(KeyQueue keyQueue) {
        Message first = keyQueue.messages.peek();
        for (; first != null && first.finished && first.call == null; first = keyQueue.messages.peek()) {
            keyQueue.messages.poll();
        }
        if (first == null || first.queued || first.call != null) {
            return;
        }
        if (keyQueue.pausedUntilMicros > nowMicros && first.attempts == 0) {
            schedule(keyQueue.pausedUntilMicros, () -> enqueueNextOfKey(keyQueue));
        } else {
            enqueue(first, false);
        }
    }

    private void finishIfDue(Message message) {
        if (!message.finished && message.call == null && nowMicros >= message.sendByMicros) {
            finish(message, 0);
        }
    }

    /**
     * Finishes a message that was not delivered. It is rejected only if no attempt was executed or a repeat
     * is recognized wherever the client submits it, otherwise it fails.
     */
    private void finish(Message message, long retryAfterMicros) {
        MessageClass properties = messageClasses[message.messageClass];
        close(message);
        if (mayRepeat(message) && (message.uncertainSinceMicros < 0
            || properties.semantics() == DeliverySemantics.IDEMPOTENT
            || !properties.deduplicatedPerZone())) {
            actions.reject(message.index, retryAfterMicros);
        } else {
            actions.fail(message.index);
        }
        advanceKey(message);
    }

    private void close(Message message) {
        dequeue(message);
        openMessages -= message.finished ? 0 : 1;
        if (!message.finished && --message.destination.openMessages == 0) {
            destinationsInUse.remove(message.destination);
            message.destination.waitingForKey.clear();
        }
        message.finished = true;
    }

    /** Lets the next message of the key go if the given one is finished. */
    private void advanceKey(Message message) {
        if (message.keyQueue != null && message.finished) {
            if (message.keyQueue.messages.peek() == message) {
                enqueueNextOfKey(message.keyQueue);
            } else if (message.call == null) {
                message.keyQueue.messages.remove(message);
            }
            releaseKey(message.keyQueue);
        }
    }

    /**
     * Removes a key without messages once its pause is over; otherwise keys not used any more would fill the
     * memory.
     */
    private void releaseKey(KeyQueue keyQueue) {
        if (keyQueue.messages.isEmpty() && keyQueue.pausedUntilMicros > nowMicros) {
            schedule(keyQueue.pausedUntilMicros, () -> releaseKey(keyQueue));
        } else if (keyQueue.messages.isEmpty()) {
            keyQueues.remove(keyQueue.key, keyQueue);
        }
    }

    /** Returns the number of keys in memory: those with unfinished messages or within their pause. */
    public int trackedKeyCount() {
        return keyQueues.size();
    }

    private boolean mayRepeat(Message message) {
        MessageClass properties = messageClasses[message.messageClass];
        return message.uncertainSinceMicros < 0
            || properties.semantics() == DeliverySemantics.IDEMPOTENT
            || properties.semantics() == DeliverySemantics.DEDUPLICATED
                && nowMicros < message.uncertainSinceMicros + properties.deduplicationMicros();
    }

    /**
     * Returns how long a client should wait before it submits a message again that a full relay has rejected.
     */
    public long resubmitDelayMicros() {
        return SECOND;
    }

    /** Reports that the client has withdrawn a message: it is not sent any more and gets no outcome. */
    public void messageWithdrawn(int index) {
        close(messages[index]);
        advanceKey(messages[index]);
    }

    // ---- Window: calls in flight to a destination

    private int freeWindow(Destination destination) {
        return min(max(1, (int) destination.window),
            isUnhealthy(destination) ? maxUnhealthyWindow : maxWindow)
            - destination.callsInFlight;
    }

    /** Changes the window. Overloads of calls that began under the former window don't cut the new one. */
    private void setWindow(Destination destination, double window) {
        destination.window = window;
        destination.windowGeneration++;
        destination.sentInGeneration = 0;
    }

    private void recordFullWindow(Destination destination) {
        if (!destination.windowFull && freeWindow(destination) <= 0) {
            destination.windowFull = fullWindows.add(destination);
            if (fullWindows.size() == 1) {
                schedule(nowMicros + RAISE_INTERVAL_MICROS, this::raiseWindows);
            }
        }
    }

    private void raiseWindows() {
        for (Destination destination : fullWindows) {
            double raise = destination.window * (WINDOW_RAISE - 1);
            if (destination.queuedMessages > 0 && destination.sentInGeneration >= raise
                && destination.window < maxWindow) {
                setWindow(destination, min(maxWindow, destination.window * WINDOW_RAISE));
                markReady(destination);
            }
            destination.windowFull = false;
        }
        fullWindows.clear();
    }

    // ---- Selection of an endpoint

    private Endpoint[] endpoints = {};
    /** By endpoint kind: when a connect was last refused, which suggests that connection tables are full. */
    private final long[] kindCrowdedAtMicros;

    /** Added to the latency of a call where calls are compared, so that very short latencies count alike. */
    private static final long CALL_OVERHEAD_MICROS = 50 * MILLISECOND;
    /** Cost as a share of a message's revenue that halves the calls an endpoint gets. */
    private static final double HALVING_COST = 0.006;

    /** Selects an endpoint for the message by smooth weighted round robin; null if none may have it now. */
    private Endpoint selectEndpoint(Destination destination, Message message) {
        Endpoint best = null;
        double sum = 0;
        for (Endpoint endpoint : destination.endpoints) {
            double weight = isUsable(endpoint, message) ? weight(endpoint) : 0;
            sum += weight;
            endpoint.roundRobinWeight += weight;
            best = weight > 0 && (best == null || endpoint.roundRobinWeight > best.roundRobinWeight)
                ? endpoint
                : best;
        }
        if (best != null) {
            best.roundRobinWeight -= sum;
        }
        return best;
    }

    /** Returns the endpoint's share of calls: more for a fast and healthy one, less for an expensive one. */
    private double weight(Endpoint endpoint) {
        // 1.05 leaves a small share to an endpoint of which all calls fail.
        return (1.05 - min(1, endpoint.failureShare)) / (endpoint.latencyMicros + CALL_OVERHEAD_MICROS)
            / costFactor(endpoint);
    }

    /**
     * Returns how much the price of another zone and the fee of an endpoint with its own limit reduce its
     * calls.
     */
    private double costFactor(Endpoint endpoint) {
        boolean hasFee = endpoint.limiter != endpoint.destination.sharedLimiter
            && endpoint.zone < zoneFees.length;
        return 1 + ((endpoint.zone == zone ? 0 : crossZonePrice) + (hasFee ? zoneFees[endpoint.zone] : 0))
            / HALVING_COST;
    }

    /**
     * Returns from when on the endpoint may have a call; NEVER if that depends on an answer or on the list.
     */
    private long availableAtMicros(Endpoint endpoint) {
        RateLimiter limiter = endpoint.limiter;
        if (endpoint.phase != PHASE_UP || endpoint.callsInFlight >= endpoint.callLimit
            || endpoint.callsInFlight > 0
                && (endpoint.unhealthySinceMicros >= 0 || endpoint.outageEvidence.symptom() == Symptom.SHUT)
            || endpoint.recoveringSinceMicros >= 0 && endpoint.callsInFlight >= endpoint.recoveryCallLimit) {
            return NEVER;
        }
        long fromMicros = max(limiter.waitUntilMicros,
            endpoint.destination.earnedCalls >= 1 ? 0 : endpoint.crowdedUntilMicros);
        fromMicros = limiter.tokens < 1
            ? max(fromMicros, nowMicros + 1 + (long) ((1 - limiter.tokens) / refillRate(limiter) * SECOND))
            : fromMicros;
        if (endpoint.unhealthySinceMicros >= 0) {
            fromMicros = endpoint.destination.earnedCalls >= 1 ? fromMicros
                : max(fromMicros, endpoint.nextProbeAtMicros);
        } else if (endpoint.recoveringSinceMicros >= 0 && endpoint.recoveryTokens < 1) {
            double rate = recoveryRate(endpoint, nowMicros - endpoint.recoveringSinceMicros);
            fromMicros = max(fromMicros,
                nowMicros + 1 + (long) ((1 - endpoint.recoveryTokens) / rate * SECOND));
        }
        return endpoint.lastBatchRound == rounds ? max(fromMicros, nowMicros + MILLISECOND) : fromMicros;
    }

    private boolean isUsable(Endpoint endpoint, Message message) {
        // A probe may lose its message. An at-most-once message, which could not be repeated, is a probe only
        // if the failures prove that no call was executed, or if no other message has been one for some time.
        return availableAtMicros(endpoint) <= nowMicros && recognizesRepeat(endpoint, message)
            && (endpoint.unhealthySinceMicros < 0 ? message.attempts == 0 || endpoint.retryCredit >= 1
                : !endpoint.mayHaveExecuted || !isAtMostOnce(message)
                    || nowMicros - endpoint.nextProbeAtMicros > AT_MOST_ONCE_PROBE_DELAY_MICROS);
    }

    private boolean isAtMostOnce(Message message) {
        return messageClasses[message.messageClass]
            .semantics() == DeliverySemantics.AT_MOST_ONCE;
    }

    /** Returns whether an attempt there can't have an effect a second time because of the zone. */
    private boolean recognizesRepeat(Endpoint endpoint, Message message) {
        return message.uncertainSinceMicros < 0 || !messageClasses[message.messageClass].deduplicatedPerZone()
            || endpoint.zone == message.uncertainZone;
    }

    // ---- Send rate

    /** Raise of the send rate by each delivery, as a share of it. */
    private static final double SEND_RATE_RAISE = 0.015;
    /** Factor for the send rate after an overload whose refusal has no price. */
    private static final double SEND_RATE_CUT = 0.85;
    /** The lowest send rate, as a multiple of the even share of a relay. */
    private static final double MIN_SEND_RATE_FACTOR = 0.5;
    /** Deliveries without an overload after which the raise has doubled; it goes on growing. */
    private static final double DELIVERIES_TO_DOUBLE_RAISE = 4;
    /** The first send rate, as a multiple of the even share of a relay. */
    private static final double INITIAL_SEND_RATE_FACTOR = 1.2;
    /**
     * The largest share of the limit that a relay takes beyond its even share, as others leave some unused.
     */
    private static final double MAX_LENT_SHARE = 0.05;
    /** Attempts within its time to live that the lent share allows a lone message. */
    private static final double LONE_MESSAGE_ATTEMPTS = 5;
    /**
     * The part of the reported unused share that one relay sends for, and the share that it leaves for
     * others.
     */
    private static final double USED_PART_OF_REMAINDER = 0.5;
    private static final double RESERVED_SHARE = 0.2;
    /** The highest send rate into the unused share, as a multiple of the rate of arrivals. */
    private static final double MAX_CATCH_UP = 8;
    /** The highest weight of each further message of a call, beside 1 for the first. */
    private static final double FURTHER_MESSAGE_WEIGHT = 0.25;
    /**
     * The weight of messages that may be sent ahead of the recovery rate once the destination has warmed up.
     */
    private static final double MAX_RECOVERY_DEBT = 2;

    /**
     * Returns the calls per second from all relays by load report or list; not above 0 if neither is known.
     */
    private double knownRate(RateLimiter limiter) {
        return limiter.reportedLimit > 0 ? limiter.reportedLimit : limiter.listedRate;
    }

    /**
     * Returns roughly the calls per second, from all relays, that the destination or endpoint accepts. If no
     * rate is reported or listed, the estimate is the arrivals at this relay times the number of relays. With
     * few arrivals it is close to the mean over all destinations, which weighs as much as one message.
     */
    private double estimatedRate(RateLimiter limiter) {
        double known = knownRate(limiter);
        if (known > 0) {
            return known;
        }
        double countedSeconds = RETENTION_MICROS
            * (1 - Math.exp((startedAtMicros - nowMicros) / (double) RETENTION_MICROS)) / SECOND;
        double meanArrivals = max(1, allRecentArrivals.add(nowMicros, 0)) / destinations.size();
        return relayCount * (limiter.destination.recentArrivals.add(nowMicros, 0) + 1)
            / max(1, countedSeconds)
            / (1 + 1 / meanArrivals)
            / (limiter == limiter.destination.sharedLimiter ? 1
                : max(1, limiter.destination.endpoints.length));
    }

    /**
     * Returns the first send rate of this relay: its even share of the limit and, unless load reports show
     * what is unused, a part of what other relays leave: as much as lets a lone message be attempted several
     * times.
     */
    private double initialSendRate(RateLimiter limiter) {
        double lentShare = limiter.reportedLimit > 0 ? 0
            : min(MAX_LENT_SHARE, max(1.0 / relayCount, loneMessageRate / knownRate(limiter)));
        return knownRate(limiter)
            * (INITIAL_SEND_RATE_FACTOR / relayCount + lentShare * (1 - 1.0 / relayCount));
    }

    /**
     * Returns the tokens per second of the limiter: the send rate, or more where load reports show that a
     * share of the limit is unused. Any relay with queued messages may send into that.
     */
    private double refillRate(RateLimiter limiter) {
        return limiter.reportedLimit > 0 ? max(limiter.sendRate,
            min(MAX_CATCH_UP * limiter.destination.recentArrivals.add(nowMicros, 0) * SECOND
                / RETENTION_MICROS,
                limiter.reportedLimit * USED_PART_OF_REMAINDER * (limiter.remainingShare - RESERVED_SHARE)
                    / (1 + limiter.recentOverloads.add(nowMicros, 0))))
            : limiter.sendRate;
    }

    private void refillTokens(Endpoint endpoint) {
        RateLimiter limiter = endpoint.limiter;
        limiter.sendRate = limiter.sendRate > 0 ? limiter.sendRate : initialSendRate(limiter);
        // A destination that reports no limit is held by the window alone: with an even share of an estimated
        // rate, messages would wait wherever many relays send little each.
        limiter.tokens = !(limiter.sendRate > 0) || limiter.reportedLimit == 0 ? maxConcurrentCalls
            : min(max(1, limiter.sendRate * 0.5),
                limiter.tokens + refillRate(limiter) * (nowMicros - limiter.tokensAtMicros) / SECOND);
        limiter.tokensAtMicros = nowMicros;
        if (recoveryBudget.isWarm(nowMicros - endpoint.recoveringSinceMicros)) {
            endpoint.recoveringSinceMicros = -1;
        } else if (endpoint.recoveringSinceMicros >= 0) {
            double rate = recoveryRate(endpoint, nowMicros - endpoint.recoveringSinceMicros);
            endpoint.recoveryTokens = min(max(1, rate / 2),
                endpoint.recoveryTokens + rate * (nowMicros - endpoint.recoveryTokensAtMicros) / SECOND);
            endpoint.recoveryTokensAtMicros = nowMicros;
        }
    }

    /** Reduces the send rate and pauses after a call was answered with OVERLOADED. */
    private void recordOverload(RateLimiter limiter, Call call, long retryAfterMicros) {
        limiter.overloadRun++;
        limiter.deliveriesSinceOverload = 0;
        limiter.recentOverloads.add(nowMicros, 1);
        if (call.windowGeneration == call.destination.windowGeneration) {
            double evenShare = knownRate(limiter) / relayCount;
            double initial = INITIAL_SEND_RATE_FACTOR * evenShare;
            // A lone message can't exceed a limit; after a deeper cut a second overload would delay it too
            // long.
            double cut = limiter.destination.recentArrivals.add(nowMicros, 0) < 2 ? SEND_RATE_CUT
                : overloadRateCut;
            limiter.sendRate = max(MIN_SEND_RATE_FACTOR * evenShare, cut * (limiter.sendRate > initial
                ? (limiter.sendRate + initial) / 2 : limiter.sendRate));
        }
        // Many relays that are refused at one moment, as by a full queue, would all get their next token at
        // one moment too.
        limiter.tokens -= (1 - 1.0 / relayCount) * random();
        double spreadMicros = retryAfterMicros > LONG_RETRY_AFTER_MICROS
            ? probeIntervalMicros(call.endpoint) : 0;
        double pauseMicros = max(overloadPauseMicros(estimatedRate(limiter), limiter.overloadRun),
            spreadMicros);
        limiter.waitUntilMicros = max(limiter.waitUntilMicros, nowMicros + retryAfterMicros
            + (long) (retryAfterMicros > 0 ? pauseMicros * random() : pauseMicros));
    }

    /**
     * Returns a random pause after the given number of overloads or refused connects in a run. It is at least
     * 120 ms at first, longer with many relays or a low rate, and multiplies with each further one by two to
     * four, more with many relays. It is limited to the larger of 2 s and one and a half times the time in
     * which the even share of this relay is one call.
     */
    private double overloadPauseMicros(double callsPerSecond, int run) {
        // Where refused calls use up the limit and many relays retry at one moment, refusals would cause
        // further refusals. So the pause grows with the run, beyond the time in which the even share of this
        // relay is a call.
        double callIntervalMicros = SECOND / max(0.1, callsPerSecond);
        double growth = Math.pow(2 + min(2, relayCount / 24.0), min(9, run - 1)) * (0.75 + random() / 2);
        return min(max(2 * SECOND, 1.5 * relayCount * callIntervalMicros),
            max(120 * MILLISECOND, min(relayCount / 40.0, 30) * callIntervalMicros) * growth);
    }

    // ---- Health and recovery of endpoints

    private boolean isUnhealthy(Destination destination) {
        return Arrays.stream(destination.endpoints).anyMatch(endpoint -> endpoint.phase == PHASE_UP
            && (endpoint.unhealthySinceMicros >= 0 || endpoint.failureShare > SUSPECT_FAILURE_SHARE));
    }

    /** Updates what is known of the endpoint by the outcome of a call. */
    private void observeOutcome(Call call, int outcome, long elapsedMicros, long retryAfterMicros) {
        Endpoint endpoint = call.endpoint;
        // A reset at once on a kept connection, which the endpoint closed unseen, says nothing of its health;
        // where such connections are frequent, new ones cost less. Not every caller can tell a kept
        // connection from a new one, so the time decides: a round trip, which is well below the time to an
        // answer.
        boolean isStaleConnection = elapsedMicros < endpoint.latencyMicros / 2
            && (outcome == PolicyActions.STALE_CONNECTION || outcome == PolicyActions.CONNECTION_LOST
                && !endpoint.outageEvidence.isRepeated(nowMicros));
        staleConnectionShare += isStaleConnection ? STALE_CONNECTION_SMOOTHING * (1 - staleConnectionShare)
            : 0;
        if (isStaleConnection) {
            suspect(endpoint, Symptom.RESET, call.startedAtMicros);
        }
        if (isStaleConnection || outcome == PolicyActions.CANCELLED
            || outcome == PolicyActions.NOT_EXECUTED) {
            return;
        }
        if (outcome == PolicyActions.DELIVERED || outcome == PolicyActions.OVERLOADED) {
            endpoint.lastAnswerAtMicros = nowMicros;
            endpoint.retryCredit = min(MAX_RETRY_CREDIT, endpoint.retryCredit
                + (outcome == PolicyActions.OVERLOADED ? 1 : RETRY_CREDIT_PER_DELIVERY));
        }
        if (outcome == PolicyActions.OVERLOADED) {
            if (retryAfterMicros > LONG_RETRY_AFTER_MICROS) {
                recordShut(call);
            }
            endpoint.nextProbeAtMicros = max(endpoint.nextProbeAtMicros, endpoint.limiter.waitUntilMicros);
            return;
        }
        if (outcome == PolicyActions.DELIVERED) {
            observeDelivery(call, elapsedMicros);
        } else {
            observeFailure(call, outcome, elapsedMicros);
        }
    }

    /** Updates what is known of the endpoint by a call that failed. */
    private void observeFailure(Call call, int outcome, long elapsedMicros) {
        Endpoint endpoint = call.endpoint;
        endpoint.lastAnswerAtMicros = outcome == PolicyActions.ERROR
            || outcome == PolicyActions.CONNECTION_LOST || outcome == PolicyActions.STALE_CONNECTION
                ? nowMicros : endpoint.lastAnswerAtMicros;
        endpoint.consecutiveFailures++;
        endpoint.lastFailure = outcome;
        if (outcome == PolicyActions.TIMEOUT && endpoint.consecutiveFailures > 1) {
            endpoint.latencyMicros = max(endpoint.latencyMicros,
                min(elapsedMicros, 2 * endpoint.latencyMicros));
        }
        boolean failedQuickly = elapsedMicros < refusedConnectMicros;
        Symptom symptom = symptom(outcome, failedQuickly);
        boolean mayHaveExecuted = symptom.mayHaveExecuted;
        boolean connectRefused = !mayHaveExecuted && failedQuickly;
        boolean mayBeFullTable = outcome == PolicyActions.CONNECTION_LIMIT
            || connectRefused && !reportsConnectionLimit;
        if (symptom != Symptom.CONNECTION_LIMIT) {
            suspect(endpoint, symptom, call.startedAtMicros);
        }
        if (mayBeFullTable && endpoint.unhealthySinceMicros < 0 && endpoint.recoveringSinceMicros < 0
            && recordCrowding(call)) {
            return;
        }
        if (symptom == Symptom.CONNECTION_LIMIT) {
            suspect(endpoint, symptom, call.startedAtMicros);
        }
        if (connectRefused && !mayBeFullTable && hasSmallRecoveryShare(endpoint.limiter)) {
            markUntestedUnhealthy(call);
        }
        endpoint.failureShare += FAILURE_SMOOTHING * (1 - endpoint.failureShare);
        if (endpoint.unhealthySinceMicros >= 0) {
            endpoint.mayHaveExecuted |= mayHaveExecuted;
            endpoint.nextProbeAtMicros = nowMicros + probeIntervalMicros(endpoint);
            reportOutage(endpoint, Phase.UNHEALTHY, endpoint.outageEvidence.symptom());
        } else if (endpoint.failureShare > UNHEALTHY_FAILURE_SHARE
            || endpoint.recoveringSinceMicros < 0 && endpoint.outageEvidence.isRepeated(nowMicros)
            || endpoint.recoveringSinceMicros < 0 && !mayHaveExecuted
            || endpoint.recoveringSinceMicros >= 0 && endpoint.failureShare > SUSPECT_FAILURE_SHARE) {
            // Most calls must fail, not a few of many: a few resets are no outage, and a recovery at a
            // reduced rate costs more than they lose. While an endpoint recovers, fewer failures are enough.
            // A connect that ran into its timeout stands for all endpoints that share the limit and haven't
            // answered since, as they mostly fail together.
            boolean connectTimedOut = !mayHaveExecuted && !connectRefused;
            for (Endpoint other : call.destination.endpoints) {
                if (other == endpoint || connectTimedOut && other.limiter == endpoint.limiter
                    && other.lastAnswerAtMicros < call.startedAtMicros) {
                    markUnhealthy(other, symptom);
                }
            }
        }
    }

    /**
     * Limits the calls to an endpoint whose connection table may be full, unless failures have come in a run over all
     * endpoints that share the limit; returns whether. An endpoint with a full table refuses connects at once, which
     * must not count as an outage.
     */
    private boolean recordCrowding(Call call) {
        Endpoint endpoint = call.endpoint;
        int run = Arrays.stream(call.destination.endpoints)
            .mapToInt(other -> other.phase == PHASE_UP && other.limiter == endpoint.limiter
                ? other.consecutiveFailures : 0)
            .sum();
        if (run >= OUTAGE_FAILURE_RUN) {
            return false;
        }
        long pauseMicros = (long) overloadPauseMicros(
            estimatedRate(endpoint.limiter) / max(1, endpoint.limiter.endpointsUp), run + 1);
        endpoint.callLimit = max(1, min(endpoint.callLimit, endpoint.callsInFlight));
        kindCrowdedAtMicros[endpoint.kind] = nowMicros;
        call.destination.earnedCalls = 0;
        for (Endpoint other : call.destination.endpoints) {
            other.crowdedUntilMicros = other.consecutiveFailures > 0 && other.limiter == endpoint.limiter
                ? nowMicros + pauseMicros : other.crowdedUntilMicros;
        }
        return true;
    }

    /** Updates what is known of the endpoint, and of all connections, by a delivery. */
    private void observeDelivery(Call call, long elapsedMicros) {
        Endpoint endpoint = call.endpoint;
        RateLimiter limiter = endpoint.limiter;
        limiter.overloadRun /= 2;
        // Deliveries raise the send rate, not time: where many relays send little each, a raise at each
        // interval would exceed the cuts.
        double raise = SEND_RATE_RAISE * (1 + limiter.deliveriesSinceOverload++ / DELIVERIES_TO_DOUBLE_RAISE)
            * max(INITIAL_SEND_RATE_FACTOR * knownRate(limiter) / relayCount, limiter.sendRate);
        raise = nowMicros - limiter.throttledAtMicros < RAISE_INTERVAL_MICROS ? raise : 0;
        limiter.sendRate = min(max(limiter.sendRate, knownRate(limiter)), limiter.sendRate + raise);
        if (endpoint.callLimit < NO_CALL_LIMIT && nowMicros - endpoint.crowdedUntilMicros > SECOND) {
            endpoint.callLimit++;
            endpoint.crowdedUntilMicros = nowMicros;
        }
        boolean wasSingleFailure = endpoint.consecutiveFailures == 1
            && elapsedMicros < 2 * endpoint.latencyMicros;
        lostAnswerShare += LOST_ANSWER_SMOOTHING
            * ((wasSingleFailure && endpoint.lastFailure == PolicyActions.TIMEOUT ? 1 : 0) - lostAnswerShare);
        staleConnectionShare *= STALE_CONNECTION_DECAY;
        renewConnectionsUntilMicros = max(lostAnswerShare, staleConnectionShare) > 2 * FREQUENT_LOSS_SHARE
            ? nowMicros + RENEW_CONNECTIONS_MICROS : renewConnectionsUntilMicros;
        endpoint.consecutiveFailures = 0;
        endpoint.failureShare *= FAILURE_DECAY;
        // A latency above four times the average counts as four times the average.
        usualLatencyMicros += USUAL_LATENCY_SMOOTHING
            * (min(elapsedMicros, 4 * usualLatencyMicros) - usualLatencyMicros);
        double deviation = min(elapsedMicros, 4 * endpoint.latencyMicros) - endpoint.latencyMicros;
        endpoint.latencyMicros += LATENCY_SMOOTHING * deviation;
        endpoint.latencyDeviationMicros += LATENCY_SMOOTHING
            * (Math.abs(deviation) - endpoint.latencyDeviationMicros);
        Symptom disproof = endpoint.outageEvidence.disproof(call.startedAtMicros,
            (long) endpoint.callIntervalMicros, nowMicros);
        if (endpoint.recoveringSinceMicros >= 0) {
            endpoint.recoveryCallLimit++;
        } else if (endpoint.outageEvidence.isPending() && disproof == null) {
            // Endpoints of a destination mostly fail together, so they return together: all that share the
            // limit recover at a reduced rate and count as unhealthy again after fewer failures.
            Arrays.stream(call.destination.endpoints)
                .filter(other -> other == endpoint || other.limiter == endpoint.limiter
                    && (other.unhealthySinceMicros >= 0 || other.outageEvidence.isPending()))
                .forEach(other -> beginRecovery(other, nowMicros));
        } else {
            reportOutage(endpoint, Phase.NONE, endpoint.outageEvidence.isPending() ? disproof : null);
        }
        endpoint.outageEvidence.recordDelivery(nowMicros);
        markHealthy(endpoint);
    }

    // ---- Evidence of an outage

    /** A state that still holds is reported again after this time, so that a new process knows its age. */
    private static final long OUTAGE_REPORT_INTERVAL_MICROS = 10 * SECOND;

    private static Symptom symptom(int outcome, boolean failedQuickly) {
        return switch (outcome) {
            case PolicyActions.UNREACHABLE -> failedQuickly ? Symptom.CONNECT_REFUSED
                : Symptom.CONNECT_TIMED_OUT;
            case PolicyActions.ERROR -> Symptom.ERROR;
            case PolicyActions.TIMEOUT -> Symptom.TIMEOUT;
            case PolicyActions.CONNECTION_LIMIT -> Symptom.CONNECTION_LIMIT;
            default -> Symptom.RESET;
        };
    }

    private void suspect(Endpoint endpoint, Symptom symptom, long callStartedAtMicros) {
        endpoint.outageEvidence.recordFailure(symptom, callStartedAtMicros, nowMicros);
        if (endpoint.unhealthySinceMicros < 0 && endpoint.recoveringSinceMicros < 0) {
            reportOutage(endpoint, Phase.SUSPECTED, endpoint.outageEvidence.symptom());
            if (symptom != Symptom.CONNECT_REFUSED && symptom != Symptom.SHUT
                && hasSmallRecoveryShare(endpoint.limiter)) {
                schedule(nowMicros + OutageEvidence.SHORTEST_OUTAGE_MICROS,
                    () -> markUnhealthyIfUnanswered(endpoint));
            }
        }
    }

    /**
     * Guards against many relays with little traffic, of which each has had one failure and would send its next
     * message at once when the destination returns.
     */
    private void markUnhealthyIfUnanswered(Endpoint endpoint) {
        if (endpoint.unhealthySinceMicros < 0 && endpoint.recoveringSinceMicros < 0
            && endpoint.outageEvidence.isUnanswered(nowMicros)) {
            markUnhealthy(endpoint, endpoint.outageEvidence.symptom());
        }
    }

    /**
     * Endpoints of a destination mostly fail together, but a relay with little traffic may not call the others
     * before they return.
     */
    private void markUntestedUnhealthy(Call call) {
        for (Endpoint other : call.destination.endpoints) {
            if (other != call.endpoint && other.limiter == call.endpoint.limiter && other.phase == PHASE_UP
                && other.lastAnswerAtMicros < nowMicros - OutageEvidence.SHORTEST_OUTAGE_MICROS
                && other.unhealthySinceMicros < 0 && other.recoveringSinceMicros < 0) {
                suspect(other, Symptom.OTHER_REFUSED, call.startedAtMicros);
                markUnhealthy(other, Symptom.OTHER_REFUSED);
            }
        }
    }

    /** A long wait may mean that the destination is shut; it returns as from any outage then. */
    private void recordShut(Call call) {
        for (Endpoint other : call.destination.endpoints) {
            if (other.limiter == call.endpoint.limiter) {
                suspect(other, Symptom.SHUT, call.startedAtMicros);
            }
        }
    }

    private void reportOutage(Endpoint endpoint, Phase phase, Symptom symptom) {
        long sinceMicros = phase == Phase.RECOVERING ? endpoint.recoveringSinceMicros
            : phase != Phase.NONE && endpoint.outageEvidence.isPending()
                ? endpoint.outageEvidence.lastFailureAtMicros() : nowMicros;
        OutageState reported = endpoint.reportedOutage;
        if (phase != reported.phase()
            || phase != Phase.NONE && sinceMicros - reported.sinceMicros() > OUTAGE_REPORT_INTERVAL_MICROS) {
            endpoint.reportedOutage = new OutageState(phase, symptom, sinceMicros);
            actions.outageChanged(endpoint.index, endpoint.reportedOutage);
        }
    }

    /**
     * Restores what an earlier process of this relay, or one that knew an endpoint of the same name before, has
     * reported of an outage. Messages of an earlier process have earned their calls already, so it is called after
     * they are accepted again.
     */
    public void restoreOutage(int endpointIndex, OutageState state) {
        Endpoint endpoint = endpoints[endpointIndex];
        if (state.isExpired(nowMicros)
            || state.phase() == Phase.RECOVERING && recoveryBudget.isWarm(nowMicros - state.sinceMicros())) {
            return;
        }
        endpoint.reportedOutage = state;
        if (state.phase() == Phase.RECOVERING) {
            beginRecovery(endpoint, state.sinceMicros());
        } else if (state.phase() != Phase.NONE) {
            endpoint.outageEvidence.recordFailure(state.symptom(), state.sinceMicros(), state.sinceMicros());
            if (state.phase() == Phase.UNHEALTHY) {
                markUnhealthy(endpoint, state.symptom());
            }
        }
    }

    /**
     * The failure share above which an endpoint is unhealthy: most of its calls must fail, not a few of many.
     */
    private static final double UNHEALTHY_FAILURE_SHARE = 0.5;
    /**
     * The failure share above which a recovering endpoint is unhealthy again, and above which the destination
     * of an endpoint counts as unhealthy.
     */
    private static final double SUSPECT_FAILURE_SHARE = 0.3;
    /** Weight of a failure in the failure share, and factor for the share at a delivery. */
    private static final double FAILURE_SMOOTHING = 0.2;
    private static final double FAILURE_DECAY = 0.8;
    /** Weights of the latest value in moving averages. */
    private static final double LATENCY_SMOOTHING = 0.15;
    private static final double USUAL_LATENCY_SMOOTHING = 0.05;
    private static final double LOST_ANSWER_SMOOTHING = 0.03;
    private static final double STALE_CONNECTION_SMOOTHING = 0.06;
    /** Factor for the share of stale connections at a delivery. */
    private static final double STALE_CONNECTION_DECAY = 0.97;
    /** Calls per second. */
    private static final double MIN_PROBE_RATE = 0.01;
    private static final long MIN_PROBE_INTERVAL_MICROS = 400 * MILLISECOND;
    /** The longest interval between the probes of a relay, while this many relays or fewer probe. */
    private static final long MAX_PROBE_INTERVAL_MICROS = 2500 * MILLISECOND;
    private static final double RELAYS_AT_MAX_PROBE_INTERVAL = 6;
    /**
     * Shortest silence that counts as an outage; beyond, multiples of the latency, shorter with many calls.
     */
    private static final long MIN_SILENCE_MICROS = 700 * MILLISECOND;
    private static final double SILENCE_LATENCIES = 2.5;
    private static final double SILENCE_LATENCIES_OF_ONE_CALL = 4;
    /** The most retries that an endpoint's answers can earn ahead. */
    private static final double MAX_RETRY_CREDIT = 8;
    private static final double RETRY_CREDIT_PER_DELIVERY = 0.5;
    /** The share of lost answers or stale connections from which on they count as frequent. */
    private static final double FREQUENT_LOSS_SHARE = 0.04;
    private static final double DEFAULT_LATENCY_MICROS = 0.5 * SECOND;
    /** How long idle connections are not used after losses were found to be frequent. */
    private static final long RENEW_CONNECTIONS_MICROS = 30 * SECOND;
    /** How long idle connections to endpoints of a kind are closed after one of them refused a connect. */
    private static final long CROWDED_KIND_MICROS = 60 * SECOND;
    /**
     * A longer requested pause means that the endpoint is shut, not that a limit was exceeded for a moment.
     */
    private static final long LONG_RETRY_AFTER_MICROS = 2500 * MILLISECOND;
    /** How long a due probe waits for another message before an at-most-once message is sent as the probe. */
    private static final long AT_MOST_ONCE_PROBE_DELAY_MICROS = 3 * SECOND;
    /** A call without an answer for longer, and for several times the latency, is unlikely to get one. */
    private static final long HOPELESS_CALL_MICROS = 1500 * MILLISECOND;
    /** Moving averages over all endpoints. */
    private double lostAnswerShare;
    private double staleConnectionShare;
    private double usualLatencyMicros = DEFAULT_LATENCY_MICROS;

    private void markUnhealthy(Endpoint endpoint, Symptom symptom) {
        if (endpoint.unhealthySinceMicros < 0) {
            actions.endpointHealthChanged(endpoint.index, false);
        }
        endpoint.unhealthySinceMicros = nowMicros;
        endpoint.recoveringSinceMicros = -1;
        endpoint.mayHaveExecuted = symptom.mayHaveExecuted;
        // Random starts, as most relays notice an outage at about the same time, and as relays with little
        // traffic would hardly ever earn a whole call.
        endpoint.destination.earnedCalls = random();
        endpoint.nextProbeAtMicros = nowMicros
            + max(MIN_PROBE_INTERVAL_MICROS, (long) (probeIntervalMicros(endpoint) * random()));
        reportOutage(endpoint, Phase.UNHEALTHY, symptom);
    }

    private void beginRecovery(Endpoint endpoint, long returnedAtMicros) {
        endpoint.recoveringSinceMicros = returnedAtMicros;
        endpoint.recoveryTokensAtMicros = nowMicros;
        endpoint.recoveryCallLimit = 1;
        endpoint.recoveryTokens = random() / max(1, endpoint.limiter.endpointsUp);
        endpoint.failureShare = endpoint.consecutiveFailures = 0;
        Symptom symptom = endpoint.outageEvidence.symptom();
        endpoint.outageEvidence.clear();
        reportOutage(endpoint, Phase.RECOVERING, symptom);
        markHealthy(endpoint);
    }

    private void markHealthy(Endpoint endpoint) {
        if (endpoint.unhealthySinceMicros >= 0) {
            actions.endpointHealthChanged(endpoint.index, true);
        }
        endpoint.unhealthySinceMicros = -1;
    }

    /**
     * Returns the calls per second that this relay may send to a recovering endpoint. The relays that can
     * have noticed the recovery share somewhat less than half of what makes the destination collapse, as
     * arriving messages earn the rest, and what the other relays would send.
     */
    private double recoveryRate(Endpoint endpoint, long recoveringForMicros) {
        RateLimiter limiter = endpoint.limiter;
        double rate = recoveringCapacity(limiter);
        double awareRelays = min(relayCount, max(1, rate * RETENTION_MICROS / SECOND));
        return rate * (recoveryMultiple(limiter, recoveringForMicros) + 1 - awareRelays / relayCount)
            / awareRelays / max(1, limiter.endpointsUp);
    }

    /** Returns the calls per second, from all relays, that the destination or endpoint accepts once it is warm. */
    private double recoveringCapacity(RateLimiter limiter) {
        return limiter.reportedLimit > 0 ? limiter.reportedLimit : estimatedRate(limiter) * rateConfidence;
    }

    private double recoveryMultiple(RateLimiter limiter, long recoveringForMicros) {
        return recoveryBudget.sentMultiple(recoveringCapacity(limiter), recoveringForMicros);
    }

    /** Whether this relay's even share of the calls to the cold destination or endpoint is less than one call. */
    private boolean hasSmallRecoveryShare(RateLimiter limiter) {
        return recoveryBudget.callsPerRelay(recoveringCapacity(limiter)) < 1;
    }

    /**
     * Counts an arriving message as a part of a full call to the unhealthy or recovering endpoints of its
     * destination. By keys and bursts, the relays that send there at a time are a few with many messages
     * each, which would wait too long if the rate were only divided evenly among all relays.
     */
    private void earnCalls(Destination destination) {
        double weight = FURTHER_MESSAGE_WEIGHT + (1 - FURTHER_MESSAGE_WEIGHT) / destination.maxBatchSize;
        destination.earnedCalls = min(1,
            destination.earnedCalls + weight * recoveryMultiple(destination.sharedLimiter, 0));
        for (Endpoint endpoint : destination.endpoints) {
            endpoint.recoveryTokens += endpoint.recoveringSinceMicros < 0 ? 0
                : weight * recoveryMultiple(endpoint.limiter, nowMicros - endpoint.recoveringSinceMicros)
                    / max(1, endpoint.limiter.endpointsUp);
        }
    }

    private long probeIntervalMicros(Endpoint endpoint) {
        double intervalMicros = SECOND / max(MIN_PROBE_RATE, recoveryRate(endpoint, 0));
        // The probes of all relays add up: at most one every 2.5 s from each of many relays would overload a
        // destination that returns, so the longest interval grows with the number of relays.
        double maxIntervalMicros = MAX_PROBE_INTERVAL_MICROS
            * max(1, relayCount * endpoint.limiter.endpointsUp / RELAYS_AT_MAX_PROBE_INTERVAL);
        return (long) (max(MIN_PROBE_INTERVAL_MICROS, min(maxIntervalMicros, intervalMicros))
            * (0.9 + 0.2 * random()));
    }

    /**
     * Marks an endpoint as unhealthy if its calls have been without an answer for much longer than its
     * answers take, or checks again when that will be so.
     */
    private void checkSilence(Endpoint endpoint) {
        boolean needsNoCheck = endpoint.callsInFlight == 0 || endpoint.unhealthySinceMicros >= 0;
        // A single answer may get lost anywhere: it takes two calls without an answer, or one after two
        // failures.
        int unansweredCalls = endpoint.consecutiveFailures > 1 ? 1 : 2;
        for (Call call : needsNoCheck ? List.<Call>of() : activeCalls) {
            if (call.endpoint == endpoint && --unansweredCalls == 0) {
                long silentAtMicros = max(call.startedAtMicros, endpoint.lastAnswerAtMicros) + 1
                    + (long) max(MIN_SILENCE_MICROS,
                        endpoint.latencyMicros
                            * (SILENCE_LATENCIES + SILENCE_LATENCIES_OF_ONE_CALL / endpoint.callsInFlight));
                if (nowMicros >= silentAtMicros) {
                    endpoint.outageEvidence.recordFailure(Symptom.SILENCE, nowMicros, nowMicros);
                    markUnhealthy(endpoint, Symptom.SILENCE);
                    markReady(call.destination);
                } else if (endpoint.silenceCheckAtMicros <= nowMicros
                    || silentAtMicros < endpoint.silenceCheckAtMicros) {
                    endpoint.silenceCheckAtMicros = silentAtMicros;
                    schedule(silentAtMicros, () -> checkSilence(endpoint));
                }
                return;
            }
        }
    }

    // ---- Attempts

    /** The timeout of an attempt: a multiple of the endpoint's latency, but not below the minimum. */
    private static final long MIN_TIMEOUT_MICROS = 1500 * MILLISECOND;
    private static final double TIMEOUT_LATENCIES = 6;
    /** The same where answers often get lost: the latency and a multiple of its deviation. */
    private static final long MIN_LOSSY_TIMEOUT_MICROS = 600 * MILLISECOND;
    private static final double LOSSY_TIMEOUT_DEVIATIONS = 4;

    /** Returns the timeout of an attempt; 0 to wait for its answer until the message expires. */
    private long attemptTimeoutMicros(Message message, Endpoint endpoint) {
        // Where single answers get lost and others arrive in their usual time, a lost one won't come. But
        // where whole endpoints stall or queue their calls, a short timeout only adds to their work.
        double timeoutMicros = lostAnswerShare > FREQUENT_LOSS_SHARE
            ? max(MIN_LOSSY_TIMEOUT_MICROS,
                endpoint.latencyMicros + LOSSY_TIMEOUT_DEVIATIONS * endpoint.latencyDeviationMicros)
            : defaultTimeoutMicros(endpoint.latencyMicros);
        // A timeout of an at-most-once attempt gains nothing: it may have been executed, so it can't be
        // repeated.
        return isAtMostOnce(message) || nowMicros + timeoutMicros >= message.expiresAtMicros ? 0
            : (long) timeoutMicros;
    }

    private static long defaultTimeoutMicros(double latencyMicros) {
        return (long) max(MIN_TIMEOUT_MICROS, TIMEOUT_LATENCIES * latencyMicros);
    }

    private void send(Message message, Call call) {
        dequeue(message);
        Endpoint endpoint = call.endpoint;
        actions.send(message.index, endpoint.index, attemptTimeoutMicros(message, endpoint),
            message.sendByMicros);
        endpoint.retryCredit = max(0, endpoint.retryCredit - min(1, message.attempts));
        message.attempts++;
        message.call = call;
        endpoint.recoveryTokens -= call.messages.isEmpty() ? 1 : FURTHER_MESSAGE_WEIGHT;
        call.messages.add(message);
        call.bytes += message.callBytes;
        call.openAttempts++;
        call.destination.sentInGeneration++;
    }

    /**
     * Cancels calls that are unlikely to get an answer while other destinations need their slots: the window
     * of an unhealthy destination lets it hold half of all slots. A cancelled at-most-once message that would
     * have been answered fails.
     */
    private void cancelHopelessCalls(boolean maySend) {
        int neededSlots = max(1, maxConcurrentCalls / 4) - (maxConcurrentCalls - callsInFlight);
        if (neededSlots <= 0 || !cancelAllowed || !maySend) {
            return;
        }
        boolean othersWait = readyDestinations.stream()
            .anyMatch(destination -> !isUnhealthy(destination) && freeWindow(destination) > 0);
        for (Call call : othersWait ? activeCalls : List.<Call>of()) {
            double hopelessMicros = max(HOPELESS_CALL_MICROS, 4 * call.endpoint.latencyMicros);
            if (nowMicros - call.startedAtMicros > (call.endpoint.unhealthySinceMicros >= 0 ? 1 : 2)
                * hopelessMicros && neededSlots-- > 0) {
                call.messages.stream().filter(message -> message.call == call && !call.cancelled)
                    .forEach(message -> actions.cancelAttempt(message.index, message.attempts - 1));
                call.cancelled = true;
            }
        }
        if (othersWait && cancelCheckAtMicros <= nowMicros) {
            cancelCheckAtMicros = nowMicros + HOPELESS_CALL_MICROS / 8;
            // No action of its own: it makes sure that a round takes place then.
            schedule(cancelCheckAtMicros, () -> {});
        }
    }

    /** Queues a message again after an attempt that did not deliver it, or finishes it. */
    private void retryOrFinish(Message message, Call call, int outcome) {
        boolean notExecuted = PolicyActions.isNotExecuted(outcome);
        markUncertain(message, notExecuted ? -1 : call.startedAtMicros, call.endpoint.zone);
        if (mayAttempt(message)) {
            enqueue(message, true);
        } else {
            finish(message, 0);
        }
    }

    /**
     * Records the first attempt with unknown outcome; a deduplicated message must end while a repeat is
     * recognized.
     */
    private void markUncertain(Message message, long sinceMicros, int zone) {
        MessageClass properties = messageClasses[message.messageClass];
        if (sinceMicros >= 0 && message.uncertainSinceMicros < 0) {
            message.uncertainSinceMicros = sinceMicros;
            message.uncertainZone = zone;
            if (properties.semantics() == DeliverySemantics.DEDUPLICATED
                && message.uncertainSinceMicros + properties.deduplicationMicros()
                    - FINISH_BEFORE_EXPIRY_MICROS < message.sendByMicros) {
                message.sendByMicros = message.uncertainSinceMicros + properties.deduplicationMicros()
                    - FINISH_BEFORE_EXPIRY_MICROS;
                schedule(message.sendByMicros, () -> finishIfDue(message));
            }
        }
    }

    private boolean mayAttempt(Message message) {
        return mayRepeat(message) && message.attempts < maxAttempts && nowMicros < message.sendByMicros;
    }

    // ---- Outcomes

    /** Weight of the latest reported limit in its moving average. */
    private static final double REPORTED_LIMIT_SMOOTHING = 0.2;

    /**
     * Reports the end of an attempt.
     *
     * @param index the message
     * @param finished whether nothing more is owed for the message: it was delivered, or ended otherwise
     *     meanwhile
     * @param attempt the number of the attempt; not used, as a message has one attempt in flight at most
     * @param endpointIndex the endpoint; not used, for the same reason
     * @param outcome one of the outcomes of {@link PolicyActions}
     * @param retryAfterMicros the pause that the endpoint asked for, or 0
     * @param elapsedMicros the time since the attempt was started
     * @param remainingShare the unused share of the limit by the endpoint's load report, or NaN
     * @param reportedLimit the limit by the load report, in calls per second from all relays: 0 for no limit,
     *     NaN if not reported
     */
    public void attemptEnded(int index, boolean finished, int attempt, int endpointIndex, int outcome,
        long retryAfterMicros, long elapsedMicros, double remainingShare, double reportedLimit) {
        Message message = messages[index];
        Call call = message == null ? null : message.call;
        if (call == null) {
            return;
        }
        message.call = null;
        Destination destination = call.destination;
        Endpoint endpoint = call.endpoint;
        RateLimiter limiter = endpoint.limiter;
        if (--call.openAttempts == 0) {
            callsInFlight--;
            destination.callsInFlight--;
            endpoint.callsInFlight--;
            activeCalls.remove(call);
        }
        if (endpoint.callsInFlight == 0 && outcome != PolicyActions.UNREACHABLE
            && outcome != PolicyActions.CONNECTION_LIMIT && outcome != PolicyActions.NOT_EXECUTED
            && (nowMicros - kindCrowdedAtMicros[endpoint.kind] < CROWDED_KIND_MICROS
                || endpoint.callIntervalMicros > idleConnectionTimeoutMicros
                    && destination.queuedMessages == 0
                    && message.keyQueue == null)) {
            // Idle connections of many relays could fill the endpoint's connection table. One that would
            // hardly be used again before its idle timeout only takes the place of others, so it is closed
            // even before any connect failed. Endpoints of one kind have similar tables, and a relay with
            // an idle connection doesn't see the failures that it causes.
            actions.closeIdleConnections(endpoint.index);
        }
        limiter.reportedLimit = reportedLimit > 0 && limiter.reportedLimit > 0
            ? limiter.reportedLimit + REPORTED_LIMIT_SMOOTHING * (reportedLimit - limiter.reportedLimit)
            : reportedLimit >= 0 ? reportedLimit : limiter.reportedLimit;
        limiter.remainingShare = remainingShare >= 0 ? remainingShare : limiter.remainingShare;
        if (outcome == PolicyActions.OVERLOADED) {
            if (!call.outcomeObserved) {
                recordOverload(limiter, call, retryAfterMicros);
            }
            if (call.windowGeneration == destination.windowGeneration) {
                setWindow(destination, max(1, min(destination.window, maxWindow) * WINDOW_CUT));
            }
        }
        limiter.waitUntilMicros = retryAfterMicros > 0
            ? max(limiter.waitUntilMicros, nowMicros + retryAfterMicros)
            : limiter.waitUntilMicros;
        if (!call.outcomeObserved) {
            call.outcomeObserved = true;
            observeOutcome(call, outcome, elapsedMicros, retryAfterMicros);
            checkSilence(endpoint);
        }
        markReady(destination);
        boolean mayStillRun = outcome == PolicyActions.TIMEOUT
            || outcome >= PolicyActions.CONNECTION_LOST && !PolicyActions.isNotExecuted(outcome);
        if (message.keyQueue != null && mayStillRun) {
            message.keyQueue.pausedUntilMicros = max(message.keyQueue.pausedUntilMicros,
                nowMicros + settleAfterUncertainMicros);
        }
        if (finished || message.finished) {
            close(message);
            advanceKey(message);
        } else {
            retryOrFinish(message, call, outcome);
        }
    }

    // ---- Endpoint list

    /** Time after which a list that was requested and has not started is requested again. */
    private static final long LIST_REQUEST_INTERVAL_MICROS = 3 * SECOND;

    private long listRequestAtMicros = NEVER;
    private long listRetryDelayMicros;

    /** Requests the list at the given time and again after an interval, until a list starts. */
    private void requestListAt(long atMicros) {
        listRequestAtMicros = atMicros;
        schedule(atMicros, () -> {
            if (listRequestAtMicros == atMicros) {
                actions.requestEndpointList(true);
                requestListAt(nowMicros + LIST_REQUEST_INTERVAL_MICROS);
            }
        });
    }

    /**
     * Starts a list of endpoints or of changes; calls of {@link #endpointListed} and
     * {@link #endpointListEnded} follow.
     *
     * @param complete whether endpoints that the list doesn't name are gone
     * @param cached whether the list is from a cache, so that a requested one is still awaited
     */
    public void endpointListStarted(boolean complete, boolean cached) {
        listIsComplete = complete;
        listRequestAtMicros = cached ? listRequestAtMicros : NEVER;
        listRetryDelayMicros = cached ? listRetryDelayMicros : 0;
        completeListCount += complete ? 1 : 0;
    }

    /**
     * Reports one endpoint of the list.
     *
     * @param index the endpoint
     * @param zone the zone it is in
     * @param kind its kind, an index into {@link PolicySettings#limitPerEndpoint} and
     *     {@link PolicySettings#maxBatchSize}
     * @param destination the destination it belongs to; never changes for an index that is in use
     * @param phase 0 for up, 1 for draining, 2 for gone
     * @param callsPerSecond the rate that its limit allows from all relays; ignored unless
     *     {@link PolicySettings#listReportsRate}
     * @param sinceMicros the time stamp of the entry; not used by this policy
     */
    public void endpointListed(int index, int zone, int kind, int destination, int phase,
        double callsPerSecond, long sinceMicros) {
        Destination owner = destinations.computeIfAbsent(destination, i -> new Destination());
        endpoints = index < endpoints.length ? endpoints : Arrays.copyOf(endpoints, 2 * index + 32);
        if (endpoints[index] == null) {
            addEndpoint(endpoints[index] = new Endpoint(index, owner, kind), kind);
        }
        Endpoint endpoint = endpoints[index];
        endpoint.listedInVersion = completeListCount;
        endpoint.zone = zone;
        endpoint.kind = min(kind, kindCrowdedAtMicros.length - 1);
        endpoint.limiter.listedRate = listReportsRate ? callsPerSecond : endpoint.limiter.listedRate;
        setPhase(endpoint, phase);
        markReady(owner);
    }

    private void addEndpoint(Endpoint endpoint, int kind) {
        Destination destination = endpoint.destination;
        destination.endpoints = Arrays.copyOf(destination.endpoints, destination.endpoints.length + 1);
        destination.endpoints[destination.endpoints.length - 1] = endpoint;
        destination.maxBatchSize = kind < maxBatchSizes.length ? max(1, maxBatchSizes[kind]) : 1;
        endpoint.limiter.tokensAtMicros = nowMicros;
        // Bit 0: some endpoint is unhealthy; bit 1: some endpoint is up and healthy.
        int health = Arrays.stream(destination.endpoints)
            .mapToInt(other -> other.unhealthySinceMicros >= 0 ? 1 : other.phase == PHASE_UP ? 2 : 0)
            .reduce(0, (a, b) -> a | b);
        if (health == 1 && endpoint.limiter == destination.sharedLimiter) {
            // Endpoint listed while all others of the destination are down: without this, all relays would
            // send it all their waiting messages at once.
            endpoint.outageEvidence.recordFailure(Symptom.LISTED_DURING_OUTAGE, nowMicros, nowMicros);
            markUnhealthy(endpoint, Symptom.LISTED_DURING_OUTAGE);
            endpoint.nextProbeAtMicros = nowMicros + (long) (probeIntervalMicros(endpoint) * random());
        }
    }

    private void setPhase(Endpoint endpoint, int phase) {
        endpoint.limiter.endpointsUp += (phase == PHASE_UP ? 1 : 0) - (endpoint.phase == PHASE_UP ? 1 : 0);
        endpoint.phase = phase;
        if (phase == PHASE_GONE) {
            schedule(nowMicros + RETENTION_MICROS, () -> releaseIfGone(endpoint.index));
        }
    }

    /**
     * Releases an endpoint that is still gone, so that replaced endpoints don't fill the memory; the caller
     * may use its index for another one. The last endpoint of a destination stays.
     */
    private void releaseIfGone(int index) {
        Endpoint endpoint = endpoints[index];
        if (endpoint == null || endpoint.phase != PHASE_GONE) {
            return;
        }
        Destination destination = endpoint.destination;
        if (endpoint.callsInFlight > 0 || destination.endpoints.length == 1) {
            schedule(nowMicros + RETENTION_MICROS, () -> releaseIfGone(index));
        } else {
            destination.endpoints = Arrays.stream(destination.endpoints).filter(other -> other != endpoint)
                .toArray(Endpoint[]::new);
            endpoints[index] = null;
            actions.releaseEndpoint(index);
        }
    }

    /** Ends a list; if it was complete, endpoints that it didn't name are gone. */
    public void endpointListEnded() {
        for (Endpoint endpoint : endpoints) {
            if (listIsComplete && endpoint != null && endpoint.listedInVersion != completeListCount) {
                setPhase(endpoint, PHASE_GONE);
            }
        }
    }

    /** Reports that the list could not be had; it is requested again after a growing, random delay. */
    public void endpointListFailed() {
        // It is unknown whether the subscription still exists, so it is requested again.
        listRetryDelayMicros = listRetryDelayMicros == 0 ? listRetryMicros
            : min(4 * listRetryMicros, listRetryDelayMicros * 2);
        requestListAt(min(listRequestAtMicros, nowMicros + (long) (listRetryDelayMicros * (0.5 + random()))));
    }

    // ---- Rounds

    /** Reports that the alarm has fired; the present round then runs what is due. */
    public void alarmFired() {
        alarmAtMicros = nowMicros < alarmAtMicros ? alarmAtMicros : NEVER;
    }

    /**
     * Completes a round: runs what is due, sends what may be sent and sets the alarm.
     *
     * @param maySend whether the caller can send now; otherwise messages stay queued
     */
    public void completeRound(boolean maySend) {
        rounds++;
        timedActions.runDue(nowMicros);
        dispatch(maySend);
        cancelHopelessCalls(maySend);
        long nextDueAtMicros = timedActions.nextDueAtMicros(NEVER);
        if (alarmAtMicros > nextDueAtMicros) {
            alarmAtMicros = nextDueAtMicros;
            actions.setAlarm(alarmAtMicros - nowMicros);
        }
    }

    private void markReady(Destination destination) {
        if (destination.queuedMessages > 0 && !destination.inReadyQueue && destination.endpoints.length > 0) {
            destination.inReadyQueue = true;
            readyDestinations.addLast(destination);
        }
    }

    private void dispatch(boolean maySend) {
        while (maySend && !readyDestinations.isEmpty() && callsInFlight < maxConcurrentCalls) {
            Destination destination = maxConcurrentCalls - callsInFlight < readyDestinations.size()
                ? pollMostValuable() : readyDestinations.pollFirst();
            destination.inReadyQueue = false;
            if (destination.queuedMessages == 0 || sendCall(destination)) {
                markReady(destination);
            } else {
                scheduleWake(destination);
            }
        }
    }

    /**
     * Removes and returns, of some of the ready destinations in turn, the one where the next call saves the
     * most revenue per time that it holds its slot. Otherwise slow destinations would take the slots that
     * fast ones use several times meanwhile.
     */
    private Destination pollMostValuable() {
        Destination best = null;
        double highest = -1;
        for (int i = min(COMPARED_DESTINATIONS, readyDestinations.size()); i > 0; i--) {
            Destination destination = readyDestinations.pollFirst();
            readyDestinations.addLast(destination);
            long latencyMicros = lowestLatencyMicros(destination);
            int queue = mostUrgentQueue(destination, latencyMicros, 0);
            // A probe may hold its slot until it times out.
            long slotMicros = isUnhealthy(destination) ? defaultTimeoutMicros(latencyMicros) : latencyMicros;
            double value = queue < 0 ? 0
                : urgency(head(destination, queue), latencyMicros, expectedDelayMicros(destination))
                    / (slotMicros + CALL_OVERHEAD_MICROS);
            if (value > highest) {
                highest = value;
                best = destination;
            }
        }
        readyDestinations.removeLastOccurrence(best);
        return best;
    }

    /** Schedules the time at which one of the destination's endpoints may have a call again. */
    private void scheduleWake(Destination destination) {
        long wakeAtMicros = NEVER;
        for (Endpoint endpoint : destination.endpoints) {
            long fromMicros = availableAtMicros(endpoint);
            fromMicros = fromMicros <= nowMicros && endpoint.unhealthySinceMicros >= 0
                ? endpoint.nextProbeAtMicros + AT_MOST_ONCE_PROBE_DELAY_MICROS + 1 : fromMicros;
            wakeAtMicros = fromMicros > nowMicros ? min(wakeAtMicros, fromMicros) : wakeAtMicros;
        }
        if (freeWindow(destination) > 0 && wakeAtMicros < NEVER
            && (wakeAtMicros < destination.wakeAtMicros || destination.wakeAtMicros <= nowMicros)) {
            long dueAtMicros = destination.wakeAtMicros = wakeAtMicros;
            schedule(wakeAtMicros, () -> {
                if (destination.wakeAtMicros == dueAtMicros) {
                    markReady(destination);
                }
            });
        }
    }

    private long lowestLatencyMicros(Destination destination) {
        return (long) Arrays.stream(destination.endpoints).mapToDouble(endpoint -> endpoint.latencyMicros)
            .reduce(DEFAULT_LATENCY_MICROS, Math::min);
    }

    /** Bounds of the delay that messages are compared by, and the calls per second where no rate is known. */
    private static final long MIN_EXPECTED_DELAY_MICROS = 250 * MILLISECOND;
    private static final long MAX_EXPECTED_DELAY_MICROS = 8 * SECOND;
    private static final double ASSUMED_RATE = 2;

    /** Returns about how long this relay takes to send all queued messages of the destination. */
    private long expectedDelayMicros(Destination destination) {
        double rate = knownRate(destination.endpoints[0].limiter);
        return (long) max(MIN_EXPECTED_DELAY_MICROS, min(MAX_EXPECTED_DELAY_MICROS,
            destination.queuedMessages / (rate > 0 ? rate / relayCount : ASSUMED_RATE) * SECOND));
    }

    /**
     * Sends one call to the destination if its window, an endpoint and a message allow it, and returns
     * whether.
     */
    private boolean sendCall(Destination destination) {
        long latencyMicros = lowestLatencyMicros(destination);
        Arrays.stream(destination.endpoints).forEach(this::refillTokens);
        recordFullWindow(destination);
        if (freeWindow(destination) <= 0) {
            return false;
        }
        moveLateMessages(destination, latencyMicros);
        Endpoint endpoint = null;
        Call call = null;
        for (Message message = nextMessage(destination, latencyMicros,
            endpoint); message != null; message = nextMessage(destination, latencyMicros, endpoint)) {
            if (call == null) {
                endpoint = selectedEndpoint;
                call = beginCall(destination, endpoint);
            } else if (call.bytes + message.callBytes > maxCallBytes) {
                break;
            }
            send(message, call);
            if (call.messages.size() >= destination.maxBatchSize || endpoint.unhealthySinceMicros >= 0
                || endpoint.recoveringSinceMicros >= 0 && endpoint.recoveryTokens < FURTHER_MESSAGE_WEIGHT
                    - MAX_RECOVERY_DEBT
                        * recoveryBudget.warmUpShare(nowMicros - endpoint.recoveringSinceMicros)) {
                break;
            }
        }
        if (call == null) {
            for (Endpoint each : destination.endpoints) {
                each.limiter.throttledAtMicros = each.limiter.tokens < 1 ? nowMicros
                    : each.limiter.throttledAtMicros;
            }
            return false;
        }
        endpoint.lastBatchRound = destination.maxBatchSize > 1 ? rounds : -1;
        return true;
    }

    private Call beginCall(Destination destination, Endpoint endpoint) {
        Call call = new Call();
        call.endpoint = endpoint;
        call.destination = destination;
        call.startedAtMicros = nowMicros;
        callsInFlight++;
        if (destination.callsInFlight++ == 0 && nowMicros - destination.lastCallAtMicros > RETENTION_MICROS) {
            setWindow(destination, maxWindow);
        }
        call.windowGeneration = destination.windowGeneration;
        destination.lastCallAtMicros = nowMicros;
        endpoint.callsInFlight++;
        activeCalls.add(call);
        endpoint.latencyMicros = endpoint.lastAnswerAtMicros == 0 ? usualLatencyMicros
            : endpoint.latencyMicros;
        // The average follows shorter intervals faster than longer ones.
        double sinceLastCallMicros = nowMicros - endpoint.lastCallAtMicros;
        endpoint.callIntervalMicros = endpoint.lastCallAtMicros == 0
            ? SECOND * relayCount * max(1, endpoint.limiter.endpointsUp)
                / max(0.1, estimatedRate(endpoint.limiter))
            : endpoint.callIntervalMicros + (sinceLastCallMicros < endpoint.callIntervalMicros ? 0.7 : 0.3)
                * (sinceLastCallMicros - endpoint.callIntervalMicros);
        endpoint.lastCallAtMicros = nowMicros;
        endpoint.limiter.tokens--;
        endpoint.nextProbeAtMicros = endpoint.unhealthySinceMicros >= 0
            ? nowMicros + probeIntervalMicros(endpoint) : 0;
        destination.earnedCalls = endpoint.unhealthySinceMicros >= 0
            || endpoint.crowdedUntilMicros > nowMicros ? 0
                : destination.earnedCalls;
        recordFullWindow(destination);
        checkSilence(endpoint);
        if (nowMicros < renewConnectionsUntilMicros) {
            // Connections that died while idle, unnoticed by the relay, are frequent now: a call on one is
            // lost.
            actions.closeIdleConnections(endpoint.index);
        }
        return call;
    }

    /**
     * Returns the queue whose next message loses the most by a delay, or -1 if there is none.
     *
     * @param tried bit set of the queues to leave out
     */
    private int mostUrgentQueue(Destination destination, long latencyMicros, long tried) {
        long delayMicros = expectedDelayMicros(destination);
        double highest = -1;
        int best = -1;
        for (int i = 0; i < destination.queues.size(); i++) {
            Message message = (tried >> i & 1) != 0 ? null : head(destination, i);
            double urgency = message == null ? -1 : urgency(message, latencyMicros, delayMicros);
            if (urgency > highest) {
                highest = urgency;
                best = i;
            }
        }
        return best;
    }

    /**
     * Returns the message to be sent next: of those that some endpoint may have, the one that loses the most
     * by a delay; null if there is none. Sets {@link #selectedEndpoint}.
     *
     * @param callEndpoint the endpoint of the call that the message is to join, or null for a new call
     */
    private Message nextMessage(Destination destination, long latencyMicros, Endpoint callEndpoint) {
        long tried = 0;
        while (true) {
            int queue = mostUrgentQueue(destination, latencyMicros, tried);
            Message message = queue < 0 ? null : head(destination, queue);
            selectedEndpoint = message == null ? null
                : callEndpoint == null ? selectEndpoint(destination, message)
                    : recognizesRepeat(callEndpoint, message)
                        && (message.attempts == 0 || callEndpoint.retryCredit >= 1) ? callEndpoint : null;
            if (message == null || selectedEndpoint != null) {
                return message;
            }
            tried |= 1L << queue;
        }
    }
}
