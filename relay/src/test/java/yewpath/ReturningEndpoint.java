package yewpath;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * An endpoint that several relays call and that can be out for a while: it refuses connections, or executes requests
 * and closes the connection in place of an answer. Records the calls that reach it after a return, to compare them with the collapse budget.
 */
final class ReturningEndpoint implements AutoCloseable {
    /** As the settings of {@link RelayFixture} have it. */
    private static final double WARM_UP_INITIAL_SHARE = 0.2;
    private static final double COLLAPSE_MULTIPLE = 2;
    private static final long WARM_UP_MILLIS = 2_000;
    private static final long COLLAPSE_WINDOW_MILLIS = 1_000;

    /** How calls fail during an outage. */
    enum Outage {
        REFUSED_CONNECTS,
        RESETS
    }

    private static final String OVERLOADED = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

    private final double callsPerSecond;
    private final int port;
    private final Function<RelayFixture.ReceivedRequest, String> responder;
    private final List<Long> callsSinceReturnMillis = new CopyOnWriteArrayList<>();
    private double tokens;
    private long tokensAtMillis = nowMillis();
    private volatile Outage outage;
    private volatile long returnedAtMillis;
    private volatile RelayFixture.StubServer server;

    /** Starts an endpoint that answers. */
    ReturningEndpoint(double callsPerSecond, Function<RelayFixture.ReceivedRequest, String> responder)
        throws IOException {
        this.callsPerSecond = callsPerSecond;
        this.responder = responder;
        returnedAtMillis = nowMillis() - WARM_UP_MILLIS;
        server = new RelayFixture.StubServer(this::respond);
        port = server.port();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private String respond(RelayFixture.ReceivedRequest request) {
        boolean wasOut = outage != null;
        if (!wasOut) {
            long sinceReturnMillis = nowMillis() - returnedAtMillis;
            callsSinceReturnMillis.add(sinceReturnMillis);
            if (!acceptsCall(sinceReturnMillis)) {
                return OVERLOADED;
            }
        }
        String response = responder.apply(request);
        return wasOut ? RelayFixture.CLOSE_CONNECTION : response;
    }

    /** Begins an outage, which breaks the open connections. */
    void goOut(Outage kind) throws IOException {
        outage = kind;
        if (kind == Outage.REFUSED_CONNECTS) {
            server.close();
        }
    }

    /** Ends the outage: the endpoint answers, with a part of its capacity at first. */
    void comeBack() throws IOException {
        callsSinceReturnMillis.clear();
        returnedAtMillis = nowMillis();
        boolean wasClosed = outage == Outage.REFUSED_CONNECTS;
        outage = null;
        if (wasClosed) {
            server = new RelayFixture.StubServer(this::respond, port);
        }
    }

    /** Returns a description of the first collapse window since the return with too many calls; null if none. */
    String firstCollapse() {
        List<Long> calls = new ArrayList<>(callsSinceReturnMillis);
        calls.sort(null);
        for (int first = 0, last = 0; last < calls.size(); last++) {
            while (calls.get(last) - calls.get(first) >= COLLAPSE_WINDOW_MILLIS) {
                first++;
            }
            long windowStartMillis = Math.max(0, calls.get(last) - COLLAPSE_WINDOW_MILLIS);
            if (windowStartMillis >= WARM_UP_MILLIS) {
                return null;
            }
            int count = last - first + 1;
            double budget = budget(windowStartMillis);
            if (count > budget) {
                return String.format("%d calls where %.1f are allowed, %d ms after the return", count, budget,
                    calls.get(last));
            }
        }
        return null;
    }

    private double capacity(long sinceReturnMillis) {
        double share = WARM_UP_INITIAL_SHARE
            + (1 - WARM_UP_INITIAL_SHARE) * sinceReturnMillis / (double) WARM_UP_MILLIS;
        return callsPerSecond * Math.min(1, share);
    }

    /** Returns whether the endpoint has capacity for one more call; refused calls don't use it up. */
    private synchronized boolean acceptsCall(long sinceReturnMillis) {
        double capacity = capacity(sinceReturnMillis);
        long nowMillis = nowMillis();
        tokens = Math.min(capacity / 2, tokens + capacity * (nowMillis - tokensAtMillis) / 1_000);
        tokensAtMillis = nowMillis;
        boolean accepts = tokens >= 1;
        tokens -= accepts ? 1 : 0;
        return accepts;
    }

    private double budget(long sinceReturnMillis) {
        double calls = COLLAPSE_MULTIPLE * capacity(sinceReturnMillis) * COLLAPSE_WINDOW_MILLIS / 1_000;
        double root = Math.sqrt(calls);
        return calls < 30 ? calls + 3 * root + 3 : calls + 2 * root + 2;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
