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

/** One relay: a policy with what a relay does around it; rounds, connections, time-outs, a ledger. */
final class RelayHost implements PolicyActions, Host, Answerer {
    private final World world;
    private final Scenario s;
    private final EventCalendar calendar;
    private final Referee referee;
    private final int index;
    private Policy policy;
    private boolean up = true;
    /** Each life's late answers and timers are not the next one's. */
    private int life;
    private boolean turnAsked;
    /** What the policy asked for; two lists in turn, since one of them is being carried out. */
    private ArrayList<Runnable> acts = new ArrayList<>();
    private ArrayList<Runnable> spare = new ArrayList<>();
    private Envelope[] held = new Envelope[64];
    private boolean[] over = new boolean[64];
    private int[] shotsOut = new int[64];
    private Shot[] out = new Shot[64];
    private final ArrayDeque<Integer> free = new ArrayDeque<>();
    private int used;
    private int open;
    /** Connections idle to each endpoint: how many, and since when the youngest. */
    private int[] idle;
    private long[] idleSince;
    private long decideNanos;

    RelayHost(World world, int index) {
        this.world = world;
        s = world.s;
        calendar = world.calendar;
        referee = world.referee;
        this.index = index;
        idle = new int[world.stations.length];
        idleSince = new long[world.stations.length];
        begin();
    }

    private void begin() {
        policy = Policies.make(world.policyName,
            new Policies.Given(world.settings(index), world.seed ^ 31L * index + life, this,
                world.chance("policy " + index + ' ' + life), calendar.nowMicros(),
                endpoint -> world.stations[endpoint].free()));
        list(true, false);
    }

    // ---- Rounds

    private void event(Runnable act) {
        long begun = System.nanoTime();
        policy.at(calendar.nowMicros());
        act.run();
        decideNanos += System.nanoTime() - begun;
        ask();
    }

    private void ask() {
        if (!turnAsked) {
            turnAsked = true;
            int mine = life;
            calendar.scheduleAfter(0, () -> {
                if (mine == life) {
                    turn();
                }
            });
        }
    }

    private void turn() {
        turnAsked = false;
        long begun = System.nanoTime();
        policy.at(calendar.nowMicros());
        policy.turn();
        decideNanos += System.nanoTime() - begun;
        // What an act asks in turn waits for the next round.
        ArrayList<Runnable> now = acts;
        acts = spare;
        now.forEach(Runnable::run);
        now.clear();
        spare = now;
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
    public long decideNanos() {
        return decideNanos;
    }

    @Override
    public int open() {
        return open;
    }

    @Override
    public int callsOut() {
        int calls = 0;
        for (int local = 0; local < used; local++) {
            calls += out[local] == null ? 0 : 1;
        }
        return calls;
    }

    // ---- Clients and list

    /** Whether it is taken on; where not, the client is told when to return. */
    @Override
    public void handIn(Envelope e) {
        if (open >= s.maxOpenMessages) {
            world.crowd.refused(e, 1_000_000);
            return;
        }
        referee.accepted(calendar.nowMicros(), e.index, index);
        hold(e);
    }

    private void hold(Envelope e) {
        int local = free.isEmpty() ? used++ : free.poll();
        if (local >= held.length) {
            int size = 2 * local;
            held = Arrays.copyOf(held, size);
            over = Arrays.copyOf(over, size);
            shotsOut = Arrays.copyOf(shotsOut, size);
            out = Arrays.copyOf(out, size);
        }
        held[local] = e;
        over[local] = false;
        shotsOut[local] = 0;
        open++;
        event(() -> policy.taken(local, e.offeringIndex, -1, e.key, e.destination, e.expiry, e.shots,
            e.doubtSince, 0));
    }

    /** The list as discovery holds it, once it reaches this relay. */
    void list(boolean whole, boolean told) {
        event(() -> {
            policy.listBegins(whole, false);
            for (Station one : world.stations) {
                if (whole || one.draining || told) {
                    policy.listed(one.index, 0, 0, one.place.index, one.draining ? 1 : 0, world.listedRate(),
                        0);
                    referee.endpointListed(calendar.nowMicros(), index, one.index, !one.draining);
                }
            }
            policy.listEnds();
        });
    }

    @Override
    public void listed(Station one) {
        if (!up) {
            return;
        }
        referee.endpointListed(calendar.nowMicros(), index, one.index, !one.draining);
        if (one.draining) {
            // Calls whose connection is still to come up would leave long after that was told.
            for (int local = 0; local < used; local++) {
                Shot shot = out[local];
                if (shot != null && shot.to == one && !shot.left) {
                    settle(shot, NOT_EXECUTED, 0);
                }
            }
        }
        event(() -> {
            policy.listBegins(false, false);
            policy.listed(one.index, 0, 0, one.place.index, one.draining ? 1 : 0, world.listedRate(), 0);
            policy.listEnds();
        });
    }

    // ---- Calls

    @Override
    public void send(int envelope, int endpoint, long withinMicros, long leaveBy) {
        Envelope e = held[envelope];
        Shot shot = new Shot(e, world.stations[endpoint], this, envelope, e.shots++, calendar.nowMicros());
        shotsOut[envelope]++;
        out[envelope] = shot;
        shot.sets();
        acts.add(() -> {
            if (!shot.settled) {
                leave(shot, withinMicros);
            }
        });
    }

    private void leave(Shot shot, long withinMicros) {
        long now = calendar.nowMicros();
        long ends = withinMicros > 0 ? Math.min(shot.envelope.expiry, now + withinMicros)
            : shot.envelope.expiry;
        int at = shot.to.index;
        shot.within = calendar.startTimer(ends - now, () -> giveUp(shot, TIMEOUT));
        if (idle[at] > 0 && now - idleSince[at] < s.idleConnectionTimeoutMicros) {
            idle[at]--;
            write(shot);
            return;
        }
        idle[at] = 0;
        int mine = life;
        long trip = world.trip();
        calendar.scheduleAfter(trip, () -> {
            int connects = world.parted(index, shot.to) ? 2 : shot.to.connects();
            if (connects == 2) {
                calendar.scheduleAfter(Math.max(0, s.connectTimeoutMicros - trip), () -> {
                    if (mine == life) {
                        settle(shot, UNREACHABLE, 0);
                    }
                });
                return;
            }
            calendar.scheduleAfter(world.trip() + (connects == 0 ? s.handshakeMicros : 0), () -> {
                if (mine != life || shot.settled) {
                    return;
                }
                if (connects == 1) {
                    settle(shot, UNREACHABLE, 0);
                } else {
                    write(shot);
                }
            });
        });
    }

    private void write(Shot shot) {
        shot.left = true;
        referee.callSent(calendar.nowMicros(), shot.envelope.index, index, shot.to.index, key(shot.envelope));
        if (!world.parted(index, shot.to)) {
            calendar.scheduleAfter(world.trip(), () -> {
                if (!shot.abandoned) {
                    shot.to.arrives(shot);
                }
            });
        }
    }

    private static int key(Envelope e) {
        return e.offering.ordered() ? e.key : -1;
    }

    /** Called at the endpoint's side. */
    @Override
    public void answerLeaves(Shot shot, int outcome, long pause) {
        if (world.parted(index, shot.to) || world.lost()) {
            return;
        }
        long written = calendar.nowMicros();
        calendar.scheduleAfter(world.trip(), () -> {
            if (pause > 0 && !shot.settled) {
                // Told only if it is read: not where it is lost, nor on a connection that is closed already.
                referee.waitAdvertised(written, shot.to.route(shot), pause);
            }
            settle(shot, outcome, pause);
        });
    }

    private void giveUp(Shot shot, int outcome) {
        if (shot.settled) {
            return;
        }
        close(shot);
        settle(shot, shot.left ? outcome : outcome == TIMEOUT ? UNREACHABLE : NOT_EXECUTED, 0);
    }

    /** Our end of its connection: the endpoint hears of it a trip later, unless it is cut off. */
    private void close(Shot shot) {
        if (!shot.arrived) {
            shot.abandoned = true;
        }
        calendar.scheduleAfter(world.trip(), () -> shot.to.abandoned(shot));
    }

    private void settle(Shot shot, int outcome, long pause) {
        if (shot.settled) {
            return;
        }
        shot.settled = true;
        shot.lands();
        if (shot.within != null) {
            shot.within.cancel();
        }
        if (!up) {
            return;
        }
        int local = shot.local;
        Envelope e = shot.envelope;
        out[local] = out[local] == shot ? null : out[local];
        boolean delivered = outcome == DELIVERED;
        if (delivered || outcome == ERROR || outcome == OVERLOADED) {
            idle[shot.to.index]++;
            idleSince[shot.to.index] = calendar.nowMicros();
        }
        referee.outcomeReceived(e.index, index, key(e));
        if (outcome == ERROR || outcome == TIMEOUT || outcome == CONNECTION_LOST || outcome == CANCELLED) {
            e.doubtSince = e.doubtSince < 0 ? calendar.nowMicros() : e.doubtSince;
        }
        if (delivered && !over[local]) {
            referee.delivered(calendar.nowMicros(), e.index);
            world.crowd.fulfilled(e);
        }
        boolean isOver = delivered || over[local];
        event(() -> policy.settled(local, isOver, shot.number, shot.to.index, outcome, pause,
            calendar.nowMicros() - shot.sentAt,
            Double.NaN, Double.NaN));
        shotsOut[local]--;
        if (delivered) {
            end(local);
        } else {
            release(local);
        }
    }

    private void end(int local) {
        open -= over[local] ? 0 : 1;
        over[local] = true;
        release(local);
    }

    private void release(int local) {
        if (over[local] && shotsOut[local] == 0 && held[local] != null) {
            held[local] = null;
            free.add(local);
        }
    }

    @Override
    public void cancelAttempt(int envelope, int shot) {
        Shot meant = out[envelope];
        acts.add(() -> {
            if (meant != null) {
                giveUp(meant, CANCELLED);
            }
        });
    }

    @Override
    public void closeIdleConnections(int endpoint) {
        acts.add(() -> idle[endpoint] = 0);
    }

    @Override
    public void releaseEndpoint(int endpoint) {}

    @Override
    public void reject(int envelope, long pauseMicros) {
        finish(envelope, true, pauseMicros);
    }

    @Override
    public void fail(int envelope) {
        finish(envelope, false, 0);
    }

    private void finish(int local, boolean handedBack, long pause) {
        if (over[local]) {
            return;
        }
        Envelope e = held[local];
        open--;
        over[local] = true;
        if (handedBack) {
            referee.rejected(calendar.nowMicros(), e.index);
        } else {
            referee.failed(calendar.nowMicros(), e.index);
        }
        acts.add(() -> {
            world.crowd.ended(e, handedBack, pause);
            release(local);
        });
        ask();
    }

    @Override
    public void setAlarm(long inMicros) {
        int mine = life;
        calendar.scheduleAfter(inMicros, () -> {
            if (mine == life && up) {
                event(policy::due);
            }
        });
    }

    @Override
    public void requestEndpointList(boolean follow) {
        int mine = life;
        calendar.scheduleAfter(s.directoryDelayMicros, () -> {
            if (mine == life && up) {
                list(true, true);
            }
        });
    }

    // ---- Death and return

    private List<Envelope> ledger = List.of();

    /** SIGKILL, or the machine with its ledger. */
    @Override
    public void dies(boolean withLedger) {
        List<Envelope> left = new ArrayList<>();
        up = false;
        life++;
        referee.relayStopped(index);
        for (int local = 0; local < used; local++) {
            Envelope e = held[local];
            Shot shot = out[local];
            if (shot != null && !shot.settled) {
                shot.settled = true;
                shot.lands();
                if (shot.within != null) {
                    shot.within.cancel();
                }
                if (shot.left && e.doubtSince < 0) {
                    e.doubtSince = calendar.nowMicros();
                }
                close(shot);
            }
            if (e != null && !over[local]) {
                if (withLedger) {
                    left.add(e);
                } else {
                    referee.lossExcused(e.index);
                    world.crowd.lostWithItsRelay(e);
                }
            }
        }
        ledger = left;
        Arrays.fill(held, null);
        Arrays.fill(out, null);
        Arrays.fill(idle, 0);
        free.clear();
        acts.clear();
        used = 0;
        open = 0;
        turnAsked = false;
    }

    @Override
    public void returns() {
        up = true;
        begin();
        for (Envelope e : ledger) {
            referee.restored(calendar.nowMicros(), e.index, index);
            hold(e);
        }
        ledger = List.of();
    }
}
