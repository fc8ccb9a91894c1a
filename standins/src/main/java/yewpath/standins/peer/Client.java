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
 * The clients of one relay. Submits each message on an idle connection, or on a new one if none is idle, and
 * waits 400 ms for the answer, as the protocol specifies. A connection carries one request at a time.
 */
public final class Client {
    private static final long ANSWER_TIMEOUT_MICROS = 400_000;

    private final Reactor reactor;
    private final DeliveryReferee referee;
    private final InetSocketAddress relay;
    private final ArrayDeque<RelayConnection> idleConnections = new ArrayDeque<>();
    private int connectionCount;
    private long unansweredCount;

    public Client(Reactor reactor, DeliveryReferee referee, InetSocketAddress relay) {
        this.reactor = reactor;
        this.referee = referee;
        this.relay = relay;
    }

    /**
     * Submits a message and reports its course to the referee. Like the methods below only for the reactor's
     * thread.
     *
     * @param key value of the Affinity-Key header, null for none
     * @param timeoutMicros time until the message's deadline
     */
    public void submit(String id, String messageClass, DeliveryReferee.DeliverySemantics semantics,
        int destination, String key, long timeoutMicros, byte[] body) {
        referee.submitted(id, messageClass, relay.toString(), semantics, reactor.nowMicros(), timeoutMicros);
        byte[] request = HttpMessage.encode("POST /" + messageClass + " HTTP/1.1", body, "Host: relay",
            "Request-Id: " + id,
            "Request-Timeout: " + timeoutMicros + "u", "X-Addressing: dest=" + destination, "Tenant: demo",
            key == null ? "X-None: 0" : "Affinity-Key: " + key);
        RelayConnection connection = idleConnections.pollLast();
        (connection == null ? new RelayConnection() : connection).send(id, request, connection != null);
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connectionCount;
    }

    /** Returns how many requests the relay did not answer in time, neither with success nor with an error. */
    public long unansweredCount() {
        return unansweredCount;
    }

    /** One connection to the relay. */
    private final class RelayConnection implements Connection.Handler {
        private final Connection connection;
        private final HttpParser parser = new HttpParser();
        /** The message whose answer is awaited, null if the connection is idle. */
        private String messageId;
        private byte[] request;
        /** Whether the connection had carried a request before this one. */
        private boolean reused;
        private Reactor.Timer answerTimeout;

        RelayConnection() {
            connectionCount++;
            connection = reactor.connect(relay, this);
        }

        void send(String id, byte[] requestBytes, boolean isReused) {
            messageId = id;
            request = requestBytes;
            reused = isReused;
            answerTimeout = reactor.schedule(ANSWER_TIMEOUT_MICROS, () -> {
                unansweredCount++;
                completed(0);
                close();
            });
            connection.write(requestBytes);
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.append(bytes);
            HttpMessage answer = parser.nextMessage();
            if (answer == null || messageId == null) {
                return;
            }
            completed(answer.status());
            if ("close".equals(answer.header("connection"))) {
                close();
            } else {
                idleConnections.addLast(this);
            }
        }

        /** {@code status} is 0 if there was no answer. */
        private void completed(int status) {
            answerTimeout.cancel();
            String id = messageId;
            messageId = null;
            referee.clientAnswered(id, status, reactor.nowMicros());
        }

        private void close() {
            connection.close();
            idleConnections.remove(this);
            connectionCount--;
        }

        @Override
        public void closed(boolean abnormal) {
            String id = messageId;
            close();
            if (id != null) {
                answerTimeout.cancel();
                if (reused) {
                    // The relay closed the idle connection while the request was on its way. The protocol
                    // asks the client to send the request once more on a new connection.
                    new RelayConnection().send(id, request, false);
                } else {
                    unansweredCount++;
                    completed(0);
                }
            }
        }
    }
}
