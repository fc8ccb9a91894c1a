package yewpath.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewpath.configuration.Key;
import yewpath.configuration.ValueType;

/** All keys of the operator's file. A subsystem adds its table and keys here, and reads them from {@link OperatorSettings}. */
public final class OperatorKeys {
    private static final long MS = 1_000, S = 1_000_000, KIB = 1 << 10, MIB = 1 << 20;
    private static final List<Key> ALL = new ArrayList<>();
    private static final Map<String, String> TABLES = new LinkedHashMap<>();

    static {
        TABLES.put("clients", "The door: connections and requests of clients.");
        TABLES.put("endpoints", "Connections to endpoints.");
        TABLES.put("discovery", "Following the list of endpoints.");
        TABLES.put("notices", "Telling the platform of envelopes that end undelivered.");
        TABLES.put("ledger", "The file that outlives the process.");
        TABLES.put("closing", "The last seconds, from SIGTERM on.");
        TABLES.put("buffers", "Ring buffers, one a connection and direction.");
        TABLES.put("log", "What the relay says of itself, one line an event.");
    }

    public static final Key CLIENT_CONNECTIONS = count("clients.connections", null, 1, 1_000_000, false,
        "Connections of clients held at once; derived from the descriptors and the heap. One more closes the one missed least.");
    public static final Key CLIENT_ACCEPT_AHEAD = count("clients.accept_ahead", 12, 1, 10_000, false,
        "Connections accepted past that number, so that room can be made for them.");
    public static final Key CLIENT_BACKLOG = count("clients.backlog", 512, 1, 65_535, false,
        "Connections that the system may complete before they are accepted.");
    public static final Key CLIENT_MAX_HEAD_BYTES = size("clients.head_most", 8 * KIB, 256, 1 * MIB, false,
        "The longest head of a request or an answer; a longer request gets 431.");
    public static final Key CLIENT_MAX_BODY_BYTES = size("clients.body_most", 64 * KIB, 1, 16 * MIB, false,
        "The longest body of a request or an answer; a longer request gets 413.");
    public static final Key CLIENT_MAX_ID_LENGTH = count("clients.id_most", 128, 8, 1_024, true,
        "The longest id of an envelope, in characters; a longer one gets 400.");
    public static final Key CLIENT_REQUEST_TIMEOUT = span("clients.request_within", 2_300 * MS, 50 * MS,
        2_800 * MS,
        true,
        "Time for a request from its first byte, and for the first one from connecting, before it gets 408.");
    public static final Key CLIENT_IDLE_TIMEOUT = span("clients.idle_for", 10 * S, 50 * MS, 3_600 * S, true,
        "How long a connection may rest after an answer before it is closed.");
    public static final Key CLIENT_FIRST_BYTE_TIMEOUT = span("clients.silent_for", 2_100 * MS, 50 * MS,
        2_800 * MS, true,
        "How long a connection may say nothing from the start before it is closed.");
    public static final Key CLIENT_EVICTABLE_IDLE_TIME = span("clients.rest_owed", 2 * S, 0, 3_600 * S, true,
        "A connection quiet for longer after an answer is the first to go where room is short.");
    public static final Key CLIENT_EVICTABLE_SILENT_TIME = span("clients.speech_owed", 100 * MS, 0,
        2_800 * MS, true,
        "A connection silent for longer from the start is the first to go where room is short.");
    public static final Key CLIENT_LINGER_TIME = span("clients.linger_for", 500 * MS, 10 * MS, 2 * S, true,
        "How long a refused client is read on, so that it sees its answer.");
    public static final Key CLIENT_MAX_LINGER_BYTES = size("clients.linger_most", 256 * KIB, 1 * KIB,
        64 * MIB,
        true,
        "How much of a refused client is read on.");
    public static final Key CLIENT_SWEEP_INTERVAL = span("clients.sweep_every", 200 * MS, 10 * MS, 2 * S,
        true,
        "How often connections are looked through for those whose time is up.");

    public static final Key ENDPOINT_CONNECTIONS = count("endpoints.connections", null, 1, 1_000_000, true,
        "Connections to endpoints held at once; derived from the descriptors. One more closes the one idle longest.");
    public static final Key ENDPOINT_RESPONSE_COMPLETION_TIMEOUT = span("endpoints.answer_rest", 300 * MS,
        10 * MS, 60 * S, true,
        "How long an answer that has begun may take to be whole.");

    public static final Key DISCOVERY_SILENCE_TIMEOUT = span("discovery.silence", 3 * S, 100 * MS, 600 * S,
        true,
        "A watch that says nothing for so long is taken up anew.");
    public static final Key DISCOVERY_MAX_LINE_BYTES = size("discovery.line_most", 1 * MIB, 1 * KIB,
        256 * MIB, true,
        "The longest line of a watch, which may be the whole list.");
    public static final Key DISCOVERY_MIN_RETRY_DELAY = span("discovery.retry_first", 100 * MS, 1 * MS,
        60 * S, true,
        "The pause before a watch or notice that failed is tried again, the first time; it doubles from there.");
    public static final Key DISCOVERY_MAX_RETRY_DELAY = span("discovery.retry_most", 1 * S, 1 * MS, 600 * S,
        true,
        "The longest such pause.");

    public static final Key NOTICE_TIMEOUT = span("notices.within", 150 * MS, 1 * MS, 60 * S, true,
        "How long the platform may take to answer a notice before it goes again; longer after each failure.");
    public static final Key NOTICE_MAX_BATCH_SIZE = count("notices.at_once", 64, 1, 10_000, true,
        "Notices in one request at most.");

    public static final Key LEDGER_LIVE_FRACTION = part("ledger.live_part", 0.40, 0.01, 0.49, false,
        "The part of disk_mb that live envelopes may fill; past it new ones get 503.");
    public static final Key LEDGER_COMPACTION_FRACTION = part("ledger.anew_part", 0.55, 0.02, 0.95, false,
        "The part of disk_mb at which the file is written anew; with live_part it must not exceed 0.98, since both files are there then.");
    public static final Key LEDGER_RESERVED_BYTES = size("ledger.set_aside", 512, 256, 64 * KIB, false,
        "Room set aside for each envelope's shots and end.");

    public static final Key SHUTDOWN_ATTEMPT_PERIOD = span("closing.shots_for", 1_800 * MS, 50 * MS,
        3_200 * MS, true,
        "How long after SIGTERM shots still begin.");
    public static final Key SHUTDOWN_MAX_DURATION = span("closing.most", 3_200 * MS, 100 * MS, 3_300 * MS,
        true,
        "How long after SIGTERM the relay waits for calls that are out; it ends some 0.2 s later at most.");
    public static final Key SHUTDOWN_MIN_DURATION = span("closing.least", 500 * MS, 50 * MS, 3_200 * MS, true,
        "How long it stays at least, to answer clients that still connect.");

    public static final Key BUFFER_INITIAL_BYTES = size("buffers.first", 2 * KIB, 256, 1 * MIB, false,
        "The size a ring starts with.");
    public static final Key BUFFER_MAX_BYTES = size("buffers.most", 16 * KIB, 1 * KIB, 16 * MIB, false,
        "The size a ring may grow to; past it nothing is read and TCP pushes back.");

    public static final Key LOG_LEVEL = word("log.level", "info", List.of("error", "warn", "info", "debug"),
        true,
        "What is written: events of this level and above. At debug an envelope's whole life is, by its id.");
    public static final Key LOG_FORMAT = word("log.form", "text", List.of("text", "json"), true,
        "Lines for reading, or one JSON object a line.");
    public static final Key LOG_QUEUE_LINES = count("log.queue", 4_096, 16, 1_000_000, false,
        "Lines that may wait to be written; past it they are dropped and counted, so that logging never holds up the relay.");
    public static final Key LOG_MAX_LINES_PER_SECOND = count("log.flood_after", 20, 1, 1_000_000, true,
        "Lines of one event a second, at info and above; what is over is counted and told in one line.");

    private OperatorKeys() {}

    /** In the order of the reference: by table, as declared here. */
    public static List<Key> all() {
        return List.copyOf(ALL);
    }

    /** Names and what they are for. */
    public static Map<String, String> tables() {
        return TABLES;
    }

    private static Key count(String path, Integer standard, long least, long most, boolean live,
        String sentence) {
        return add(Key.number(path, ValueType.COUNT, standard == null ? null : (Object) standard.longValue(),
            least, most, live,
            sentence));
    }

    private static Key span(String path, long standard, long least, long most, boolean live,
        String sentence) {
        return add(Key.number(path, ValueType.DURATION, standard, least, most, live, sentence));
    }

    private static Key size(String path, long standard, long least, long most, boolean live,
        String sentence) {
        return add(Key.number(path, ValueType.SIZE, standard, least, most, live, sentence));
    }

    private static Key part(String path, double standard, double least, double most, boolean live,
        String sentence) {
        return add(Key.number(path, ValueType.FRACTION, standard, least, most, live, sentence));
    }

    private static Key word(String path, String standard, List<String> words, boolean live, String sentence) {
        return add(Key.choice(path, standard, words, live, sentence));
    }

    private static Key add(Key key) {
        ALL.add(key);
        return key;
    }
}
