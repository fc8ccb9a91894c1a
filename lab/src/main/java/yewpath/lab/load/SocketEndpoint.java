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
import yewpath.lab.world.Attempt;
import yewpath.lab.world.EmulatedEndpoint;
import yewpath.lab.world.Message;
import yewpath.standins.io.Connection;
import yewpath.standins.io.HttpMessage;
import yewpath.standins.io.HttpParser;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.ListedEndpoint;

/** Makes an emulated endpoint reachable on a real port. */
final class SocketEndpoint implements ListedEndpoint {
    private final SocketRun run;
    private final EmulatedEndpoint endpoint;
    private final Set<RelayConnection> connections = new LinkedHashSet<>();
    private Reactor.ServerPort port;
    private InetSocketAddress address;

    SocketEndpoint(SocketRun run, EmulatedEndpoint endpoint) throws IOException {
        this.run = run;
        this.endpoint = endpoint;
        address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        listen();
    }

    private void listen() throws IOException {
        port = run.reactor.listen(address, 0, RelayConnection::new);
        address = port.address();
    }

    /** Opens or closes the port, depending on whether the emulated endpoint accepts connections now. */
    void updatePort() {
        boolean refuses = endpoint.connectResult() != EmulatedEndpoint.CONNECTED;
        if (refuses && port != null) {
            port.close();
            port = null;
            new ArrayList<>(connections).forEach(RelayConnection::reset);
        } else if (!refuses && port == null) {
            try {
                listen();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    @Override
    public String id() {
        return "s" + endpoint.index;
    }

    @Override
    public int destination() {
        return endpoint.destinationIndex();
    }

    @Override
    public String kind() {
        return "plain";
    }

    @Override
    public double weight() {
        return run.world.listedRate();
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public String state() {
        return endpoint.isDraining() ? "draining" : "up";
    }

    /** A connection from a relay, with at most one call at a time. */
    private final class RelayConnection implements Connection.Handler, SocketRelay.Caller {
        private final Connection connection;
        private final HttpParser parser = new HttpParser();
        private Attempt attempt;
        private long firstByteAtMicros = -1;

        RelayConnection(Connection connection) {
            this.connection = connection;
            connection.setHandler(this);
            connections.add(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (firstByteAtMicros < 0) {
                firstByteAtMicros = run.reactor.nowMicros();
            }
            parser.append(bytes);
            HttpMessage call = parser.nextMessage();
            if (call != null) {
                run.runEvent(() -> receiveCall(call));
            }
        }

        private void receiveCall(HttpMessage call) {
            String id = String.valueOf(call.header("request-id"));
            Message message = run.message(id);
            if (message == null || message.destination != destination()) {
                throw new IllegalStateException("endpoint " + id() + " of destination " + destination()
                    + " received a call for a message that no client submitted to this destination: " + id);
            }
            SocketRelay relay = run.relayOf(id);
            attempt = new Attempt(message, endpoint, relay, 0, 0, run.world.calendar.nowMicros());
            relay.callReceived(attempt, this);
            endpoint.receive(attempt);
        }

        @Override
        public void respond(int outcome, long retryAfterMicros) {
            attempt = null;
            firstByteAtMicros = -1;
            switch (outcome) {
                case PolicyActions.DELIVERED -> connection.write(HttpMessage.encodeResponse(200));
                case PolicyActions.ERROR -> connection.write(HttpMessage.encodeResponse(500));
                case PolicyActions.OVERLOADED -> connection.write(
                    retryAfterMicros > 0
                        ? HttpMessage.encodeResponse(429, "Retry-After: " + retryAfterMicros / 1e6)
                        : HttpMessage.encodeResponse(503));
                default -> {
                    connection.reset();
                    connections.remove(this);
                }
            }
        }

        @Override
        public boolean isClosed() {
            return connection.isClosed();
        }

        private void reset() {
            connection.reset();
            remove();
        }

        private void remove() {
            connections.remove(this);
            Attempt open = attempt;
            attempt = null;
            if (open != null) {
                run.runEvent(() -> {
                    run.relayOf("v" + open.message.index).callEnded(open);
                    endpoint.connectionClosed(open);
                });
            }
        }

        @Override
        public void closed(boolean broken) {
            connection.close();
            remove();
        }
    }
}
