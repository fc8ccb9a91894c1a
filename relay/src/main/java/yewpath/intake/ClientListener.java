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

/** Where clients connect; holds a bounded number of them and closes those that stay too long. */
public final class ClientListener {
    private final EventLoop loop;
    private final Limits limits;
    private final MessageIntake intake;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private XnioWorker worker;
    private AcceptingChannel<StreamConnection> listener;
    private boolean shut;

    /** Hands requests to the intake; nothing is open yet. */
    public ClientListener(EventLoop loop, Limits limits, MessageIntake intake) {
        this.loop = loop;
        this.limits = limits;
        this.intake = intake;
    }

    /** Listens at an address and returns the one that it got. */
    public InetSocketAddress open(XnioWorker by, InetSocketAddress at) throws IOException {
        worker = by;
        listener = worker.createStreamConnectionServer(at, this::accept, OptionMap.builder()
            .set(Options.REUSE_ADDRESSES, true).set(Options.TCP_NODELAY, true)
            .set(Options.BACKLOG, limits.listenBacklog())
            // Guards against a rush of connects using up all descriptors before one of them could be closed again.
            .set(Options.CONNECTION_HIGH_WATER,
                limits.maxClientConnections() + limits.extraAcceptedConnections())
            .set(Options.CONNECTION_LOW_WATER,
                limits.maxClientConnections() + limits.extraAcceptedConnections() / 2)
            .getMap());
        listener.resumeAccepts();
        sweep();
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                enter(c);
            }
        } catch (IOException e) {
            Log.tell(Event.CLIENT_ACCEPT_FAILED, e.getMessage());
        }
    }

    private void enter(StreamConnection connection) {
        if (connections.size() >= limits.maxClientConnections()) {
            leastBusy();
        }
        connections.add(new ClientConnection(loop, limits, intake, connection, connections::remove));
    }

    /**
     * Full: the one that can be missed most goes, after a last look. Guards against a rush that is let in faster than it
     * is read: closed with its request unread, a client's connection is reset, and what it had handed in is lost.
     */
    private void leastBusy() {
        long now = loop.nowMicros();
        for (ClientConnection goes = leastMissed(now); goes != null; goes = leastMissed(now)) {
            if (goes.restsStill(now)) {
                Log.tell(Event.CLIENT_EVICTED, (now - goes.quietSince()) / 1000, connections.size());
                goes.close(CloseReason.EVICTED);
                return;
            }
        }
    }

    /** Of several the longest quiet; null where each waits for its answer. */
    private ClientConnection leastMissed(long now) {
        ClientConnection goes = null;
        int least = ClientConnection.NEEDED;
        for (ClientConnection connection : connections) {
            int missed = connection.missed(now);
            if (missed < least
                || goes != null && missed == least && connection.quietSince() < goes.quietSince()) {
                goes = connection;
                least = missed;
            }
        }
        return goes;
    }

    /** Ends the connections that rest between two requests; the others have their answer first. */
    public void endResting() {
        long now = loop.nowMicros();
        new ArrayList<>(connections).forEach(connection -> connection.endIfResting(now));
    }

    /**
     * Lets in whom the system has already connected, and listens no longer. Guards against those: ended with the
     * listener, their connections would be reset with their requests unread. The thread that accepts does so when
     * woken, and is asked for its count after that; what it answers comes later than all that it has let in.
     */
    // XNIO has no other call that lets the accepting thread look once more.
    @SuppressWarnings("deprecation")
    public void shut() {
        listener.wakeupAccepts();
        worker.execute(() -> {
            worker.getMXBean().getServerMXBeans().forEach(XnioServerMXBean::getConnectionCount);
            loop.thread().execute(this::listenNoMore);
        });
    }

    private void listenNoMore() {
        if (connections.size() >= limits.maxClientConnections()) {
            // Full, it let in only some: as soon as one has left, the next.
            loop.schedule(limits.sweepIntervalMicros() / 10, this::shut);
            return;
        }
        IoUtils.safeClose(listener);
        shut = true;
    }

    /** Whether nobody is left and nobody can come. */
    public boolean isEmpty() {
        return shut && connections.isEmpty();
    }

    /** Ends all but those whose answer is due, whatever they wait for. */
    public void endAll() {
        new ArrayList<>(connections).forEach(ClientConnection::end);
    }

    private void sweep() {
        long now = loop.nowMicros();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.checkTime(now);
        }
        loop.schedule(limits.sweepIntervalMicros(), this::sweep);
    }
}
