package yewpath.lab.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import yewpath.PolicyActions;
import yewpath.lab.world.Attempt;
import yewpath.lab.world.EmulatedEndpoint;
import yewpath.lab.world.Message;
import yewpath.lab.world.Relay;
import yewpath.lab.world.ResponseListener;
import yewpath.lab.world.World;
import yewpath.standins.io.Connection;
import yewpath.standins.io.HttpMessage;
import yewpath.standins.io.HttpParser;
import yewpath.standins.io.Reactor;
import yewpath.standins.process.RelayProcess;

/** A relay in a process of its own, together with the connections of its clients. */
final class SocketRelay implements Relay, ResponseListener {
    /** The connection on which an endpoint received a call. */
    interface Caller {
        /** Sends the response, or resets the connection for an outcome without one. */
        void respond(int outcome, long retryAfterMicros);

        boolean isClosed();
    }

    /** How long a client waits for the relay's answer to a submission. */
    private static final long ANSWER_TIMEOUT_MICROS = 400_000;
    private final SocketRun run;
    private final World world;
    private final int index;
    private final ArrayDeque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final Map<Attempt, Caller> openCalls = new HashMap<>();
    private RelayProcess process;
    private volatile boolean up;
    private int submissionsOut;

    SocketRelay(SocketRun run, World world, int index) {
        this.run = run;
        this.world = world;
        this.index = index;
    }

    /** Sets the process that runs the relay; the relay is up from then on. */
    void setProcess(RelayProcess relayProcess) {
        process = relayProcess;
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

    /** Submissions without an answer yet: the messages that the process holds are not known here. */
    @Override
    public int openMessages() {
        return submissionsOut;
    }

    @Override
    public int openCalls() {
        return openCalls.size();
    }

    @Override
    public long decisionNanos() {
        return 0;
    }

    @Override
    public void submit(Message message) {
        String keyHeader = message.key < 0 ? "X-None: 0" : "Affinity-Key: k" + message.key;
        byte[] request = HttpMessage.encode("POST /" + message.messageClass.name() + " HTTP/1.1",
            new byte[100], "Host: relay", "Request-Id: " + run.register(message, this),
            "Request-Timeout: " + (message.expiresAtMicros - world.calendar.nowMicros()) + "u",
            "X-Addressing: dest=" + message.destination, "Tenant: demo", keyHeader);
        ClientConnection connection = idleConnections.pollLast();
        (connection == null ? new ClientConnection() : connection).send(message, request,
            connection != null);
    }

    /** Key of a message that is delivered in order, -1 for others. */
    private static int orderingKey(Message message) {
        return message.messageClass.ordered() ? message.key : -1;
    }

    /** An endpoint has received a call of this relay on the caller's connection. */
    void callReceived(Attempt attempt, Caller caller) {
        openCalls.put(attempt, caller);
        world.referee.callSent(world.calendar.nowMicros(), attempt.message.index, index,
            attempt.endpoint.index, orderingKey(attempt.message));
    }

    /** A call of this relay has ended, with or without a response. */
    void callEnded(Attempt attempt) {
        openCalls.remove(attempt);
        world.referee.outcomeReceived(attempt.message.index, index, orderingKey(attempt.message));
    }

    @Override
    public void responseSent(Attempt attempt, int outcome, long retryAfterMicros) {
        Caller caller = openCalls.get(attempt);
        callEnded(attempt);
        if (caller == null || caller.isClosed()) {
            return;
        }
        if (retryAfterMicros > 0) {
            world.referee.waitAdvertised(world.calendar.nowMicros(),
                attempt.endpoint.retryAfterScope(attempt), retryAfterMicros);
        }
        caller.respond(outcome, retryAfterMicros);
        if (outcome == PolicyActions.DELIVERED) {
            world.referee.delivered(world.calendar.nowMicros(), attempt.message.index);
            world.clients.delivered(attempt.message);
        }
    }

    /** The platform sends the list to all relays at once, so only the first relay triggers it. */
    @Override
    public void endpointListed(EmulatedEndpoint endpoint) {
        if (index == 0) {
            run.publishList();
        }
        world.referee.endpointListed(world.calendar.nowMicros(), index, endpoint.index,
            !endpoint.isDraining());
    }

    @Override
    public void kill(boolean keepLedger) {
        up = false;
        try {
            process.kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        world.referee.relayStopped(index);
    }

    @Override
    public void restart() {
        // A start takes about 0.2 s, for which the reactor's thread must not be blocked.
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

    /** A client's connection to the relay, with at most one submission at a time. */
    private final class ClientConnection implements Connection.Handler {
        private final Connection connection;
        private final HttpParser parser = new HttpParser();
        /** The submission without an answer yet, null for none. */
        private Message message;
        private byte[] request;
        private boolean reused;
        private Reactor.Timer answerTimeout;

        ClientConnection() {
            connection = run.reactor.connect(process.address, this);
        }

        void send(Message submitted, byte[] encodedRequest, boolean onReusedConnection) {
            message = submitted;
            request = encodedRequest;
            reused = onReusedConnection;
            submissionsOut++;
            answerTimeout = run.reactor.schedule(ANSWER_TIMEOUT_MICROS, () -> {
                close();
                run.runEvent(() -> world.clients.submissionUnanswered(endSubmission()));
            });
            connection.write(encodedRequest);
        }

        private Message endSubmission() {
            answerTimeout.cancel();
            Message ended = message;
            message = null;
            submissionsOut--;
            return ended;
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.append(bytes);
            HttpMessage answer = parser.nextMessage();
            if (answer == null || message == null) {
                return;
            }
            Message answered = endSubmission();
            boolean closing = "close".equals(answer.header("connection"));
            if (closing) {
                close();
            } else {
                idleConnections.addLast(this);
            }
            String retryAfter = answer.header("retry-after");
            long retryAfterMicros = retryAfter == null ? 0
                : Math.round(Double.parseDouble(retryAfter) * 1e6);
            run.runEvent(() -> {
                switch (answer.status()) {
                    case 200, 202 -> world.referee.accepted(world.calendar.nowMicros(), answered.index,
                        index);
                    case 429, 503 -> world.clients.refused(answered, retryAfterMicros);
                    default -> world.clients.endedWithoutDelivery(answered, false, 0);
                }
            });
        }

        private void close() {
            connection.close();
            idleConnections.remove(this);
        }

        @Override
        public void closed(boolean broken) {
            close();
            if (message == null) {
                return;
            }
            byte[] encodedRequest = request;
            boolean wasReused = reused;
            Message unanswered = endSubmission();
            if (wasReused) {
                // The relay closed the idle connection while the request was on its way: send it on a new
                // one.
                new ClientConnection().send(unanswered, encodedRequest, false);
            } else {
                run.runEvent(() -> world.clients.submissionUnanswered(unanswered));
            }
        }
    }
}
