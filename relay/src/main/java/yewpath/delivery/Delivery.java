package yewpath.delivery;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.CloseReason;
import yewpath.http.OutboundConnection;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/** Calls to endpoints, and the connections kept to them. */
public final class Delivery {
    private record Idle(OutboundConnection connection, int endpoint, long since) {}

    private final EventLoop loop;
    private final Limits limits;
    private final List<String> reportFields;
    private final BooleanSupplier writeAttempts;
    private final ArrayDeque<Idle> idle = new ArrayDeque<>();
    /** Where calls to each endpoint go; null where none may. */
    private InetSocketAddress[] addresses = new InetSocketAddress[32];
    private int links;
    private final Set<Call> callsOut = new LinkedHashSet<>();
    private boolean sweeping;

    /**
     * Takes load reports from answers where they have these fields; {@code writeAttempts} writes the records of attempts that are
     * about to leave, and tells whether it could.
     */
    public Delivery(EventLoop loop, Limits limits, List<String> reportFields, BooleanSupplier writeAttempts) {
        this.writeAttempts = writeAttempts;
        this.loop = loop;
        this.limits = limits;
        this.reportFields = reportFields;
    }

    boolean attemptsAreWritten() {
        return writeAttempts.getAsBoolean();
    }

    public int callsInFlight() {
        return callsOut.size();
    }

    public int connectionCount() {
        return links;
    }

    /** Sets the address of an endpoint; at a new one, connections to the old are closed. */
    public void setAddress(int endpoint, InetSocketAddress address) {
        if (endpoint >= addresses.length) {
            addresses = Arrays.copyOf(addresses, endpoint * 2);
        }
        if (!address.equals(addresses[endpoint])) {
            stopSending(endpoint);
        }
        addresses[endpoint] = address;
    }

    /**
     * Nothing new may go to an endpoint that drains, is gone, or stands elsewhere now. Guards against calls whose connection
     * is still to come up, which would leave long after that was told, and against connections that lie idle, or will once
     * their call is over, and would be used for what the list has under this index later.
     */
    public void stopSending(int endpoint) {
        addresses[endpoint] = null;
        cancelUnsentCalls(endpoint);
        closeIdle(endpoint);
    }

    /** Sends envelopes as one call that ends {@code endsAt} at the latest. */
    public Call startCall(int endpoint, List<Call.Attempt> attempts, long endsAt) {
        Call call = out(endpoint, connection(endpoint), attempts, endsAt);
        startPreparedCall(call, endsAt);
        return call;
    }

    /** One that {@link #begin} is to send later; until then it can be taken back like one that has not left. */
    public Call prepareCall(int endpoint, List<Call.Attempt> attempts, long endsAt) {
        return out(endpoint, opened(endpoint), attempts, endsAt);
    }

    private Call out(int endpoint, OutboundConnection connection, List<Call.Attempt> attempts, long endsAt) {
        Call call = new Call(loop, limits, this, endpoint, connection, attempts, endsAt, reportFields);
        callsOut.add(call);
        return call;
    }

    /** Does nothing where it has ended meanwhile. */
    public void startPreparedCall(Call call, long endsAt) {
        if (call.isOver()) {
            return;
        }
        long within = Math.max(1, endsAt - loop.nowMicros());
        List<Call.Attempt> attempts = call.attempts();
        try {
            call.begin(CallRequest.bytes(addresses[call.endpoint], attempts, within));
        } catch (RuntimeException e) {
            Log.log(Event.RELAY_ERROR, e);
            call.fault();
        }
    }

    /** Calls whose connection is still to come up don't leave. */
    public void cancelUnsentCalls(int endpoint) {
        for (Call call : new ArrayList<>(callsOut)) {
            if (call.endpoint == endpoint && !call.connection.isSendStarted()) {
                call.takeBack();
            }
        }
    }

    private OutboundConnection connection(int endpoint) {
        List<OutboundConnection> spoilt = new ArrayList<>();
        // The one used last: the others grow old and close.
        for (var newest = idle.descendingIterator(); newest.hasNext();) {
            Idle one = newest.next();
            if (one.endpoint == endpoint
                && loop.nowMicros() - one.since < limits.endpointIdleTimeoutMicros()) {
                newest.remove();
                if (one.connection.hasNoPendingInput()) {
                    return one.connection;
                }
                spoilt.add(one.connection);
            }
        }
        spoilt.forEach(connection -> connection.close(CloseReason.STALE_BEFORE_REUSE));
        if (links >= limits.maxEndpointConnections() && !idle.isEmpty()) {
            idle.peekFirst().connection.close(CloseReason.EVICTED);
        }
        return opened(endpoint);
    }

    private OutboundConnection opened(int endpoint) {
        OutboundConnection connection = new OutboundConnection(loop, limits, addresses[endpoint],
            limits.maxBodyBytes());
        links++;
        connection.onClose(() -> {
            links--;
            idle.removeIf(one -> one.connection == connection);
        });
        return connection;
    }

    void over(Call call) {
        callsOut.remove(call);
        if (addresses[call.endpoint] == null || !addresses[call.endpoint].equals(call.connection.address())) {
            call.connection.close(CloseReason.ADDRESS_NOT_IN_USE);
        } else if (!call.connection.isClosed()) {
            idle.addLast(new Idle(call.connection, call.endpoint, loop.nowMicros()));
            sweepLater();
        }
    }

    private void sweepLater() {
        if (!sweeping && !idle.isEmpty()) {
            sweeping = true;
            loop.schedule(idle.peekFirst().since + limits.endpointIdleTimeoutMicros() - loop.nowMicros(),
                this::sweep);
        }
    }

    /** Closes what the endpoint would soon close by itself, perhaps under a request. */
    private void sweep() {
        sweeping = false;
        while (!idle.isEmpty()
            && idle.peekFirst().since + limits.endpointIdleTimeoutMicros() <= loop.nowMicros()) {
            idle.peekFirst().connection.close(CloseReason.IDLE);
        }
        sweepLater();
    }

    /** Closes the idle connections to an endpoint. */
    public void closeIdle(int endpoint) {
        for (Idle one : new ArrayList<>(idle)) {
            if (one.endpoint == endpoint) {
                one.connection.close(CloseReason.IDLE);
            }
        }
    }
}
