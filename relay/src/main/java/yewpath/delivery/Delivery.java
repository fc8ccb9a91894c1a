package yewpath.delivery;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.CloseReason;
import yewpath.http.OutboundConnection;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/**
 * Calls to endpoints, and the connections to them. All methods must be called on the I/O thread of the
 * event loop.
 */
public final class Delivery {
    private record IdleConnection(OutboundConnection connection, int endpoint, long sinceMicros) {}

    private final EventLoop loop;
    private final Limits limits;
    private final List<String> reportFields;
    private final BooleanSupplier listCheck;
    private final BooleanSupplier attemptRecordWriter;
    private final ArrayDeque<IdleConnection> idleConnections = new ArrayDeque<>();
    /** The address of each endpoint; null if nothing may be sent to it. */
    private InetSocketAddress[] addresses = new InetSocketAddress[32];
    private int openConnections;
    private final Set<Call> callsInFlight = new LinkedHashSet<>();
    private boolean sweepScheduled;

    /**
     * Creates a delivery without connections.
     *
     * @param reportFields the fields of load reports in responses; empty if there are none
     * @param listCheck returns whether the addresses of the endpoints are up to date
     * @param attemptRecordWriter writes the ledger records of attempts that are about to be sent, and
     *     returns whether they are written
     */
    public Delivery(EventLoop loop, Limits limits, List<String> reportFields, BooleanSupplier listCheck,
        BooleanSupplier attemptRecordWriter) {
        this.listCheck = listCheck;
        this.attemptRecordWriter = attemptRecordWriter;
        this.loop = loop;
        this.limits = limits;
        this.reportFields = reportFields;
    }

    /** Returns whether requests may be sent to the addresses known now. */
    boolean areAddressesCurrent() {
        return listCheck.getAsBoolean();
    }

    /** Writes the pending ledger records; returns whether they are written. */
    boolean writeAttemptRecords() {
        return attemptRecordWriter.getAsBoolean();
    }

    /** Returns the number of calls that have not ended. */
    public int callsInFlight() {
        return callsInFlight.size();
    }

    /** Returns the number of connections to endpoints, including those being opened. */
    public int connectionCount() {
        return openConnections;
    }

    /** Sets the address of an endpoint. If it has changed, connections to the old one are closed. */
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
     * Stops sending to an endpoint that drains, is gone or has moved to another address. Guards against
     * calls whose connection is not established yet, which would be sent long after the change was
     * reported. Also guards against idle connections, and those whose call is still in flight, being used
     * later for another endpoint under the same index.
     */
    public void stopSending(int endpoint) {
        addresses[endpoint] = null;
        cancelUnsentCalls(endpoint);
        closeIdle(endpoint);
    }

    /**
     * Sends messages as one call.
     *
     * @param deadlineMicros when the call ends at the latest
     */
    public Call startCall(int endpoint, List<Call.Attempt> attempts, long deadlineMicros) {
        Call call = register(endpoint, takeConnection(endpoint), attempts, deadlineMicros);
        startPreparedCall(call, deadlineMicros);
        return call;
    }

    /**
     * Creates a call that {@link #startPreparedCall} sends later; until then it can be cancelled like any
     * call that is not sent yet.
     */
    public Call prepareCall(int endpoint, List<Call.Attempt> attempts, long deadlineMicros) {
        return register(endpoint, openConnection(endpoint), attempts, deadlineMicros);
    }

    private Call register(int endpoint, OutboundConnection connection, List<Call.Attempt> attempts,
        long deadlineMicros) {
        Call call = new Call(loop, limits, this, endpoint, connection, attempts, deadlineMicros,
            reportFields);
        callsInFlight.add(call);
        return call;
    }

    /** Sends a prepared call; does nothing if it has ended meanwhile. */
    public void startPreparedCall(Call call, long deadlineMicros) {
        if (call.isEnded()) {
            return;
        }
        long timeoutMicros = Math.max(1, deadlineMicros - loop.nowMicros());
        List<Call.Attempt> attempts = call.attempts();
        try {
            call.send(CallRequest.bytes(addresses[call.endpoint], attempts, timeoutMicros));
        } catch (RuntimeException exception) {
            Log.log(Event.RELAY_ERROR, exception);
            call.failInternally();
        }
    }

    /** Reads the responses that have arrived, which may ask not to send for a while. */
    public void readAvailable() {
        new ArrayList<>(callsInFlight).forEach(call -> call.connection.readAvailable());
    }

    /** Cancels the calls to an endpoint whose requests are not sent yet. */
    public void cancelUnsentCalls(int endpoint) {
        cancelUnsentCalls(call -> call.endpoint == endpoint);
    }

    /** Cancels all calls whose requests are not sent yet. */
    public void cancelUnsentCalls() {
        cancelUnsentCalls(call -> true);
    }

    private void cancelUnsentCalls(Predicate<Call> selection) {
        for (Call call : new ArrayList<>(callsInFlight)) {
            if (selection.test(call) && !call.connection.isSendStarted()) {
                call.cancelUnsent();
            }
        }
    }

    /**
     * Returns an idle connection to an endpoint, or a new one; a new one beyond the limit replaces the
     * connection that has been idle longest.
     */
    private OutboundConnection takeConnection(int endpoint) {
        List<OutboundConnection> staleConnections = new ArrayList<>();
        // The connection used last is used first, so that superfluous connections become idle and are
        // closed.
        for (var newestFirst = idleConnections.descendingIterator(); newestFirst.hasNext();) {
            IdleConnection candidate = newestFirst.next();
            if (candidate.endpoint == endpoint
                && loop.nowMicros() - candidate.sinceMicros < limits.endpointIdleTimeoutMicros()) {
                newestFirst.remove();
                if (candidate.connection.hasNoPendingInput()) {
                    return candidate.connection;
                }
                staleConnections.add(candidate.connection);
            }
        }
        staleConnections.forEach(connection -> connection.close(CloseReason.STALE_BEFORE_REUSE));
        if (openConnections >= limits.maxEndpointConnections() && !idleConnections.isEmpty()) {
            idleConnections.peekFirst().connection.close(CloseReason.EVICTED);
        }
        return openConnection(endpoint);
    }

    private OutboundConnection openConnection(int endpoint) {
        OutboundConnection connection = new OutboundConnection(loop, limits, addresses[endpoint],
            limits.maxBodyBytes());
        openConnections++;
        connection.onClose(() -> {
            openConnections--;
            idleConnections.removeIf(candidate -> candidate.connection == connection);
        });
        return connection;
    }

    /**
     * Keeps the connection of an ended call for later calls, unless it is closed or the endpoint's address
     * has changed.
     */
    void onCallEnd(Call call) {
        callsInFlight.remove(call);
        if (addresses[call.endpoint] == null || !addresses[call.endpoint].equals(call.connection.address())) {
            call.connection.close(CloseReason.ADDRESS_NOT_IN_USE);
        } else if (!call.connection.isClosed()) {
            idleConnections.addLast(new IdleConnection(call.connection, call.endpoint, loop.nowMicros()));
            scheduleSweep();
        }
    }

    private void scheduleSweep() {
        if (!sweepScheduled && !idleConnections.isEmpty()) {
            sweepScheduled = true;
            loop.schedule(
                idleConnections.peekFirst().sinceMicros + limits.endpointIdleTimeoutMicros()
                    - loop.nowMicros(),
                this::closeExpired);
        }
    }

    /**
     * Closes connections that the endpoint would soon close itself, possibly while a request is being
     * sent.
     */
    private void closeExpired() {
        sweepScheduled = false;
        while (!idleConnections.isEmpty()
            && idleConnections.peekFirst().sinceMicros + limits.endpointIdleTimeoutMicros() <= loop
                .nowMicros()) {
            idleConnections.peekFirst().connection.close(CloseReason.IDLE);
        }
        scheduleSweep();
    }

    /** Closes the idle connections to an endpoint. */
    public void closeIdle(int endpoint) {
        for (IdleConnection candidate : new ArrayList<>(idleConnections)) {
            if (candidate.endpoint == endpoint) {
                candidate.connection.close(CloseReason.IDLE);
            }
        }
    }
}
