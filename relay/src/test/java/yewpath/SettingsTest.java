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

/** The settings that the move brought, in the platform's JSON: taken, at their defaults, or refused by path. */
public final class SettingsTest {
    private static Config read(String from, String to) throws Exception {
        String usual = Files.readString(Path.of("../example/config.json"));
        assertTrue(usual.contains(from), from);
        Path file = Files.createTempFile("yewpath", ".json");
        try {
            return Config.read(Files.writeString(file, usual.replace(from, to)).toString(), null, Map.of());
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void areTakenAsTold() throws Exception {
        PolicySettings told = read("\"zones\": [\"here\"],",
            "\"zones\": [\"north\", \"south\"], \"locality\": \"south\","
                + " \"prices\": {\"cross_zone\": 0.03},").platformSettings.policySettings;
        assertEquals(told.zone, 1);
        assertEquals(told.crossZonePrice, 0.03);
        PolicySettings fees = read("\"family_info\": {",
            "\"family_info\": {\"carriage\": [0.06],").platformSettings.policySettings;
        assertEquals(fees.zoneFees, new double[]{0.06});
    }

    @Test
    public void changeNothingWhereAbsent() throws Exception {
        PolicySettings told = read("\"zones\"", "\"zones\"").platformSettings.policySettings;
        assertEquals(told.crossZonePrice, 0.0);
        assertEquals(told.zoneFees.length, 0);
        // Where no zone is this relay's own, a price for crossing can't be due.
        assertEquals(
            read("\"zones\"",
                "\"prices\": {\"cross_zone\": 0.03}, \"zones\"").platformSettings.policySettings.crossZonePrice,
            0.0);
    }

    /** Guards against a simulator's wire ending the process: there a list may be of another length than the names. */
    @Test
    public void areTakenAsTheyAreFromAWire() {
        PolicySettings told = PlatformSettings
            .ofFields(new String[]{"kinds=a,b", "zones=n,s", "locality=elsewhere", "prices.cross_zone=0.03",
                "family_info.routes_apart=true,false,false", "family_info.bundle_max=5,1,1",
                "family_info.carriage=0.1"}, 0).policySettings;
        assertEquals(told.limitPerEndpoint, new boolean[]{true, false});
        assertEquals(told.zone, -1);
        assertEquals(told.zoneFees.length, 1);
    }

    /** Two deployments, one after the other in one process: neither knows a name of the other. */
    @Test
    public void ofOneDeploymentNothingIsLeftInTheNext() throws Exception {
        PlatformSettings first = read("\"zones\"", "\"zones\"").platformSettings;
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
        PlatformSettings again = read("\"zones\"", "\"zones\"").platformSettings;
        assertEquals(again.policySettings.messageClasses, first.policySettings.messageClasses);
        assertEquals(again.messageClasses.find("c1"), -1);
        assertEquals(again.policySettings.maxConcurrentCalls, first.policySettings.maxConcurrentCalls);
    }

    @DataProvider
    public Object[][] faults() {
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

    @Test(dataProvider = "faults")
    public void areRefusedByPath(String from, String to, String fault) {
        String told = expectThrows(Config.InvalidConfigException.class, () -> read(from, to)).getMessage();
        assertTrue(told.contains(fault), told);
    }
}
