package yewpath.loop;

import java.util.function.ToDoubleFunction;
import yewpath.operator.OperatorKeys;
import yewpath.operator.OperatorSettings;

/**
 * Every bound on sizes, counts and times of the network code; filled at start, handed down from there, and filled
 * anew when the operator's file has changed. Times are microseconds, sizes bytes. What is read once, where something
 * is built, waits for a restart: {@link OperatorKeys} says of which keys that holds.
 */
public final class Limits {
    private record Figures(int clientLinks, int acceptAhead, int endpointLinks, int backlog, int ringFirst,
        int ringMost, int headMost, int bodyMost, int idMost, int lineMost, long ledgerLive,
        long ledgerAnew, int ledgerAside, long requestWithin, long clientIdle, long silentFor,
        long idleLeast, long speechWithin, long lingerFor, int lingerMost, long sweepEvery,
        long connectWithin, long endpointIdle, long answerRest, long watchSilence, long retryFirst,
        long retryMost, long noticeWithin, int noticesAtOnce, long drainFresh, long drainMost,
        long drainLeast) {}

    private static final long SECOND = 1_000_000;
    private final ToDoubleFunction<String> told;
    private final long connectTimeout;
    private final long connectionIdle;
    /** Changed on the I/O thread; read there, and by the one that ends the process. */
    private volatile Figures now;

    /** {@code told} gives a figure of the platform's configuration, or 0. */
    public Limits(ToDoubleFunction<String> told, long connectTimeout, long connectionIdle,
        OperatorSettings operator) {
        this.told = told;
        this.connectTimeout = connectTimeout;
        this.connectionIdle = connectionIdle;
        fill(operator);
    }

    /** Sets all limits from the operator's settings and what the platform allows. */
    public void fill(OperatorSettings o) {
        // Left for files, the jars, the selector, the ledger, the listener and the links to discovery.
        int links = Math.max(3, (int) or("sockets", 1024) - 48);
        long heap = Runtime.getRuntime().maxMemory();
        double disk = or("disk_mb", 64) * (1 << 20);
        long idle = connectionIdle > 0 ? connectionIdle : 10 * SECOND;
        int ring = (int) o.number(OperatorKeys.BUFFER_MAX_BYTES);
        int body = (int) o.number(OperatorKeys.CLIENT_MAX_BODY_BYTES);
        now = new Figures(
            // Usual clients hold a third of all descriptors at most; what is over is for those that say nothing.
            // Two fifths suffice for endpoints: a call more closes the connection that lay idle longest.
            // Each client's connection may hold a ring and a body: all of them together must fit the heap.
            (int) o.numberOr(OperatorKeys.CLIENT_CONNECTIONS,
                Math.max(1, Math.min(links * 3 / 5, heap / 5 * 2 / (ring + body)))),
            (int) o.number(OperatorKeys.CLIENT_ACCEPT_AHEAD),
            (int) o.numberOr(OperatorKeys.ENDPOINT_CONNECTIONS, Math.max(1, links * 2 / 5)),
            (int) o.number(OperatorKeys.CLIENT_BACKLOG),
            (int) o.number(OperatorKeys.BUFFER_INITIAL_BYTES), ring,
            (int) o.number(OperatorKeys.CLIENT_MAX_HEAD_BYTES), body,
            (int) o.number(OperatorKeys.CLIENT_MAX_ID_LENGTH),
            (int) o.number(OperatorKeys.DISCOVERY_MAX_LINE_BYTES),
            // Written anew at over half of the disk, with at most 0.4 of it still live: old and new fit together.
            (long) (o.fraction(OperatorKeys.LEDGER_LIVE_FRACTION) * disk),
            (long) (o.fraction(OperatorKeys.LEDGER_COMPACTION_FRACTION) * disk),
            (int) o.number(OperatorKeys.LEDGER_RESERVED_BYTES),
            // A client is owed an error or a close within 3 s of connecting, but 2 s of silence are its own.
            o.number(OperatorKeys.CLIENT_REQUEST_TIMEOUT), o.number(OperatorKeys.CLIENT_IDLE_TIMEOUT),
            o.number(OperatorKeys.CLIENT_FIRST_BYTE_TIMEOUT),
            o.number(OperatorKeys.CLIENT_EVICTABLE_IDLE_TIME),
            o.number(OperatorKeys.CLIENT_EVICTABLE_SILENT_TIME),
            o.number(OperatorKeys.CLIENT_LINGER_TIME), (int) o.number(OperatorKeys.CLIENT_MAX_LINGER_BYTES),
            o.number(OperatorKeys.CLIENT_SWEEP_INTERVAL),
            connectTimeout > 0 ? connectTimeout : SECOND,
            // Ahead of the endpoint's own clock by what a busy machine and the network may add.
            idle - Math.min(SECOND, idle / 8),
            // An endpoint writes an answer in one go, late or not.
            o.number(OperatorKeys.ENDPOINT_RESPONSE_COMPLETION_TIMEOUT),
            // Discovery says something every 2 s unless it is down, and counts as heard 6 s after a change.
            // Silence and the longest pause before the next try stay under that together.
            o.number(OperatorKeys.DISCOVERY_SILENCE_TIMEOUT),
            o.number(OperatorKeys.DISCOVERY_MIN_RETRY_DELAY),
            o.number(OperatorKeys.DISCOVERY_MAX_RETRY_DELAY),
            // A notice not answered at once goes again while it still is in time.
            o.number(OperatorKeys.NOTICE_TIMEOUT), (int) o.number(OperatorKeys.NOTICE_MAX_BATCH_SIZE),
            // Asked to end, a relay has 3.5 s: shots begin in the first part only, so that most come to their end.
            o.number(OperatorKeys.SHUTDOWN_ATTEMPT_PERIOD), o.number(OperatorKeys.SHUTDOWN_MAX_DURATION),
            o.number(OperatorKeys.SHUTDOWN_MIN_DURATION));
    }

    private double or(String name, double otherwise) {
        double figure = told.applyAsDouble(name);
        return figure > 0 ? figure : otherwise;
    }

    public int clientLinks() {
        return now.clientLinks;
    }

    public int acceptAhead() {
        return now.acceptAhead;
    }

    public int endpointLinks() {
        return now.endpointLinks;
    }

    public int backlog() {
        return now.backlog;
    }

    public int ringFirst() {
        return now.ringFirst;
    }

    public int ringMost() {
        return now.ringMost;
    }

    public int headMost() {
        return now.headMost;
    }

    public int bodyMost() {
        return now.bodyMost;
    }

    public int idMost() {
        return now.idMost;
    }

    public int lineMost() {
        return now.lineMost;
    }

    public long ledgerLive() {
        return now.ledgerLive;
    }

    public long ledgerAnew() {
        return now.ledgerAnew;
    }

    public int ledgerAside() {
        return now.ledgerAside;
    }

    public long requestWithin() {
        return now.requestWithin;
    }

    public long clientIdle() {
        return now.clientIdle;
    }

    public long silentFor() {
        return now.silentFor;
    }

    public long idleLeast() {
        return now.idleLeast;
    }

    public long speechWithin() {
        return now.speechWithin;
    }

    public long lingerFor() {
        return now.lingerFor;
    }

    public int lingerMost() {
        return now.lingerMost;
    }

    public long sweepEvery() {
        return now.sweepEvery;
    }

    public long connectWithin() {
        return now.connectWithin;
    }

    public long endpointIdle() {
        return now.endpointIdle;
    }

    public long answerRest() {
        return now.answerRest;
    }

    public long watchSilence() {
        return now.watchSilence;
    }

    public long retryFirst() {
        return now.retryFirst;
    }

    public long retryMost() {
        return now.retryMost;
    }

    public long noticeWithin() {
        return now.noticeWithin;
    }

    public int noticesAtOnce() {
        return now.noticesAtOnce;
    }

    public long drainFresh() {
        return now.drainFresh;
    }

    public long drainMost() {
        return now.drainMost;
    }

    /** When a closing relay goes whatever is left: what it waits for last has its end, and the kill is not yet near. */
    public long drainBound() {
        return now.drainMost + SECOND / 5;
    }

    public long drainLeast() {
        return now.drainLeast;
    }
}
