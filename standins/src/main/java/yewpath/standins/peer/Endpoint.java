package yewpath.standins.peer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import yewpath.standins.io.Connection;
import yewpath.standins.io.HttpMessage;
import yewpath.standins.io.HttpParser;
import yewpath.standins.io.Reactor;
import yewpath.standins.referee.DeliveryReferee;
import yewpath.standins.script.Script;
import yewpath.standins.script.Step;

/**
 * A test endpoint. Answers calls, which carry one message or a batch, as its script says, and reports them to
 * the referee.
 */
public final class Endpoint implements ListedEndpoint {
    private static final JsonFactory JSON = new JsonFactory();
    /** Small, so that a large call cannot arrive completely while the endpoint does not read. */
    private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

    /** Also the id in the discovery list until the endpoint is replaced. */
    public final String name;
    private final int destination;
    private final String kind;
    private final double weight;
    private final Reactor reactor;
    private final DeliveryReferee referee;
    private final Script script;
    private final RandomGenerator random;
    private final Set<RelayConnection> connections = new LinkedHashSet<>();
    private final Runnable stateChanged;
    private Reactor.ServerPort port;
    private InetSocketAddress address;
    /** How often the endpoint has been replaced, at most once. */
    private int generation;
    private String zone = "here";
    /** When the script started, on the reactor's clock. */
    private long scriptStartMicros;
    private long callCount;
    private long rejectionCount;

    /**
     * @param kind see {@link ListedEndpoint#kind}
     * @param weight see {@link ListedEndpoint#weight}
     * @param script see {@link Script}
     * @param stateChanged is called when the discovery list has to be published again
     * @throws IllegalArgumentException if the script is not valid
     */
    public Endpoint(Reactor reactor, DeliveryReferee referee, String name, int destination, String kind,
        double weight,
        String script, RandomGenerator random, Runnable stateChanged) {
        this.reactor = reactor;
        this.referee = referee;
        this.name = name;
        this.destination = destination;
        this.kind = kind;
        this.weight = weight;
        this.script = Script.parse(script);
        this.random = random;
        this.stateChanged = stateChanged;
    }

    /**
     * Listens on any free port of loopback. Like the methods below only for the reactor's thread.
     *
     * @throws IOException if the port cannot be opened
     */
    public void open() throws IOException {
        port = reactor.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0),
            RECEIVE_BUFFER_BYTES,
            RelayConnection::new);
        address = port.address();
    }

    /** Starts the script: its times count from now. */
    public void startScript() {
        scriptStartMicros = reactor.nowMicros();
        for (long changeMicros : script.stateChangeTimes()) {
            reactor.schedule(changeMicros, this::applyStates);
        }
    }

    @Override
    public int destination() {
        return destination;
    }

    @Override
    public String kind() {
        return kind;
    }

    @Override
    public double weight() {
        return weight;
    }

    /** Returns the id in the discovery list, which changes when the endpoint is replaced. */
    @Override
    public String id() {
        return generation == 0 ? name : name + "-" + generation;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public String state() {
        long scriptMicros = reactor.nowMicros() - scriptStartMicros;
        return script.isInState(Step.Action.GONE, scriptMicros) ? "removed"
            : script.isInState(Step.Action.DRAIN, scriptMicros) ? "draining" : "up";
    }

    @Override
    public String zone() {
        return zone;
    }

    /** Sets the zone that the next list shows; returns this endpoint. */
    public Endpoint inZone(String newZone) {
        zone = newZone;
        return this;
    }

    /** Returns how many calls have arrived completely. */
    public long callCount() {
        return callCount;
    }

    /** Returns how many calls were answered with status 429. */
    public long rejectionCount() {
        return rejectionCount;
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Opens or closes the port as the script says for the present time, and has the list published. */
    private void applyStates() {
        long scriptMicros = reactor.nowMicros() - scriptStartMicros;
        boolean refuses = script.isInState(Step.Action.REFUSE, scriptMicros);
        try {
            if (refuses && port != null) {
                port.close();
                port = null;
                new ArrayList<>(connections).forEach(RelayConnection::reset);
            } else if (!refuses && port == null) {
                port = reactor.listen(address, RECEIVE_BUFFER_BYTES, RelayConnection::new);
            }
            if (script.isInState(Step.Action.REPLACED, scriptMicros) && generation == 0) {
                generation++;
                if (port != null) {
                    port.close();
                }
                open();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        stateChanged.run();
    }

    /** Closes the port and all connections. */
    public void close() {
        if (port != null) {
            port.close();
        }
        new ArrayList<>(connections).forEach(relayConnection -> relayConnection.connection.close());
        connections.clear();
    }

    /** One connection from a relay; carries one call at a time. */
    private final class RelayConnection implements Connection.Handler {
        private final Connection connection;
        private final HttpParser parser = new HttpParser();
        /** Messages of the call that has arrived and is not over yet. */
        private List<String> messageIds = List.of();
        /** What to do with the present call, null between calls. */
        private Step step;
        /** When the first byte of the present call arrived. */
        private long firstByteAtMicros;

        RelayConnection(Connection connection) {
            this.connection = connection;
            connection.setHandler(this);
            connections.add(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (!parser.hasPartialMessage() && step == null) {
                firstByteAtMicros = reactor.nowMicros();
                step = script.nextStep(firstByteAtMicros - scriptStartMicros, random);
                if (step.action() == Step.Action.RESET_FIRST) {
                    reset();
                    return;
                }
                if (step.action() == Step.Action.RESET_MIDWAY) {
                    connection.pauseReading();
                    reactor.schedule(Math.max(1, step.delayMicros()), this::reset);
                    return;
                }
            }
            try {
                parser.append(bytes);
                HttpMessage call = parser.nextMessage();
                if (call != null) {
                    handle(call);
                }
            } catch (IllegalArgumentException | IOException unreadable) {
                connection.write(HttpMessage.encodeResponse(400, "Connection: close"));
                connection.shutdownOutput();
            }
        }

        private void handle(HttpMessage call) throws IOException {
            long nowMicros = reactor.nowMicros();
            callCount++;
            boolean isBatch = call.target().equals("/inbox/bulk");
            messageIds = isBatch ? parseIds(call.body())
                : List.of(String.valueOf(call.header("request-id")));
            String waitScope = "destination " + destination;
            for (String id : messageIds) {
                referee.callArrived(id, id(), waitScope, firstByteAtMicros, nowMicros);
            }
            Step callStep = step;
            if (callStep.takesEffect()) {
                messageIds.forEach(id -> referee.executed(id, nowMicros));
            }
            switch (callStep.action()) {
                case ANSWER -> reactor.schedule(callStep.delayMicros(), () -> answer(callStep, isBatch));
                case GARBLE -> reactor.schedule(callStep.delayMicros(), () -> answerGarbage());
                case RESET_LAST -> reactor.schedule(callStep.delayMicros(), this::reset);
                default -> connection.resumeReading();
            }
        }

        private void answer(Step callStep, boolean isBatch) {
            if (connection.isClosed()) {
                return;
            }
            long nowMicros = reactor.nowMicros();
            List<String> answeredIds = endCall(callStep.status() == 200, nowMicros);
            rejectionCount += callStep.status() == 429 ? 1 : 0;
            if (callStep.waitMicros() > 0) {
                referee.waitAdvertised(answeredIds.isEmpty() ? "" : answeredIds.get(0),
                    "destination " + destination, callStep.waitMicros(), nowMicros);
                connection.write(HttpMessage.encodeResponse(callStep.status(),
                    "Retry-After: " + callStep.waitMicros() / 1e6));
            } else if (isBatch && callStep.status() == 200) {
                connection.write(HttpMessage.encode("HTTP/1.1 200 -", encodeBatchAnswer(answeredIds)));
            } else {
                connection.write(HttpMessage.encodeResponse(callStep.status()));
            }
        }

        private void answerGarbage() {
            endCall(false, reactor.nowMicros());
            byte[] garbage = new byte[40];
            random.nextBytes(garbage);
            connection.write(garbage);
        }

        /** Reports the end of the present call, if there is one, to the referee; returns its messages. */
        private List<String> endCall(boolean delivered, long atMicros) {
            List<String> endedIds = messageIds;
            messageIds = List.of();
            step = null;
            endedIds.forEach(id -> referee.callEnded(id, delivered, atMicros));
            return endedIds;
        }

        private void reset() {
            endCall(false, reactor.nowMicros());
            connection.reset();
            connections.remove(this);
        }

        @Override
        public void closed(boolean abnormal) {
            endCall(false, reactor.nowMicros());
            connection.close();
            connections.remove(this);
        }
    }

    /** Returns the body that answers a batch whose messages were all delivered. */
    private static byte[] encodeBatchAnswer(List<String> ids) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartArray();
            for (String id : ids) {
                out.writeStartObject();
                out.writeStringField("id", id);
                out.writeStringField("state", "done");
                out.writeEndObject();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Returns the ids of a batch's messages. */
    private static List<String> parseIds(byte[] body) throws IOException {
        List<String> ids = new ArrayList<>();
        try (JsonParser json = JSON.createParser(body)) {
            while (json.nextToken() != null) {
                if (json.currentToken() == JsonToken.VALUE_STRING && "id".equals(json.currentName())) {
                    ids.add(json.getText());
                }
            }
        }
        return ids;
    }
}
