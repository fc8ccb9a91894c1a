package yewpath.standins.process;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes the configuration file of a relay that is used with test servers. */
public final class RelayConfig {
    /**
     * A class of messages.
     *
     * @param name also the path that clients submit to
     * @param repeat delivery semantics: pure (idempotent), token (deduplicated) or side_effect (at most once)
     * @param ordered whether messages with the same key are delivered in order
     * @param onTimeMillis time after submission within which a delivery is on time
     * @param giveUpMillis usual time from submission to the deadline
     */
    public record MessageClass(String name, String repeat, boolean ordered, int onTimeMillis,
        int giveUpMillis) {}

    /**
     * Settings of one relay.
     *
     * @param relayCount number of relays that serve the same destinations
     * @param relayIndex number of this relay among them, from 0
     * @param maxCalls number of calls that the relay may have in flight at once
     * @param maxOpenMessages number of accepted messages without an outcome that the relay may have
     * @param attemptLimit number of attempts for one message
     * @param connectionIdleMillis time after which idle connections are closed
     * @param coldFrom part of its capacity that an endpoint has just after its return
     * @param coldMillis time from an endpoint's return until it has its full capacity again
     * @param fallMultiple multiple of its capacity at which an endpoint that has just returned is overloaded
     * and refuses
     * @param fallMillis how long such an endpoint then refuses
     * @param settleMillis time that the relay waits with later messages of a key after an attempt of unknown
     * outcome
     * @param lateWorthHalves whether the worth of a late message halves with each on-time period; otherwise
     * it decreases linearly
     * @param memoryMb memory limit of the relay in MB
     */
    public record RelaySettings(int relayCount, int relayIndex, int maxCalls, int maxOpenMessages,
        int attemptLimit, long connectTimeoutMillis, long connectionIdleMillis, double coldFrom,
        long coldMillis, double fallMultiple, long fallMillis, long settleMillis, boolean lateWorthHalves,
        int memoryMb) {
        /** A single relay of medium size. */
        public static final RelaySettings DEFAULT = new RelaySettings(1, 0, 32, 400, 8, 1_000, 10_000, 0.2,
            3_000, 2, 1_000, 400, true, 192);
    }

    /**
     * What depends on the shape of a deployment.
     *
     * @param weights what the weight of an endpoint in the discovery list means, such as nominal or none
     * @param zones names of the zones
     * @param fees by zone, the part of a message's worth that a separate route into the zone costs; empty for
     * none
     * @param relayZone zone of this relay, null if it has none
     * @param crossZonePrice the part of a message's worth that an attempt into another zone costs
     */
    public record Topology(String weights, List<String> zones, List<Double> fees, String relayZone,
        double crossZonePrice) {
        /** One zone without fees; weights are nominal capacities. */
        public static final Topology DEFAULT = new Topology("nominal", List.of("here"), List.of(), null, 0);
    }

    private RelayConfig() {}

    /**
     * As {@link #write(Path, InetSocketAddress, String, Path, List, RelaySettings, Topology)} with the
     * default topology.
     */
    public static void write(Path file, InetSocketAddress address, String platform, Path stateFolder,
        List<MessageClass> messageClasses, RelaySettings settings) throws IOException {
        write(file, address, platform, stateFolder, messageClasses, settings, Topology.DEFAULT);
    }

    /**
     * Writes the configuration file.
     *
     * @param file is created or replaced
     * @param address the address that the relay listens on
     * @param platform host:port of the platform, which serves discovery and receives notices
     * @param stateFolder where the relay keeps data that outlast a restart
     */
    public static void write(Path file, InetSocketAddress address, String platform, Path stateFolder,
        List<MessageClass> messageClasses, RelaySettings settings, Topology topology) throws IOException {
        try (OutputStream output = Files.newOutputStream(file);
            JsonGenerator json = new JsonFactory().createGenerator(output).useDefaultPrettyPrinter()) {
            json.writeStartObject();
            json.writeStringField("name", "demo");
            json.writeStringField("listen", LoopbackAddresses.hostAndPort(address));
            json.writeStringField("discovery", platform);
            json.writeStringField("state", stateFolder.toString());
            json.writeStringField("seed", "1f");
            json.writeObjectFieldStart("limits");
            json.writeNumberField("cores", 1);
            json.writeNumberField("memory_mb", settings.memoryMb);
            json.writeNumberField("sockets", 1024);
            json.writeNumberField("disk_mb", 8);
            json.writeEndObject();
            json.writeObjectFieldStart("settings");
            json.writeNumberField("balancers", settings.relayCount);
            json.writeNumberField("ordinal", settings.relayIndex);
            json.writeStringField("discovery", "pushed");
            json.writeStringField("weights", topology.weights);
            writeStrings(json, "zones", topology.zones.toArray(new String[0]));
            if (topology.relayZone != null) {
                json.writeStringField("locality", topology.relayZone);
            }
            json.writeObjectFieldStart("prices");
            json.writeNumberField("cross_zone", topology.crossZonePrice);
            json.writeEndObject();
            writeStrings(json, "kinds", "plain", "bundled");
            json.writeObjectFieldStart("family_info");
            json.writeNumberField("max_calls", settings.maxCalls);
            json.writeArrayFieldStart("bundle_max");
            json.writeNumber(1);
            json.writeNumber(20);
            json.writeEndArray();
            json.writeArrayFieldStart("carriage");
            for (double fee : topology.fees) {
                json.writeNumber(fee);
            }
            json.writeEndArray();
            json.writeStringField("late", settings.lateWorthHalves ? "by_half" : "evenly");
            json.writeEndObject();
            json.writeObjectFieldStart("limits");
            json.writeNumberField("max_open", settings.maxOpenMessages);
            json.writeNumberField("try_limit", settings.attemptLimit);
            json.writeBooleanField("cancel", true);
            json.writeBooleanField("retry_after", true);
            json.writeNumberField("max_retry_after_ms", 3000);
            json.writeNumberField("connect_timeout_ms", settings.connectTimeoutMillis);
            json.writeNumberField("conn_idle_ms", settings.connectionIdleMillis);
            json.writeEndObject();
            json.writeObjectFieldStart("rules");
            json.writeNumberField("cold_from", settings.coldFrom);
            json.writeNumberField("cold_ms", settings.coldMillis);
            json.writeNumberField("fall_multiple", settings.fallMultiple);
            json.writeNumberField("fall_ms", settings.fallMillis);
            json.writeNumberField("settle_after_doubt_ms", settings.settleMillis);
            json.writeEndObject();
            json.writeArrayFieldStart("request_classes");
            for (MessageClass messageClass : messageClasses) {
                json.writeStartObject();
                json.writeStringField("name", messageClass.name);
                json.writeStringField("repeat", messageClass.repeat);
                json.writeStringField("group", "all");
                json.writeNumberField("dedup_window_ms", 10000);
                json.writeBooleanField("fifo_by_key", messageClass.ordered);
                json.writeNumberField("worth", 1);
                json.writeNumberField("late_worth", 0.3);
                json.writeNumberField("on_time_ms", messageClass.onTimeMillis);
                json.writeNumberField("give_up_ms", messageClass.giveUpMillis);
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("tenants");
            json.writeStartObject();
            json.writeStringField("name", "demo");
            json.writeNumberField("quota_per_s", 1000);
            json.writeNumberField("portion", 1);
            json.writeEndObject();
            json.writeEndArray();
            json.writeEndObject();
            json.writeEndObject();
        }
    }

    private static void writeStrings(JsonGenerator json, String name, String... values) throws IOException {
        json.writeArrayFieldStart(name);
        for (String value : values) {
            json.writeString(value);
        }
        json.writeEndArray();
    }
}
