package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.boot.PlatformSettings;
import yewpath.relay.Config;

/** Reads zone, price and family settings from the platform's JSON: valid, absent and invalid values. */
public final class SettingsTest {
    /** Reads the example configuration with one text replaced by another. */
    private static Config readWithReplacement(String original, String replacement) throws Exception {
        String example = Files.readString(Path.of("../example/config.json"));
        assertTrue(example.contains(original), original);
        Path file = Files.createTempFile("yewpath", ".json");
        try {
            return Config.read(Files.writeString(file, example.replace(original, replacement)).toString(),
                null, Map.of());
        } finally {
            Files.delete(file);
        }
    }

    /**
     * Guards against zone names, the price between zones and zone fees that are ignored or assigned to the
     * wrong zone.
     */
    @Test
    public void configuredValuesAreApplied() throws Exception {
        PolicySettings settings = readWithReplacement("\"zones\": [\"here\"],",
            "\"zones\": [\"north\", \"south\"], \"locality\": \"south\","
                + " \"prices\": {\"cross_zone\": 0.03},").platformSettings.policySettings;
        assertEquals(settings.zone, 1);
        assertEquals(settings.crossZonePrice, 0.03);
        PolicySettings settingsWithFees = readWithReplacement("\"family_info\": {",
            "\"family_info\": {\"carriage\": [0.06],").platformSettings.policySettings;
        assertEquals(settingsWithFees.zoneFees, new double[]{0.06});
    }

    /** Guards against prices or fees that apply although they or this relay's zone are not configured. */
    @Test
    public void absentValuesLeavePricesAtZero() throws Exception {
        PolicySettings settings = readWithReplacement("\"zones\"",
            "\"zones\"").platformSettings.policySettings;
        assertEquals(settings.crossZonePrice, 0.0);
        assertEquals(settings.zoneFees.length, 0);
        // A relay without a zone of its own never pays the price between zones.
        assertEquals(
            readWithReplacement("\"zones\"",
                "\"prices\": {\"cross_zone\": 0.03}, \"zones\"").platformSettings.policySettings.crossZonePrice,
            0.0);
    }

    /**
     * Guards against a process that ends because a simulator sends a list whose length differs from the list
     * of names: fields from a simulator are not validated.
     */
    @Test
    public void fieldsFromASimulatorAreNotValidated() {
        PolicySettings settings = PlatformSettings
            .ofFields(new String[]{"kinds=a,b", "zones=n,s", "locality=elsewhere", "prices.cross_zone=0.03",
                "family_info.routes_apart=true,false,false", "family_info.bundle_max=5,1,1",
                "family_info.carriage=0.1"}, 0).policySettings;
        assertEquals(settings.limitPerEndpoint, new boolean[]{true, false});
        assertEquals(settings.zone, -1);
        assertEquals(settings.zoneFees.length, 1);
    }

    /**
     * Guards against shared state between two deployments that are read one after the other in one process:
     * neither may know a name of the other.
     */
    @Test
    public void secondDeploymentKnowsNoNameOfTheFirst() throws Exception {
        PlatformSettings first = readWithReplacement("\"zones\"", "\"zones\"").platformSettings;
        Path file = Files.createTempFile("yewpath", ".json");
        PlatformSettings second;
        try {
            second = Config.read(Files.writeString(file,
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"state\":\"s\","
                    + "\"limits\":{\"memory_mb\":96,\"sockets\":300,\"disk_mb\":1},\"settings\":{\"balancers\":7,\"zones\":[\"q1\",\"q2\"],\"kinds\":[\"k1\"],"
                    + "\"family_info\":{\"max_calls\":3},\"tenants\":[{\"name\":\"t1\",\"quota_per_s\":1.0,\"portion\":1.0}],\"request_classes\":["
                    + "{\"name\":\"c1\",\"repeat\":\"token\",\"dedup_window_ms\":1000,\"worth\":5,\"late_worth\":0,\"on_time_ms\":10,\"give_up_ms\":20}]}}")
                .toString(), null, Map.of()).platformSettings;
        } finally {
            Files.delete(file);
        }
        assertEquals(second.messageClasses.find("c1"), 0);
        assertEquals(second.policySettings.messageClasses.length, 1);
        assertEquals(second.policySettings.messageClasses[0].semantics(),
            PolicySettings.DeliverySemantics.DEDUPLICATED);
        assertEquals(second.policySettings.messageClasses[0].deduplicationMicros(), 1_000_000);
        assertEquals(second.zones.find("here") + second.kinds.find("plain") + second.tenants.find("demo"),
            -3);
        for (int i = 0; i < first.policySettings.messageClasses.length; i++) {
            assertEquals(second.messageClasses.find(first.messageClasses.name(i)), -1,
                first.messageClasses.name(i));
        }
        PlatformSettings again = readWithReplacement("\"zones\"", "\"zones\"").platformSettings;
        assertEquals(again.policySettings.messageClasses, first.policySettings.messageClasses);
        assertEquals(again.messageClasses.find("c1"), -1);
        assertEquals(again.policySettings.maxConcurrentCalls, first.policySettings.maxConcurrentCalls);
    }

    @DataProvider
    public Object[][] invalidValues() {
        return new Object[][]{
            {"\"repeat\": \"pure\"", "\"repeat\": \"maybe\"",
                "request_classes.0.repeat is none of pure, token and side_effect: maybe"},
            {"\"zones\"", "\"locality\": \"moon\", \"zones\"", "locality: no such name in zones: moon"},
            {"\"zones\"", "\"locality\": \"here\", \"prices\": {\"cross_zone\": \"dear\"}, \"zones\"",
                "prices.cross_zone is not a number: dear"},
            {"\"zones\"", "\"prices\": {\"cross_zone\": -0.1}, \"zones\"",
                "prices.cross_zone is not from 0 to 1: -0.1"},
            {"\"family_info\": {", "\"family_info\": {\"carriage\": [1.5],",
                "family_info.carriage.0 is not from 0 to 1: 1.5"},
            {"\"family_info\": {", "\"family_info\": {\"carriage\": [0.1, 0.2],",
                "family_info.carriage has 2 values where zones has 1 names"},
            {"\"bundle_max\": [1]", "\"bundle_max\": [1, 5]",
                "family_info.bundle_max has 2 values where kinds has 1 names"},
            {"\"routes_apart\": [false]", "\"routes_apart\": [false, true]",
                "family_info.routes_apart has 2 values"},
            {"\"max_retry_after_ms\": 3000.0", "\"max_retry_after_ms\": -1",
                "limits.max_retry_after_ms is below 0: -1"},
        };
    }

    /** Guards against invalid settings that are accepted, or rejected without the path of the setting. */
    @Test(dataProvider = "invalidValues")
    public void invalidValueIsRefusedWithItsPath(String original, String replacement, String expectedError) {
        String message = expectThrows(Config.InvalidConfigException.class,
            () -> readWithReplacement(original, replacement)).getMessage();
        assertTrue(message.contains(expectedError), message);
    }
}
