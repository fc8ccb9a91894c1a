package yewpath.standins.process;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A platform's configuration as a relay among stand-ins is told it. */
public final class RelayConfig {
    /** What the relay is told of an offering: {@code repeat} is pure, token or side_effect. */
    public record MessageClass(String name, String repeat, boolean ordered, int agreedMs, int expiryMs) {}

    /** What else is told: this relay's number of so many, and figures by the names that the settings have. */
    public record RelaySettings(int relays, int ordinal, int slots, int hold, int tries,
        long connectTimeoutMs,
        long connectionIdleMs, double coldFrom,
        long coldMs, double fallMultiple, long fallMs, long settleMs, boolean halving, int memoryMb) {
        /** One relay of middling size. */
        public static final RelaySettings DEFAULT = new RelaySettings(1, 0, 32, 400, 8, 1_000, 10_000, 0.2,
            3_000, 2, 1_000, 400,
            true, 192);
    }

    /**
     * What a deployment's shape tells beside that: whether rates are listed, the zones with what a route apart in each
     * takes, where this relay stands and what a crossing costs.
     */
    public record Topology(String weights, List<String> zones, List<Double> fees, String locality,
        double crossing) {
        public static final Topology DEFAULT = new Topology("nominal", List.of("here"), List.of(), null, 0);
    }

    private RelayConfig() {}

    public static void write(Path file, InetSocketAddress address, String platform, Path state,
        List<MessageClass> offerings,
        RelaySettings told) throws IOException {
        write(file, address, platform, state, offerings, told, Topology.DEFAULT);
    }

    /** {@code platform} is the address of discovery and notices, {@code state} the folder that lasts. */
    public static void write(Path file, InetSocketAddress address, String platform, Path state,
        List<MessageClass> offerings,
        RelaySettings told, Topology shape) throws IOException {
        try (OutputStream to = Files.newOutputStream(file);
            JsonGenerator out = new JsonFactory().createGenerator(to).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeStringField("name", "demo");
            out.writeStringField("listen", "127.0.0.1:" + address.getPort());
            out.writeStringField("discovery", platform);
            out.writeStringField("state", state.toString());
            out.writeStringField("seed", "1f");
            out.writeObjectFieldStart("limits");
            out.writeNumberField("cores", 1);
            out.writeNumberField("memory_mb", told.memoryMb);
            out.writeNumberField("sockets", 1024);
            out.writeNumberField("disk_mb", 8);
            out.writeEndObject();
            out.writeObjectFieldStart("settings");
            out.writeNumberField("balancers", told.relays);
            out.writeNumberField("ordinal", told.ordinal);
            out.writeStringField("discovery", "pushed");
            out.writeStringField("weights", shape.weights);
            strings(out, "zones", shape.zones.toArray(new String[0]));
            if (shape.locality != null) {
                out.writeStringField("locality", shape.locality);
            }
            out.writeObjectFieldStart("prices");
            out.writeNumberField("cross_zone", shape.crossing);
            out.writeEndObject();
            strings(out, "kinds", "plain", "bundled");
            out.writeObjectFieldStart("family_info");
            out.writeNumberField("max_calls", told.slots);
            out.writeArrayFieldStart("bundle_max");
            out.writeNumber(1);
            out.writeNumber(20);
            out.writeEndArray();
            out.writeArrayFieldStart("carriage");
            for (double fee : shape.fees) {
                out.writeNumber(fee);
            }
            out.writeEndArray();
            out.writeStringField("late", told.halving ? "by_half" : "evenly");
            out.writeEndObject();
            out.writeObjectFieldStart("limits");
            out.writeNumberField("max_open", told.hold);
            out.writeNumberField("try_limit", told.tries);
            out.writeBooleanField("cancel", true);
            out.writeBooleanField("retry_after", true);
            out.writeNumberField("max_retry_after_ms", 3000);
            out.writeNumberField("connect_timeout_ms", told.connectTimeoutMs);
            out.writeNumberField("conn_idle_ms", told.connectionIdleMs);
            out.writeEndObject();
            out.writeObjectFieldStart("rules");
            out.writeNumberField("cold_from", told.coldFrom);
            out.writeNumberField("cold_ms", told.coldMs);
            out.writeNumberField("fall_multiple", told.fallMultiple);
            out.writeNumberField("fall_ms", told.fallMs);
            out.writeNumberField("settle_after_doubt_ms", told.settleMs);
            out.writeEndObject();
            out.writeArrayFieldStart("request_classes");
            for (MessageClass one : offerings) {
                out.writeStartObject();
                out.writeStringField("name", one.name);
                out.writeStringField("repeat", one.repeat);
                out.writeStringField("group", "all");
                out.writeNumberField("dedup_window_ms", 10000);
                out.writeBooleanField("fifo_by_key", one.ordered);
                out.writeNumberField("worth", 1);
                out.writeNumberField("late_worth", 0.3);
                out.writeNumberField("on_time_ms", one.agreedMs);
                out.writeNumberField("give_up_ms", one.expiryMs);
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("tenants");
            out.writeStartObject();
            out.writeStringField("name", "demo");
            out.writeNumberField("quota_per_s", 1000);
            out.writeNumberField("portion", 1);
            out.writeEndObject();
            out.writeEndArray();
            out.writeEndObject();
            out.writeEndObject();
        }
    }

    private static void strings(JsonGenerator out, String name, String... values) throws IOException {
        out.writeArrayFieldStart(name);
        for (String value : values) {
            out.writeString(value);
        }
        out.writeEndArray();
    }
}
