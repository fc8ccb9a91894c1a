package yewpath.lab.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewpath.configuration.ConfigurationException;
import yewpath.configuration.FileSchema;
import yewpath.configuration.Key;
import yewpath.configuration.SettingValues;
import yewpath.configuration.TomlFile;
import yewpath.configuration.ValueType;
import yewpath.lab.policy.Policies;

/** A scenario file in TOML: defines its keys, checks it, and turns it into the scenarios of its runs. */
public final class ScenarioFile {
    /** In microseconds, the unit of all durations. */
    private static final long MILLISECOND = 1_000, SECOND = 1_000_000;
    private static final List<Key> KEYS = new ArrayList<>();
    private static final Map<String, String> TABLE_DESCRIPTIONS = new LinkedHashMap<>();
    /** By the path of a numeric key: sets its value in a scenario. Only these keys can be swept. */
    private static final Map<String, Setter> SETTERS = new LinkedHashMap<>();

    private interface Setter {
        void set(Scenario scenario, double value);
    }

    static {
        TABLE_DESCRIPTIONS.put("run", "What is simulated, and how often.");
        TABLE_DESCRIPTIONS.put("world",
            "Numbers of relays, destinations and endpoints, and the limits of a relay.");
        TABLE_DESCRIPTIONS.put("load", "What clients submit, and what they do after a rejection.");
        TABLE_DESCRIPTIONS.put("endpoint", "Each endpoint, and the rate limit of its destination.");
        TABLE_DESCRIPTIONS.put("network",
            "The network between clients, relays and endpoints, and the endpoint directory.");
    }

    private static final Key NAME = stringKey("run.name", "unnamed",
        "Name of the scenario, used in its results.");
    private static final Key POLICIES = register(
        Key.unbounded("run.policies", ValueType.STRING_LIST, List.of("logic"),
            "Delivery policies to run: " + String.join(", ", Policies.names()) + "."));
    private static final Key STRICT = register(Key.unbounded("run.strict", ValueType.BOOLEAN, false,
        "Whether the first violated rule ends a run and prints its trace."));

    static {
        countKey("run.seed", 1, 0, Long.MAX_VALUE >> 11,
            "Seed of the first repetition; each further one uses the next number.",
            (scenario, value) -> scenario.seed = (long) value);
        countKey("run.repeats", 1, 1, 10_000, "Number of seeds for each point of the sweeps.",
            (scenario, value) -> scenario.repeats = (int) value);
        durationKey("run.length", 30 * SECOND, 10 * MILLISECOND, 86_400 * SECOND,
            "How long clients submit messages.",
            (scenario, value) -> scenario.lengthMicros = (long) value);
        durationKey("run.warm", 0, 0, 86_400 * SECOND,
            "Warm-up: requests made before this time are not counted.",
            (scenario, value) -> scenario.runWarmUpMicros = (long) value);
        countKey("world.relays", 1, 1, 10_000, "Number of relays; all have the same settings.",
            (scenario, value) -> scenario.relayCount = (int) value);
        countKey("world.destinations", 10, 1, 1_000_000, "Number of destinations.",
            (scenario, value) -> scenario.destinationCount = (int) value);
        countKey("world.endpoints", 2, 1, 10_000, "Endpoints of each destination.",
            (scenario, value) -> scenario.endpointsPerDestination = (int) value);
        countKey("world.hold", 200, 1, 10_000_000, "Most messages that a relay holds at a time.",
            (scenario, value) -> scenario.maxOpenMessages = (int) value);
        countKey("world.slots", 64, 1, 1_000_000, "Most concurrent calls of a relay.",
            (scenario, value) -> scenario.maxConcurrentCalls = (int) value);
        countKey("world.tries", 8, 0, 1_000, "Most attempts of a message; 0 for no limit.",
            (scenario, value) -> scenario.maxAttempts = (int) value);
        fractionKey("load.rate", 50, 0, 10_000_000, "New requests per second over all clients.",
            (scenario, value) -> scenario.requestsPerSecond = value);
        fractionKey("load.popularity", 0, 0, 3,
            "Exponent of the Zipf distribution over destinations; 0 for a uniform one.",
            (scenario, value) -> scenario.zipfExponent = value);
        fractionKey("load.clump", 1, 1, 100_000, "Mean number of requests that arrive at the same time.",
            (scenario, value) -> scenario.meanArrivalBatchSize = value);
        countKey("load.retries", 5, 0, 1_000, "Most resubmissions of a client's request.",
            (scenario, value) -> scenario.maxClientRetries = (int) value);
        fractionKey("load.heeds", 1, 0, 1,
            "1: clients wait at least as long as a rejection asks them to; 0: they use load.pause only.",
            (scenario, value) -> scenario.clientsHonorRetryAfter = value >= 0.5);
        durationKey("load.pause", 500 * MILLISECOND, 1 * MILLISECOND, 600 * SECOND,
            "The clients' own delay before a resubmission, varied at random by up to half.",
            (scenario, value) -> scenario.clientRetryDelayMicros = (long) value);
        countKey("load.keys", 0, 0, 1_000_000,
            "Ordering keys of each destination; 0 for messages without keys.",
            (scenario, value) -> scenario.keysPerDestination = (int) value);
        durationKey("endpoint.service", 20 * MILLISECOND, 1, 600 * SECOND, "Mean service time of a call.",
            (scenario, value) -> scenario.meanServiceMicros = (long) value);
        fractionKey("endpoint.spread", 0.5, 0, 3, "Standard deviation of the logarithm of the service time.",
            (scenario, value) -> scenario.serviceSigma = value);
        countKey("endpoint.capacity", 8, 1, 1_000_000, "Calls that an endpoint serves concurrently.",
            (scenario, value) -> scenario.endpointCapacity = (int) value);
        countKey("endpoint.queue", 16, 0, 1_000_000,
            "Calls that may wait at an endpoint; further ones are rejected.",
            (scenario, value) -> scenario.endpointQueueCapacity = (int) value);
        fractionKey("endpoint.limit", 0, 0, 1e9,
            "Calls per second to a destination from all relays; 0 for no limit.",
            (scenario, value) -> scenario.callsPerSecondLimit = value);
        fractionKey("endpoint.limit_by_span", 0, 0, 1,
            "1: the limit counts by whole seconds; 0: it is a token bucket.",
            (scenario, value) -> scenario.fixedWindowLimit = value >= 0.5);
        fractionKey("endpoint.refused_count", 0, 0, 1,
            "1: rejected calls use up the limit, too; 0: they do not.",
            (scenario, value) -> scenario.rejectedCallsCount = value >= 0.5);
        durationKey("endpoint.limit_wait", 0, 0, 600 * SECOND,
            "Wait advertised to a call over the limit; 0 for none.",
            (scenario, value) -> scenario.limitRetryAfterMicros = (long) value);
        fractionKey("endpoint.cold_from", 0.2, 0.01, 1,
            "Share of the capacity that an endpoint has immediately after an outage.",
            (scenario, value) -> scenario.endpointWarmUpInitialShare = value);
        durationKey("endpoint.cold_for", 10 * SECOND, 0, 3_600 * SECOND,
            "Time until an endpoint has its full capacity after an outage; 0 for immediately.",
            (scenario, value) -> scenario.endpointWarmUpMicros = (long) value);
        fractionKey("endpoint.falls_at", 2, 0, 1_000,
            "Load at which an endpoint collapses while it warms up, as a multiple of its current capacity; "
                + "0 for never.",
            (scenario, value) -> scenario.collapseMultiple = value);
        durationKey("endpoint.falls_for", 2 * SECOND, 0, 3_600 * SECOND,
            "How long an endpoint rejects all calls after a collapse.",
            (scenario, value) -> scenario.collapseMicros = (long) value);
        durationKey("network.delay", 1 * MILLISECOND, 1, 10 * SECOND, "Mean one-way delay.",
            (scenario, value) -> scenario.networkDelayMicros = (long) value);
        fractionKey("network.spread", 0.2, 0, 3, "Standard deviation of the logarithm of the delay.",
            (scenario, value) -> scenario.networkDelaySigma = value);
        fractionKey("network.loss", 0, 0, 1, "Share of the answers that are lost.",
            (scenario, value) -> scenario.answerLossProbability = value);
        durationKey("network.handshake", 2 * MILLISECOND, 0, 10 * SECOND,
            "Additional delay of the first call on a new connection.",
            (scenario, value) -> scenario.handshakeMicros = (long) value);
        durationKey("network.connect_timeout", 1 * SECOND, 1 * MILLISECOND, 60 * SECOND,
            "Time-out of a connection attempt without an answer.",
            (scenario, value) -> scenario.connectTimeoutMicros = (long) value);
        durationKey("network.idle", 10 * SECOND, 1 * MILLISECOND, 3_600 * SECOND,
            "How long an idle connection stays open.",
            (scenario, value) -> scenario.idleConnectionTimeoutMicros = (long) value);
        durationKey("network.directory", 200 * MILLISECOND, 0, 60 * SECOND,
            "Delay until relays learn of a change in the endpoint list.",
            (scenario, value) -> scenario.directoryDelayMicros = (long) value);
    }

    // Keys of [[offering]] (message classes) and [[trouble]] (faults); their paths have no table.
    private static final Key CLASS_NAME = Key.unbounded("name", ValueType.STRING, null,
        "name of the message class");
    private static final Key CLASS_SEMANTICS = Key.choice("kind", "repeatable",
        List.of("repeatable", "tagged", "once-only"), false, "delivery semantics");
    private static final Key CLASS_ORDERED = Key.unbounded("ordered", ValueType.BOOLEAN, false,
        "whether messages with the same key are delivered one at a time");
    private static final Key CLASS_SHARE = Key.number("share", ValueType.FRACTION, 1.0, 0, 1e9, false,
        "weight of the class among all submitted messages");
    private static final Key CLASS_REVENUE = Key.number("revenue", ValueType.FRACTION, 1.0, 0, 1e9, false,
        "revenue of a message delivered on time");
    private static final Key CLASS_LATE_REVENUE = Key.number("late", ValueType.FRACTION, 0.3, 0, 1, false,
        "share of the revenue that is left at the expiry");
    private static final Key CLASS_ON_TIME = Key.number("agreed", ValueType.DURATION, 1 * SECOND,
        1 * MILLISECOND, 86_400 * SECOND,
        false,
        "delay up to which a delivery is on time");
    private static final Key CLASS_TIME_TO_LIVE = Key.number("expiry", ValueType.DURATION, 8 * SECOND,
        1 * MILLISECOND, 86_400 * SECOND,
        false,
        "time from the client's request to its expiry");
    private static final Key CLASS_DEDUPLICATION = Key.number("memory", ValueType.DURATION, 10 * SECOND, 0,
        86_400 * SECOND, false,
        "how long an endpoint recognizes a repeated message");
    private static final Key FAULT_TYPE = Key.choice("what", null,
        List.of("silent", "refuse", "vanish", "slow", "errors", "resets", "limit",
            "partition", "drain", "burst", "relay-kill", "relay-lost"),
        false, "type of the fault");
    private static final Key FAULT_START = Key.number("at", ValueType.DURATION, null, 0, 86_400 * SECOND,
        false,
        "start, from the beginning of the run");
    private static final Key FAULT_DURATION = Key.number("for", ValueType.DURATION, null, 1, 86_400 * SECOND,
        false,
        "duration");
    private static final Key FAULT_SHARE = Key.number("part", ValueType.FRACTION, 0.0, 0, 1, false,
        "share of the destinations or relays that are affected; at least one is");
    private static final Key FAULT_AMOUNT = Key.number("amount", ValueType.FRACTION, 1.0, 0, 1e6, false,
        "factor of slow, burst and limit; probability of errors and resets");

    private static final Map<String, List<Key>> TABLE_LISTS = new LinkedHashMap<>();

    static {
        TABLE_LISTS.put("offering",
            List.of(CLASS_NAME, CLASS_SEMANTICS, CLASS_ORDERED, CLASS_SHARE, CLASS_REVENUE,
                CLASS_LATE_REVENUE, CLASS_ON_TIME, CLASS_TIME_TO_LIVE, CLASS_DEDUPLICATION));
        TABLE_LISTS.put("trouble",
            List.of(FAULT_TYPE, FAULT_START, FAULT_DURATION, FAULT_SHARE, FAULT_AMOUNT));
    }

    private static final FileSchema SCHEMA = new FileSchema(KEYS, TABLE_DESCRIPTIONS, TABLE_LISTS, "sweep");

    private final SettingValues values;

    private ScenarioFile(SettingValues values) {
        this.values = values;
    }

    /**
     * Reads a scenario file.
     *
     * @throws ConfigurationException if the file cannot be read or is invalid; it names each error with its
     *     line
     */
    public static ScenarioFile read(String path) throws ConfigurationException {
        return new ScenarioFile(TomlFile.read(path, SCHEMA, ScenarioFile::checkConsistency));
    }

    /**
     * Parses the text of a scenario file.
     *
     * @param name name of the file, used in error messages
     * @throws ConfigurationException if the text is invalid; it names each error with its line
     */
    public static ScenarioFile parse(String name, String text) throws ConfigurationException {
        return new ScenarioFile(TomlFile.parse(name, text, SCHEMA, ScenarioFile::checkConsistency));
    }

    /**
     * Returns a description of all keys with their defaults and ranges, as the command {@code keys} prints
     * it.
     */
    public static String reference() {
        StringBuilder out = new StringBuilder();
        for (Key key : KEYS) {
            out.append(key.path).append("  (").append(key.formattedDefault()).append("; ").append(key.range())
                .append(")\n    ")
                .append(key.description).append('\n');
        }
        TABLE_LISTS.forEach((name, keys) -> {
            out.append("[[").append(name).append("]]\n");
            keys.forEach(key -> out.append("    ").append(key.path).append("  (")
                .append(key.defaultValue == null ? "needed"
                    : key.formattedDefault())
                .append("; ").append(key.range()).append(")  ").append(key.description).append('\n'));
        });
        return out.append(
            "[sweep]\n    \"load.rate\" = [50, 100]: values of any numeric key above, "
                + "times in microseconds; all combinations are run\n")
            .toString();
    }

    /** Returns the scenario without its sweeps, that is with the values of the tables. */
    public Scenario base() {
        Scenario scenario = new Scenario();
        scenario.name = values.string(NAME);
        scenario.policies = values.strings(POLICIES);
        scenario.strict = values.flag(STRICT);
        for (Key key : KEYS) {
            Setter setter = SETTERS.get(key.path);
            if (setter != null) {
                setter.set(scenario, ((Number) values.value(key)).doubleValue());
            }
        }
        List<Scenario.MessageClass> messageClasses = new ArrayList<>();
        for (SettingValues table : values.tables("offering")) {
            messageClasses.add(new Scenario.MessageClass(table.string(CLASS_NAME),
                table.string(CLASS_SEMANTICS), table.flag(CLASS_ORDERED),
                table.fraction(CLASS_SHARE), table.fraction(CLASS_REVENUE),
                table.fraction(CLASS_LATE_REVENUE), table.number(CLASS_ON_TIME),
                table.number(CLASS_TIME_TO_LIVE), table.number(CLASS_DEDUPLICATION)));
        }
        if (messageClasses.isEmpty()) {
            messageClasses
                .add(new Scenario.MessageClass("status", "repeatable", false, 1, 1, 0.3, 1 * SECOND,
                    8 * SECOND,
                    10 * SECOND));
        }
        scenario.messageClasses = List.copyOf(messageClasses);
        List<Scenario.Fault> faults = new ArrayList<>();
        for (SettingValues table : values.tables("trouble")) {
            faults.add(
                new Scenario.Fault(table.number(FAULT_START), table.number(FAULT_DURATION),
                    table.string(FAULT_TYPE), table.fraction(FAULT_SHARE),
                    table.fraction(FAULT_AMOUNT)));
        }
        scenario.faults = List.copyOf(faults);
        scenario.sweeps = values.freeNumbers();
        return scenario;
    }

    /** Returns the scenario at one point of its sweeps, which maps paths of numeric keys to values. */
    public Scenario atPoint(Map<String, Double> point) {
        Scenario scenario = base();
        point.forEach((path, value) -> SETTERS.get(path).set(scenario, value));
        return scenario;
    }

    /**
     * Returns all combinations of the swept values; the first sweep varies slowest. Without sweeps, returns a
     * single empty point.
     */
    public List<Map<String, Double>> points() {
        List<Map<String, Double>> points = new ArrayList<>(List.of(Map.of()));
        values.freeNumbers().forEach((path, sweptValues) -> {
            List<Map<String, Double>> extended = new ArrayList<>();
            for (Map<String, Double> point : points) {
                for (double value : sweptValues) {
                    Map<String, Double> next = new LinkedHashMap<>(point);
                    next.put(path, value);
                    extended.add(next);
                }
            }
            points.clear();
            points.addAll(extended);
        });
        return points;
    }

    /** Returns the minimum and maximum of each swept key, the ranges in which a search draws values. */
    public Map<String, double[]> ranges() {
        Map<String, double[]> ranges = new LinkedHashMap<>();
        values.freeNumbers().forEach((path, sweptValues) -> ranges.put(path, new double[]{
            sweptValues.stream().mapToDouble(value -> value).min().orElseThrow(),
            sweptValues.stream().mapToDouble(value -> value).max().orElseThrow()}));
        return ranges;
    }

    /** Returns whether the values of the key with this path are integers. */
    public static boolean isInteger(String path) {
        return KEYS.stream().anyMatch(key -> key.path.equals(path) && key.type != ValueType.FRACTION);
    }

    /**
     * Returns the text of a scenario file without sweeps for this scenario at a point and with these faults.
     */
    public String toToml(Map<String, Double> point, List<Scenario.Fault> faults) {
        StringBuilder out = new StringBuilder();
        String table = "";
        for (Key key : KEYS) {
            if (!key.table().equals(table)) {
                table = key.table();
                out.append(out.isEmpty() ? "" : "\n").append('[').append(table).append("]\n");
            }
            Double pointValue = point.get(key.path);
            Object value = pointValue == null ? values.value(key)
                : key.type == ValueType.FRACTION ? (Object) pointValue : (Object) Math.round(pointValue);
            out.append(key.path.substring(key.path.indexOf('.') + 1)).append(" = ")
                .append(toToml(key, value)).append('\n');
        }
        for (SettingValues messageClass : values.tables("offering")) {
            appendTable(out, "offering", TABLE_LISTS.get("offering"), messageClass::value);
        }
        for (Scenario.Fault fault : faults) {
            Map<Key, Object> entries = Map.of(FAULT_TYPE, fault.type(), FAULT_START, fault.startMicros(),
                FAULT_DURATION, fault.durationMicros(),
                FAULT_SHARE,
                fault.share(), FAULT_AMOUNT, fault.amount());
            appendTable(out, "trouble", TABLE_LISTS.get("trouble"), entries::get);
        }
        return out.toString();
    }

    private static void appendTable(StringBuilder out, String name, List<Key> keys,
        java.util.function.Function<Key, Object> value) {
        out.append("\n[[").append(name).append("]]\n");
        keys.forEach(
            key -> out.append(key.path).append(" = ").append(toToml(key, value.apply(key))).append('\n'));
    }

    private static String toToml(Key key, Object value) {
        if (key.type == ValueType.STRING_LIST) {
            return ((List<?>) value).stream().map(element -> '"' + element.toString() + '"').toList()
                .toString();
        }
        // Microseconds avoid rounding: the file that is read back must give the same run.
        return key.type == ValueType.DURATION ? "\"" + value + " us\"" : key.type.format(value);
    }

    /** Checks what concerns several keys: the sweeps, the policies and the times of message classes. */
    private static void checkConsistency(SettingValues all, TomlFile.ErrorReporter errors) {
        all.freeNumbers().forEach((path, swept) -> {
            Key key = KEYS.stream().filter(candidate -> candidate.path.equals(path)).findFirst().orElse(null);
            if (key == null || !SETTERS.containsKey(path)) {
                errors.report(0,
                    "sweep." + path + ": no numeric key of that name; yewpath-lab keys lists the keys");
                return;
            }
            for (double value : swept) {
                if (value < key.minimum || value > key.maximum) {
                    errors.report(0, "sweep." + path + " should be " + key.range() + "; it is " + value);
                }
            }
        });
        for (String policy : all.strings(POLICIES)) {
            if (!Policies.names().contains(policy)) {
                errors.report(all.line(POLICIES), "run.policies: unknown policy " + policy + "; known are "
                    + String.join(", ", Policies.names()));
            }
        }
        if (all.strings(POLICIES).isEmpty()) {
            errors.report(all.line(POLICIES), "run.policies must name at least one policy");
        }
        for (SettingValues table : all.tables("offering")) {
            if (table.number(CLASS_ON_TIME) > table.number(CLASS_TIME_TO_LIVE)) {
                errors.report(Math.max(table.line(CLASS_ON_TIME), table.line(CLASS_TIME_TO_LIVE)),
                    "offering " + table.string(CLASS_NAME) + ": agreed exceeds expiry");
            }
        }
    }

    private static Key register(Key key) {
        KEYS.add(key);
        return key;
    }

    private static Key stringKey(String path, String defaultValue, String description) {
        return register(Key.unbounded(path, ValueType.STRING, defaultValue, description));
    }

    private static void countKey(String path, long defaultValue, long minimum, long maximum,
        String description,
        Setter setter) {
        register(Key.number(path, ValueType.COUNT, defaultValue, minimum, maximum, false, description));
        SETTERS.put(path, setter);
    }

    private static void durationKey(String path, long defaultValue, long minimum, long maximum,
        String description,
        Setter setter) {
        register(Key.number(path, ValueType.DURATION, defaultValue, minimum, maximum, false, description));
        SETTERS.put(path, setter);
    }

    private static void fractionKey(String path, double defaultValue, double minimum, double maximum,
        String description,
        Setter setter) {
        register(Key.number(path, ValueType.FRACTION, defaultValue, minimum, maximum, false, description));
        SETTERS.put(path, setter);
    }
}
