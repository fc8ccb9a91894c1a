package yewpath.lab.world;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import yewpath.PolicyActions;
import yewpath.lab.core.Calendar;
import yewpath.lab.core.Chance;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;

/** One endpoint. */
public final class Station {
    public final int index;
    final Place place;
    private final Scenario s;
    private final Calendar calendar;
    private final Referee referee;
    private final Chance service;
    private final Chance faults;
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

    Station(int index, Place place, Scenario s, Calendar calendar, Referee referee, Chance service,
        Chance faults) {
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
        coldSince = s.coldFor > 0 ? calendar.now() : -1;
        drop();
    }

    private double warmth() {
        if (coldSince < 0) {
            return 1;
        }
        long since = calendar.now() - coldSince;
        if (since >= s.coldFor) {
            coldSince = -1;
            return 1;
        }
        return s.coldFrom + (1 - s.coldFrom) * since / s.coldFor;
    }

    private int servers() {
        return Math.max(1, (int) Math.round(s.capacity * warmth()));
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
        if (silent || refusing || vanished || draining || calendar.now() < fallenUntil) {
            return 0;
        }
        return Math.min(servers() - busy - waiting.size() - coming,
            place.free(calendar.now()) - place.coming);
    }

    /** Whether a connection can be made: 0 yes, 1 refused at once, 2 no word. */
    public int connects() {
        return vanished ? 2 : refusing ? 1 : 0;
    }

    public void arrives(Shot shot) {
        long now = calendar.now();
        shot.lands();
        if (vanished || refusing) {
            if (refusing) {
                shot.answered(PolicyActions.CONNECTION_LOST, 0);
            }
            return;
        }
        shot.arrived = true;
        referee.arrived(now, shot.envelope.index, index, route(shot));
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
        if (warm < 1 && s.fallMultiple > 0
            && inSecond > Math.max(4, s.fallMultiple * warm * s.capacity * 1e6 / s.service)) {
            falls++;
            referee.pushedOver(now, shot.envelope.index, index);
            fallenUntil = now + s.fallFor;
            calendar.at(fallenUntil, this::comesBackCold);
            refuse(shot, 0);
            drop();
            return;
        }
        if (!place.admits(now)) {
            refuse(shot, s.limitWait);
            return;
        }
        if (silent) {
            runs(shot);
            return;
        }
        if (busy < servers()) {
            begin(shot);
        } else if (waiting.size() < s.queue) {
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
        long takes = Math.max(1, Math.round(service.logNormal(s.service * slow, s.serviceSpread)));
        calendar.in(takes, () -> finish(shot));
    }

    private void finish(Shot shot) {
        if (!shot.inService) {
            return;
        }
        shot.inService = false;
        busy--;
        runs(shot);
        int outcome = faults.is(errors) ? PolicyActions.ERROR
            : faults.is(resets) ? PolicyActions.CONNECTION_LOST : PolicyActions.DELIVERED;
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
        if (e.offering.kind().equals("tagged")) {
            Long known = remembered.get(e.intent);
            if (known != null && calendar.now() < known + e.offering.memory()) {
                // Known: answered as delivered once more, without a second effect.
                return;
            }
            remembered.put(e.intent, calendar.now());
        }
        referee.ran(calendar.now(), e.index, index);
    }

    private void over(Shot shot) {
        if (shot.arrived && !shot.known) {
            shot.known = true;
            referee.callOver(calendar.now(), shot.envelope.index, index);
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
