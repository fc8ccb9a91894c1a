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

/** One endpoint: answers calls as its script says, one by one or in bundles, and tells the accounts what it saw. */
public final class Endpoint implements ListedEndpoint {
    private static final JsonFactory JSON = new JsonFactory();
    /** Small, so that a large call has not arrived whole while it is not read. */
    private static final int RECEIVE = 4 << 10;

    public final String name;
    private final int destination;
    private final String kind;
    private final double weight;
    private final Reactor reactor;
    private final DeliveryReferee accounts;
    private final Script script;
    private final RandomGenerator chance;
    private final Set<Visit> visits = new LinkedHashSet<>();
    private final Runnable changed;
    private Reactor.ServerPort port;
    private InetSocketAddress address;
    private int generation;
    private String zone = "here";
    private long startedAt;
    private long calls;
    private long refusals;

    /** {@code changed} is called when the list should say something else of it. */
    public Endpoint(Reactor reactor, DeliveryReferee accounts, String name, int destination, String kind,
        double weight,
        String script, RandomGenerator chance, Runnable changed) {
        this.reactor = reactor;
        this.accounts = accounts;
        this.name = name;
        this.destination = destination;
        this.kind = kind;
        this.weight = weight;
        this.script = Script.parse(script);
        this.chance = chance;
        this.changed = changed;
    }

    /** Opens its port; the script's time counts from {@link #startScript}. Only on the reactor's thread, as all below. */
    public void open() throws IOException {
        port = reactor.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), RECEIVE,
            Visit::new);
        address = port.address();
    }

    /** From now on the script's time runs. */
    public void startScript() {
        startedAt = reactor.nowMicros();
        for (long at : script.stateChangeTimes()) {
            reactor.schedule(at, this::turn);
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

    /** Under which id the list has it now: another after it was replaced. */
    @Override
    public String id() {
        return generation == 0 ? name : name + "-" + generation;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    /** As the list has it: up, draining or removed. */
    @Override
    public String state() {
        long at = reactor.nowMicros() - startedAt;
        return script.isInState(Step.Action.GONE, at) ? "removed"
            : script.isInState(Step.Action.DRAIN, at) ? "draining" : "up";
    }

    /** Where it stands, as the list has it. */
    @Override
    public String zone() {
        return zone;
    }

    /** As the list should have it from now on. */
    public Endpoint inZone(String where) {
        zone = where;
        return this;
    }

    public long callCount() {
        return calls;
    }

    /** Calls answered by 429. */
    public long rejectionCount() {
        return refusals;
    }

    public int connectionCount() {
        return visits.size();
    }

    private void turn() {
        long at = reactor.nowMicros() - startedAt;
        boolean refuses = script.isInState(Step.Action.REFUSE, at);
        try {
            if (refuses && port != null) {
                port.close();
                port = null;
                new ArrayList<>(visits).forEach(Visit::reset);
            } else if (!refuses && port == null) {
                port = reactor.listen(address, RECEIVE, Visit::new);
            }
            if (script.isInState(Step.Action.REPLACED, at) && generation == 0) {
                generation++;
                if (port != null) {
                    port.close();
                }
                open();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        changed.run();
    }

    public void close() {
        if (port != null) {
            port.close();
        }
        new ArrayList<>(visits).forEach(visit -> visit.wire.close());
        visits.clear();
    }

    /** One connection of a relay. */
    private final class Visit implements Connection.Handler {
        private final Connection wire;
        private final HttpParser reader = new HttpParser();
        private List<String> out = List.of();
        private Step step;
        private long firstByteAt;

        Visit(Connection wire) {
            this.wire = wire;
            wire.setHandler(this);
            visits.add(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (!reader.hasPartialMessage() && step == null) {
                firstByteAt = reactor.nowMicros();
                step = script.nextStep(firstByteAt - startedAt, chance);
                if (step.action() == Step.Action.RESET_FIRST) {
                    reset();
                    return;
                }
                if (step.action() == Step.Action.RESET_MIDWAY) {
                    wire.pauseReading();
                    reactor.schedule(Math.max(1, step.delayMicros()), this::reset);
                    return;
                }
            }
            try {
                reader.append(bytes);
                HttpMessage call = reader.nextMessage();
                if (call != null) {
                    call(call);
                }
            } catch (IllegalArgumentException | IOException unreadable) {
                wire.write(HttpMessage.encodeResponse(400, "Connection: close"));
                wire.shutdownOutput();
            }
        }

        private void call(HttpMessage call) throws IOException {
            long now = reactor.nowMicros();
            calls++;
            boolean bulk = call.target().equals("/inbox/bulk");
            out = bulk ? ids(call.body()) : List.of(String.valueOf(call.header("request-id")));
            String where = "destination " + destination;
            for (String id : out) {
                accounts.callArrived(id, id(), where, firstByteAt, now);
            }
            Step mine = step;
            if (mine.takesEffect()) {
                out.forEach(id -> accounts.executed(id, now));
            }
            switch (mine.action()) {
                case ANSWER -> reactor.schedule(mine.delayMicros(), () -> answer(mine, bulk));
                case GARBLE -> reactor.schedule(mine.delayMicros(), () -> garble());
                case RESET_LAST -> reactor.schedule(mine.delayMicros(), this::reset);
                default -> wire.resumeReading();
            }
        }

        private void answer(Step mine, boolean bulk) {
            if (wire.isClosed()) {
                return;
            }
            long now = reactor.nowMicros();
            List<String> over = ended(mine.status() == 200, now);
            refusals += mine.status() == 429 ? 1 : 0;
            if (mine.waitMicros() > 0) {
                accounts.waitAdvertised(over.isEmpty() ? "" : over.get(0), "destination " + destination,
                    mine.waitMicros(), now);
                wire.write(
                    HttpMessage.encodeResponse(mine.status(), "Retry-After: " + mine.waitMicros() / 1e6));
            } else if (bulk && mine.status() == 200) {
                wire.write(HttpMessage.encode("HTTP/1.1 200 -", allDone(over)));
            } else {
                wire.write(HttpMessage.encodeResponse(mine.status()));
            }
        }

        private void garble() {
            ended(false, reactor.nowMicros());
            byte[] noise = new byte[40];
            chance.nextBytes(noise);
            wire.write(noise);
        }

        private List<String> ended(boolean delivered, long at) {
            List<String> over = out;
            out = List.of();
            step = null;
            over.forEach(id -> accounts.callEnded(id, delivered, at));
            return over;
        }

        private void reset() {
            ended(false, reactor.nowMicros());
            wire.reset();
            visits.remove(this);
        }

        @Override
        public void closed(boolean broken) {
            ended(false, reactor.nowMicros());
            wire.close();
            visits.remove(this);
        }
    }

    private static byte[] allDone(List<String> ids) {
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

    private static List<String> ids(byte[] body) throws IOException {
        List<String> ids = new ArrayList<>();
        try (JsonParser at = JSON.createParser(body)) {
            while (at.nextToken() != null) {
                if (at.currentToken() == JsonToken.VALUE_STRING && "id".equals(at.currentName())) {
                    ids.add(at.getText());
                }
            }
        }
        return ids;
    }
}
