package yewpath.intake;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.management.XnioServerMXBean;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.CloseReason;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;
import yewpath.loop.TurnQueue;

/** Accepts the connections of clients, limits their number and closes those whose timeouts have expired. */
public final class ClientListener {
    /** How soon a connection over the limit is closed that could not be closed at the accept of the next one. */
    private static final long SURPLUS_EVICTION_DELAY_MICROS = 10_000;

    private final EventLoop eventLoop;
    private final Limits limits;
    private final MessageIntake intake;
    private final TurnQueue turns;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private XnioWorker worker;
    private AcceptingChannel<StreamConnection> listener;
    private boolean acceptingStopped;
    private boolean surplusEvictionScheduled;

    /**
     * Creates a listener that submits messages to {@code intake}; it accepts nothing before {@link #listen}.
     */
    public ClientListener(EventLoop eventLoop, Limits limits, MessageIntake intake) {
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.intake = intake;
        turns = new TurnQueue(eventLoop);
    }

    /**
     * Starts to accept connections.
     *
     * @return the local address, with the port that was assigned if {@code address} has port 0
     * @throws IOException if the address can't be bound
     */
    public InetSocketAddress listen(XnioWorker acceptWorker, InetSocketAddress address) throws IOException {
        worker = acceptWorker;
        listener = worker.createStreamConnectionServer(address, this::accept, OptionMap.builder()
            .set(Options.REUSE_ADDRESSES, true).set(Options.TCP_NODELAY, true)
            .set(Options.BACKLOG, limits.listenBacklog())
            // Without this limit, many connects at once would use up all descriptors before a connection is
            // evicted.
            .set(Options.CONNECTION_HIGH_WATER,
                limits.maxClientConnections() + limits.extraAcceptedConnections())
            .set(Options.CONNECTION_LOW_WATER,
                limits.maxClientConnections() + limits.extraAcceptedConnections() / 2)
            .getMap());
        listener.resumeAccepts();
        checkTimeouts();
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    private void accept(AcceptingChannel<StreamConnection> channel) {
        try {
            for (StreamConnection connection = channel.accept(); connection != null; connection = channel
                .accept()) {
                add(connection);
            }
        } catch (IOException e) {
            Log.log(Event.CLIENT_ACCEPT_FAILED, e.getMessage());
        }
    }

    private void add(StreamConnection connection) {
        if (connections.size() >= limits.maxClientConnections()) {
            evictOne();
        }
        connections
            .add(new ClientConnection(eventLoop, limits, intake, turns, connection, connections::remove));
        if (connections.size() > limits.maxClientConnections()) {
            scheduleSurplusEviction();
        }
    }

    private void scheduleSurplusEviction() {
        if (!surplusEvictionScheduled) {
            surplusEvictionScheduled = true;
            eventLoop.schedule(SURPLUS_EVICTION_DELAY_MICROS, this::evictSurplus);
        }
    }

    /**
     * Closes the connections over the limit once they don't wait for a response any more. Guards against a relay
     * that accepts no connection until its clients have been idle for long: at its highest number of connections
     * the listener accepts no further one, for which another would be closed.
     */
    private void evictSurplus() {
        surplusEvictionScheduled = false;
        boolean evicted = true;
        while (evicted && connections.size() > limits.maxClientConnections()) {
            evicted = evictOne();
        }
        if (!evicted) {
            scheduleSurplusEviction();
        }
    }

    /**
     * Closes the connection with the lowest eviction cost, after reading what it has received meanwhile.
     * Connections may be accepted faster than their requests are read, and closing one with an unread request
     * would reset it and lose the client's message.
     *
     * @return false if all connections wait for a response
     */
    private boolean evictOne() {
        long nowMicros = eventLoop.nowMicros();
        for (ClientConnection candidate = cheapestToEvict(
            nowMicros); candidate != null; candidate = cheapestToEvict(nowMicros)) {
            if (candidate.hasSameEvictionCostAfterReading(nowMicros)) {
                Log.log(Event.CLIENT_EVICTED, (nowMicros - candidate.lastActivityMicros()) / 1000,
                    connections.size());
                candidate.close(CloseReason.EVICTED);
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the connection with the lowest cost, of several the longest idle; null if all wait for a
     * response.
     */
    private ClientConnection cheapestToEvict(long nowMicros) {
        ClientConnection cheapest = null;
        int lowestCost = ClientConnection.NOT_EVICTABLE;
        for (ClientConnection connection : connections) {
            int cost = connection.evictionCost(nowMicros);
            if (cost < lowestCost
                || cheapest != null && cost == lowestCost
                    && connection.lastActivityMicros() < cheapest.lastActivityMicros()) {
                cheapest = connection;
                lowestCost = cost;
            }
        }
        return cheapest;
    }

    /** Closes the connections that are idle between two requests; the others get their responses first. */
    public void closeIdle() {
        long nowMicros = eventLoop.nowMicros();
        new ArrayList<>(connections).forEach(connection -> connection.closeIfIdle(nowMicros));
    }

    /**
     * Accepts the connections that the operating system has already completed, then closes the listening
     * socket. Closing it earlier would reset these connections with their requests unread. The accepting
     * thread accepts when it is woken up, and is then asked for its connection count: its answer comes after
     * everything that it has accepted.
     */
    // XNIO has no other call that makes the accepting thread accept once more.
    @SuppressWarnings("deprecation")
    public void stopAccepting() {
        listener.wakeupAccepts();
        worker.execute(() -> {
            worker.getMXBean().getServerMXBeans().forEach(XnioServerMXBean::getConnectionCount);
            eventLoop.thread().execute(this::closeListeningSocket);
        });
    }

    private void closeListeningSocket() {
        if (connections.size() >= limits.maxClientConnections()) {
            // At the limit, some completed connections may still wait: accept them as soon as others have
            // closed.
            eventLoop.schedule(limits.sweepIntervalMicros() / 10, this::stopAccepting);
            return;
        }
        IoUtils.safeClose(listener);
        acceptingStopped = true;
    }

    /** Whether all connections are closed and no further ones are accepted. */
    public boolean isDrained() {
        return acceptingStopped && connections.isEmpty();
    }

    /**
     * Closes all connections but those that wait for a response; incomplete requests are refused with status
     * 503.
     */
    public void closeRemaining() {
        new ArrayList<>(connections).forEach(ClientConnection::closeUnlessResponsePending);
    }

    private void checkTimeouts() {
        // Scheduled first, so that a failure with one connection does not end the checks.
        eventLoop.schedule(limits.sweepIntervalMicros(), this::checkTimeouts);
        long nowMicros = eventLoop.nowMicros();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.checkTimeouts(nowMicros);
        }
    }
}
