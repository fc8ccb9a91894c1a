package yewpath.standins.peer;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import yewpath.standins.io.Connection;
import yewpath.standins.io.HttpMessage;
import yewpath.standins.io.HttpParser;
import yewpath.standins.io.Reactor;
import yewpath.standins.referee.DeliveryReferee;

/**
 * Clients of one relay: hands in an envelope on a connection that is free, or on a new one, and waits 400 ms for its
 * answer as the protocol has it. One request a connection at a time.
 */
public final class Client {
    private static final long PATIENCE = 400_000;

    private final Reactor reactor;
    private final DeliveryReferee accounts;
    private final InetSocketAddress relay;
    private final ArrayDeque<Link> free = new ArrayDeque<>();
    private int connections;
    private long unanswered;

    public Client(Reactor reactor, DeliveryReferee accounts, InetSocketAddress relay) {
        this.reactor = reactor;
        this.accounts = accounts;
        this.relay = relay;
    }

    /** Only on the reactor's thread, as all below. {@code key} may be null. */
    public void submit(String id, String offering, DeliveryReferee.DeliverySemantics kind, int destination,
        String key,
        long within,
        byte[] body) {
        accounts.submitted(id, offering, relay.toString(), kind, reactor.nowMicros(), within);
        byte[] request = HttpMessage.encode("POST /" + offering + " HTTP/1.1", body, "Host: relay",
            "Request-Id: " + id,
            "Request-Timeout: " + within + "u", "X-Addressing: dest=" + destination, "Tenant: demo",
            key == null ? "X-None: 0" : "Affinity-Key: " + key);
        Link link = free.pollLast();
        (link == null ? new Link() : link).ask(id, request, link != null);
    }

    public int connectionCount() {
        return connections;
    }

    /** Requests that the relay neither answered nor turned away in time. */
    public long unansweredCount() {
        return unanswered;
    }

    /** One connection. */
    private final class Link implements Connection.Handler {
        private final Connection wire;
        private final HttpParser reader = new HttpParser();
        private String id;
        private byte[] request;
        private boolean kept;
        private Reactor.Timer patience;

        Link() {
            connections++;
            wire = reactor.connect(relay, this);
        }

        void ask(String envelope, byte[] bytes, boolean onKept) {
            id = envelope;
            request = bytes;
            kept = onKept;
            patience = reactor.schedule(PATIENCE, () -> {
                unanswered++;
                ended(0);
                close();
            });
            wire.write(bytes);
        }

        @Override
        public void received(ByteBuffer bytes) {
            reader.append(bytes);
            HttpMessage answer = reader.nextMessage();
            if (answer == null || id == null) {
                return;
            }
            ended(answer.status());
            if ("close".equals(answer.header("connection"))) {
                close();
            } else {
                free.addLast(this);
            }
        }

        private void ended(int status) {
            patience.cancel();
            String envelope = id;
            id = null;
            accounts.clientAnswered(envelope, status, reactor.nowMicros());
        }

        private void close() {
            wire.close();
            free.remove(this);
            connections--;
        }

        @Override
        public void closed(boolean broken) {
            String envelope = id;
            close();
            if (envelope != null) {
                patience.cancel();
                if (kept) {
                    // The closing has crossed the request: the protocol has it sent once more, on a new connection.
                    new Link().ask(envelope, request, false);
                } else {
                    unanswered++;
                    ended(0);
                }
            }
        }
    }
}
