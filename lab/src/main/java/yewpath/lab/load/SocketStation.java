package yewpath.lab.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import yewpath.PolicyActions;
import yewpath.lab.world.Envelope;
import yewpath.lab.world.Shot;
import yewpath.lab.world.Station;
import yewpath.standins.io.Connection;
import yewpath.standins.io.HttpMessage;
import yewpath.standins.io.HttpParser;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.ListedEndpoint;

/** An emulated endpoint behind a real port. */
final class SocketStation implements ListedEndpoint {
    private final SocketRun live;
    private final Station station;
    private final Set<Visit> visits = new LinkedHashSet<>();
    private Reactor.ServerPort port;
    private InetSocketAddress address;

    SocketStation(SocketRun live, Station station) throws IOException {
        this.live = live;
        this.station = station;
        address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        open();
    }

    private void open() throws IOException {
        port = live.reactor.listen(address, 0, Visit::new);
        address = port.address();
    }

    /** Its port follows whether connections can be made. */
    void look() {
        boolean refuses = station.connects() != 0;
        if (refuses && port != null) {
            port.close();
            port = null;
            new ArrayList<>(visits).forEach(Visit::reset);
        } else if (!refuses && port == null) {
            try {
                open();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    @Override
    public String id() {
        return "s" + station.index;
    }

    @Override
    public int destination() {
        return station.destination();
    }

    @Override
    public String kind() {
        return "plain";
    }

    @Override
    public double weight() {
        return live.world.listedRate();
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public String state() {
        return station.isDraining() ? "draining" : "up";
    }

    /** One connection of a relay; a call at a time. */
    private final class Visit implements Connection.Handler, SocketHost.Asker {
        private final Connection wire;
        private final HttpParser reader = new HttpParser();
        private Shot shot;
        private long firstByteAt = -1;

        Visit(Connection wire) {
            this.wire = wire;
            wire.setHandler(this);
            visits.add(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (firstByteAt < 0) {
                firstByteAt = live.reactor.nowMicros();
            }
            reader.append(bytes);
            HttpMessage call = reader.nextMessage();
            if (call != null) {
                live.act(() -> arrives(call));
            }
        }

        private void arrives(HttpMessage call) {
            String id = String.valueOf(call.header("request-id"));
            Envelope e = live.envelope(id);
            if (e == null || e.destination != destination()) {
                throw new IllegalStateException(
                    "a call that nobody handed in, or for another destination: " + id);
            }
            SocketHost host = live.holder(id);
            shot = new Shot(e, station, host, 0, 0, live.world.calendar.nowMicros());
            host.out(shot, this);
            station.arrives(shot);
        }

        @Override
        public void answered(int outcome, long pause) {
            shot = null;
            firstByteAt = -1;
            switch (outcome) {
                case PolicyActions.DELIVERED -> wire.write(HttpMessage.encodeResponse(200));
                case PolicyActions.ERROR -> wire.write(HttpMessage.encodeResponse(500));
                case PolicyActions.OVERLOADED -> wire.write(
                    pause > 0 ? HttpMessage.encodeResponse(429, "Retry-After: " + pause / 1e6)
                        : HttpMessage.encodeResponse(503));
                default -> {
                    wire.reset();
                    visits.remove(this);
                }
            }
        }

        @Override
        public boolean isGone() {
            return wire.isClosed();
        }

        private void reset() {
            wire.reset();
            gone();
        }

        private void gone() {
            visits.remove(this);
            Shot left = shot;
            shot = null;
            if (left != null) {
                live.act(() -> {
                    live.holder("v" + left.envelope.index).back(left);
                    station.abandoned(left);
                });
            }
        }

        @Override
        public void closed(boolean broken) {
            wire.close();
            gone();
        }
    }
}
