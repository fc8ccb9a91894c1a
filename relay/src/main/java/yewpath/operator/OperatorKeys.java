package yewpath.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewpath.configuration.Key;
import yewpath.configuration.ValueType;

/**
 * All keys of the operator's file. A subsystem declares its table and its keys here and reads their values
 * from {@link OperatorSettings}.
 */
public final class OperatorKeys {
    /** Durations are microseconds. */
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000_000;
    /** Sizes are bytes. */
    private static final long KIB = 1 << 10;
    private static final long MIB = 1 << 20;
    private static final List<Key> KEYS = new ArrayList<>();
    private static final Map<String, String> TABLES = new LinkedHashMap<>();

    static {
        TABLES.put("clients", "Connections and requests of clients.");
        TABLES.put("endpoints", "Connections to endpoints.");
        TABLES.put("discovery", "The connection that follows the list of endpoints.");
        TABLES.put("notices", "Notices to the platform about messages that were not delivered.");
        TABLES.put("ledger", "The ledger, the file that keeps messages across restarts.");
        TABLES.put("closing", "The shutdown after SIGTERM.");
        TABLES.put("buffers", "Ring buffers; every connection has one per direction.");
        TABLES.put("log", "The log on standard error, one line per event.");
    }

    public static final Key CLIENT_CONNECTIONS = count("clients.connections", null, 1, 1_000_000, false,
        "Maximum number of client connections; derived from the limits of descriptors and heap. "
            + "A connection over the limit closes the one that is needed least.");
    public static final Key CLIENT_ACCEPT_AHEAD = count("clients.accept_ahead", 12, 1, 10_000, false,
        "Connections that may be accepted over that limit until others are closed for them.");
    public static final Key CLIENT_BACKLOG = count("clients.backlog", 512, 1, 65_535, false,
        "Connections that the operating system may complete before the relay accepts them.");
    public static final Key CLIENT_MAX_HEAD_BYTES = size("clients.head_most", 8 * KIB, 256, 1 * MIB, false,
        "Maximum size of the head of a request or response; a larger request gets status 431.");
    public static final Key CLIENT_MAX_BODY_BYTES = size("clients.body_most", 64 * KIB, 1, 16 * MIB, false,
        "Maximum size of the body of a request or response; a larger request gets status 413.");
    public static final Key CLIENT_MAX_ID_LENGTH = count("clients.id_most", 128, 8, 1_024, true,
        "Maximum length of a message id in characters; a longer one gets status 400.");
    public static final Key CLIENT_REQUEST_TIMEOUT = duration("clients.request_within", 2_300 * MILLISECOND,
        50 * MILLISECOND, 2_800 * MILLISECOND, true,
        "Time to receive a request, from its first byte, or for the first request from the connect; "
            + "then it gets status 408.");
    public static final Key CLIENT_IDLE_TIMEOUT = duration("clients.idle_for", 10 * SECOND, 50 * MILLISECOND,
        3_600 * SECOND, true,
        "How long a connection may be idle after a response before it is closed.");
    public static final Key CLIENT_FIRST_BYTE_TIMEOUT = duration("clients.silent_for", 2_100 * MILLISECOND,
        50 * MILLISECOND, 2_800 * MILLISECOND, true,
        "How long a new connection may send nothing before it is closed.");
    public static final Key CLIENT_EVICTABLE_IDLE_TIME = duration("clients.rest_owed", 2 * SECOND, 0,
        3_600 * SECOND, true,
        "Connections idle for longer after a response are the first to be closed at the connection limit.");
    public static final Key CLIENT_EVICTABLE_SILENT_TIME = duration("clients.speech_owed", 100 * MILLISECOND,
        0, 2_800 * MILLISECOND, true,
        "New connections that sent nothing for longer are the first to be closed at the connection limit.");
    public static final Key CLIENT_LINGER_TIME = duration("clients.linger_for", 500 * MILLISECOND,
        10 * MILLISECOND, 2 * SECOND, true,
        "How long the relay reads on after it refused a request, so that the client receives the response.");
    public static final Key CLIENT_MAX_LINGER_BYTES = size("clients.linger_most", 256 * KIB, 1 * KIB,
        64 * MIB, true,
        "How many bytes the relay reads after it refused a request.");
    public static final Key CLIENT_SWEEP_INTERVAL = duration("clients.sweep_every", 200 * MILLISECOND,
        10 * MILLISECOND, 2 * SECOND, true,
        "How often the timeouts of client connections are checked.");

    public static final Key ENDPOINT_CONNECTIONS = count("endpoints.connections", null, 1, 1_000_000, true,
        "Maximum number of connections to endpoints; derived from the limit of descriptors. "
            + "A connection over the limit closes the one that was idle longest.");
    public static final Key ENDPOINT_RESPONSE_COMPLETION_TIMEOUT = duration("endpoints.answer_rest",
        300 * MILLISECOND, 10 * MILLISECOND, 60 * SECOND, true,
        "Time to receive a response completely after its first byte.");

    public static final Key DISCOVERY_SILENCE_TIMEOUT = duration("discovery.silence", 3 * SECOND,
        100 * MILLISECOND, 600 * SECOND, true,
        "A discovery connection without any data for this long is replaced by a new one. A list may "
            + "take longer while it arrives.");
    public static final Key DISCOVERY_MAX_LINE_BYTES = size("discovery.line_most", 1 * MIB, 1 * KIB,
        256 * MIB, true,
        "Maximum size of one update from discovery, which may be the whole list.");
    public static final Key DISCOVERY_MIN_RETRY_DELAY = duration("discovery.retry_first", 100 * MILLISECOND,
        1 * MILLISECOND, 60 * SECOND, true,
        "Delay before the first retry of a failed discovery connection or notice; doubles with each retry.");
    public static final Key DISCOVERY_MAX_RETRY_DELAY = duration("discovery.retry_most", 1 * SECOND,
        1 * MILLISECOND, 600 * SECOND, true,
        "Maximum delay between such retries.");

    public static final Key NOTICE_TIMEOUT = duration("notices.within", 150 * MILLISECOND, 1 * MILLISECOND,
        60 * SECOND, true,
        "Time for the platform to answer a notice before it is sent again; longer after each failure.");
    public static final Key NOTICE_MAX_BATCH_SIZE = count("notices.at_once", 64, 1, 10_000, true,
        "Maximum number of notices in one request.");

    public static final Key LEDGER_LIVE_FRACTION = fraction("ledger.live_part", 0.40, 0.01, 0.49, false,
        "Fraction of disk_mb that live messages may fill; beyond it new messages get status 503.");
    public static final Key LEDGER_COMPACTION_FRACTION = fraction("ledger.anew_part", 0.55, 0.02, 0.95, false,
        "Fraction of disk_mb at which the ledger is compacted; with live_part it must not exceed 0.98, "
            + "since the old and the new file exist at the same time.");
    public static final Key LEDGER_RESERVED_BYTES = size("ledger.set_aside", 512, 256, 64 * KIB, false,
        "Space reserved for the records of each message's attempts and outcome.");

    public static final Key SHUTDOWN_ATTEMPT_PERIOD = duration("closing.shots_for", 1_800 * MILLISECOND,
        50 * MILLISECOND, 3_200 * MILLISECOND, true,
        "How long after SIGTERM new attempts are started.");
    public static final Key SHUTDOWN_MAX_DURATION = duration("closing.most", 3_200 * MILLISECOND,
        100 * MILLISECOND, 3_300 * MILLISECOND, true,
        "How long after SIGTERM the relay waits for open calls; the process ends at most 0.2 s later.");
    public static final Key SHUTDOWN_MIN_DURATION = duration("closing.least", 500 * MILLISECOND,
        50 * MILLISECOND, 3_200 * MILLISECOND, true,
        "How long after SIGTERM the relay stays at least, to answer clients that still connect.");

    public static final Key BUFFER_INITIAL_BYTES = size("buffers.first", 2 * KIB, 256, 1 * MIB, false,
        "Initial size of a ring buffer.");
    public static final Key BUFFER_MAX_BYTES = size("buffers.most", 16 * KIB, 1 * KIB, 16 * MIB, false,
        "Maximum size of a ring buffer; when it is full, the relay stops reading and TCP slows the sender.");

    public static final Key LOG_LEVEL = choice("log.level", "info", List.of("error", "warn", "info", "debug"),
        true,
        "Lowest level that is logged. Level debug logs every step of each message with its id.");
    public static final Key LOG_FORMAT = choice("log.form", "text", List.of("text", "json"), true,
        "Format of the lines: text for people, or one JSON object per line.");
    public static final Key LOG_QUEUE_LINES = count("log.queue", 4_096, 16, 1_000_000, false,
        "Lines that may wait to be written; more are dropped and counted, so that logging never blocks "
            + "the relay.");
    public static final Key LOG_MAX_LINES_PER_SECOND = count("log.flood_after", 20, 1, 1_000_000, true,
        "Lines of one event per second, at info and above; more are suppressed and counted in one line.");

    private OperatorKeys() {}

    /** Returns all keys in the order of the reference: by table, as declared here. */
    public static List<Key> all() {
        return List.copyOf(KEYS);
    }

    /** Returns the name of each table with its description. */
    public static Map<String, String> tables() {
        return TABLES;
    }

    private static Key count(String path, Integer defaultValue, long minimum, long maximum,
        boolean reloadable, String description) {
        return add(Key.number(path, ValueType.COUNT,
            defaultValue == null ? null : (Object) defaultValue.longValue(), minimum, maximum, reloadable,
            description));
    }

    private static Key duration(String path, long defaultMicros, long minimumMicros, long maximumMicros,
        boolean reloadable, String description) {
        return add(Key.number(path, ValueType.DURATION, defaultMicros, minimumMicros, maximumMicros,
            reloadable, description));
    }

    private static Key size(String path, long defaultBytes, long minimumBytes, long maximumBytes,
        boolean reloadable, String description) {
        return add(Key.number(path, ValueType.SIZE, defaultBytes, minimumBytes, maximumBytes, reloadable,
            description));
    }

    private static Key fraction(String path, double defaultValue, double minimum, double maximum,
        boolean reloadable, String description) {
        return add(Key.number(path, ValueType.FRACTION, defaultValue, minimum, maximum, reloadable,
            description));
    }

    private static Key choice(String path, String defaultValue, List<String> choices, boolean reloadable,
        String description) {
        return add(Key.choice(path, defaultValue, choices, reloadable, description));
    }

    private static Key add(Key key) {
        KEYS.add(key);
        return key;
    }
}
