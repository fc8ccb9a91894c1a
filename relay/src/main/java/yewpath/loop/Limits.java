package yewpath.loop;

import java.util.function.ToDoubleFunction;
import yewpath.operator.Catalogue;
import yewpath.operator.Operator;

/**
 * Every bound on sizes, counts and times of the network code; filled at start, handed down from there, and filled
 * anew when the operator's file has changed. Times are microseconds, sizes bytes. What is read once, where something
 * is built, waits for a restart: {@link Catalogue} says of which keys that holds.
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
        Operator operator) {
        this.told = told;
        this.connectTimeout = connectTimeout;
        this.connectionIdle = connectionIdle;
        update(operator);
    }

    /** Sets all limits from the operator's settings and what the platform allows. */
    public void update(Operator o) {
        // Left for files, the jars, the selector, the ledger, the listener and the links to discovery.
        int links = Math.max(3, (int) or("sockets", 1024) - 48);
        long heap = Runtime.getRuntime().maxMemory();
        double disk = or("disk_mb", 64) * (1 << 20);
        long idle = connectionIdle > 0 ? connectionIdle : 10 * SECOND;
        int ring = (int) o.figure(Catalogue.RING_MOST);
        int body = (int) o.figure(Catalogue.CLIENT_BODY);
        now = new Figures(
            // Usual clients hold a third of all descriptors at most; what is over is for those that say nothing.
            // Two fifths suffice for endpoints: a call more closes the connection that lay idle longest.
            // Each client's connection may hold a ring and a body: all of them together must fit the heap.
            (int) o.figureOr(Catalogue.CLIENT_LINKS,
                Math.max(1, Math.min(links * 3 / 5, heap / 5 * 2 / (ring + body)))),
            (int) o.figure(Catalogue.CLIENT_ACCEPT_AHEAD),
            (int) o.figureOr(Catalogue.ENDPOINT_LINKS, Math.max(1, links * 2 / 5)),
            (int) o.figure(Catalogue.CLIENT_BACKLOG),
            (int) o.figure(Catalogue.RING_FIRST), ring, (int) o.figure(Catalogue.CLIENT_HEAD), body,
            (int) o.figure(Catalogue.CLIENT_ID), (int) o.figure(Catalogue.LINE_MOST),
            // Written anew at over half of the disk, with at most 0.4 of it still live: old and new fit together.
            (long) (o.part(Catalogue.LEDGER_LIVE) * disk), (long) (o.part(Catalogue.LEDGER_ANEW) * disk),
            (int) o.figure(Catalogue.LEDGER_ASIDE),
            // A client is owed an error or a close within 3 s of connecting, but 2 s of silence are its own.
            o.figure(Catalogue.CLIENT_REQUEST), o.figure(Catalogue.CLIENT_IDLE),
            o.figure(Catalogue.CLIENT_SILENT),
            o.figure(Catalogue.CLIENT_IDLE_LEAST), o.figure(Catalogue.CLIENT_SPEECH),
            o.figure(Catalogue.CLIENT_LINGER), (int) o.figure(Catalogue.CLIENT_LINGER_MOST),
            o.figure(Catalogue.CLIENT_SWEEP),
            connectTimeout > 0 ? connectTimeout : SECOND,
            // Ahead of the endpoint's own clock by what a busy machine and the network may add.
            idle - Math.min(SECOND, idle / 8),
            // An endpoint writes an answer in one go, late or not.
            o.figure(Catalogue.ENDPOINT_REST),
            // Discovery says something every 2 s unless it is down, and counts as heard 6 s after a change.
            // Silence and the longest pause before the next try stay under that together.
            o.figure(Catalogue.WATCH_SILENCE), o.figure(Catalogue.RETRY_FIRST),
            o.figure(Catalogue.RETRY_MOST),
            // A notice not answered at once goes again while it still is in time.
            o.figure(Catalogue.NOTICE_WITHIN), (int) o.figure(Catalogue.NOTICES_AT_ONCE),
            // Asked to end, a relay has 3.5 s: shots begin in the first part only, so that most come to their end.
            o.figure(Catalogue.DRAIN_FRESH), o.figure(Catalogue.DRAIN_MOST), o.figure(Catalogue.DRAIN_LEAST));
    }

    private double or(String name, double otherwise) {
        double figure = told.applyAsDouble(name);
        return figure > 0 ? figure : otherwise;
    }

    public int maxClientConnections() {
        return now.clientLinks;
    }

    public int extraAcceptedConnections() {
        return now.acceptAhead;
    }

    public int maxEndpointConnections() {
        return now.endpointLinks;
    }

    public int listenBacklog() {
        return now.backlog;
    }

    public int initialRingBytes() {
        return now.ringFirst;
    }

    public int maxRingBytes() {
        return now.ringMost;
    }

    public int maxHeadBytes() {
        return now.headMost;
    }

    public int maxBodyBytes() {
        return now.bodyMost;
    }

    public int maxIdLength() {
        return now.idMost;
    }

    public int maxDiscoveryLineBytes() {
        return now.lineMost;
    }

    public long maxLiveLedgerBytes() {
        return now.ledgerLive;
    }

    public long ledgerCompactionBytes() {
        return now.ledgerAnew;
    }

    public int ledgerReservedBytesPerMessage() {
        return now.ledgerAside;
    }

    public long requestTimeoutMicros() {
        return now.requestWithin;
    }

    public long clientIdleTimeoutMicros() {
        return now.clientIdle;
    }

    public long silentClientTimeoutMicros() {
        return now.silentFor;
    }

    public long idleBeforeEvictionMicros() {
        return now.idleLeast;
    }

    public long silenceBeforeEvictionMicros() {
        return now.speechWithin;
    }

    public long lingerMicros() {
        return now.lingerFor;
    }

    public int maxLingerBytes() {
        return now.lingerMost;
    }

    public long sweepIntervalMicros() {
        return now.sweepEvery;
    }

    public long connectTimeoutMicros() {
        return now.connectWithin;
    }

    public long endpointIdleTimeoutMicros() {
        return now.endpointIdle;
    }

    public long responseCompletionTimeoutMicros() {
        return now.answerRest;
    }

    public long discoverySilenceTimeoutMicros() {
        return now.watchSilence;
    }

    public long initialRetryDelayMicros() {
        return now.retryFirst;
    }

    public long maxRetryDelayMicros() {
        return now.retryMost;
    }

    public long noticeTimeoutMicros() {
        return now.noticeWithin;
    }

    public int maxNoticesPerRequest() {
        return now.noticesAtOnce;
    }

    public long shutdownNewAttemptsMicros() {
        return now.drainFresh;
    }

    public long maxShutdownCallWaitMicros() {
        return now.drainMost;
    }

    /** When a closing relay goes whatever is left: what it waits for last has its end, and the kill is not yet near. */
    public long shutdownTimeoutMicros() {
        return now.drainMost + SECOND / 5;
    }

    public long minShutdownMicros() {
        return now.drainLeast;
    }
}
