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

/**
 * The platform's service: publishes the discovery list, also to relays that follow it, and receives notices
 * of message outcomes.
 */
public final class Platform {
    private static final JsonFactory JSON = new JsonFactory();
    private static final long KEEP_ALIVE_INTERVAL_MICROS = 2_000_000;

    private final Reactor reactor;
    private final PlatformObserver observer;
    private final List<? extends ListedEndpoint> endpoints;
    /** Connections of relays that follow the list. */
    private final Set<Connection> followers = new LinkedHashSet<>();
    private Reactor.ServerPort port;
    private int version = 1;
    /** Status that notices are answered with; 0 for no answer. */
    private int noticeStatus = 204;
    private long noticeCount;

    /**
     * @param observer is told of lists and notices
     * @param endpoints the entries of the list; may change until it is published again by {@link
     * #publishList}
     */
    public Platform(Reactor reactor, PlatformObserver observer, List<? extends ListedEndpoint> endpoints) {
        this.reactor = reactor;
        this.observer = observer;
        this.endpoints = endpoints;
    }

    /**
     * Listens on loopback. Except for {@link #openWithEndpoints}, this and the methods below are only for the
     * reactor's thread.
     *
     * @param portNumber 0 for any free port
     */
    public void open(int portNumber) throws IOException {
        port = reactor.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), portNumber), 0,
            RelayConnection::new);
        sendKeepAlives();
    }

    /**
     * Opens the endpoints and then the platform, each on any free port. Must not be called on the reactor's
     * thread.
     *
     * @return the platform's address as host:port, for the relay's setting {@code discovery}
     */
    public String openWithEndpoints(List<Endpoint> endpointsToOpen) {
        return reactor.call(() -> {
            for (Endpoint endpoint : endpointsToOpen) {
                endpoint.open();
            }
            open(0);
            return "127.0.0.1:" + address().getPort();
        });
    }

    /** Returns the address that the platform listens on. */
    public InetSocketAddress address() {
        return port.address();
    }

    /** Returns how many notices have been received. */
    public long noticeCount() {
        return noticeCount;
    }

    /**
     * Sets the status that notices are answered with; 0 for no answer. Notices that are not answered with
     * 204, the initial value, are neither counted nor reported to the observer.
     */
    public void setNoticeStatus(int status) {
        noticeStatus = status;
    }

    /** Returns how many connections follow the list. */
    public int followerCount() {
        return followers.size();
    }

    /**
     * Sends an empty line to each follower at a fixed interval: a relay gives up a connection that stays
     * silent.
     */
    private void sendKeepAlives() {
        followers.forEach(follower -> follower.write(chunk("\n")));
        reactor.schedule(KEEP_ALIVE_INTERVAL_MICROS, this::sendKeepAlives);
    }

    /** Sends the present list to all followers and reports it to the observer. */
    public void publishList() {
        version++;
        byte[] line = chunk(listJson() + "\n");
        followers.forEach(follower -> follower.write(line));
        long nowMicros = reactor.nowMicros();
        endpoints.forEach(endpoint -> observer.endpointListed(endpoint.id(), endpoint.state().equals("up"),
            nowMicros));
    }

    /** Returns the whole list as JSON, without removed endpoints. */
    public String listJson() {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("version", version);
            out.writeBooleanField("full", true);
            out.writeArrayFieldStart("servers");
            for (ListedEndpoint endpoint : endpoints) {
                if (endpoint.state().equals("removed")) {
                    continue;
                }
                out.writeStartObject();
                out.writeStringField("id", endpoint.id());
                out.writeStringField("addr", "127.0.0.1:" + endpoint.address().getPort());
                out.writeStringField("zone", endpoint.zone());
                out.writeStringField("kind", endpoint.kind());
                out.writeNumberField("cell", endpoint.destination());
                out.writeStringField("state", endpoint.state());
                out.writeNumberField("weight", endpoint.weight());
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

    /** Encodes a text as one chunk of the chunked transfer coding. */
    private static byte[] chunk(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Stops listening and closes the connections of followers. */
    public void close() {
        port.close();
        new ArrayList<>(followers).forEach(Connection::close);
        followers.clear();
    }

    /** One connection from a relay. */
    private final class RelayConnection implements Connection.Handler {
        private final Connection connection;
        private final HttpParser parser = new HttpParser();

        RelayConnection(Connection connection) {
            this.connection = connection;
            connection.setHandler(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.append(bytes);
            for (HttpMessage request = parser.nextMessage(); request != null; request = parser
                .nextMessage()) {
                answer(request);
            }
        }

        private void answer(HttpMessage request) {
            String target = request.target();
            if (target.equals("/v1/outcomes")) {
                if (noticeStatus == 204) {
                    request.bodyText().lines().forEach(this::handleNotice);
                }
                if (noticeStatus != 0) {
                    connection.write(HttpMessage.encodeResponse(noticeStatus));
                }
            } else if (target.startsWith("/registry/instances?follow=1")) {
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
                connection.write(chunk(listJson() + "\n"));
                followers.add(connection);
            } else if (target.equals("/registry/instances")) {
                connection.write(
                    HttpMessage.encode("HTTP/1.1 200 OK", listJson().getBytes(StandardCharsets.UTF_8)));
            } else {
                connection.write(HttpMessage.encodeResponse(404));
            }
        }

        private void handleNotice(String line) {
            String id = null;
            String outcome = null;
            long waitMicros = 0;
            try (JsonParser json = JSON.createParser(line)) {
                while (json.nextToken() != null) {
                    id = "message".equals(json.currentName()) ? json.getText() : id;
                    outcome = "outcome".equals(json.currentName()) ? json.getText() : outcome;
                    // The only number of a notice is the wait in milliseconds.
                    waitMicros = json.currentToken().isNumeric() ? json.getLongValue() * 1_000 : waitMicros;
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            noticeCount++;
            observer.noticeReceived(id, "handed_back".equals(outcome), waitMicros, reactor.nowMicros());
        }

        @Override
        public void closed(boolean abnormal) {
            connection.close();
            followers.remove(connection);
        }
    }
}
