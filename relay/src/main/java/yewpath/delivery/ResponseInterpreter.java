package yewpath.delivery;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewpath.PolicyActions;
import yewpath.http.HttpParser;
import yewpath.json.Json;

/** What an endpoint's answer says, in Logic's outcomes. */
final class Answers {
    private Answers() {}

    /** {@code first} tells that nothing had been asked on this connection before. */
    static int outcome(HttpParser answer, boolean first) {
        if (first && answer.status() == 503 && !answer.isKeepAlive()
            && answer.header("Retry-After") == null) {
            // Too many connections: closed at once without a word of a limit or a wait. It speaks of the table, not of the
            // limit; read as full, it took the pace away from relays that had hardly a connection.
            return PolicyActions.UNREACHABLE;
        }
        if (answer.status() == 503 && "1".equals(answer.header("X-Over-Slots"))) {
            // Says nothing of the endpoint: this relay had a call too many out, as one given up can still count.
            return PolicyActions.NOT_EXECUTED;
        }
        return switch (answer.status()) {
            case 200 -> PolicyActions.DELIVERED;
            case 429, 503 -> PolicyActions.OVERLOADED;
            case 410, 504 -> PolicyActions.NOT_EXECUTED;
            default -> PolicyActions.ERROR;
        };
    }

    /** After these nothing more is owed. */
    static boolean isOver(int status) {
        return status == 200 || status == 410;
    }

    static int outcomeOf(String state) {
        return switch (state) {
            case "done" -> PolicyActions.DELIVERED;
            case "failed" -> PolicyActions.ERROR;
            case "busy" -> PolicyActions.OVERLOADED;
            case "void", "used_up" -> PolicyActions.NOT_EXECUTED;
            default -> PolicyActions.CONNECTION_LOST;
        };
    }

    static boolean isOver(String state) {
        return state.equals("done") || state.equals("void");
    }

    /** Microseconds, rounded up so as never to be early; 0 where none is told. */
    static long wait(HttpParser answer) {
        String told = answer.header("Retry-After");
        if (told == null || !told.matches("[0-9]{1,9}(\\.[0-9]{1,12})?")) {
            return 0;
        }
        return (long) Math.ceil(Double.parseDouble(told) * 1_000_000);
    }

    /** One value of the load report that an answer carries; not a number where it has none. */
    static double report(HttpParser answer, List<String> fields, String field) {
        String told = answer.header("Server-Load");
        if (told == null || !told.startsWith("TEXT ") || !fields.contains(field)) {
            return Double.NaN;
        }
        for (String pair : told.substring(5).split(",")) {
            String[] parts = pair.strip().split("=", 2);
            if (parts.length == 2 && parts[0].equals(field)
                && parts[1].matches("-?[0-9]*\\.?[0-9]+([eE][+-]?[0-9]+)?")) {
                double figure = Double.parseDouble(parts[1]);
                return Double.isFinite(figure) ? figure : Double.NaN;
            }
        }
        return Double.NaN;
    }

    /** Returns what a bulk answer tells of each message, by id; one that cannot be read to its end tells nothing. */
    static Map<String, String> states(byte[] body) {
        Map<String, String> ends = new LinkedHashMap<>();
        try {
            Json.parse(body, at -> {
                Json.readArray(at, item -> {
                    String[] fields = new String[2];
                    Json.readObject(item, (name, value) -> {
                        if (name.equals("id") || name.equals("state")) {
                            fields[name.equals("id") ? 0 : 1] = Json.readString(value);
                        } else {
                            value.skipChildren();
                        }
                    });
                    if (fields[0] == null || fields[1] == null) {
                        throw Json.error(item, "an end without id or state");
                    }
                    return ends.put(fields[0], fields[1]);
                });
                return ends;
            });
        } catch (IllegalArgumentException garbled) {
            return Map.of();
        }
        return ends;
    }
}
