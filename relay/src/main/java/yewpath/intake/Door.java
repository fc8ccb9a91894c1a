package yewpath.intake;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.loop.Limits;
import yewpath.loop.Loop;

/** Where clients connect; holds a bounded number of them and closes those that stay too long. */
public final class Door {
    private final Loop loop;
    private final Limits limits;
    private final Desk desk;
    private final Set<Visit> visits = new LinkedHashSet<>();
    private AcceptingChannel<StreamConnection> listener;

    public Door(Loop loop, Limits limits, Desk desk) {
        this.loop = loop;
        this.limits = limits;
        this.desk = desk;
    }

    public InetSocketAddress open(XnioWorker worker, InetSocketAddress at) throws IOException {
        listener = worker.createStreamConnectionServer(at, this::accept, OptionMap.builder()
            .set(Options.REUSE_ADDRESSES, true).set(Options.TCP_NODELAY, true).set(Options.BACKLOG, limits.backlog())
            // Guards against a rush of connects using up all descriptors before one of them could be closed again.
            .set(Options.CONNECTION_HIGH_WATER, limits.clientLinks() + limits.acceptAhead())
            .set(Options.CONNECTION_LOW_WATER, limits.clientLinks() + limits.acceptAhead() / 2).getMap());
        listener.resumeAccepts();
        sweep();
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                StreamConnection connection = c;
                // Visits belong to the I/O thread, whichever thread accepts.
                loop.thread().execute(() -> enter(connection));
            }
        } catch (IOException e) {
            Log.tell(Event.CLIENT_ACCEPT_FAILED, e.getMessage());
        }
    }

    private void enter(StreamConnection connection) {
        if (visits.size() >= limits.clientLinks()) {
            leastBusy();
        }
        visits.add(new Visit(loop, limits, desk, connection, visits::remove));
    }

    /** Full: the one that can be missed most goes, of several the longest quiet. */
    private void leastBusy() {
        long now = loop.now();
        Visit goes = null;
        int least = Visit.NEEDED;
        for (Visit visit : visits) {
            int missed = visit.missed(now);
            if (missed < least || goes != null && missed == least && visit.quietSince() < goes.quietSince()) {
                goes = visit;
                least = missed;
            }
        }
        if (goes != null) {
            Log.tell(Event.CLIENT_EVICTED, (now - goes.quietSince()) / 1000, visits.size());
            goes.close();
        }
    }

    private void sweep() {
        long now = loop.now();
        for (Visit visit : new ArrayList<>(visits)) {
            visit.checkTime(now);
        }
        loop.after(limits.sweepEvery(), this::sweep);
    }
}
