package yewpath.delivery;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewpath.PolicyActions;
import yewpath.http.HttpParser;
import yewpath.json.Json;

/** Derives the outcomes of {@link PolicyActions} from the responses of endpoints. */
final class ResponseInterpreter {
    private ResponseInterpreter() {}

    /**
     * Returns the outcome that the status and the headers of a response mean for all messages of its call.
     *
     * @param isFirstRequest whether the request was the first one on its connection
     */
    static int outcome(HttpParser response, boolean isFirstRequest) {
        if (isFirstRequest && response.status() == 503 && !response.isKeepAlive()
            && response.header("Retry-After") == null) {
            // The endpoint has too many connections: it closes a new one at once and reports neither a
            // limit nor a time to wait. The response refers to its connections, not to its call limit.
            // When it was treated as an overload, relays with few connections reduced their send rate.
            return PolicyActions.CONNECTION_LIMIT;
        }
        if (response.status() == 503 && "1".equals(response.header("X-Over-Slots"))) {
            // The response does not refer to the endpoint: this relay had too many calls in flight, since
            // an abandoned call may still be counted.
            return PolicyActions.NOT_EXECUTED;
        }
        return switch (response.status()) {
            case 200 -> PolicyActions.DELIVERED;
            case 429, 503 -> PolicyActions.OVERLOADED;
            case 400, 410, 413, 504 -> PolicyActions.NOT_EXECUTED;
            default -> PolicyActions.ERROR;
        };
    }

    /** Whether a response with this status ends the message, so that it is not attempted again. */
    static boolean isFinished(int status) {
        return status == 200 || status == 410;
    }

    /**
     * Returns the outcome for the state of one message in the response to a batch. A message with an
     * unknown state may have been executed.
     */
    static int outcomeOfState(String state) {
        return switch (state) {
            case "done" -> PolicyActions.DELIVERED;
            case "failed" -> PolicyActions.ERROR;
            case "busy" -> PolicyActions.OVERLOADED;
            case "void", "used_up" -> PolicyActions.NOT_EXECUTED;
            default -> PolicyActions.CONNECTION_LOST;
        };
    }

    /** Whether this state ends the message, so that it is not attempted again. */
    static boolean isFinished(String state) {
        return state.equals("done") || state.equals("void");
    }

    /**
     * Returns the time of the Retry-After header in microseconds, rounded up so that the relay never
     * retries too early; 0 if the header is missing or malformed.
     */
    static long retryAfterMicros(HttpParser response) {
        String headerValue = response.header("Retry-After");
        if (headerValue == null || !headerValue.matches("[0-9]{1,9}(\\.[0-9]{1,12})?")) {
            return 0;
        }
        return (long) Math.ceil(Double.parseDouble(headerValue) * 1_000_000);
    }

    /**
     * Returns one value of the load report in the Server-Load header.
     *
     * @param reportFields the fields that the configuration names
     * @return the value; NaN if the field is not configured, missing or not a finite number
     */
    static double loadReportValue(HttpParser response, List<String> reportFields, String fieldName) {
        String headerValue = response.header("Server-Load");
        if (headerValue == null || !headerValue.startsWith("TEXT ") || !reportFields.contains(fieldName)) {
            return Double.NaN;
        }
        for (String reportEntry : headerValue.substring(5).split(",")) {
            String[] nameAndValue = reportEntry.strip().split("=", 2);
            if (nameAndValue.length == 2 && nameAndValue[0].equals(fieldName)
                && nameAndValue[1].matches("-?[0-9]*\\.?[0-9]+([eE][+-]?[0-9]+)?")) {
                double number = Double.parseDouble(nameAndValue[1]);
                return Double.isFinite(number) ? number : Double.NaN;
            }
        }
        return Double.NaN;
    }

    /**
     * Returns the state of each message by its id, from the response to a batch. The result is empty if
     * any part of the body is malformed.
     */
    static Map<String, String> messageStates(byte[] body) {
        Map<String, String> stateById = new LinkedHashMap<>();
        try {
            Json.parse(body, parser -> {
                Json.readArray(parser, itemParser -> {
                    String[] idAndState = new String[2];
                    Json.readObject(itemParser, (name, value) -> {
                        if (name.equals("id") || name.equals("state")) {
                            idAndState[name.equals("id") ? 0 : 1] = Json.readString(value);
                        } else {
                            value.skipChildren();
                        }
                    });
                    if (idAndState[0] == null || idAndState[1] == null) {
                        throw Json.error(itemParser, "an item without the fields id and state");
                    }
                    return stateById.put(idAndState[0], idAndState[1]);
                });
                return stateById;
            });
        } catch (IllegalArgumentException invalid) {
            return Map.of();
        }
        return stateById;
    }
}
