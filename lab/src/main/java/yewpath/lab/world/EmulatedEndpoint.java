package yewpath.lab.world;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import yewpath.PolicyActions;
import yewpath.lab.core.EventCalendar;
import yewpath.lab.core.RandomStream;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;

/**
 * An endpoint: a number of servers with a bounded queue in front of them, and the faults that a scenario
 * injects.
 */
public final class EmulatedEndpoint {
    /** Result of a connection attempt: the connection is established. */
    public static final int CONNECTED = 0;
    /** Result of a connection attempt: the endpoint refuses it at once. */
    public static final int REFUSED = 1;
    /** Result of a connection attempt: it times out. */
    public static final int NO_RESPONSE = 2;
    private static final long SECOND_MICROS = 1_000_000;
    /** An endpoint that warms up tolerates this many calls a second, however small its capacity is. */
    private static final int MIN_CALLS_TO_COLLAPSE = 4;
    public final int index;
    final Destination destination;
    private final Scenario scenario;
    private final EventCalendar calendar;
    private final Referee referee;
    private final RandomStream serviceTimes;
    private final RandomStream faults;
    private final ArrayDeque<Attempt> queue = new ArrayDeque<>();
    /** By request index, when a message with a deduplication key first took effect. */
    private final Map<Integer, Long> deduplicated = new HashMap<>();
    private int busyServers;
    // Faults that are in effect now.
    boolean silent;
    boolean refusing;
    boolean vanished;
    double slowdownFactor = 1;
    double errorProbability;
    double resetProbability;
    boolean draining;
    /** Calls on their way that have not arrived yet. */
    int callsInTransit;
    private long coldSinceMicros = -1;
    private long collapsedUntilMicros = -1;
    private long secondStartMicros;
    private int callsInSecond;
    long collapses;

    EmulatedEndpoint(int index, Destination destination, Scenario scenario, EventCalendar calendar,
        Referee referee, RandomStream serviceTimes, RandomStream faults) {
        this.index = index;
        this.destination = destination;
        this.scenario = scenario;
        this.calendar = calendar;
        this.referee = referee;
        this.serviceTimes = serviceTimes;
        this.faults = faults;
    }

    /** Ends an outage: the endpoint starts cold and has lost the calls of its queue. */
    void restartCold() {
        coldSinceMicros = scenario.endpointWarmUpMicros > 0 ? calendar.nowMicros() : -1;
        dropQueue();
    }

    /** Share of its capacity that the endpoint has now, 1 when it is warm. */
    private double warmShare() {
        if (coldSinceMicros < 0) {
            return 1;
        }
        long coldForMicros = calendar.nowMicros() - coldSinceMicros;
        if (coldForMicros >= scenario.endpointWarmUpMicros) {
            coldSinceMicros = -1;
            return 1;
        }
        return scenario.endpointWarmUpInitialShare
            + (1 - scenario.endpointWarmUpInitialShare) * coldForMicros / scenario.endpointWarmUpMicros;
    }

    private int servers() {
        return Math.max(1, (int) Math.round(scenario.endpointCapacity * warmShare()));
    }

    int callsInService() {
        return busyServers;
    }

    int callsQueued() {
        return queue.size();
    }

    public boolean isDraining() {
        return draining;
    }

    /** Index of the endpoint's destination. */
    public int destinationIndex() {
        return destination.index;
    }

    /**
     * Calls that the endpoint can take now without queueing, as far as its servers and its destination's
     * limit allow.
     */
    double freeCapacity() {
        if (silent || refusing || vanished || draining || calendar.nowMicros() < collapsedUntilMicros) {
            return 0;
        }
        return Math.min(servers() - busyServers - queue.size() - callsInTransit,
            destination.freeCalls(calendar.nowMicros()) - destination.callsInTransit);
    }

    /** What happens to a new connection: {@link #CONNECTED}, {@link #REFUSED} or {@link #NO_RESPONSE}. */
    public int connectResult() {
        return vanished ? NO_RESPONSE : refusing ? REFUSED : CONNECTED;
    }

    /** The last byte of a call arrives. */
    public void receive(Attempt attempt) {
        long now = calendar.nowMicros();
        attempt.endTransit();
        if (vanished || refusing) {
            if (refusing) {
                attempt.respond(PolicyActions.CONNECTION_LOST, 0);
            }
            return;
        }
        attempt.arrived = true;
        referee.callArrived(now, attempt.message.index, index, retryAfterScope(attempt));
        if (now < collapsedUntilMicros) {
            refuse(attempt, 0);
            return;
        }
        if (now - secondStartMicros >= SECOND_MICROS) {
            secondStartMicros = now;
            callsInSecond = 0;
        }
        callsInSecond++;
        double warm = warmShare();
        // Load far above the capacity of a cold endpoint (empty caches, full queues) makes it collapse again.
        if (warm < 1 && scenario.collapseMultiple > 0
            && callsInSecond > Math.max(MIN_CALLS_TO_COLLAPSE, scenario.collapseMultiple * warm
                * scenario.endpointCapacity * 1e6 / scenario.meanServiceMicros)) {
            collapses++;
            referee.endpointCollapsed(now, attempt.message.index, index);
            collapsedUntilMicros = now + scenario.collapseMicros;
            calendar.scheduleAt(collapsedUntilMicros, this::restartCold);
            refuse(attempt, 0);
            dropQueue();
            return;
        }
        if (!destination.admits(now)) {
            refuse(attempt, scenario.limitRetryAfterMicros);
            return;
        }
        if (silent) {
            execute(attempt);
            return;
        }
        if (busyServers < servers()) {
            startService(attempt);
        } else if (queue.size() < scenario.endpointQueueCapacity) {
            queue.add(attempt);
        } else {
            refuse(attempt, 0);
        }
    }

    /**
     * What a wait in a response to this call applies to: the relay's index in the upper 32 bits and the
     * destination's in the lower. The wait binds only the relay that received it, since relays share no
     * state.
     */
    public long retryAfterScope(Attempt attempt) {
        return (long) attempt.sender.index() << 32 | destination.index;
    }

    private void refuse(Attempt attempt, long retryAfterMicros) {
        reportEnd(attempt);
        attempt.respond(PolicyActions.OVERLOADED, retryAfterMicros);
    }

    private void startService(Attempt attempt) {
        busyServers++;
        attempt.inService = true;
        long serviceMicros = Math.max(1, Math.round(
            serviceTimes.logNormal(scenario.meanServiceMicros * slowdownFactor, scenario.serviceSigma)));
        calendar.scheduleAfter(serviceMicros, () -> finishService(attempt));
    }

    private void finishService(Attempt attempt) {
        if (!attempt.inService) {
            return;
        }
        attempt.inService = false;
        busyServers--;
        execute(attempt);
        int outcome = faults.nextBoolean(errorProbability) ? PolicyActions.ERROR
            : faults.nextBoolean(resetProbability) ? PolicyActions.CONNECTION_LOST : PolicyActions.DELIVERED;
        boolean unanswered = silent;
        if (!unanswered) {
            reportEnd(attempt);
            attempt.respond(outcome, 0);
        }
        serveQueue();
    }

    private void serveQueue() {
        while (!queue.isEmpty() && busyServers < servers()) {
            Attempt next = queue.poll();
            if (!next.abandoned) {
                startService(next);
            }
        }
    }

    /** The message takes effect, unless the endpoint recognizes it as a duplicate. */
    private void execute(Attempt attempt) {
        Message message = attempt.message;
        if (message.messageClass.semantics().equals("tagged")) {
            Long firstMicros = deduplicated.get(message.requestIndex);
            if (firstMicros != null
                && calendar.nowMicros() < firstMicros + message.messageClass.deduplicationMicros()) {
                // A duplicate: it is answered as delivered, without a second effect.
                return;
            }
            deduplicated.put(message.requestIndex, calendar.nowMicros());
        }
        referee.executed(calendar.nowMicros(), message.index, index);
    }

    private void reportEnd(Attempt attempt) {
        if (attempt.arrived && !attempt.endedAtEndpoint) {
            attempt.endedAtEndpoint = true;
            referee.callEnded(calendar.nowMicros(), attempt.message.index, index);
        }
    }

    /**
     * The relay closed the call's connection. A call in service still takes effect; a queued one is removed.
     */
    public void connectionClosed(Attempt attempt) {
        attempt.abandoned = true;
        queue.remove(attempt);
        reportEnd(attempt);
    }

    /**
     * Ends all queued calls, as a crash does. Calls in service may have run in part, so they count as
     * executed.
     */
    void dropQueue() {
        for (Attempt attempt : queue) {
            reportEnd(attempt);
            attempt.respond(PolicyActions.CONNECTION_LOST, 0);
        }
        queue.clear();
    }
}
