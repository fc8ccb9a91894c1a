package yewpath.loop;

import java.util.function.ToDoubleFunction;
import yewpath.operator.OperatorKeys;
import yewpath.operator.OperatorSettings;

/**
 * The limits on sizes, counts and times of the network code and the ledger. They are computed at the start,
 * and again when the operator's file has changed. A limit that is read only once, when something is created,
 * changes only with a restart: {@link OperatorKeys} tells for which keys that is so. Times are in microseconds,
 * sizes in bytes.
 */
public final class Limits {
    private record Values(int maxClientConnections, int extraAcceptedConnections, int maxEndpointConnections,
        int listenBacklog, int initialRingBytes, int maxRingBytes, int maxHeadBytes, int maxBodyBytes,
        int maxIdLength, int maxDiscoveryLineBytes, long maxLiveLedgerBytes, long ledgerCompactionBytes,
        int ledgerReservedBytesPerMessage, long requestTimeoutMicros, long clientIdleTimeoutMicros,
        long silentClientTimeoutMicros, long idleBeforeEvictionMicros, long silenceBeforeEvictionMicros,
        long lingerMicros, int maxLingerBytes, long sweepIntervalMicros, long connectTimeoutMicros,
        long endpointIdleTimeoutMicros, long responseCompletionTimeoutMicros,
        long discoverySilenceTimeoutMicros, long initialRetryDelayMicros, long maxRetryDelayMicros,
        long noticeTimeoutMicros, int maxNoticesPerRequest, long shutdownNewAttemptsMicros,
        long maxShutdownCallWaitMicros, long minShutdownMicros) {}

    private static final long SECOND_MICROS = 1_000_000;
    private static final int BYTES_PER_MIB = 1 << 20;
    private static final int DEFAULT_SOCKETS = 1024;
    /** Left for files, jars, the selector, the ledger, the listener and the connections to discovery. */
    private static final int RESERVED_DESCRIPTORS = 48;
    private static final int DEFAULT_DISK_MIB = 64;
    private final ToDoubleFunction<String> platformLimits;
    private final long connectTimeoutMicros;
    private final long connectionIdleMicros;
    /** Written on the I/O thread; read there and by the thread that ends the process. */
    private volatile Values values;

    /**
     * Computes the limits.
     *
     * @param platformLimits returns the limit of this name from the platform's configuration, or 0 if it is
     * not set
     * @param connectTimeoutMicros the timeout for connecting to a server; 0 for the default of 1 s
     * @param connectionIdleMicros the time after which endpoints close an idle connection; 0 for the default
     * of 10 s
     */
    public Limits(ToDoubleFunction<String> platformLimits, long connectTimeoutMicros,
        long connectionIdleMicros, OperatorSettings operator) {
        this.platformLimits = platformLimits;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.connectionIdleMicros = connectionIdleMicros;
        update(operator);
    }

    /**
     * Computes all limits from the operator's settings and the limits of the platform; called on the I/O
     * thread.
     */
    public void update(OperatorSettings operator) {
        int sockets = Math.max(3, (int) platformLimit("sockets", DEFAULT_SOCKETS) - RESERVED_DESCRIPTORS);
        long heapBytes = Runtime.getRuntime().maxMemory();
        double diskBytes = platformLimit("disk_mb", DEFAULT_DISK_MIB) * BYTES_PER_MIB;
        long endpointIdleMicros = connectionIdleMicros > 0 ? connectionIdleMicros : 10 * SECOND_MICROS;
        int ringBytes = (int) operator.number(OperatorKeys.BUFFER_MAX_BYTES);
        int bodyBytes = (int) operator.number(OperatorKeys.CLIENT_MAX_BODY_BYTES);
        values = new Values(
            // Active clients use at most a third of all descriptors; the rest of their share is for silent
            // connections. Two fifths are enough for endpoints, because a further call closes the connection
            // that is idle longest. Each client connection may hold a ring buffer and a body; all of them
            // together must fit into the heap.
            (int) operator.numberOr(OperatorKeys.CLIENT_CONNECTIONS,
                Math.max(1, Math.min(sockets * 3 / 5, heapBytes / 5 * 2 / (ringBytes + bodyBytes)))),
            (int) operator.number(OperatorKeys.CLIENT_ACCEPT_AHEAD),
            (int) operator.numberOr(OperatorKeys.ENDPOINT_CONNECTIONS, Math.max(1, sockets * 2 / 5)),
            (int) operator.number(OperatorKeys.CLIENT_BACKLOG),
            (int) operator.number(OperatorKeys.BUFFER_INITIAL_BYTES), ringBytes,
            (int) operator.number(OperatorKeys.CLIENT_MAX_HEAD_BYTES), bodyBytes,
            (int) operator.number(OperatorKeys.CLIENT_MAX_ID_LENGTH),
            (int) operator.number(OperatorKeys.DISCOVERY_MAX_LINE_BYTES),
            // The ledger is compacted when it fills more than half of the disk space. At most 0.4 of the
            // space belongs to live messages then, so the old and the new file fit at the same time.
            (long) (operator.fraction(OperatorKeys.LEDGER_LIVE_FRACTION) * diskBytes),
            (long) (operator.fraction(OperatorKeys.LEDGER_COMPACTION_FRACTION) * diskBytes),
            (int) operator.number(OperatorKeys.LEDGER_RESERVED_BYTES),
            // A client must see an error or a closed connection within 3 s of connecting, but may be silent
            // for 2 s.
            operator.number(OperatorKeys.CLIENT_REQUEST_TIMEOUT),
            operator.number(OperatorKeys.CLIENT_IDLE_TIMEOUT),
            operator.number(OperatorKeys.CLIENT_FIRST_BYTE_TIMEOUT),
            operator.number(OperatorKeys.CLIENT_EVICTABLE_IDLE_TIME),
            operator.number(OperatorKeys.CLIENT_EVICTABLE_SILENT_TIME),
            operator.number(OperatorKeys.CLIENT_LINGER_TIME),
            (int) operator.number(OperatorKeys.CLIENT_MAX_LINGER_BYTES),
            operator.number(OperatorKeys.CLIENT_SWEEP_INTERVAL),
            connectTimeoutMicros > 0 ? connectTimeoutMicros : SECOND_MICROS,
            // Closes an idle connection before the endpoint does, by a margin for a busy machine and network
            // delay.
            endpointIdleMicros - Math.min(SECOND_MICROS, endpointIdleMicros / 8),
            // An endpoint writes a response in one piece, even when the response is late.
            operator.number(OperatorKeys.ENDPOINT_RESPONSE_COMPLETION_TIMEOUT),
            // Discovery sends something every 2 s unless it is down, and assumes that a change is known 6 s
            // later. The silence timeout and the maximum retry delay together must stay below these 6 s.
            operator.number(OperatorKeys.DISCOVERY_SILENCE_TIMEOUT),
            operator.number(OperatorKeys.DISCOVERY_MIN_RETRY_DELAY),
            operator.number(OperatorKeys.DISCOVERY_MAX_RETRY_DELAY),
            // A notice that gets no prompt response is sent again while it can still arrive in time.
            operator.number(OperatorKeys.NOTICE_TIMEOUT),
            (int) operator.number(OperatorKeys.NOTICE_MAX_BATCH_SIZE),
            // A relay has 3.5 s from SIGTERM to its end. Attempts start only in the first part of that time,
            // so that most of them complete.
            operator.number(OperatorKeys.SHUTDOWN_ATTEMPT_PERIOD),
            operator.number(OperatorKeys.SHUTDOWN_MAX_DURATION),
            operator.number(OperatorKeys.SHUTDOWN_MIN_DURATION));
    }

    private double platformLimit(String name, double defaultValue) {
        double value = platformLimits.applyAsDouble(name);
        return value > 0 ? value : defaultValue;
    }

    /** Returns how many client connections may be open at once; a further one closes the least busy one. */
    public int maxClientConnections() {
        return values.maxClientConnections;
    }

    /** Returns how many connections may be accepted beyond the maximum, so that room can be made for them. */
    public int extraAcceptedConnections() {
        return values.extraAcceptedConnections;
    }

    /**
     * Returns how many connections to endpoints may be open at once; a further one closes the one idle
     * longest.
     */
    public int maxEndpointConnections() {
        return values.maxEndpointConnections;
    }

    /** Returns how many connections the operating system may complete before they are accepted. */
    public int listenBacklog() {
        return values.listenBacklog;
    }

    /** Returns the initial size of a ring buffer. */
    public int initialRingBytes() {
        return values.initialRingBytes;
    }

    /**
     * Returns the maximum size of a ring buffer; at this size reading stops, and TCP flow control slows the
     * peer.
     */
    public int maxRingBytes() {
        return values.maxRingBytes;
    }

    /** Returns the maximum size of the head of a request or a response. */
    public int maxHeadBytes() {
        return values.maxHeadBytes;
    }

    /** Returns the maximum size of the body of a request or a response. */
    public int maxBodyBytes() {
        return values.maxBodyBytes;
    }

    /** Returns the maximum length of a message id, in characters. */
    public int maxIdLength() {
        return values.maxIdLength;
    }

    /** Returns the maximum size of one line from discovery, which may hold the whole list of endpoints. */
    public int maxDiscoveryLineBytes() {
        return values.maxDiscoveryLineBytes;
    }

    /**
     * Returns how many bytes of the ledger may belong to live messages; beyond that, new messages are
     * refused.
     */
    public long maxLiveLedgerBytes() {
        return values.maxLiveLedgerBytes;
    }

    /** Returns the size of the ledger at which it is compacted. */
    public long ledgerCompactionBytes() {
        return values.ledgerCompactionBytes;
    }

    /** Returns the ledger space reserved for the attempts and the outcome of each message. */
    public int ledgerReservedBytesPerMessage() {
        return values.ledgerReservedBytesPerMessage;
    }

    /**
     * Returns the time for a client to send a request completely; for the first request it starts with the
     * connection.
     */
    public long requestTimeoutMicros() {
        return values.requestTimeoutMicros;
    }

    /** Returns how long a client connection may be idle after a response before it is closed. */
    public long clientIdleTimeoutMicros() {
        return values.clientIdleTimeoutMicros;
    }

    /** Returns how long a client may send nothing after connecting before its connection is closed. */
    public long silentClientTimeoutMicros() {
        return values.silentClientTimeoutMicros;
    }

    /**
     * Returns how long a client connection must be idle after a response to be the first to close for want of
     * room.
     */
    public long idleBeforeEvictionMicros() {
        return values.idleBeforeEvictionMicros;
    }

    /** Returns how long a new client connection must be silent to be the first to close for want of room. */
    public long silenceBeforeEvictionMicros() {
        return values.silenceBeforeEvictionMicros;
    }

    /**
     * Returns how long a connection is read after its last response, so that the client can read that
     * response.
     */
    public long lingerMicros() {
        return values.lingerMicros;
    }

    /** Returns how many bytes are read on a connection after its last response. */
    public int maxLingerBytes() {
        return values.maxLingerBytes;
    }

    /** Returns the interval at which client connections are checked for expired timeouts. */
    public long sweepIntervalMicros() {
        return values.sweepIntervalMicros;
    }

    /** Returns the timeout for connecting to another server. */
    public long connectTimeoutMicros() {
        return values.connectTimeoutMicros;
    }

    /** Returns how long a connection to an endpoint may be idle before it is closed. */
    public long endpointIdleTimeoutMicros() {
        return values.endpointIdleTimeoutMicros;
    }

    /** Returns how long the rest of a response may take after its first byte. */
    public long responseCompletionTimeoutMicros() {
        return values.responseCompletionTimeoutMicros;
    }

    /** Returns how long discovery may send nothing complete before the request to it is repeated. */
    public long discoverySilenceTimeoutMicros() {
        return values.discoverySilenceTimeoutMicros;
    }

    /**
     * Returns the first delay before a failed request to discovery or the platform is retried; it doubles
     * from there.
     */
    public long initialRetryDelayMicros() {
        return values.initialRetryDelayMicros;
    }

    /** Returns the maximum of that delay. */
    public long maxRetryDelayMicros() {
        return values.maxRetryDelayMicros;
    }

    /** Returns the time for the platform to respond to a notice before it is sent again. */
    public long noticeTimeoutMicros() {
        return values.noticeTimeoutMicros;
    }

    /** Returns the maximum number of notices in one request. */
    public int maxNoticesPerRequest() {
        return values.maxNoticesPerRequest;
    }

    /** Returns how long after SIGTERM new attempts may start. */
    public long shutdownNewAttemptsMicros() {
        return values.shutdownNewAttemptsMicros;
    }

    /** Returns how long after SIGTERM the relay waits for outstanding calls. */
    public long maxShutdownCallWaitMicros() {
        return values.maxShutdownCallWaitMicros;
    }

    /**
     * Returns how long after SIGTERM the relay ends at the latest, whatever is still outstanding. The longest
     * wait for calls is over by then, and the process is not killed yet.
     */
    public long shutdownTimeoutMicros() {
        return values.maxShutdownCallWaitMicros + SECOND_MICROS / 5;
    }

    /**
     * Returns the minimum time from SIGTERM to exit, during which clients that still connect get a response.
     */
    public long minShutdownMicros() {
        return values.minShutdownMicros;
    }
}
