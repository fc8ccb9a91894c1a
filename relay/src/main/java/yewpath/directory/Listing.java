package yewpath.directory;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import yewpath.json.Json;

/** Discovery's list, or changes to it, read whole: of one that cannot be read nothing is handed on. */
public final class Listing {
    /** Hears a list entry by entry. */
    public interface Hearer {
        void begins(boolean whole);

        void entry(String id, InetSocketAddress address, String zone, String kind, String destination,
            int phase,
            double rate, long since);

        void ends();
    }

    private static final List<String> PHASES = List.of("up", "draining", "removed");

    /** One entry on its way to the hearer. */
    private record Entry(String id, InetSocketAddress address, String zone, String kind, String destination,
        int phase,
        double rate, long since) {}

    public final long version;
    private final boolean whole;
    private final List<Entry> entries;

    private Listing(long version, boolean whole, List<Entry> entries) {
        this.version = version;
        this.whole = whole;
        this.entries = entries;
    }

    /** Throws IllegalArgumentException where it cannot be read. */
    public static Listing read(byte[] bytes) {
        return Json.parse(bytes, Listing::read);
    }

    /** The list at whose first token the parser stands. */
    public static Listing read(JsonParser at) throws IOException {
        double[] version = {Double.NaN};
        boolean[] whole = {false};
        List<Entry> entries = new ArrayList<>();
        boolean[] listed = {false};
        Json.readObject(at, (name, value) -> {
            switch (name) {
                case "version" -> version[0] = Json.readNumber(value);
                case "full" -> whole[0] = value.currentToken() == JsonToken.VALUE_TRUE;
                case "servers" -> {
                    entries.clear();
                    listed[0] = true;
                    Json.readArray(value, element -> entries.add(entry(element)));
                }
                default -> value.skipChildren();
            }
        });
        if (Double.isNaN(version[0]) || !listed[0]) {
            throw Json.error(at, "a list without " + (listed[0] ? "version" : "servers"));
        }
        return new Listing((long) version[0], whole[0], entries);
    }

    private static Entry entry(JsonParser at) throws IOException {
        String[] texts = new String[5];
        double[] figures = {Double.NaN, Double.NaN, Double.NaN};
        Json.readObject(at, (name, value) -> {
            switch (name) {
                case "id" -> texts[0] = Json.readString(value);
                case "addr" -> texts[1] = Json.readString(value);
                case "zone" -> texts[2] = Json.readString(value);
                case "kind" -> texts[3] = Json.readString(value);
                case "state" -> texts[4] = Json.readString(value);
                case "cell" -> figures[0] = Json.readNumber(value);
                case "weight" -> figures[1] = Json.readNumber(value);
                case "started_ms" -> figures[2] = Json.readNumber(value);
                default -> value.skipChildren();
            }
        });
        for (String text : texts) {
            if (text == null) {
                throw Json.error(at,
                    "an entry without one of id, addr, zone, kind and state, before the end");
            }
        }
        for (double figure : figures) {
            if (Double.isNaN(figure)) {
                throw Json.error(at, "an entry without one of cell, weight and started_ms, before the end");
            }
        }
        int phase = PHASES.indexOf(texts[4]);
        if (phase < 0) {
            throw Json.error(at, "unknown state " + texts[4]);
        }
        return new Entry(texts[0], address(texts[1]), texts[2], texts[3], String.valueOf((long) figures[0]),
            phase,
            figures[1], (long) (figures[2] * 1000));
    }

    /** Hands the entries over, between a beginning and an end. */
    public void playTo(Hearer hearer) {
        hearer.begins(whole);
        for (Entry e : entries) {
            hearer.entry(e.id, e.address, e.zone, e.kind, e.destination, e.phase, e.rate, e.since);
        }
        hearer.ends();
    }

    /** Reads a numeric address with a port; anything else is an IllegalArgumentException. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon)).replaceAll("^\\[|\\]$", "");
        String port = text.substring(colon + 1);
        // Numbers only: resolving a name would block.
        if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*") || !port.matches("[0-9]{1,5}")
            || Integer.parseInt(port) > 65535) {
            throw new IllegalArgumentException("not an address with a port: " + text);
        }
        return new InetSocketAddress(host, Integer.parseInt(port));
    }
}
