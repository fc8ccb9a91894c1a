package yewpath.lab.world;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import yewpath.PolicyActions;
import yewpath.lab.core.EventCalendar;
import yewpath.lab.core.RandomStream;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;

/** One endpoint. */
public final class Station {
    public final int index;
    final Place place;
    private final Scenario s;
    private final EventCalendar calendar;
    private final Referee referee;
    private final RandomStream service;
    private final RandomStream faults;
    private final ArrayDeque<Shot> waiting = new ArrayDeque<>();
    /** Tagged envelopes it knows, by intent, and since when. */
    private final Map<Integer, Long> remembered = new HashMap<>();
    private int busy;
    /** Troubles, as long as they last. */
    boolean silent;
    boolean refusing;
    boolean vanished;
    double slow = 1;
    double errors;
    double resets;
    boolean draining;
    int coming;
    private long coldSince = -1;
    private long fallenUntil = -1;
    private long secondAt;
    private int inSecond;
    long falls;

    Station(int index, Place place, Scenario s, EventCalendar calendar, Referee referee, RandomStream service,
        RandomStream faults) {
        this.index = index;
        this.place = place;
        this.s = s;
        this.calendar = calendar;
        this.referee = referee;
        this.service = service;
        this.faults = faults;
    }

    /** Back from an outage, with nothing of what it had in hand. */
    void comesBackCold() {
        coldSince = s.endpointWarmUpMicros > 0 ? calendar.nowMicros() : -1;
        drop();
    }

    private double warmth() {
        if (coldSince < 0) {
            return 1;
        }
        long since = calendar.nowMicros() - coldSince;
        if (since >= s.endpointWarmUpMicros) {
            coldSince = -1;
            return 1;
        }
        return s.endpointWarmUpInitialShare
            + (1 - s.endpointWarmUpInitialShare) * since / s.endpointWarmUpMicros;
    }

    private int servers() {
        return Math.max(1, (int) Math.round(s.endpointCapacity * warmth()));
    }

    int serving() {
        return busy;
    }

    int waiting() {
        return waiting.size();
    }

    public boolean isDraining() {
        return draining;
    }

    public int destination() {
        return place.index;
    }

    /** True free room: servers, and part of the limit. */
    double free() {
        if (silent || refusing || vanished || draining || calendar.nowMicros() < fallenUntil) {
            return 0;
        }
        return Math.min(servers() - busy - waiting.size() - coming,
            place.free(calendar.nowMicros()) - place.coming);
    }

    /** Whether a connection can be made: 0 yes, 1 refused at once, 2 no word. */
    public int connects() {
        return vanished ? 2 : refusing ? 1 : 0;
    }

    public void arrives(Shot shot) {
        long now = calendar.nowMicros();
        shot.lands();
        if (vanished || refusing) {
            if (refusing) {
                shot.answered(PolicyActions.CONNECTION_LOST, 0);
            }
            return;
        }
        shot.arrived = true;
        referee.callArrived(now, shot.envelope.index, index, route(shot));
        if (now < fallenUntil) {
            refuse(shot, 0);
            return;
        }
        if (now - secondAt >= 1_000_000) {
            secondAt = now;
            inSecond = 0;
        }
        inSecond++;
        double warm = warmth();
        // Offered a multiple of what it bears while cold: caches empty and queues full, it goes down once more.
        if (warm < 1 && s.collapseMultiple > 0
            && inSecond > Math.max(4,
                s.collapseMultiple * warm * s.endpointCapacity * 1e6 / s.meanServiceMicros)) {
            falls++;
            referee.endpointCollapsed(now, shot.envelope.index, index);
            fallenUntil = now + s.collapseMicros;
            calendar.scheduleAt(fallenUntil, this::comesBackCold);
            refuse(shot, 0);
            drop();
            return;
        }
        if (!place.admits(now)) {
            refuse(shot, s.limitRetryAfterMicros);
            return;
        }
        if (silent) {
            runs(shot);
            return;
        }
        if (busy < servers()) {
            begin(shot);
        } else if (waiting.size() < s.endpointQueueCapacity) {
            waiting.add(shot);
        } else {
            refuse(shot, 0);
        }
    }

    /** A wait binds the relay that was told, for all of the destination: relays share nothing. */
    public long route(Shot shot) {
        return (long) shot.from.index() << 32 | place.index;
    }

    private void refuse(Shot shot, long pause) {
        over(shot);
        shot.answered(PolicyActions.OVERLOADED, pause);
    }

    private void begin(Shot shot) {
        busy++;
        shot.inService = true;
        long takes = Math.max(1, Math.round(service.logNormal(s.meanServiceMicros * slow, s.serviceSigma)));
        calendar.scheduleAfter(takes, () -> finish(shot));
    }

    private void finish(Shot shot) {
        if (!shot.inService) {
            return;
        }
        shot.inService = false;
        busy--;
        runs(shot);
        int outcome = faults.nextBoolean(errors) ? PolicyActions.ERROR
            : faults.nextBoolean(resets) ? PolicyActions.CONNECTION_LOST : PolicyActions.DELIVERED;
        boolean hung = silent;
        if (!hung) {
            over(shot);
            shot.answered(outcome, 0);
        }
        next();
    }

    private void next() {
        while (!waiting.isEmpty() && busy < servers()) {
            Shot next = waiting.poll();
            if (!next.abandoned) {
                begin(next);
            }
        }
    }

    private void runs(Shot shot) {
        Envelope e = shot.envelope;
        if (e.offering.semantics().equals("tagged")) {
            Long known = remembered.get(e.intent);
            if (known != null && calendar.nowMicros() < known + e.offering.deduplicationMicros()) {
                // Known: answered as delivered once more, without a second effect.
                return;
            }
            remembered.put(e.intent, calendar.nowMicros());
        }
        referee.executed(calendar.nowMicros(), e.index, index);
    }

    private void over(Shot shot) {
        if (shot.arrived && !shot.known) {
            shot.known = true;
            referee.callEnded(calendar.nowMicros(), shot.envelope.index, index);
        }
    }

    /** The relay has closed its connection. What is being served goes on and runs; what waits does not. */
    public void abandoned(Shot shot) {
        shot.abandoned = true;
        waiting.remove(shot);
        over(shot);
    }

    /** All connections end: a crash. What was in service may have run half; it counts as run. */
    void drop() {
        for (Shot shot : waiting) {
            over(shot);
            shot.answered(PolicyActions.CONNECTION_LOST, 0);
        }
        waiting.clear();
    }
}
