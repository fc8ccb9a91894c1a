package yewpath.lab.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.lab.core.RandomStream;

/**
 * What the baseline policies share. Each destination has a queue in order of arrival. Advertised waits are
 * obeyed, draining endpoints get no calls, an attempt is not repeated where the message class forbids it, and
 * one message of an ordering key is sent at a time. The policies differ in how many attempts may be out to a
 * destination, which endpoint gets the next one, and how often a failed attempt is repeated.
 */
abstract class BaselinePolicy implements Policy {
    /** An accepted message. */
    static final class QueuedMessage {
        int index;
        int messageClass;
        int key;
        int attempts;
        long expiresAtMicros;
        long uncertainSinceMicros = -1;
        boolean attemptOut;
        boolean finished;
        int endpoint = -1;
        DestinationState destination;
    }

    /** The queue of a destination, with what the policies know of it. */
    static final class DestinationState {
        final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
        final List<Integer> endpoints = new ArrayList<>();
        int attemptsOut;
        long waitUntilMicros;
        // Free for the use of each policy.
        double limit;
        double firstFigure;
        double secondFigure;
        long changedAtMicros;
        int failuresInARow;
        long wakeUpAtMicros = -1;
        boolean ready;
    }

    private record ScheduledTask(long atMicros, Runnable action) {}

    /** A message is given up this long before it expires. */
    private static final long EXPIRY_MARGIN_MICROS = 40_000;
    /** A destination that has messages queued is looked at again after this time. */
    private static final long POLL_MICROS = 20_000;
    /** The wait asked of the client when a message is rejected after its attempts. */
    private static final long REJECT_RETRY_AFTER_MICROS = 500_000;
    /** Delay before the first retry; it doubles with each attempt. */
    private static final long BASE_BACKOFF_MICROS = 50_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;
    private static final int PHASE_UP = 0;
    private static final int PHASE_GONE = 2;
    final PolicySettings settings;
    final PolicyActions actions;
    final RandomStream random;
    long nowMicros;
    private final int maxConcurrentCalls;
    private final Map<Integer, DestinationState> destinations = new HashMap<>();
    private final ArrayDeque<DestinationState> readyDestinations = new ArrayDeque<>();
    private final Map<Integer, ArrayDeque<QueuedMessage>> keyQueues = new HashMap<>();
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
        (a, b) -> Long.compare(a.atMicros, b.atMicros));
    private QueuedMessage[] messages = new QueuedMessage[64];
    // By endpoint.
    private int[] phases = new int[64];
    private boolean[] listed = new boolean[64];
    private DestinationState[] destinationOf = new DestinationState[64];
    int[] callsOut = new int[64];
    private int totalCallsOut;
    private long alarmAtMicros = Long.MAX_VALUE;

    BaselinePolicy(PolicySettings settings, PolicyActions actions, RandomStream random, long nowMicros) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.nowMicros = nowMicros;
        maxConcurrentCalls = Math.max(1, settings.maxConcurrentCalls);
    }

    // ---- What the policies differ in

    /** The number of attempts that may be out to a destination at once. */
    abstract int maxAttemptsOut(DestinationState destination);

    /** Called when an attempt has ended. */
    void onOutcome(DestinationState destination, int outcome, long elapsedMicros) {}

    /** Whether a message whose attempt failed, and which may be repeated, gets another attempt. */
    boolean shouldRetry(QueuedMessage message) {
        return settings.maxAttempts <= 0 || message.attempts < settings.maxAttempts;
    }

    /** Delay before the next attempt, in microseconds. */
    long retryDelayMicros(QueuedMessage message) {
        return BASE_BACKOFF_MICROS << Math.min(MAX_BACKOFF_DOUBLINGS, message.attempts);
    }

    /** Chooses one of the usable endpoints; the list is not empty. */
    int chooseEndpoint(List<Integer> endpoints) {
        return endpoints.get(random.nextInt(endpoints.size()));
    }

    /** Timeout of the attempt in microseconds, 0 for the message's expiry. */
    long timeoutMicros(QueuedMessage message) {
        return 0;
    }

    /** Removes the message that is sent next from the destination's queue, which is not empty. */
    QueuedMessage removeNext(DestinationState destination) {
        return destination.queue.poll();
    }

    // ---- What the policies share

    @Override
    public void setTime(long newTimeMicros) {
        nowMicros = newTimeMicros;
    }

    final void schedule(long atMicros, Runnable action) {
        tasks.add(new ScheduledTask(atMicros, action));
    }

    private DestinationState destination(int index) {
        return destinations.computeIfAbsent(index, unused -> {
            DestinationState destination = new DestinationState();
            destination.limit = Double.NaN;
            return destination;
        });
    }

    /** Has the destination's queue served in the next round. */
    private void markReady(DestinationState destination) {
        if (!destination.ready) {
            destination.ready = true;
            readyDestinations.add(destination);
        }
    }

    @Override
    public void messageAccepted(int index, int messageClass, int tenant, int key, int destination,
        long expiresAtMicros, int attempts, long uncertainSinceMicros, int uncertainZone) {
        if (index >= messages.length) {
            messages = java.util.Arrays.copyOf(messages, 2 * index);
        }
        QueuedMessage message = new QueuedMessage();
        message.index = index;
        message.messageClass = messageClass;
        message.key = settings.messageClasses[messageClass].ordered() ? key : -1;
        message.expiresAtMicros = expiresAtMicros;
        message.attempts = attempts;
        message.uncertainSinceMicros = uncertainSinceMicros;
        message.destination = destination(destination);
        messages[index] = message;
        schedule(expiresAtMicros - EXPIRY_MARGIN_MICROS, () -> expire(message));
        if (!mayRepeat(message)) {
            endWithoutDelivery(message, 0);
        } else if (message.key < 0) {
            enqueue(message);
        } else {
            ArrayDeque<QueuedMessage> keyQueue = keyQueues.computeIfAbsent(message.key,
                unused -> new ArrayDeque<>(2));
            keyQueue.add(message);
            if (keyQueue.peek() == message) {
                enqueue(message);
            }
        }
    }

    private void enqueue(QueuedMessage message) {
        message.destination.queue.add(message);
        markReady(message.destination);
    }

    private void expire(QueuedMessage message) {
        if (!message.finished && !message.attemptOut) {
            endWithoutDelivery(message, 0);
        }
    }

    /**
     * Whether another attempt is safe: none may have taken effect, or the message class allows the repeat.
     */
    private boolean mayRepeat(QueuedMessage message) {
        PolicySettings.MessageClass messageClass = settings.messageClasses[message.messageClass];
        return message.uncertainSinceMicros < 0
            || messageClass.semantics() == PolicySettings.DeliverySemantics.IDEMPOTENT
            || messageClass.semantics() == PolicySettings.DeliverySemantics.DEDUPLICATED
                && nowMicros < message.uncertainSinceMicros + messageClass.deduplicationMicros();
    }

    /** Whether the agreed time of the message has passed. */
    final boolean isLate(QueuedMessage message) {
        PolicySettings.MessageClass messageClass = settings.messageClasses[message.messageClass];
        return nowMicros > message.expiresAtMicros - messageClass.timeToLiveMicros()
            + messageClass.onTimeMicros();
    }

    /** Rejects the message if the client may submit it again, and fails it otherwise. */
    final void endWithoutDelivery(QueuedMessage message, long retryAfterMicros) {
        if (message.finished) {
            return;
        }
        finish(message);
        if (mayRepeat(message)) {
            actions.reject(message.index, retryAfterMicros);
        } else {
            actions.fail(message.index);
        }
    }

    private void finish(QueuedMessage message) {
        message.finished = true;
        if (message.key >= 0 && !message.attemptOut) {
            startNextOfKey(message);
        }
    }

    private void startNextOfKey(QueuedMessage message) {
        ArrayDeque<QueuedMessage> keyQueue = keyQueues.get(message.key);
        if (keyQueue == null) {
            return;
        }
        boolean first = keyQueue.peek() == message;
        keyQueue.remove(message);
        if (keyQueue.isEmpty()) {
            keyQueues.remove(message.key);
        } else if (first) {
            QueuedMessage following = keyQueue.peek();
            // An attempt with an unknown outcome may still run: the next message of the key waits.
            long settleMicros = message.uncertainSinceMicros >= 0 ? settings.settleAfterUncertainMicros : 0;
            schedule(nowMicros + settleMicros, () -> {
                if (!following.finished) {
                    enqueue(following);
                }
            });
        }
    }

    @Override
    public void messageWithdrawn(int index) {
        if (messages[index] != null && !messages[index].finished) {
            finish(messages[index]);
        }
    }

    @Override
    public void attemptEnded(int index, boolean finished, int attempt, int endpoint, int outcome,
        long retryAfterMicros, long elapsedMicros, double remainingShare, double reportedLimit) {
        QueuedMessage message = messages[index];
        if (message == null || !message.attemptOut) {
            return;
        }
        message.attemptOut = false;
        DestinationState destination = message.destination;
        destination.attemptsOut--;
        callsOut[endpoint]--;
        totalCallsOut--;
        if (retryAfterMicros > 0) {
            destination.waitUntilMicros = Math.max(destination.waitUntilMicros, nowMicros + retryAfterMicros);
        }
        onOutcome(destination, outcome, elapsedMicros);
        markReady(destination);
        if (finished || message.finished) {
            if (!message.finished) {
                finish(message);
            } else if (message.key >= 0) {
                startNextOfKey(message);
            }
            return;
        }
        boolean mayHaveRun = outcome == PolicyActions.ERROR || outcome == PolicyActions.TIMEOUT
            || outcome == PolicyActions.CONNECTION_LOST
            || outcome == PolicyActions.CANCELLED || outcome == PolicyActions.STALE_CONNECTION;
        if (mayHaveRun && message.uncertainSinceMicros < 0) {
            message.uncertainSinceMicros = nowMicros;
        }
        if (!mayRepeat(message) || nowMicros >= message.expiresAtMicros - EXPIRY_MARGIN_MICROS
            || !shouldRetry(message)) {
            endWithoutDelivery(message, REJECT_RETRY_AFTER_MICROS);
        } else {
            schedule(nowMicros + retryDelayMicros(message), () -> {
                if (!message.finished && !message.attemptOut) {
                    enqueue(message);
                }
            });
        }
    }

    @Override
    public void endpointListStarted(boolean complete, boolean cached) {
        if (complete) {
            java.util.Arrays.fill(listed, false);
        } else {
            java.util.Arrays.fill(listed, true);
        }
    }

    @Override
    public void endpointListed(int endpoint, int zone, int kind, int destination, int phase,
        double callsPerSecond, long sinceMicros) {
        if (endpoint >= phases.length) {
            int size = 2 * endpoint + 32;
            phases = java.util.Arrays.copyOf(phases, size);
            listed = java.util.Arrays.copyOf(listed, size);
            destinationOf = java.util.Arrays.copyOf(destinationOf, size);
            callsOut = java.util.Arrays.copyOf(callsOut, size);
        }
        listed[endpoint] = true;
        if (destinationOf[endpoint] == null) {
            destinationOf[endpoint] = destination(destination);
            destinationOf[endpoint].endpoints.add(endpoint);
        }
        phases[endpoint] = phase;
        markReady(destinationOf[endpoint]);
    }

    @Override
    public void endpointListEnded() {
        for (int i = 0; i < destinationOf.length; i++) {
            if (destinationOf[i] != null && !listed[i]) {
                phases[i] = PHASE_GONE;
            }
        }
    }

    @Override
    public void alarmFired() {
        alarmAtMicros = Long.MAX_VALUE;
    }

    @Override
    public void completeRound() {
        while (!tasks.isEmpty() && tasks.peek().atMicros <= nowMicros) {
            tasks.poll().action.run();
        }
        for (int remaining = readyDestinations.size(); remaining > 0; remaining--) {
            DestinationState destination = readyDestinations.poll();
            destination.ready = false;
            serve(destination);
        }
        if (!tasks.isEmpty() && tasks.peek().atMicros < alarmAtMicros) {
            alarmAtMicros = tasks.peek().atMicros;
            actions.setAlarm(Math.max(1, alarmAtMicros - nowMicros));
        }
    }

    private void serve(DestinationState destination) {
        if (nowMicros < destination.waitUntilMicros) {
            wakeUp(destination, destination.waitUntilMicros);
            return;
        }
        List<Integer> usable = new ArrayList<>(destination.endpoints.size());
        for (int endpoint : destination.endpoints) {
            if (phases[endpoint] == PHASE_UP) {
                usable.add(endpoint);
            }
        }
        while (!usable.isEmpty() && !destination.queue.isEmpty() && totalCallsOut < maxConcurrentCalls
            && destination.attemptsOut < maxAttemptsOut(destination)) {
            QueuedMessage message = removeNext(destination);
            if (!message.finished && !message.attemptOut) {
                message.attemptOut = true;
                message.attempts++;
                message.endpoint = chooseEndpoint(usable);
                destination.attemptsOut++;
                callsOut[message.endpoint]++;
                totalCallsOut++;
                actions.send(message.index, message.endpoint, timeoutMicros(message), Long.MAX_VALUE);
            }
        }
        if (!usable.isEmpty() && !destination.queue.isEmpty()) {
            // Capacity can come back without an event: tokens of a bucket, a half-open breaker, concurrent
            // calls.
            wakeUp(destination, nowMicros + POLL_MICROS);
        }
    }

    private void wakeUp(DestinationState destination, long atMicros) {
        if (destination.wakeUpAtMicros <= nowMicros || atMicros < destination.wakeUpAtMicros) {
            destination.wakeUpAtMicros = atMicros;
            schedule(atMicros, () -> markReady(destination));
        }
    }
}
