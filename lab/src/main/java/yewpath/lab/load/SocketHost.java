package yewpath.lab.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import yewpath.PolicyActions;
import yewpath.lab.world.Answerer;
import yewpath.lab.world.Envelope;
import yewpath.lab.world.Host;
import yewpath.lab.world.Shot;
import yewpath.lab.world.Station;
import yewpath.lab.world.World;
import yewpath.standins.io.Connection;
import yewpath.standins.io.HttpMessage;
import yewpath.standins.io.HttpParser;
import yewpath.standins.io.Reactor;
import yewpath.standins.process.RelayProcess;

/** A relay in a process of its own, with its clients' connections. */
final class SocketHost implements Host, Answerer {
    /** The connection that a call came on. */
    interface Asker {
        void answered(int outcome, long pause);

        boolean isGone();
    }

    private static final long PATIENCE = 400_000;
    private final SocketRun live;
    private final World world;
    private final int index;
    private final ArrayDeque<Link> free = new ArrayDeque<>();
    private final Map<Shot, Asker> out = new HashMap<>();
    private RelayProcess process;
    private volatile boolean up;
    private int open;

    SocketHost(SocketRun live, World world, int index) {
        this.live = live;
        this.world = world;
        this.index = index;
    }

    void runsIn(RelayProcess in) {
        process = in;
        up = true;
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
    public int open() {
        return open;
    }

    @Override
    public int callsOut() {
        return out.size();
    }

    @Override
    public long decideNanos() {
        return 0;
    }

    @Override
    public void handIn(Envelope e) {
        String key = e.key < 0 ? "X-None: 0" : "Affinity-Key: k" + e.key;
        byte[] request = HttpMessage.encode("POST /" + e.offering.name() + " HTTP/1.1", new byte[100],
            "Host: relay", "Request-Id: " + live.id(e, this),
            "Request-Timeout: " + (e.expiry - world.calendar.nowMicros()) + "u",
            "X-Addressing: dest=" + e.destination, "Tenant: demo", key);
        Link link = free.pollLast();
        (link == null ? new Link() : link).ask(e, request, link != null);
    }

    private static int key(Envelope e) {
        return e.offering.ordered() ? e.key : -1;
    }

    /** A call of this relay has come to an endpoint. */
    void out(Shot shot, Asker on) {
        out.put(shot, on);
        world.referee.callSent(world.calendar.nowMicros(), shot.envelope.index, index, shot.to.index,
            key(shot.envelope));
    }

    void back(Shot shot) {
        out.remove(shot);
        world.referee.outcomeReceived(shot.envelope.index, index, key(shot.envelope));
    }

    @Override
    public void answerLeaves(Shot shot, int outcome, long pause) {
        Asker on = out.get(shot);
        back(shot);
        if (on == null || on.isGone()) {
            return;
        }
        if (pause > 0) {
            world.referee.waitAdvertised(world.calendar.nowMicros(), shot.to.route(shot), pause);
        }
        on.answered(outcome, pause);
        if (outcome == PolicyActions.DELIVERED) {
            world.referee.delivered(world.calendar.nowMicros(), shot.envelope.index);
            world.crowd.fulfilled(shot.envelope);
        }
    }

    @Override
    public void listed(Station one) {
        if (index == 0) {
            live.tell();
        }
        world.referee.endpointListed(world.calendar.nowMicros(), index, one.index, !one.isDraining());
    }

    @Override
    public void dies(boolean withLedger) {
        up = false;
        try {
            process.kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        world.referee.relayStopped(index);
    }

    @Override
    public void returns() {
        // It takes some 0.2 s, which the stand-ins' thread has not.
        Thread starter = new Thread(() -> {
            try {
                process.start();
                up = true;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        starter.setDaemon(true);
        starter.start();
    }

    /** One connection of a client. */
    private final class Link implements Connection.Handler {
        private final Connection wire;
        private final HttpParser reader = new HttpParser();
        private Envelope envelope;
        private byte[] request;
        private boolean kept;
        private Reactor.Timer patience;

        Link() {
            wire = live.reactor.connect(process.address, this);
        }

        void ask(Envelope e, byte[] bytes, boolean onKept) {
            envelope = e;
            request = bytes;
            kept = onKept;
            open++;
            patience = live.reactor.schedule(PATIENCE, () -> {
                close();
                live.act(() -> world.crowd.unanswered(done()));
            });
            wire.write(bytes);
        }

        private Envelope done() {
            patience.cancel();
            Envelope e = envelope;
            envelope = null;
            open--;
            return e;
        }

        @Override
        public void received(ByteBuffer bytes) {
            reader.append(bytes);
            HttpMessage answer = reader.nextMessage();
            if (answer == null || envelope == null) {
                return;
            }
            Envelope e = done();
            boolean last = "close".equals(answer.header("connection"));
            if (last) {
                close();
            } else {
                free.addLast(this);
            }
            String told = answer.header("retry-after");
            long pause = told == null ? 0 : Math.round(Double.parseDouble(told) * 1e6);
            live.act(() -> {
                switch (answer.status()) {
                    case 200, 202 -> world.referee.accepted(world.calendar.nowMicros(), e.index, index);
                    case 429, 503 -> world.crowd.refused(e, pause);
                    default -> world.crowd.ended(e, false, 0);
                }
            });
        }

        private void close() {
            wire.close();
            free.remove(this);
        }

        @Override
        public void closed(boolean broken) {
            close();
            if (envelope == null) {
                return;
            }
            byte[] bytes = request;
            boolean again = kept;
            Envelope e = done();
            if (again) {
                // The relay's closing has crossed the request: once more, on a new connection.
                new Link().ask(e, bytes, false);
            } else {
                live.act(() -> world.crowd.unanswered(e));
            }
        }
    }
}
