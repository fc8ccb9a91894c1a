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

/** Scenario files: their keys, and how a file becomes the runs it asks for. */
public final class ScenarioFile {
    private static final long MS = 1_000, S = 1_000_000;
    private static final List<Key> KEYS = new ArrayList<>();
    private static final Map<String, String> TABLES = new LinkedHashMap<>();
    /** How each number of a scenario is set, so that sweeps reach it. */
    private static final Map<String, Setter> SETTERS = new LinkedHashMap<>();

    private interface Setter {
        void set(Scenario s, double figure);
    }

    static {
        TABLES.put("run", "What is played how often.");
        TABLES.put("world", "Sizes.");
        TABLES.put("load", "What clients hand in, and how they take a refusal.");
        TABLES.put("endpoint", "Each endpoint, and the limit of its destination.");
        TABLES.put("network", "The way between relays, endpoints and clients; the directory.");
    }

    private static final Key NAME = text("run.name", "unnamed", "Its name, as results bear it.");
    private static final Key POLICIES = add(
        Key.unbounded("run.policies", ValueType.STRING_LIST, List.of("logic"),
            "Who decides: " + String.join(", ", Policies.names()) + "."));
    private static final Key STRICT = add(Key.unbounded("run.strict", ValueType.BOOLEAN, false,
        "Whether the first broken rule ends a run, with its trace."));

    static {
        count("run.seed", 1, 0, Long.MAX_VALUE >> 11, "Of the first repeat; the next takes the next.",
            (s, x) -> s.seed = (long) x);
        count("run.repeats", 1, 1, 10_000, "Seeds for each point.", (s, x) -> s.repeats = (int) x);
        span("run.length", 30 * S, 10 * MS, 86_400 * S, "How long clients hand in.",
            (s, x) -> s.lengthMicros = (long) x);
        span("run.warm", 0, 0, 86_400 * S, "What is handed in before is not counted.",
            (s, x) -> s.runWarmUpMicros = (long) x);
        count("world.relays", 1, 1, 10_000, "Relays, each alike.", (s, x) -> s.relayCount = (int) x);
        count("world.destinations", 10, 1, 1_000_000, "Destinations.",
            (s, x) -> s.destinationCount = (int) x);
        count("world.endpoints", 2, 1, 10_000, "Endpoints of each.",
            (s, x) -> s.endpointsPerDestination = (int) x);
        count("world.hold", 200, 1, 10_000_000, "Envelopes a relay holds at most.",
            (s, x) -> s.maxOpenMessages = (int) x);
        count("world.slots", 64, 1, 1_000_000, "Calls a relay may have out.",
            (s, x) -> s.maxConcurrentCalls = (int) x);
        count("world.tries", 8, 0, 1_000, "Shots of an envelope at most; 0 for any number.",
            (s, x) -> s.maxAttempts = (int) x);
        part("load.rate", 50, 0, 10_000_000, "Wishes a second over all clients.",
            (s, x) -> s.requestsPerSecond = x);
        part("load.popularity", 0, 0, 3, "Zipf's exponent of destinations; 0 for all alike.",
            (s, x) -> s.zipfExponent = x);
        part("load.clump", 1, 1, 100_000, "Mean number that come at once.",
            (s, x) -> s.meanArrivalBatchSize = x);
        count("load.retries", 5, 0, 1_000, "How often a client hands in again at most.",
            (s, x) -> s.maxClientRetries = (int) x);
        part("load.heeds", 1, 0, 1, "1: clients heed a told pause; 0: they come back after their own.",
            (s, x) -> s.clientsHonorRetryAfter = x >= 0.5);
        span("load.pause", 500 * MS, 1 * MS, 600 * S, "Their own pause, spread by half.",
            (s, x) -> s.clientRetryDelayMicros = (long) x);
        count("load.keys", 0, 0, 1_000_000, "Keys of ordered envelopes a destination; 0 for none.",
            (s, x) -> s.keysPerDestination = (int) x);
        span("endpoint.service", 20 * MS, 1, 600 * S, "Mean service time.",
            (s, x) -> s.meanServiceMicros = (long) x);
        part("endpoint.spread", 0.5, 0, 3, "Sigma of its logarithm.", (s, x) -> s.serviceSigma = x);
        count("endpoint.capacity", 8, 1, 1_000_000, "Calls served at once.",
            (s, x) -> s.endpointCapacity = (int) x);
        count("endpoint.queue", 16, 0, 1_000_000, "Calls that wait; one more is refused.",
            (s, x) -> s.endpointQueueCapacity = (int) x);
        part("endpoint.limit", 0, 0, 1e9, "Calls a second to a destination, from all relays; 0 for none.",
            (s, x) -> s.callsPerSecondLimit = x);
        part("endpoint.limit_by_span", 0, 0, 1, "1: counted by whole seconds; 0: a bucket.",
            (s, x) -> s.fixedWindowLimit = x >= 0.5);
        part("endpoint.refused_count", 0, 0, 1, "1: refused calls use up the limit, too.",
            (s, x) -> s.rejectedCallsCount = x >= 0.5);
        span("endpoint.limit_wait", 0, 0, 600 * S, "The wait told to a call over the limit.",
            (s, x) -> s.limitRetryAfterMicros = (long) x);
        part("endpoint.cold_from", 0.2, 0.01, 1, "Part of the capacity just after a return.",
            (s, x) -> s.endpointWarmUpInitialShare = x);
        span("endpoint.cold_for", 10 * S, 0, 3_600 * S, "Until all of it is there; 0 for at once.",
            (s, x) -> s.endpointWarmUpMicros = (long) x);
        part("endpoint.falls_at", 2, 0, 1_000,
            "Offered so many times what it bears while cold it falls over; 0 for never.",
            (s, x) -> s.collapseMultiple = x);
        span("endpoint.falls_for", 2 * S, 0, 3_600 * S, "How long it then refuses.",
            (s, x) -> s.collapseMicros = (long) x);
        span("network.delay", 1 * MS, 1, 10 * S, "One way.", (s, x) -> s.networkDelayMicros = (long) x);
        part("network.spread", 0.2, 0, 3, "Sigma of its logarithm.", (s, x) -> s.networkDelaySigma = x);
        part("network.loss", 0, 0, 1, "Part of the answers that get lost.",
            (s, x) -> s.answerLossProbability = x);
        span("network.handshake", 2 * MS, 0, 10 * S, "What a new connection costs beside the way.",
            (s, x) -> s.handshakeMicros = (long) x);
        span("network.connect_timeout", 1 * S, 1 * MS, 60 * S, "When a silent connect is given up.",
            (s, x) -> s.connectTimeoutMicros = (long) x);
        span("network.idle", 10 * S, 1 * MS, 3_600 * S, "How long a connection may lie idle.",
            (s, x) -> s.idleConnectionTimeoutMicros = (long) x);
        span("network.directory", 200 * MS, 0, 60 * S, "How late relays hear of a change.",
            (s, x) -> s.directoryDelayMicros = (long) x);
    }

    // Of [[offering]] and [[trouble]]; their paths have no table.
    private static final Key O_NAME = Key.unbounded("name", ValueType.STRING, null, "its name");
    private static final Key O_KIND = Key.choice("kind", "repeatable",
        List.of("repeatable", "tagged", "once-only"), false, "how it may be repeated");
    private static final Key O_ORDERED = Key.unbounded("ordered", ValueType.BOOLEAN, false,
        "one at a time by key");
    private static final Key O_SHARE = Key.number("share", ValueType.FRACTION, 1.0, 0, 1e9, false,
        "its part of the load");
    private static final Key O_REVENUE = Key.number("revenue", ValueType.FRACTION, 1.0, 0, 1e9, false,
        "what it is worth in time");
    private static final Key O_LATE = Key.number("late", ValueType.FRACTION, 0.3, 0, 1, false,
        "the part of that at its expiry");
    private static final Key O_AGREED = Key.number("agreed", ValueType.DURATION, 1 * S, 1 * MS, 86_400 * S,
        false,
        "its agreed time");
    private static final Key O_EXPIRY = Key.number("expiry", ValueType.DURATION, 8 * S, 1 * MS, 86_400 * S,
        false,
        "its expiry");
    private static final Key O_MEMORY = Key.number("memory", ValueType.DURATION, 10 * S, 0, 86_400 * S, false,
        "how long a repeat is known");
    private static final Key T_WHAT = Key.choice("what", null,
        List.of("silent", "refuse", "vanish", "slow", "errors", "resets", "limit",
            "partition", "drain", "burst", "relay-kill", "relay-lost"),
        false, "what happens");
    private static final Key T_AT = Key.number("at", ValueType.DURATION, null, 0, 86_400 * S, false,
        "when it begins");
    private static final Key T_FOR = Key.number("for", ValueType.DURATION, null, 1, 86_400 * S, false,
        "how long it lasts");
    private static final Key T_PART = Key.number("part", ValueType.FRACTION, 0.0, 0, 1, false,
        "of destinations or relays; one at least");
    private static final Key T_AMOUNT = Key.number("amount", ValueType.FRACTION, 1.0, 0, 1e6, false,
        "a factor or part, by kind");

    private static final Map<String, List<Key>> LISTS = new LinkedHashMap<>();

    static {
        LISTS.put("offering",
            List.of(O_NAME, O_KIND, O_ORDERED, O_SHARE, O_REVENUE, O_LATE, O_AGREED, O_EXPIRY, O_MEMORY));
        LISTS.put("trouble", List.of(T_WHAT, T_AT, T_FOR, T_PART, T_AMOUNT));
    }

    private static final FileSchema SHAPE = new FileSchema(KEYS, TABLES, LISTS, "sweep");

    private final SettingValues values;

    private ScenarioFile(SettingValues values) {
        this.values = values;
    }

    public static ScenarioFile read(String path) throws ConfigurationException {
        return new ScenarioFile(TomlFile.read(path, SHAPE, ScenarioFile::together));
    }

    public static ScenarioFile parse(String name, String text) throws ConfigurationException {
        return new ScenarioFile(TomlFile.parse(name, text, SHAPE, ScenarioFile::together));
    }

    /** The keys with their meaning, for whoever writes a scenario. */
    public static String reference() {
        StringBuilder out = new StringBuilder();
        for (Key key : KEYS) {
            out.append(key.path).append("  (").append(key.formattedDefault()).append("; ").append(key.range())
                .append(")\n    ")
                .append(key.description).append('\n');
        }
        LISTS.forEach((name, keys) -> {
            out.append("[[").append(name).append("]]\n");
            keys.forEach(key -> out.append("    ").append(key.path).append("  (")
                .append(key.defaultValue == null ? "needed"
                    : key.formattedDefault())
                .append("; ").append(key.range()).append(")  ").append(key.description).append('\n'));
        });
        return out.append(
            "[sweep]\n    \"load.rate\" = [50, 100]: any number above, times in microseconds; all are combined\n")
            .toString();
    }

    /** The scenario with no sweep applied. */
    public Scenario base() {
        Scenario s = new Scenario();
        s.name = values.string(NAME);
        s.policies = values.strings(POLICIES);
        s.strict = values.flag(STRICT);
        for (Key key : KEYS) {
            Setter setter = SETTERS.get(key.path);
            if (setter != null) {
                setter.set(s, ((Number) values.value(key)).doubleValue());
            }
        }
        List<Scenario.MessageClass> offerings = new ArrayList<>();
        for (SettingValues o : values.tables("offering")) {
            offerings.add(new Scenario.MessageClass(o.string(O_NAME), o.string(O_KIND), o.flag(O_ORDERED),
                o.fraction(O_SHARE), o.fraction(O_REVENUE),
                o.fraction(O_LATE), o.number(O_AGREED), o.number(O_EXPIRY), o.number(O_MEMORY)));
        }
        if (offerings.isEmpty()) {
            offerings
                .add(new Scenario.MessageClass("status", "repeatable", false, 1, 1, 0.3, 1 * S, 8 * S,
                    10 * S));
        }
        s.messageClasses = List.copyOf(offerings);
        List<Scenario.Fault> troubles = new ArrayList<>();
        for (SettingValues t : values.tables("trouble")) {
            troubles.add(
                new Scenario.Fault(t.number(T_AT), t.number(T_FOR), t.string(T_WHAT), t.fraction(T_PART),
                    t.fraction(T_AMOUNT)));
        }
        s.faults = List.copyOf(troubles);
        s.sweeps = values.freeNumbers();
        return s;
    }

    /** The scenario at one point of its sweeps. */
    public Scenario atPoint(Map<String, Double> point) {
        Scenario s = base();
        point.forEach((path, figure) -> SETTERS.get(path).set(s, figure));
        return s;
    }

    /** All points, the first sweep varying slowest; one without entries where nothing is swept. */
    public List<Map<String, Double>> points() {
        List<Map<String, Double>> points = new ArrayList<>(List.of(Map.of()));
        values.freeNumbers().forEach((path, figures) -> {
            List<Map<String, Double>> more = new ArrayList<>();
            for (Map<String, Double> point : points) {
                for (double figure : figures) {
                    Map<String, Double> next = new LinkedHashMap<>(point);
                    next.put(path, figure);
                    more.add(next);
                }
            }
            points.clear();
            points.addAll(more);
        });
        return points;
    }

    /** The least and most of each swept number, within which a search may draw. */
    public Map<String, double[]> ranges() {
        Map<String, double[]> ranges = new LinkedHashMap<>();
        values.freeNumbers().forEach((path, figures) -> ranges.put(path, new double[]{
            figures.stream().mapToDouble(x -> x).min().orElseThrow(),
            figures.stream().mapToDouble(x -> x).max().orElseThrow()}));
        return ranges;
    }

    /** Whether a number of this name is a whole one. */
    public static boolean isInteger(String path) {
        return KEYS.stream().anyMatch(key -> key.path.equals(path) && key.type != ValueType.FRACTION);
    }

    /** The file that says this scenario at a point and with these troubles, without its sweeps. */
    public String toToml(Map<String, Double> point, List<Scenario.Fault> troubles) {
        StringBuilder out = new StringBuilder();
        String table = "";
        for (Key key : KEYS) {
            if (!key.table().equals(table)) {
                table = key.table();
                out.append(out.isEmpty() ? "" : "\n").append('[').append(table).append("]\n");
            }
            Double figure = point.get(key.path);
            Object value = figure == null ? values.value(key)
                : key.type == ValueType.FRACTION ? (Object) figure : (Object) Math.round(figure);
            out.append(key.path.substring(key.path.indexOf('.') + 1)).append(" = ")
                .append(written(key, value)).append('\n');
        }
        for (SettingValues offering : values.tables("offering")) {
            entry(out, "offering", LISTS.get("offering"), offering::value);
        }
        for (Scenario.Fault t : troubles) {
            Map<Key, Object> told = Map.of(T_WHAT, t.type(), T_AT, t.startMicros(), T_FOR, t.durationMicros(),
                T_PART,
                t.share(), T_AMOUNT, t.amount());
            entry(out, "trouble", LISTS.get("trouble"), told::get);
        }
        return out.toString();
    }

    private static void entry(StringBuilder out, String name, List<Key> keys,
        java.util.function.Function<Key, Object> value) {
        out.append("\n[[").append(name).append("]]\n");
        keys.forEach(
            key -> out.append(key.path).append(" = ").append(written(key, value.apply(key))).append('\n'));
    }

    private static String written(Key key, Object value) {
        if (key.type == ValueType.STRING_LIST) {
            return ((List<?>) value).stream().map(one -> '"' + one.toString() + '"').toList().toString();
        }
        // In its smallest unit, so that nothing is rounded: the day must be the same day.
        return key.type == ValueType.DURATION ? "\"" + value + " us\"" : key.type.format(value);
    }

    private static void together(SettingValues all, TomlFile.ErrorReporter fault) {
        all.freeNumbers().forEach((path, figures) -> {
            Key key = KEYS.stream().filter(k -> k.path.equals(path)).findFirst().orElse(null);
            if (key == null || !SETTERS.containsKey(path)) {
                fault.report(0, "sweep." + path + ": no number of that name");
                return;
            }
            for (double figure : figures) {
                if (figure < key.minimum || figure > key.maximum) {
                    fault.report(0, "sweep." + path + " should be " + key.range() + "; it is " + figure);
                }
            }
        });
        for (String policy : all.strings(POLICIES)) {
            if (!Policies.names().contains(policy)) {
                fault.report(all.line(POLICIES), "run.policies: no policy " + policy + "; there are "
                    + String.join(", ", Policies.names()));
            }
        }
        if (all.strings(POLICIES).isEmpty()) {
            fault.report(all.line(POLICIES), "run.policies: at least one should be named");
        }
        for (SettingValues o : all.tables("offering")) {
            if (o.number(O_AGREED) > o.number(O_EXPIRY)) {
                fault.report(Math.max(o.line(O_AGREED), o.line(O_EXPIRY)),
                    "offering " + o.string(O_NAME) + ": agreed exceeds expiry");
            }
        }
    }

    private static Key add(Key key) {
        KEYS.add(key);
        return key;
    }

    private static Key text(String path, String standard, String sentence) {
        return add(Key.unbounded(path, ValueType.STRING, standard, sentence));
    }

    private static void count(String path, long standard, long least, long most, String sentence,
        Setter setter) {
        add(Key.number(path, ValueType.COUNT, standard, least, most, false, sentence));
        SETTERS.put(path, setter);
    }

    private static void span(String path, long standard, long least, long most, String sentence,
        Setter setter) {
        add(Key.number(path, ValueType.DURATION, standard, least, most, false, sentence));
        SETTERS.put(path, setter);
    }

    private static void part(String path, double standard, double least, double most, String sentence,
        Setter setter) {
        add(Key.number(path, ValueType.FRACTION, standard, least, most, false, sentence));
        SETTERS.put(path, setter);
    }
}
