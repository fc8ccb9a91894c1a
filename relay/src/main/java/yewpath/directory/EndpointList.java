package yewpath.directory;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import yewpath.json.Json;

/**
 * A list of endpoints from service discovery: either the complete list or the changes to an earlier one. A
 * list is parsed completely before any of it is used, so that an unreadable one has no effect at all.
 */
public final class EndpointList {
    /** Receives the content of a list, endpoint by endpoint. */
    public interface Listener {
        /** Called once before the endpoints; {@code complete} is false for a list of changes. */
        void listStarted(boolean complete);

        /**
         * Called for each endpoint of the list.
         *
         * @param state 0 if the endpoint is up, 1 if it is draining, 2 if it was removed
         * @param weight the weight that discovery gives the endpoint
         * @param startedMicros when the endpoint was started, in Unix microseconds
         */
        void endpointListed(String id, InetSocketAddress address, String zone, String kind,
            String destination, int state, double weight, long startedMicros);

        /** Called once after the endpoints. */
        void listEnded();
    }

    /** The names of the states in the JSON; the index in this list is passed to the listener. */
    private static final List<String> STATES = List.of("up", "draining", "removed");

    private record ListedEndpoint(String id, InetSocketAddress address, String zone, String kind,
        String destination, int state, double weight, long startedMicros) {}

    /** The version of the endpoint data that this list leads to. */
    public final long version;
    private final boolean complete;
    private final List<ListedEndpoint> endpoints;

    private EndpointList(long version, boolean complete, List<ListedEndpoint> endpoints) {
        this.version = version;
        this.complete = complete;
        this.endpoints = endpoints;
    }

    /**
     * Parses a text that holds one list as a JSON object.
     *
     * @throws IllegalArgumentException if the text is not a valid list
     */
    public static EndpointList read(byte[] bytes) {
        return Json.parse(bytes, EndpointList::read);
    }

    /**
     * Parses a list as part of a larger JSON text; the parser must be at the first token of the list.
     *
     * @throws IllegalArgumentException if the list is not valid
     * @throws IOException if the JSON is not valid
     */
    public static EndpointList read(JsonParser parser) throws IOException {
        double[] version = {Double.NaN};
        boolean[] complete = {false};
        List<ListedEndpoint> endpoints = new ArrayList<>();
        boolean[] hasEndpoints = {false};
        Json.readObject(parser, (name, value) -> {
            switch (name) {
                case "version" -> version[0] = Json.readNumber(value);
                case "full" -> complete[0] = value.currentToken() == JsonToken.VALUE_TRUE;
                case "servers" -> {
                    endpoints.clear();
                    hasEndpoints[0] = true;
                    Json.readArray(value, element -> endpoints.add(readEndpoint(element)));
                }
                default -> value.skipChildren();
            }
        });
        if (Double.isNaN(version[0]) || !hasEndpoints[0]) {
            throw Json.error(parser,
                "endpoint list has no member " + (hasEndpoints[0] ? "version" : "servers"));
        }
        return new EndpointList((long) version[0], complete[0], endpoints);
    }

    private static ListedEndpoint readEndpoint(JsonParser parser) throws IOException {
        String[] texts = new String[5];
        double[] numbers = {Double.NaN, Double.NaN, Double.NaN};
        Json.readObject(parser, (name, value) -> {
            switch (name) {
                case "id" -> texts[0] = Json.readString(value);
                case "addr" -> texts[1] = Json.readString(value);
                case "zone" -> texts[2] = Json.readString(value);
                case "kind" -> texts[3] = Json.readString(value);
                case "state" -> texts[4] = Json.readString(value);
                case "cell" -> numbers[0] = Json.readNumber(value);
                case "weight" -> numbers[1] = Json.readNumber(value);
                case "started_ms" -> numbers[2] = Json.readNumber(value);
                default -> value.skipChildren();
            }
        });
        for (String text : texts) {
            if (text == null) {
                throw Json.error(parser, "endpoint entry lacks one of id, addr, zone, kind and state");
            }
        }
        for (double number : numbers) {
            if (Double.isNaN(number)) {
                throw Json.error(parser, "endpoint entry lacks one of cell, weight and started_ms");
            }
        }
        int state = STATES.indexOf(texts[4]);
        if (state < 0) {
            throw Json.error(parser, "endpoint state is not one of up, draining and removed: " + texts[4]);
        }
        // The JSON identifies a destination by a whole number, which it calls "cell".
        return new ListedEndpoint(texts[0], parseAddress(texts[1]), texts[2], texts[3],
            String.valueOf((long) numbers[0]), state, numbers[1], (long) (numbers[2] * 1000));
    }

    /** Returns whether this is the complete list, and not the changes to an earlier one. */
    boolean isComplete() {
        return complete;
    }

    /** Passes the whole list to the listener. */
    public void notifyListener(Listener listener) {
        listener.listStarted(complete);
        for (ListedEndpoint endpoint : endpoints) {
            listener.endpointListed(endpoint.id, endpoint.address, endpoint.zone, endpoint.kind,
                endpoint.destination, endpoint.state, endpoint.weight, endpoint.startedMicros);
        }
        listener.listEnded();
    }

    /**
     * Parses a numeric IPv4 or IPv6 address with a port, such as 127.0.0.1:8080 or [::1]:8080.
     *
     * @throws IllegalArgumentException if the text is anything else, also a host name
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon)).replaceAll("^\\[|\\]$", "");
        String port = text.substring(colon + 1);
        // Host names are not accepted, because resolving one would block the thread.
        if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*") || !port.matches("[0-9]{1,5}")
            || Integer.parseInt(port) > 65535) {
            throw new IllegalArgumentException("not a numeric IP address with a port: " + text);
        }
        return new InetSocketAddress(host, Integer.parseInt(port));
    }
}
