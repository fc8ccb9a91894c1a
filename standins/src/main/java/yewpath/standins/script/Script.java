package yewpath.standins.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * The faults of one endpoint, a line each; {@code #} starts a comment, times bear a unit (us, ms, s):
 * <pre>
 * FROM [- TO]: ACT [share PART | every N | over N]
 *
 * 0 s: answer 200 after 5 ms to 20 ms      # evenly between
 * 0 s: answer 429 wait 300 ms over 40      # what comes past forty calls in each second
 * 1 s - 2 s: answer 429 wait 500 ms
 * 2 s - 3 s: silent share 0.2              # one call in five, by chance
 * 2 s - 3 s: reset first | reset midway after 50 ms | reset last every 7
 * 3 s - 4 s: garble
 * 4 s - 6 s: refuse                        # no connections
 * 6 s: drain | gone | replaced
 * </pre>
 * Of the lines that hold at a time the last one that takes a call wins; without any a call is answered by 200 at once.
 */
public final class Script {
    private static final Map<String, Long> UNITS = Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L);
    private static final long NEVER = Long.MAX_VALUE;

    private record Line(long from, long to, Step.Action act, int status, long least, long most, long pause,
        double share,
        int every, int over) {
        boolean holds(long at) {
            return at >= from && at < to;
        }
    }

    private final List<Line> lines;
    /** Calls that each line has been asked about. */
    private final long[] asked;
    /** Calls that each line has seen in the second it last saw one in. */
    private final long[] second, seen;

    private Script(List<Line> lines) {
        this.lines = lines;
        asked = new long[lines.size()];
        second = new long[lines.size()];
        seen = new long[lines.size()];
    }

    /** Throws IllegalArgumentException that names the line and what is wrong with it. */
    public static Script parse(String text) {
        List<Line> lines = new ArrayList<>();
        int number = 0;
        for (String line : text.split("\n")) {
            number++;
            String bare = line.replaceFirst("#.*", "").strip();
            if (!bare.isEmpty()) {
                try {
                    lines.add(new Reader(bare).line());
                } catch (IllegalArgumentException wrong) {
                    throw new IllegalArgumentException(
                        "line " + number + ": " + bare + ": " + wrong.getMessage());
                }
            }
        }
        return new Script(lines);
    }

    /** What becomes of one call that comes at {@code at} microseconds from the start. */
    public Step nextStep(long at, RandomGenerator chance) {
        Step step = Step.OK;
        for (int i = 0; i < lines.size(); i++) {
            Line line = lines.get(i);
            if (line.act.isState() || !line.holds(at)) {
                continue;
            }
            // Drawn for each line whether it takes the call or not: one line more must not shift the others' chance.
            boolean byShare = chance.nextDouble() < line.share;
            long after = line.least + (long) (chance.nextDouble() * (line.most - line.least));
            if (line.over > 0) {
                seen[i] = second[i] == at / 1_000_000 ? seen[i] + 1 : 1;
                second[i] = at / 1_000_000;
            }
            if (byShare && (line.over == 0 || seen[i] > line.over)
                && asked[i]++ % line.every == line.every - 1) {
                step = new Step(line.act, line.status, after, line.pause);
            }
        }
        return step;
    }

    /** Whether some line says so of the endpoint itself at that time. */
    public boolean isInState(Step.Action state, long at) {
        return lines.stream().anyMatch(line -> line.act == state && line.holds(at));
    }

    /** The times, in order, at which the endpoint's own state may change. */
    public List<Long> stateChangeTimes() {
        TreeSet<Long> times = new TreeSet<>();
        for (Line line : lines) {
            if (line.act.isState()) {
                times.add(line.from);
                if (line.to != NEVER) {
                    times.add(line.to);
                }
            }
        }
        return List.copyOf(times);
    }

    /** One line, word by word. */
    private static final class Reader {
        private final String[] words;
        private int at;

        Reader(String line) {
            if (line.indexOf(':') < 0) {
                throw new IllegalArgumentException("a colon between time and act is missing");
            }
            words = line.replace(":", " : ").replace("-", " - ").replaceAll("([0-9])(us|ms|s)\\b", "$1 $2")
                .strip().split("\\s+");
        }

        Line line() {
            long from = time();
            long to = NEVER;
            if (takes("-")) {
                to = time();
                if (to <= from) {
                    throw new IllegalArgumentException("it ends before it begins");
                }
            }
            need(takes(":"), "a colon should follow the time");
            String word = word().toUpperCase(Locale.ROOT);
            if (word.equals("RESET")) {
                word += "_" + word().toUpperCase(Locale.ROOT);
            }
            Step.Action act = null;
            for (Step.Action one : Step.Action.values()) {
                act = one.name().equals(word) ? one : act;
            }
            need(act != null, "unknown act " + word.toLowerCase(Locale.ROOT).replace('_', ' '));
            int status = act == Step.Action.ANSWER ? (int) figure(100, 599) : 0;
            long least = 0, most = 0, pause = 0;
            double share = 1;
            int every = 1, over = 0;
            while (at < words.length) {
                String next = word();
                need(!act.isState(), "nothing follows " + act.name().toLowerCase(Locale.ROOT));
                switch (next) {
                    case "after" -> {
                        least = most = time();
                        if (takes("to")) {
                            most = time();
                            need(most >= least, "the second time is less than the first");
                        }
                    }
                    case "wait" -> pause = time();
                    case "share" -> share = figure(0, 1);
                    case "over" -> over = (int) figure(1, 1_000_000);
                    case "every" -> every = (int) figure(1, 1_000_000);
                    default -> throw new IllegalArgumentException("unknown word " + next);
                }
            }
            return new Line(from, to, act, status, least, most, pause, share, every, over);
        }

        private String word() {
            need(at < words.length, "it ends too soon");
            return words[at++];
        }

        private boolean takes(String word) {
            boolean is = at < words.length && words[at].equals(word);
            at += is ? 1 : 0;
            return is;
        }

        private double figure(double least, double most) {
            String word = word();
            need(word.matches("[0-9]{1,9}(\\.[0-9]{1,9})?") && Double.parseDouble(word) >= least
                && Double.parseDouble(word) <= most, word + " is not a number from " + least + " to " + most);
            return Double.parseDouble(word);
        }

        private long time() {
            double figure = figure(0, 1e9);
            String unit = word();
            need(UNITS.containsKey(unit), unit + " is not one of us, ms and s");
            return Math.round(figure * UNITS.get(unit));
        }

        private static void need(boolean met, String otherwise) {
            if (!met) {
                throw new IllegalArgumentException(otherwise);
            }
        }
    }
}
