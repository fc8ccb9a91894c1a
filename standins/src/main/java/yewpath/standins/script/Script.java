package yewpath.standins.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * The behaviour of one test endpoint over time, one rule a line. {@code #} starts a comment; times have a
 * unit (us, ms or s) and count from the start of the script:
 * <pre>
 * FROM [- TO]: ACT [share PART | every N | over N]
 *
 * 0 s: answer 200 after 5 ms to 20 ms      # the delay is uniformly distributed
 * 0 s: answer 429 wait 300 ms over 40      # applies to the calls after the first 40 of each second
 * 1 s - 2 s: answer 429 wait 500 ms
 * 2 s - 3 s: silent share 0.2              # one call in five, at random
 * 2 s - 3 s: reset first | reset midway after 50 ms | reset last every 7
 * 3 s - 4 s: garble
 * 4 s - 6 s: refuse                        # no connections
 * 6 s: drain | gone | replaced
 * </pre>
 * If several lines are in force and apply to a call, the last of them decides. A call to which none applies
 * is answered at once with status 200. Not thread-safe, since lines count the calls.
 */
public final class Script {
    private static final Map<String, Long> UNIT_MICROS = Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L);
    private static final long NEVER = Long.MAX_VALUE;

    /**
     * One rule.
     *
     * @param waitMicros value of Retry-After, 0 for no header
     * @param share the part of the calls that the line applies to, chosen at random
     * @param every the line applies to each call whose number is a multiple of this
     * @param over the line applies to the calls after this many in each second, 0 for all calls
     */
    private record Line(long fromMicros, long toMicros, Step.Action action, int status, long minDelayMicros,
        long maxDelayMicros, long waitMicros, double share, int every, int over) {
        boolean isInForce(long atMicros) {
            return atMicros >= fromMicros && atMicros < toMicros;
        }
    }

    private final List<Line> lines;
    /** Calls that met the line's other conditions, by line; {@link Line#every} selects among them. */
    private final long[] matchedCalls;
    /**
     * The second in which a line with {@link Line#over} last had a call, and its calls in that second, by
     * line.
     */
    private final long[] lastSecond, callsInLastSecond;

    private Script(List<Line> lines) {
        this.lines = lines;
        matchedCalls = new long[lines.size()];
        lastSecond = new long[lines.size()];
        callsInLastSecond = new long[lines.size()];
    }

    /**
     * Parses a script.
     *
     * @throws IllegalArgumentException with the number of the wrong line, its text and what is wrong with it
     */
    public static Script parse(String text) {
        List<Line> lines = new ArrayList<>();
        int lineNumber = 0;
        for (String line : text.split("\n")) {
            lineNumber++;
            String lineWithoutComment = line.replaceFirst("#.*", "").strip();
            if (!lineWithoutComment.isEmpty()) {
                try {
                    lines.add(new LineParser(lineWithoutComment).parse());
                } catch (IllegalArgumentException error) {
                    throw new IllegalArgumentException(
                        "line " + lineNumber + ": " + lineWithoutComment + ": " + error.getMessage());
                }
            }
        }
        return new Script(lines);
    }

    /** Returns what to do with a call that begins to arrive at {@code atMicros}, and counts the call. */
    public Step nextStep(long atMicros, RandomGenerator random) {
        Step step = Step.DEFAULT;
        for (int i = 0; i < lines.size(); i++) {
            Line line = lines.get(i);
            if (line.action.isState() || !line.isInForce(atMicros)) {
                continue;
            }
            // Two numbers are drawn for each line, whether it applies or not. Otherwise whether one line
            // applies would shift the random numbers of the lines after it.
            boolean inShare = random.nextDouble() < line.share;
            long delayMicros = line.minDelayMicros
                + (long) (random.nextDouble() * (line.maxDelayMicros - line.minDelayMicros));
            if (line.over > 0) {
                callsInLastSecond[i] = lastSecond[i] == atMicros / 1_000_000 ? callsInLastSecond[i] + 1 : 1;
                lastSecond[i] = atMicros / 1_000_000;
            }
            if (inShare && (line.over == 0 || callsInLastSecond[i] > line.over)
                && matchedCalls[i]++ % line.every == line.every - 1) {
                step = new Step(line.action, line.status, delayMicros, line.waitMicros);
            }
        }
        return step;
    }

    /** Returns whether the endpoint is in a state at a time, such as {@link Step.Action#DRAIN}. */
    public boolean isInState(Step.Action state, long atMicros) {
        return lines.stream().anyMatch(line -> line.action == state && line.isInForce(atMicros));
    }

    /**
     * Returns the times in microseconds, in ascending order, at which a state of the endpoint begins or ends.
     */
    public List<Long> stateChangeTimes() {
        TreeSet<Long> times = new TreeSet<>();
        for (Line line : lines) {
            if (line.action.isState()) {
                times.add(line.fromMicros);
                if (line.toMicros != NEVER) {
                    times.add(line.toMicros);
                }
            }
        }
        return List.copyOf(times);
    }

    /** Parses one line, word by word. */
    private static final class LineParser {
        private final String[] words;
        private int position;

        LineParser(String line) {
            if (line.indexOf(':') < 0) {
                throw new IllegalArgumentException("a colon between time and act is missing");
            }
            words = line.replace(":", " : ").replace("-", " - ").replaceAll("([0-9])(us|ms|s)\\b", "$1 $2")
                .strip().split("\\s+");
        }

        Line parse() {
            long fromMicros = nextTimeMicros();
            long toMicros = NEVER;
            if (skipWord("-")) {
                toMicros = nextTimeMicros();
                if (toMicros <= fromMicros) {
                    throw new IllegalArgumentException("it ends before it begins");
                }
            }
            require(skipWord(":"), "a colon should follow the time");
            String actionName = nextWord().toUpperCase(Locale.ROOT);
            if (actionName.equals("RESET")) {
                actionName += "_" + nextWord().toUpperCase(Locale.ROOT);
            }
            Step.Action action = null;
            for (Step.Action candidate : Step.Action.values()) {
                action = candidate.name().equals(actionName) ? candidate : action;
            }
            require(action != null,
                "unknown act " + actionName.toLowerCase(Locale.ROOT).replace('_', ' '));
            int status = action == Step.Action.ANSWER ? (int) nextNumber(100, 599) : 0;
            long minDelayMicros = 0, maxDelayMicros = 0, waitMicros = 0;
            double share = 1;
            int every = 1, over = 0;
            while (position < words.length) {
                String option = nextWord();
                require(!action.isState(), "nothing follows " + action.name().toLowerCase(Locale.ROOT));
                switch (option) {
                    case "after" -> {
                        minDelayMicros = maxDelayMicros = nextTimeMicros();
                        if (skipWord("to")) {
                            maxDelayMicros = nextTimeMicros();
                            require(maxDelayMicros >= minDelayMicros,
                                "the second time is less than the first");
                        }
                    }
                    case "wait" -> waitMicros = nextTimeMicros();
                    case "share" -> share = nextNumber(0, 1);
                    case "over" -> over = (int) nextNumber(1, 1_000_000);
                    case "every" -> every = (int) nextNumber(1, 1_000_000);
                    default -> throw new IllegalArgumentException("unknown word " + option);
                }
            }
            return new Line(fromMicros, toMicros, action, status, minDelayMicros, maxDelayMicros, waitMicros,
                share, every, over);
        }

        private String nextWord() {
            require(position < words.length, "it ends too soon");
            return words[position++];
        }

        /** Moves past {@code word} and returns true if it is the next word. */
        private boolean skipWord(String word) {
            boolean matches = position < words.length && words[position].equals(word);
            position += matches ? 1 : 0;
            return matches;
        }

        private double nextNumber(double min, double max) {
            String word = nextWord();
            require(word.matches("[0-9]{1,9}(\\.[0-9]{1,9})?") && Double.parseDouble(word) >= min
                && Double.parseDouble(word) <= max, word + " is not a number from " + min + " to " + max);
            return Double.parseDouble(word);
        }

        private long nextTimeMicros() {
            double number = nextNumber(0, 1e9);
            String unit = nextWord();
            require(UNIT_MICROS.containsKey(unit), unit + " is not one of us, ms and s");
            return Math.round(number * UNIT_MICROS.get(unit));
        }

        private static void require(boolean condition, String message) {
            if (!condition) {
                throw new IllegalArgumentException(message);
            }
        }
    }
}
