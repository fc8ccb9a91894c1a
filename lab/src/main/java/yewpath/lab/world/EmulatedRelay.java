package yewpath.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import yewpath.PolicyActions;
import yewpath.lab.core.EventCalendar;
import yewpath.lab.policy.Policies;
import yewpath.lab.policy.Policy;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;

/**
 * An emulated relay: a delivery policy with what a relay has around it, that is rounds, connections, timeouts
 * and a ledger.
 */
final class EmulatedRelay implements PolicyActions, Relay, ResponseListener {
    /** The wait that a relay without room for another message asks a client for. */
    private static final long FULL_RETRY_AFTER_MICROS = 1_000_000;
    /** Phase of a listed endpoint, as the policy expects it. */
    private static final int PHASE_UP = 0;
    private static final int PHASE_DRAINING = 1;
    private final World world;
    private final Scenario scenario;
    private final EventCalendar calendar;
    private final Referee referee;
    private final int index;
    private Policy policy;
    private boolean up = true;
    /** Number of this start; events that an earlier start of the relay has scheduled are ignored by it. */
    private int incarnation;
    private boolean roundRequested;
    /** What the policy asked for in this round. */
    private ArrayList<Runnable> actions = new ArrayList<>();
    /** Takes the place of {@link #actions} while those are carried out. */
    private ArrayList<Runnable> nextActions = new ArrayList<>();
    // By local message index; indices are reused.
    private Message[] messages = new Message[64];
    private boolean[] finished = new boolean[64];
    private int[] attemptsOut = new int[64];
    private Attempt[] currentAttempt = new Attempt[64];
    private final ArrayDeque<Integer> freeIndices = new ArrayDeque<>();
    private int indicesUsed;
    private int openMessages;
    /** By endpoint, the number of idle connections. */
    private int[] idleConnections;
    /** By endpoint, since when the most recently used connection is idle. */
    private long[] idleSinceMicros;
    private long decisionNanos;

    EmulatedRelay(World world, int index) {
        this.world = world;
        scenario = world.scenario;
        calendar = world.calendar;
        referee = world.referee;
        this.index = index;
        idleConnections = new int[world.endpoints.length];
        idleSinceMicros = new long[world.endpoints.length];
        start();
    }

    private void start() {
        policy = Policies.create(world.policyName,
            new Policies.Context(world.settings(index), world.seed ^ 31L * index + incarnation, this,
                world.randomStream("policy " + index + ' ' + incarnation), calendar.nowMicros(),
                endpoint -> world.endpoints[endpoint].freeCapacity()));
        receiveList(true, false);
    }

    // ---- Rounds

    /** Lets the policy handle an event, and requests a round. */
    private void handle(Runnable event) {
        long startNanos = System.nanoTime();
        policy.setTime(calendar.nowMicros());
        event.run();
        decisionNanos += System.nanoTime() - startNanos;
        requestRound();
    }

    private void requestRound() {
        if (!roundRequested) {
            roundRequested = true;
            int scheduledIn = incarnation;
            calendar.scheduleAfter(0, () -> {
                if (scheduledIn == incarnation) {
                    completeRound();
                }
            });
        }
    }

    private void completeRound() {
        roundRequested = false;
        long startNanos = System.nanoTime();
        policy.setTime(calendar.nowMicros());
        policy.completeRound();
        decisionNanos += System.nanoTime() - startNanos;
        // Actions that are requested while these run are carried out in the next round.
        ArrayList<Runnable> current = actions;
        actions = nextActions;
        current.forEach(Runnable::run);
        current.clear();
        nextActions = current;
    }

    @Override
    public boolean isUp() {
        return up;
    }

    @Override
    public int index() {
        return index;
    }

    @Override
    public long decisionNanos() {
        return decisionNanos;
    }

    @Override
    public int openMessages() {
        return openMessages;
    }

    @Override
    public int openCalls() {
        int calls = 0;
        for (int local = 0; local < indicesUsed; local++) {
            calls += currentAttempt[local] == null ? 0 : 1;
        }
        return calls;
    }

    // ---- Clients and endpoint list

    @Override
    public void submit(Message message) {
        if (openMessages >= scenario.maxOpenMessages) {
            world.clients.refused(message, FULL_RETRY_AFTER_MICROS);
            return;
        }
        referee.accepted(calendar.nowMicros(), message.index, index);
        accept(message);
    }

    private void accept(Message message) {
        int local = freeIndices.isEmpty() ? indicesUsed++ : freeIndices.poll();
        if (local >= messages.length) {
            int size = 2 * local;
            messages = Arrays.copyOf(messages, size);
            finished = Arrays.copyOf(finished, size);
            attemptsOut = Arrays.copyOf(attemptsOut, size);
            currentAttempt = Arrays.copyOf(currentAttempt, size);
        }
        messages[local] = message;
        finished[local] = false;
        attemptsOut[local] = 0;
        openMessages++;
        handle(() -> policy.messageAccepted(local, message.messageClassIndex, -1, message.key,
            message.destination, message.expiresAtMicros, message.attempts, message.uncertainSinceMicros,
            0));
    }

    /**
     * The endpoint list reaches the relay.
     *
     * @param complete whether it is the complete list
     * @param includeUnchanged whether endpoints that are not draining are listed also in a list of changes
     */
    void receiveList(boolean complete, boolean includeUnchanged) {
        handle(() -> {
            policy.endpointListStarted(complete, false);
            for (EmulatedEndpoint endpoint : world.endpoints) {
                if (complete || endpoint.draining || includeUnchanged) {
                    policy.endpointListed(endpoint.index, 0, 0, endpoint.destination.index,
                        endpoint.draining ? PHASE_DRAINING : PHASE_UP, world.listedRate(), 0);
                    referee.endpointListed(calendar.nowMicros(), index, endpoint.index, !endpoint.draining);
                }
            }
            policy.endpointListEnded();
        });
    }

    @Override
    public void endpointListed(EmulatedEndpoint endpoint) {
        if (!up) {
            return;
        }
        referee.endpointListed(calendar.nowMicros(), index, endpoint.index, !endpoint.draining);
        if (endpoint.draining) {
            // A call that still waits for its connection would be sent long after the relay knew of the
            // drain.
            for (int local = 0; local < indicesUsed; local++) {
                Attempt attempt = currentAttempt[local];
                if (attempt != null && attempt.endpoint == endpoint && !attempt.sent) {
                    settle(attempt, NOT_EXECUTED, 0);
                }
            }
        }
        handle(() -> {
            policy.endpointListStarted(false, false);
            policy.endpointListed(endpoint.index, 0, 0, endpoint.destination.index,
                endpoint.draining ? PHASE_DRAINING : PHASE_UP, world.listedRate(), 0);
            policy.endpointListEnded();
        });
    }

    // ---- Calls

    @Override
    public void send(int localIndex, int endpoint, long timeoutMicros, long sendByMicros) {
        Message message = messages[localIndex];
        Attempt attempt = new Attempt(message, world.endpoints[endpoint], this, localIndex,
            message.attempts++, calendar.nowMicros());
        attemptsOut[localIndex]++;
        currentAttempt[localIndex] = attempt;
        attempt.beginTransit();
        actions.add(() -> {
            if (!attempt.settled) {
                startCall(attempt, timeoutMicros);
            }
        });
    }

    private void startCall(Attempt attempt, long timeoutMicros) {
        long now = calendar.nowMicros();
        long endsAtMicros = timeoutMicros > 0 ? Math.min(attempt.message.expiresAtMicros, now + timeoutMicros)
            : attempt.message.expiresAtMicros;
        int endpoint = attempt.endpoint.index;
        attempt.timeout = calendar.startTimer(endsAtMicros - now, () -> abandon(attempt, TIMEOUT));
        if (idleConnections[endpoint] > 0
            && now - idleSinceMicros[endpoint] < scenario.idleConnectionTimeoutMicros) {
            idleConnections[endpoint]--;
            sendRequest(attempt);
            return;
        }
        idleConnections[endpoint] = 0;
        int scheduledIn = incarnation;
        long delayMicros = world.networkDelay();
        calendar.scheduleAfter(delayMicros, () -> {
            int result = world.isPartitioned(index, attempt.endpoint) ? EmulatedEndpoint.NO_RESPONSE
                : attempt.endpoint.connectResult();
            if (result == EmulatedEndpoint.NO_RESPONSE) {
                calendar.scheduleAfter(Math.max(0, scenario.connectTimeoutMicros - delayMicros), () -> {
                    if (scheduledIn == incarnation) {
                        settle(attempt, UNREACHABLE, 0);
                    }
                });
                return;
            }
            calendar.scheduleAfter(
                world.networkDelay() + (result == EmulatedEndpoint.CONNECTED ? scenario.handshakeMicros : 0),
                () -> {
                    if (scheduledIn != incarnation || attempt.settled) {
                        return;
                    }
                    if (result == EmulatedEndpoint.REFUSED) {
                        settle(attempt, UNREACHABLE, 0);
                    } else {
                        sendRequest(attempt);
                    }
                });
        });
    }

    private void sendRequest(Attempt attempt) {
        attempt.sent = true;
        referee.callSent(calendar.nowMicros(), attempt.message.index, index, attempt.endpoint.index,
            orderingKey(attempt.message));
        if (!world.isPartitioned(index, attempt.endpoint)) {
            calendar.scheduleAfter(world.networkDelay(), () -> {
                if (!attempt.abandoned) {
                    attempt.endpoint.receive(attempt);
                }
            });
        }
    }

    /** Key of a message that is delivered in order, -1 for others. */
    private static int orderingKey(Message message) {
        return message.messageClass.ordered() ? message.key : -1;
    }

    @Override
    public void responseSent(Attempt attempt, int outcome, long retryAfterMicros) {
        if (world.isPartitioned(index, attempt.endpoint) || world.isLost()) {
            return;
        }
        long sentAtMicros = calendar.nowMicros();
        calendar.scheduleAfter(world.networkDelay(), () -> {
            if (retryAfterMicros > 0 && !attempt.settled) {
                // The wait binds the relay only if it reads the response, not if the connection is closed
                // already.
                referee.waitAdvertised(sentAtMicros, attempt.endpoint.retryAfterScope(attempt),
                    retryAfterMicros);
            }
            settle(attempt, outcome, retryAfterMicros);
        });
    }

    /** Closes the attempt's connection without waiting for a response any longer. */
    private void abandon(Attempt attempt, int outcome) {
        if (attempt.settled) {
            return;
        }
        closeConnection(attempt);
        settle(attempt, attempt.sent ? outcome : outcome == TIMEOUT ? UNREACHABLE : NOT_EXECUTED, 0);
    }

    /** Closes the connection at the relay; the endpoint notices one network delay later. */
    private void closeConnection(Attempt attempt) {
        if (!attempt.arrived) {
            attempt.abandoned = true;
        }
        calendar.scheduleAfter(world.networkDelay(), () -> attempt.endpoint.connectionClosed(attempt));
    }

    /** The relay has the attempt's outcome. */
    private void settle(Attempt attempt, int outcome, long retryAfterMicros) {
        if (attempt.settled) {
            return;
        }
        attempt.settled = true;
        attempt.endTransit();
        if (attempt.timeout != null) {
            attempt.timeout.cancel();
        }
        if (!up) {
            return;
        }
        int local = attempt.localIndex;
        Message message = attempt.message;
        currentAttempt[local] = currentAttempt[local] == attempt ? null : currentAttempt[local];
        boolean delivered = outcome == DELIVERED;
        if (delivered || outcome == ERROR || outcome == OVERLOADED) {
            idleConnections[attempt.endpoint.index]++;
            idleSinceMicros[attempt.endpoint.index] = calendar.nowMicros();
        }
        referee.outcomeReceived(message.index, index, orderingKey(message));
        if (outcome == ERROR || outcome == TIMEOUT || outcome == CONNECTION_LOST || outcome == CANCELLED) {
            message.uncertainSinceMicros = message.uncertainSinceMicros < 0 ? calendar.nowMicros()
                : message.uncertainSinceMicros;
        }
        if (delivered && !finished[local]) {
            referee.delivered(calendar.nowMicros(), message.index);
            world.clients.delivered(message);
        }
        boolean isFinished = delivered || finished[local];
        handle(() -> policy.attemptEnded(local, isFinished, attempt.number, attempt.endpoint.index, outcome,
            retryAfterMicros, calendar.nowMicros() - attempt.startedAtMicros, Double.NaN, Double.NaN));
        attemptsOut[local]--;
        if (delivered) {
            finish(local);
        } else {
            releaseIndex(local);
        }
    }

    private void finish(int local) {
        openMessages -= finished[local] ? 0 : 1;
        finished[local] = true;
        releaseIndex(local);
    }

    /** Frees a message's index once the message is finished and none of its attempts is out. */
    private void releaseIndex(int local) {
        if (finished[local] && attemptsOut[local] == 0 && messages[local] != null) {
            messages[local] = null;
            freeIndices.add(local);
        }
    }

    @Override
    public void cancelAttempt(int localIndex, int attemptNumber) {
        Attempt attempt = currentAttempt[localIndex];
        actions.add(() -> {
            if (attempt != null) {
                abandon(attempt, CANCELLED);
            }
        });
    }

    @Override
    public void closeIdleConnections(int endpoint) {
        actions.add(() -> idleConnections[endpoint] = 0);
    }

    @Override
    public void releaseEndpoint(int endpoint) {}

    @Override
    public void reject(int localIndex, long retryAfterMicros) {
        finishWithoutDelivery(localIndex, true, retryAfterMicros);
    }

    @Override
    public void fail(int localIndex) {
        finishWithoutDelivery(localIndex, false, 0);
    }

    private void finishWithoutDelivery(int local, boolean rejected, long retryAfterMicros) {
        if (finished[local]) {
            return;
        }
        Message message = messages[local];
        openMessages--;
        finished[local] = true;
        if (rejected) {
            referee.rejected(calendar.nowMicros(), message.index);
        } else {
            referee.failed(calendar.nowMicros(), message.index);
        }
        actions.add(() -> {
            world.clients.endedWithoutDelivery(message, rejected, retryAfterMicros);
            releaseIndex(local);
        });
        requestRound();
    }

    @Override
    public void setAlarm(long delayMicros) {
        int scheduledIn = incarnation;
        calendar.scheduleAfter(delayMicros, () -> {
            if (scheduledIn == incarnation && up) {
                handle(policy::alarmFired);
            }
        });
    }

    @Override
    public void requestEndpointList(boolean subscribe) {
        int scheduledIn = incarnation;
        calendar.scheduleAfter(scenario.directoryDelayMicros, () -> {
            if (scheduledIn == incarnation && up) {
                receiveList(true, true);
            }
        });
    }

    // ---- Kill and restart

    private List<Message> ledger = List.of();

    @Override
    public void kill(boolean keepLedger) {
        List<Message> unfinished = new ArrayList<>();
        up = false;
        incarnation++;
        referee.relayStopped(index);
        for (int local = 0; local < indicesUsed; local++) {
            Message message = messages[local];
            Attempt attempt = currentAttempt[local];
            if (attempt != null && !attempt.settled) {
                attempt.settled = true;
                attempt.endTransit();
                if (attempt.timeout != null) {
                    attempt.timeout.cancel();
                }
                if (attempt.sent && message.uncertainSinceMicros < 0) {
                    message.uncertainSinceMicros = calendar.nowMicros();
                }
                closeConnection(attempt);
            }
            if (message != null && !finished[local]) {
                if (keepLedger) {
                    unfinished.add(message);
                } else {
                    referee.lossExcused(message.index);
                    world.clients.lostWithRelay(message);
                }
            }
        }
        ledger = unfinished;
        Arrays.fill(messages, null);
        Arrays.fill(currentAttempt, null);
        Arrays.fill(idleConnections, 0);
        freeIndices.clear();
        actions.clear();
        indicesUsed = 0;
        openMessages = 0;
        roundRequested = false;
    }

    @Override
    public void restart() {
        up = true;
        start();
        for (Message message : ledger) {
            referee.restored(calendar.nowMicros(), message.index, index);
            accept(message);
        }
        ledger = List.of();
    }
}
