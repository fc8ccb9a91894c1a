package yewpath;

import static org.testng.Assert.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays the scenario files; their notation is in src/test/resources/scenarios/README.md. */
public final class ScenarioTest {
    private static final Path FOLDER = Path.of("src/test/resources/scenarios");
    private static final List<String> OUTCOMES = List.of("fulfilled", "error", "full", "timeout", "unreached",
        "broken", "cancelled", "moot", "stale");

    @DataProvider
    public Object[][] scenarios() throws IOException {
        try (Stream<Path> files = Files.list(FOLDER)) {
            return files.filter(f -> f.toString().endsWith(".txt")).sorted().map(f -> new Object[]{f})
                .toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "scenarios")
    public void plays(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        Player player = new Player();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).replaceFirst("#.*", "").strip();
            try {
                if (!line.isEmpty()) {
                    player.play(line.split("\\s+"));
                }
            } catch (RuntimeException | AssertionError e) {
                fail(file + ":" + (i + 1) + ": " + line + ": " + e.getMessage() + "; done so far "
                    + player.acts, e);
            }
        }
        if (player.checks == 0) {
            fail(file + " checks nothing");
        }
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void refusesAnUnknownWord() {
        new Player().play(new String[]{"offring", "a"});
    }

    private static final class Player implements PolicyActions {
        final PolicySettings settings = new PolicySettings();
        final List<String> acts = new ArrayList<>();
        private final List<String> offerings = new ArrayList<>();
        private final List<String> kinds = new ArrayList<>();
        private final Map<String, Integer> endpoints = new HashMap<>();
        private final Map<String, Integer> destinations = new HashMap<>();
        private final Map<String, Integer> keys = new HashMap<>();
        private final Map<Integer, String> endpointNames = new HashMap<>();
        private final ArrayDeque<Integer> forgotten = new ArrayDeque<>();
        private final Map<Integer, Integer> shots = new HashMap<>();
        private final Map<Integer, Integer> shotAt = new HashMap<>();
        private final Map<Integer, Long> sentAt = new HashMap<>();
        private final TreeSet<Long> alarms = new TreeSet<>();
        private DeliveryPolicy logic;
        private long now;
        private long seed = 1;
        int checks;

        Player() {
            settings.relayCount = 1;
            settings.maxConcurrentCalls = 8;
            settings.maxOpenMessages = 200;
            settings.maxAttempts = 6;
            settings.warmUpInitialShare = 0.2;
            settings.warmUpMicros = 10_000_000;
            settings.collapseMultiple = 2;
            settings.collapseWindowMicros = 2_000_000;
            settings.listReportsRate = true;
        }

        void play(String[] w) {
            Map<String, String> named = new HashMap<>();
            for (String word : w) {
                int equals = word.indexOf('=');
                if (equals > 0) {
                    named.put(word.substring(0, equals), word.substring(equals + 1));
                }
            }
            switch (w[0]) {
                case "relay" -> relay(named);
                case "offering" -> offering(w, named);
                case "kind" -> kind(w);
                case "expect", "never" -> {
                    checks++;
                    String act = String.join(" ", List.of(w).subList(1, w.length));
                    boolean seen = acts.stream().anyMatch(a -> a.equals(act) || a.startsWith(act + " "));
                    if (seen != w[0].equals("expect")) {
                        throw new AssertionError(seen ? "happened" : "did not happen");
                    }
                }
                case "count", "most", "least" -> {
                    checks++;
                    String act = String.join(" ", List.of(w).subList(2, w.length));
                    long n = acts.stream().filter(a -> a.equals(act) || a.startsWith(act + " ")).count();
                    long wanted = Long.parseLong(w[1]);
                    if (w[0].equals("most") ? n > wanted : w[0].equals("least") ? n < wanted : n != wanted) {
                        throw new AssertionError("happened " + n + " times");
                    }
                }
                case "keys" -> {
                    checks++;
                    if (logic.trackedKeyCount() != Integer.parseInt(w[1])) {
                        throw new AssertionError(logic.trackedKeyCount() + " are kept");
                    }
                }
                case "mark" -> acts.clear();
                default -> event(w, named);
            }
        }

        private void relay(Map<String, String> named) {
            named.forEach((key, value) -> {
                switch (key) {
                    case "relays" -> settings.relayCount = Integer.parseInt(value);
                    case "slots" -> settings.maxConcurrentCalls = Integer.parseInt(value);
                    case "hold" -> settings.maxOpenMessages = Integer.parseInt(value);
                    case "shots" -> settings.maxAttempts = Integer.parseInt(value);
                    case "rates" -> {
                        settings.listReportsRate = !value.equals("none");
                        settings.listedRateIsApproximate = value.equals("rough");
                    }
                    case "list" -> settings.listOnRequest = value.equals("asked");
                    case "late" -> settings.lateRevenueHalves = value.equals("halving");
                    case "settle" -> settings.settleAfterUncertainMicros = ms(value);
                    case "probes" -> settings.probesAllowed = value.equals("yes");
                    case "idle" -> settings.idleConnectionTimeoutMicros = ms(value);
                    case "connect" -> settings.connectTimeoutMicros = ms(value);
                    case "cancels" -> settings.cancelAllowed = value.equals("yes");
                    case "zone" -> settings.zone = Integer.parseInt(value);
                    case "refusal" -> settings.refusalPrice = Double.parseDouble(value);
                    case "crossing" -> settings.crossZonePrice = Double.parseDouble(value);
                    case "fees" -> settings.zoneFees = Stream.of(value.split(","))
                        .mapToDouble(Double::parseDouble).toArray();
                    case "seed" -> seed = Long.parseLong(value);
                    default -> throw new IllegalArgumentException("unknown figure " + key);
                }
            });
        }

        private void offering(String[] w, Map<String, String> named) {
            offerings.add(w[1]);
            PolicySettings.DeliverySemantics kind = PolicySettings.DeliverySemantics.ofWord(w[2]);
            PolicySettings.MessageClass[] all = java.util.Arrays.copyOf(settings.messageClasses,
                offerings.size());
            all[all.length - 1] = new PolicySettings.MessageClass(
                Double.parseDouble(named.getOrDefault("revenue", "1")),
                Double.parseDouble(named.getOrDefault("late", "0.1")),
                ms(named.getOrDefault("agreed", "1000")),
                ms(named.getOrDefault("expiry", "8000")), kind, List.of(w).contains("zone"),
                ms(named.getOrDefault("memory", "5000")), List.of(w).contains("ordered"));
            settings.messageClasses = all;
        }

        private void kind(String[] w) {
            kinds.add(w[1]);
            settings.limitPerEndpoint = java.util.Arrays.copyOf(settings.limitPerEndpoint, kinds.size());
            settings.maxBatchSize = java.util.Arrays.copyOf(settings.maxBatchSize, kinds.size());
            settings.limitPerEndpoint[kinds.size() - 1] = List.of(w).contains("apart");
            settings.maxBatchSize[kinds.size() - 1] = List.of(w).contains("bundled") ? 20 : 1;
        }

        private void event(String[] w, Map<String, String> named) {
            if (!w[0].matches("\\d+")) {
                throw new IllegalArgumentException("unknown word " + w[0]);
            }
            if (logic == null) {
                logic = new DeliveryPolicy(settings, seed, this, 0);
            }
            reach(ms(w[0]));
            if (w.length > 1) {
                one(w, named);
            }
            logic.completeRound(true);
        }

        private void reach(long to) {
            while (!alarms.isEmpty() && alarms.first() <= to) {
                now = alarms.pollFirst();
                logic.setTime(now);
                logic.alarmFired();
                logic.completeRound(true);
            }
            now = to;
            logic.setTime(now);
        }

        private void one(String[] w, Map<String, String> named) {
            if (OUTCOMES.contains(w[1])) {
                for (int id = first(w[2]); id <= last(w[2]); id++) {
                    int outcome = OUTCOMES.indexOf(w[1]);
                    logic.attemptEnded(id, outcome == 0, shots.getOrDefault(id, 1) - 1,
                        shotAt.getOrDefault(id, 0),
                        outcome,
                        ms(named.getOrDefault("wait", "0")), now - sentAt.getOrDefault(id, 0L),
                        Double.parseDouble(named.getOrDefault("left", "NaN")),
                        Double.parseDouble(named.getOrDefault("limit", "NaN")));
                }
                return;
            }
            switch (w[1]) {
                case "take" -> {
                    int offering = offerings.indexOf(w[3]);
                    String key = named.get("key");
                    for (int id = first(w[2]); id <= last(w[2]); id++) {
                        logic.messageAccepted(id, offering, -1,
                            key == null ? -1 : keys.computeIfAbsent(key, k -> keys.size()),
                            destinations.computeIfAbsent(w[4], d -> destinations.size()),
                            now + settings.messageClasses[offering].timeToLiveMicros(),
                            Integer.parseInt(named.getOrDefault("shots", "0")),
                            named.containsKey("doubt") ? ms(named.get("doubt")) : -1, 0);
                    }
                }
                case "withdrawn" -> logic.messageWithdrawn(first(w[2]));
                case "list" -> {
                    if (w[2].equals("failed")) {
                        logic.endpointListFailed();
                        return;
                    }
                    logic.endpointListStarted(!w[2].equals("delta"), w[2].equals("cached"));
                    for (int i = 3; i < w.length; i++) {
                        String[] f = w[i].split(":");
                        int at = endpoints.computeIfAbsent(f[0],
                            e -> forgotten.isEmpty() ? endpointNames.size() : forgotten.poll());
                        endpointNames.put(at, f[0]);
                        logic.endpointListed(at, f.length > 5 ? Integer.parseInt(f[5]) : 0,
                            Math.max(0, kinds.indexOf(f[2])),
                            destinations.computeIfAbsent(f[1], d -> destinations.size()),
                            List.of("up", "draining", "gone").indexOf(f[3]), Double.parseDouble(f[4]), 0);
                    }
                    logic.endpointListEnded();
                }
                default -> throw new IllegalArgumentException("unknown event " + w[1]);
            }
        }

        private static int first(String ids) {
            return Integer.parseInt(ids.split("-")[0]);
        }

        private static int last(String ids) {
            return ids.contains("-") ? Integer.parseInt(ids.split("-")[1]) : first(ids);
        }

        private static long ms(String value) {
            return Math.round(Double.parseDouble(value) * 1000);
        }

        @Override
        public void send(int envelope, int endpoint, long withinMicros, long leaveBy) {
            shots.merge(envelope, 1, Integer::sum);
            shotAt.put(envelope, endpoint);
            sentAt.put(envelope, now);
            acts.add("send " + envelope + " " + endpointNames.get(endpoint) + " within="
                + withinMicros / 100_000 / 10.0
                + " @" + now / 1000);
            acts.add("to " + endpointNames.get(endpoint));
        }

        @Override
        public void reject(int envelope, long pauseMicros) {
            acts.add("defer " + envelope + " pause=" + pauseMicros / 1000);
        }

        @Override
        public void fail(int envelope) {
            acts.add("abort " + envelope);
        }

        @Override
        public void cancelAttempt(int envelope, int shot) {
            acts.add("cancel " + envelope + " " + shot);
        }

        @Override
        public void closeIdleConnections(int endpoint) {
            acts.add("close " + endpointNames.get(endpoint));
        }

        @Override
        public void releaseEndpoint(int endpoint) {
            acts.add("forget " + endpointNames.get(endpoint));
            endpoints.remove(endpointNames.get(endpoint));
            forgotten.add(endpoint);
        }

        @Override
        public void endpointHealthChanged(int endpoint, boolean well) {
            acts.add((well ? "well " : "sick ") + endpointNames.get(endpoint));
        }

        @Override
        public void setAlarm(long inMicros) {
            alarms.add(now + inMicros);
        }

        @Override
        public void requestEndpointList(boolean follow) {
            acts.add(follow ? "follow" : "fetch");
        }
    }
}
