package yewpath.standins.peer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import yewpath.standins.io.Connection;
import yewpath.standins.io.HttpMessage;
import yewpath.standins.io.HttpParser;
import yewpath.standins.io.Reactor;
import yewpath.standins.referee.PlatformObserver;

/** The platform's agent: the list with its watches, and notices of outcomes. */
public final class Platform {
    private static final JsonFactory JSON = new JsonFactory();
    private static final long BEAT = 2_000_000;

    private final Reactor reactor;
    private final PlatformObserver ear;
    private final List<? extends ListedEndpoint> endpoints;
    private final Set<Connection> watches = new LinkedHashSet<>();
    private Reactor.ServerPort port;
    private int version = 1;
    /** What notices are answered; 0 for nothing at all. */
    private int noticeStatus = 204;
    private long notices;

    /** {@code endpoints} may grow and change; {@link #publishList} says so to all watches. */
    public Platform(Reactor reactor, PlatformObserver ear, List<? extends ListedEndpoint> endpoints) {
        this.reactor = reactor;
        this.ear = ear;
        this.endpoints = endpoints;
    }

    /** Only on the reactor's thread, as all below. */
    public void open(int at) throws IOException {
        port = reactor.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), at), 0, Visit::new);
        beat();
    }

    /** Opens the endpoints and then this, at any free port, from any thread but the reactor's; where a relay finds it. */
    public String openWithEndpoints(List<Endpoint> all) {
        return reactor.call(() -> {
            for (Endpoint one : all) {
                one.open();
            }
            open(0);
            return "127.0.0.1:" + address().getPort();
        });
    }

    public InetSocketAddress address() {
        return port.address();
    }

    public long noticeCount() {
        return notices;
    }

    public void setNoticeStatus(int status) {
        noticeStatus = status;
    }

    public int followerCount() {
        return watches.size();
    }

    private void beat() {
        watches.forEach(watch -> watch.write(chunk("\n")));
        reactor.schedule(BEAT, this::beat);
    }

    /** The list as it stands, to all who follow it. */
    public void publishList() {
        version++;
        byte[] line = chunk(listJson() + "\n");
        watches.forEach(watch -> watch.write(line));
        long now = reactor.nowMicros();
        endpoints.forEach(one -> ear.endpointListed(one.id(), one.state().equals("up"), now));
    }

    /** The whole list, in discovery's form. */
    public String listJson() {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("version", version);
            out.writeBooleanField("full", true);
            out.writeArrayFieldStart("servers");
            for (ListedEndpoint one : endpoints) {
                if (one.state().equals("removed")) {
                    continue;
                }
                out.writeStartObject();
                out.writeStringField("id", one.id());
                out.writeStringField("addr", "127.0.0.1:" + one.address().getPort());
                out.writeStringField("zone", one.zone());
                out.writeStringField("kind", one.kind());
                out.writeNumberField("cell", one.destination());
                out.writeStringField("state", one.state());
                out.writeNumberField("weight", one.weight());
                out.writeNumberField("started_ms", 0);
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static byte[] chunk(String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        return (Integer.toHexString(bytes.length) + "\r\n" + line + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    public void close() {
        port.close();
        new ArrayList<>(watches).forEach(Connection::close);
        watches.clear();
    }

    /** One connection of a relay. */
    private final class Visit implements Connection.Handler {
        private final Connection wire;
        private final HttpParser reader = new HttpParser();

        Visit(Connection wire) {
            this.wire = wire;
            wire.setHandler(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            reader.append(bytes);
            for (HttpMessage asked = reader.nextMessage(); asked != null; asked = reader.nextMessage()) {
                answer(asked);
            }
        }

        private void answer(HttpMessage asked) {
            String target = asked.target();
            if (target.equals("/v1/outcomes")) {
                if (noticeStatus == 204) {
                    asked.bodyText().lines().forEach(this::notice);
                }
                if (noticeStatus != 0) {
                    wire.write(HttpMessage.encodeResponse(noticeStatus));
                }
            } else if (target.startsWith("/registry/instances?follow=1")) {
                wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
                wire.write(chunk(listJson() + "\n"));
                watches.add(wire);
            } else if (target.equals("/registry/instances")) {
                wire.write(
                    HttpMessage.encode("HTTP/1.1 200 OK", listJson().getBytes(StandardCharsets.UTF_8)));
            } else {
                wire.write(HttpMessage.encodeResponse(404));
            }
        }

        private void notice(String line) {
            String id = null;
            String outcome = null;
            long pause = 0;
            try (JsonParser at = JSON.createParser(line)) {
                while (at.nextToken() != null) {
                    id = "message".equals(at.currentName()) ? at.getText() : id;
                    outcome = "outcome".equals(at.currentName()) ? at.getText() : outcome;
                    pause = at.currentToken().isNumeric() ? at.getLongValue() * 1_000 : pause;
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            notices++;
            ear.noticeReceived(id, "handed_back".equals(outcome), pause, reactor.nowMicros());
        }

        @Override
        public void closed(boolean broken) {
            wire.close();
            watches.remove(wire);
        }
    }
}
