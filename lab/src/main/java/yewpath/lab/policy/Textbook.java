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
 * What the textbook policies share: a line in order of arrival for each destination, told waits heeded, drains kept, no
 * repeat that an offering forbids, one envelope of a key at a time. They differ in how many shots may be out, to which
 * endpoint the next one goes, and how often what failed is tried again.
 */
abstract class Textbook implements Policy {
    /** One held envelope. */
    static final class Held {
        int id;
        int offering;
        int key;
        int shots;
        long expiry;
        long doubtSince = -1;
        boolean out;
        boolean gone;
        int endpoint = -1;
        Lane lane;
    }

    /** One destination. */
    static final class Lane {
        final ArrayDeque<Held> line = new ArrayDeque<>();
        final List<Integer> endpoints = new ArrayList<>();
        int out;
        long waitUntil;
        /** For whatever a policy keeps of a destination. */
        double limit;
        double figure;
        double second;
        long since;
        int run;
        long wakeAt = -1;
        boolean ready;
    }

    private record Due(long at, Runnable act) {}

    private static final long AHEAD = 40_000;
    final PolicySettings settings;
    final PolicyActions out;
    final RandomStream chance;
    long now;
    private final int slots;
    private final Map<Integer, Lane> lanes = new HashMap<>();
    private final ArrayDeque<Lane> ready = new ArrayDeque<>();
    private final Map<Integer, ArrayDeque<Held>> keys = new HashMap<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private Held[] held = new Held[64];
    /** By endpoint: 0 up, 1 draining, 2 gone; the lane; shots out. */
    private int[] phases = new int[64];
    private boolean[] named = new boolean[64];
    private Lane[] laneOf = new Lane[64];
    int[] calls = new int[64];
    private int slotsOut;
    private long alarmAt = Long.MAX_VALUE;

    Textbook(PolicySettings settings, PolicyActions out, RandomStream chance, long now) {
        this.settings = settings;
        this.out = out;
        this.chance = chance;
        this.now = now;
        slots = Math.max(1, settings.maxConcurrentCalls);
    }

    // ---- What they differ in

    /** Shots that may be out to a destination at once. */
    abstract int room(Lane lane);

    /** A shot has ended. */
    void learn(Lane lane, int outcome, long elapsed) {}

    /** Whether one that may be repeated is tried again. */
    boolean triesAgain(Held one) {
        return settings.maxAttempts <= 0 || one.shots < settings.maxAttempts;
    }

    /** How long it waits for that. */
    long pause(Held one) {
        return 50_000L << Math.min(6, one.shots);
    }

    /** One of those that may be used; the list is not empty. */
    int choose(List<Integer> endpoints) {
        return endpoints.get(chance.nextInt(endpoints.size()));
    }

    long within(Held one) {
        return 0;
    }

    /** The one to go next, taken out of a line that is not empty. */
    Held next(Lane lane) {
        return lane.line.poll();
    }

    // ---- What they share

    @Override
    public void at(long clock) {
        now = clock;
    }

    final void later(long at, Runnable act) {
        dues.add(new Due(at, act));
    }

    private Lane lane(int destination) {
        return lanes.computeIfAbsent(destination, d -> {
            Lane lane = new Lane();
            lane.limit = Double.NaN;
            return lane;
        });
    }

    private void rouse(Lane lane) {
        if (!lane.ready) {
            lane.ready = true;
            ready.add(lane);
        }
    }

    @Override
    public void taken(int id, int offering, int tenant, int key, int destination, long expiry, int shots,
        long doubtSince,
        int doubtZone) {
        if (id >= held.length) {
            held = java.util.Arrays.copyOf(held, 2 * id);
        }
        Held one = new Held();
        one.id = id;
        one.offering = offering;
        one.key = settings.messageClasses[offering].ordered() ? key : -1;
        one.expiry = expiry;
        one.shots = shots;
        one.doubtSince = doubtSince;
        one.lane = lane(destination);
        held[id] = one;
        later(expiry - AHEAD, () -> giveUp(one));
        if (!mayRepeat(one)) {
            end(one, 0);
        } else if (one.key < 0) {
            enter(one);
        } else {
            ArrayDeque<Held> line = keys.computeIfAbsent(one.key, k -> new ArrayDeque<>(2));
            line.add(one);
            if (line.peek() == one) {
                enter(one);
            }
        }
    }

    private void enter(Held one) {
        one.lane.line.add(one);
        rouse(one.lane);
    }

    private void giveUp(Held one) {
        if (!one.gone && !one.out) {
            end(one, 0);
        }
    }

    private boolean mayRepeat(Held one) {
        PolicySettings.MessageClass offering = settings.messageClasses[one.offering];
        return one.doubtSince < 0 || offering.semantics() == PolicySettings.DeliverySemantics.IDEMPOTENT
            || offering.semantics() == PolicySettings.DeliverySemantics.DEDUPLICATED
                && now < one.doubtSince + offering.deduplicationMicros();
    }

    final boolean isLate(Held one) {
        PolicySettings.MessageClass offering = settings.messageClasses[one.offering];
        return now > one.expiry - offering.timeToLiveMicros() + offering.onTimeMicros();
    }

    /** Without a delivery: handed back where a repeat does no harm. */
    final void end(Held one, long pauseMicros) {
        if (one.gone) {
            return;
        }
        leave(one);
        if (mayRepeat(one)) {
            out.reject(one.id, pauseMicros);
        } else {
            out.fail(one.id);
        }
    }

    private void leave(Held one) {
        one.gone = true;
        if (one.key >= 0 && !one.out) {
            next(one);
        }
    }

    private void next(Held one) {
        ArrayDeque<Held> line = keys.get(one.key);
        if (line == null) {
            return;
        }
        boolean first = line.peek() == one;
        line.remove(one);
        if (line.isEmpty()) {
            keys.remove(one.key);
        } else if (first) {
            Held following = line.peek();
            // After a shot that may still run the key rests.
            long rest = one.doubtSince >= 0 ? settings.settleAfterUncertainMicros : 0;
            later(now + rest, () -> {
                if (!following.gone) {
                    enter(following);
                }
            });
        }
    }

    @Override
    public void withdrawn(int id) {
        if (held[id] != null && !held[id].gone) {
            leave(held[id]);
        }
    }

    @Override
    public void settled(int id, boolean over, int shot, int endpoint, int outcome, long wait, long elapsed,
        double left,
        double limit) {
        Held one = held[id];
        if (one == null || !one.out) {
            return;
        }
        one.out = false;
        Lane lane = one.lane;
        lane.out--;
        calls[endpoint]--;
        slotsOut--;
        if (wait > 0) {
            lane.waitUntil = Math.max(lane.waitUntil, now + wait);
        }
        learn(lane, outcome, elapsed);
        rouse(lane);
        if (over || one.gone) {
            if (!one.gone) {
                leave(one);
            } else if (one.key >= 0) {
                next(one);
            }
            return;
        }
        boolean mayHaveRun = outcome == PolicyActions.ERROR || outcome == PolicyActions.TIMEOUT
            || outcome == PolicyActions.CONNECTION_LOST
            || outcome == PolicyActions.CANCELLED || outcome == PolicyActions.STALE_CONNECTION;
        if (mayHaveRun && one.doubtSince < 0) {
            one.doubtSince = now;
        }
        if (!mayRepeat(one) || now >= one.expiry - AHEAD || !triesAgain(one)) {
            end(one, 500_000);
        } else {
            later(now + pause(one), () -> {
                if (!one.gone && !one.out) {
                    enter(one);
                }
            });
        }
    }

    @Override
    public void listBegins(boolean whole, boolean cached) {
        if (whole) {
            java.util.Arrays.fill(named, false);
        } else {
            java.util.Arrays.fill(named, true);
        }
    }

    @Override
    public void listed(int endpoint, int zone, int kind, int destination, int phase, double rate,
        long since) {
        if (endpoint >= phases.length) {
            int size = 2 * endpoint + 32;
            phases = java.util.Arrays.copyOf(phases, size);
            named = java.util.Arrays.copyOf(named, size);
            laneOf = java.util.Arrays.copyOf(laneOf, size);
            calls = java.util.Arrays.copyOf(calls, size);
        }
        named[endpoint] = true;
        if (laneOf[endpoint] == null) {
            laneOf[endpoint] = lane(destination);
            laneOf[endpoint].endpoints.add(endpoint);
        }
        phases[endpoint] = phase;
        rouse(laneOf[endpoint]);
    }

    @Override
    public void listEnds() {
        for (int i = 0; i < laneOf.length; i++) {
            if (laneOf[i] != null && !named[i]) {
                phases[i] = 2;
            }
        }
    }

    @Override
    public void due() {
        alarmAt = Long.MAX_VALUE;
    }

    @Override
    public void turn() {
        while (!dues.isEmpty() && dues.peek().at <= now) {
            dues.poll().act.run();
        }
        for (int left = ready.size(); left > 0; left--) {
            Lane lane = ready.poll();
            lane.ready = false;
            serve(lane);
        }
        if (!dues.isEmpty() && dues.peek().at < alarmAt) {
            alarmAt = dues.peek().at;
            out.setAlarm(Math.max(1, alarmAt - now));
        }
    }

    private void serve(Lane lane) {
        if (now < lane.waitUntil) {
            wake(lane, lane.waitUntil);
            return;
        }
        List<Integer> usable = new ArrayList<>(lane.endpoints.size());
        for (int endpoint : lane.endpoints) {
            if (phases[endpoint] == 0) {
                usable.add(endpoint);
            }
        }
        while (!usable.isEmpty() && !lane.line.isEmpty() && slotsOut < slots && lane.out < room(lane)) {
            Held one = next(lane);
            if (!one.gone && !one.out) {
                one.out = true;
                one.shots++;
                one.endpoint = choose(usable);
                lane.out++;
                calls[one.endpoint]++;
                slotsOut++;
                out.send(one.id, one.endpoint, within(one), Long.MAX_VALUE);
            }
        }
        if (!usable.isEmpty() && !lane.line.isEmpty()) {
            // Some room comes with time alone: tokens, a breaker half open, slots.
            wake(lane, now + 20_000);
        }
    }

    private void wake(Lane lane, long at) {
        if (lane.wakeAt <= now || at < lane.wakeAt) {
            lane.wakeAt = at;
            later(at, () -> rouse(lane));
        }
    }
}
