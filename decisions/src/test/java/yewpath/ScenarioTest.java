package yewpath;

import static org.testng.Assert.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs each scenario file against {@link DeliveryPolicy} and checks the actions that it asks for. The
 * notation is described in src/test/resources/scenarios/README.md.
 */
public final class ScenarioTest {
    private static final Path SCENARIO_DIRECTORY = Path.of("src/test/resources/scenarios");
    /** The words for the outcomes of {@link PolicyActions}, by their number. */
    private static final List<String> OUTCOMES = List.of("fulfilled", "error", "full", "timeout", "unreached",
        "broken", "cancelled", "moot", "stale", "crowded");

    @DataProvider
    public Object[][] scenarios() throws IOException {
        try (Stream<Path> files = Files.list(SCENARIO_DIRECTORY)) {
            return files.filter(file -> file.toString().endsWith(".txt")).sorted()
                .map(file -> new Object[]{file})
                .toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "scenarios")
    public void asksForTheExpectedActions(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        ScenarioPlayer player = new ScenarioPlayer();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).replaceFirst("#.*", "").strip();
            try {
                if (!line.isEmpty()) {
                    player.run(line.split("\\s+"));
                }
            } catch (RuntimeException | AssertionError failure) {
                fail(file + ":" + (i + 1) + ": " + line + ": " + failure.getMessage() + "; actions so far: "
                    + player.actions, failure);
            }
        }
        if (player.checks == 0) {
            fail(file + " has no expect, never, count, most, least or keys line");
        }
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void rejectsAnUnknownCommand() {
        new ScenarioPlayer().run(new String[]{"offring", "a"});
    }

    /**
     * Runs the lines of one scenario: reports events to a policy and records the actions that it asks for.
     */
    private static final class ScenarioPlayer implements PolicyActions {
        final PolicySettings settings = new PolicySettings();
        /** The actions since the last mark, in the words of the scenario files. */
        final List<String> actions = new ArrayList<>();
        private final List<String> messageClasses = new ArrayList<>();
        private final List<String> endpointKinds = new ArrayList<>();
        private final Map<String, Integer> endpoints = new HashMap<>();
        private final Map<String, Integer> destinations = new HashMap<>();
        private final Map<String, Integer> keys = new HashMap<>();
        private final Map<Integer, String> endpointNames = new HashMap<>();
        private final ArrayDeque<Integer> releasedEndpoints = new ArrayDeque<>();
        private final Map<Integer, Integer> attempts = new HashMap<>();
        private final Map<Integer, Integer> sentTo = new HashMap<>();
        private final Map<Integer, Long> sentAtMicros = new HashMap<>();
        private final TreeSet<Long> alarmTimesMicros = new TreeSet<>();
        private DeliveryPolicy policy;
        private long nowMicros;
        private long seed = 1;
        int checks;

        ScenarioPlayer() {
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

        void run(String[] words) {
            Map<String, String> named = new HashMap<>();
            for (String word : words) {
                int equals = word.indexOf('=');
                if (equals > 0) {
                    named.put(word.substring(0, equals), word.substring(equals + 1));
                }
            }
            switch (words[0]) {
                case "relay" -> changeSettings(named);
                case "offering" -> addMessageClass(words, named);
                case "kind" -> addEndpointKind(words);
                case "expect", "never" -> {
                    checks++;
                    String expected = String.join(" ", List.of(words).subList(1, words.length));
                    boolean seen = actions.stream()
                        .anyMatch(act -> act.equals(expected) || act.startsWith(expected + " "));
                    if (seen != words[0].equals("expect")) {
                        throw new AssertionError(seen ? "happened" : "did not happen");
                    }
                }
                case "count", "most", "least" -> {
                    checks++;
                    String expected = String.join(" ", List.of(words).subList(2, words.length));
                    long seen = actions.stream()
                        .filter(act -> act.equals(expected) || act.startsWith(expected + " ")).count();
                    long wanted = Long.parseLong(words[1]);
                    if (words[0].equals("most") ? seen > wanted
                        : words[0].equals("least") ? seen < wanted : seen != wanted) {
                        throw new AssertionError("happened " + seen + " times");
                    }
                }
                case "keys" -> {
                    checks++;
                    if (policy.trackedKeyCount() != Integer.parseInt(words[1])) {
                        throw new AssertionError(policy.trackedKeyCount() + " keys are in memory");
                    }
                }
                case "mark" -> actions.clear();
                default -> runEvent(words, named);
            }
        }

        private void changeSettings(Map<String, String> named) {
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
                    case "settle" -> settings.settleAfterUncertainMicros = toMicros(value);
                    case "probes" -> settings.probesAllowed = value.equals("yes");
                    case "idle" -> settings.idleConnectionTimeoutMicros = toMicros(value);
                    case "connect" -> settings.connectTimeoutMicros = toMicros(value);
                    case "connects" -> settings.reportsConnectionLimit = value.equals("told");
                    case "cancels" -> settings.cancelAllowed = value.equals("yes");
                    case "zone" -> settings.zone = Integer.parseInt(value);
                    case "refusal" -> settings.refusalPrice = Double.parseDouble(value);
                    case "crossing" -> settings.crossZonePrice = Double.parseDouble(value);
                    case "fees" -> settings.zoneFees = Stream.of(value.split(","))
                        .mapToDouble(Double::parseDouble).toArray();
                    case "seed" -> seed = Long.parseLong(value);
                    default -> throw new IllegalArgumentException("unknown setting of the relay: " + key);
                }
            });
        }

        private void addMessageClass(String[] words, Map<String, String> named) {
            messageClasses.add(words[1]);
            PolicySettings.DeliverySemantics semantics = PolicySettings.DeliverySemantics.ofWord(words[2]);
            PolicySettings.MessageClass[] all = Arrays.copyOf(settings.messageClasses,
                messageClasses.size());
            all[all.length - 1] = new PolicySettings.MessageClass(
                Double.parseDouble(named.getOrDefault("revenue", "1")),
                Double.parseDouble(named.getOrDefault("late", "0.1")),
                toMicros(named.getOrDefault("agreed", "1000")),
                toMicros(named.getOrDefault("expiry", "8000")), semantics, List.of(words).contains("zone"),
                toMicros(named.getOrDefault("memory", "5000")), List.of(words).contains("ordered"));
            settings.messageClasses = all;
        }

        private void addEndpointKind(String[] words) {
            endpointKinds.add(words[1]);
            settings.limitPerEndpoint = Arrays.copyOf(settings.limitPerEndpoint, endpointKinds.size());
            settings.maxBatchSize = Arrays.copyOf(settings.maxBatchSize, endpointKinds.size());
            settings.limitPerEndpoint[endpointKinds.size() - 1] = List.of(words).contains("apart");
            settings.maxBatchSize[endpointKinds.size() - 1] = List.of(words).contains("bundled") ? 20 : 1;
        }

        private void runEvent(String[] words, Map<String, String> named) {
            if (!words[0].matches("\\d+")) {
                throw new IllegalArgumentException(
                    "a line starts with a time in milliseconds or a command, found " + words[0]);
            }
            if (policy == null) {
                policy = new DeliveryPolicy(settings, seed, this, 0);
            }
            advanceTo(toMicros(words[0]));
            if (words.length > 1) {
                reportEvent(words, named);
            }
            policy.completeRound(true);
        }

        private void advanceTo(long timeMicros) {
            while (!alarmTimesMicros.isEmpty() && alarmTimesMicros.first() <= timeMicros) {
                nowMicros = alarmTimesMicros.pollFirst();
                policy.setTime(nowMicros);
                policy.alarmFired();
                policy.completeRound(true);
            }
            nowMicros = timeMicros;
            policy.setTime(nowMicros);
        }

        private void reportEvent(String[] words, Map<String, String> named) {
            if (OUTCOMES.contains(words[1])) {
                for (int message = first(words[2]); message <= last(words[2]); message++) {
                    int outcome = OUTCOMES.indexOf(words[1]);
                    policy.attemptEnded(message, outcome == 0, attempts.getOrDefault(message, 1) - 1,
                        sentTo.getOrDefault(message, 0),
                        outcome,
                        toMicros(named.getOrDefault("wait", "0")),
                        nowMicros - sentAtMicros.getOrDefault(message, 0L),
                        Double.parseDouble(named.getOrDefault("left", "NaN")),
                        Double.parseDouble(named.getOrDefault("limit", "NaN")));
                }
                return;
            }
            switch (words[1]) {
                case "take" -> {
                    int messageClass = messageClasses.indexOf(words[3]);
                    String key = named.get("key");
                    for (int message = first(words[2]); message <= last(words[2]); message++) {
                        policy.messageAccepted(message, messageClass, -1,
                            key == null ? -1 : keys.computeIfAbsent(key, name -> keys.size()),
                            destinations.computeIfAbsent(words[4], name -> destinations.size()),
                            nowMicros + settings.messageClasses[messageClass].timeToLiveMicros(),
                            Integer.parseInt(named.getOrDefault("shots", "0")),
                            named.containsKey("doubt") ? toMicros(named.get("doubt")) : -1, 0);
                    }
                }
                case "restored" -> policy.messagesRestored();
                case "withdrawn" -> policy.messageWithdrawn(first(words[2]));
                case "list" -> {
                    if (words[2].equals("failed")) {
                        policy.endpointListFailed();
                        return;
                    }
                    policy.endpointListStarted(!words[2].equals("delta"), words[2].equals("cached"));
                    for (int i = 3; i < words.length; i++) {
                        String[] fields = words[i].split(":");
                        int endpoint = endpoints.computeIfAbsent(fields[0],
                            name -> releasedEndpoints.isEmpty() ? endpointNames.size()
                                : releasedEndpoints.poll());
                        endpointNames.put(endpoint, fields[0]);
                        policy.endpointListed(endpoint, fields.length > 5 ? Integer.parseInt(fields[5]) : 0,
                            Math.max(0, endpointKinds.indexOf(fields[2])),
                            destinations.computeIfAbsent(fields[1], name -> destinations.size()),
                            List.of("up", "draining", "gone").indexOf(fields[3]),
                            Double.parseDouble(fields[4]), 0);
                    }
                    policy.endpointListEnded();
                }
                default -> throw new IllegalArgumentException(
                    "an event is an outcome, take, restored, withdrawn or list, found " + words[1]);
            }
        }

        /** Returns the first index of a range ID-ID or of a single ID. */
        private static int first(String ids) {
            return Integer.parseInt(ids.split("-")[0]);
        }

        private static int last(String ids) {
            return ids.contains("-") ? Integer.parseInt(ids.split("-")[1]) : first(ids);
        }

        private static long toMicros(String millis) {
            return Math.round(Double.parseDouble(millis) * 1000);
        }

        @Override
        public void send(int message, int endpoint, long timeoutMicros, long sendByMicros) {
            attempts.merge(message, 1, Integer::sum);
            sentTo.put(message, endpoint);
            sentAtMicros.put(message, nowMicros);
            actions.add("send " + message + " " + endpointNames.get(endpoint) + " within="
                + timeoutMicros / 100_000 / 10.0
                + " @" + nowMicros / 1000);
            actions.add("to " + endpointNames.get(endpoint));
        }

        @Override
        public void reject(int message, long retryAfterMicros) {
            actions.add("defer " + message + " pause=" + retryAfterMicros / 1000);
        }

        @Override
        public void fail(int message) {
            actions.add("abort " + message);
        }

        @Override
        public void cancelAttempt(int message, int attempt) {
            actions.add("cancel " + message + " " + attempt);
        }

        @Override
        public void closeIdleConnections(int endpoint) {
            actions.add("close " + endpointNames.get(endpoint));
        }

        @Override
        public void releaseEndpoint(int endpoint) {
            actions.add("forget " + endpointNames.get(endpoint));
            endpoints.remove(endpointNames.get(endpoint));
            releasedEndpoints.add(endpoint);
        }

        @Override
        public void outageChanged(int endpoint, OutageState state) {
            actions
                .add(state.phase().name().toLowerCase(Locale.ROOT) + " " + endpointNames.get(endpoint) + " "
                    + state.symptom());
        }

        @Override
        public void endpointHealthChanged(int endpoint, boolean healthy) {
            actions.add((healthy ? "well " : "sick ") + endpointNames.get(endpoint));
        }

        @Override
        public void setAlarm(long delayMicros) {
            alarmTimesMicros.add(nowMicros + delayMicros);
        }

        @Override
        public void requestEndpointList(boolean subscribe) {
            actions.add(subscribe ? "follow" : "fetch");
        }
    }
}
