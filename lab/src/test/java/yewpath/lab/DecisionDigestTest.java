package yewpath.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.PolicySettings;

/**
 * Compares every action of the delivery policy, in order, with the actions recorded before a refactoring.
 * Renaming or splitting code must not change the digests. A deliberate change of decisions replaces them, in
 * a commit that gives the reason.
 */
public final class DecisionDigestTest {
    private static final long MILLISECOND_MICROS = 1_000;
    private static final long SECOND_MICROS = 1_000_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][]{{"plain"}, {"reported"}, {"unlisted"}, {"zoned"}, {"asked"}, {"crowded"},
            {"alone"}, {"large"}};
    }

    @Test(dataProvider = "fleets")
    public void actionsMatchRecordedDigest(String name) throws IOException {
        Properties recorded = new Properties();
        try (InputStream input = DecisionDigestTest.class
            .getResourceAsStream("/decision-digests.properties")) {
            recorded.load(input);
        }
        assertEquals(play(name, 1), recorded.getProperty(name), "digest of fleet " + name);
    }

    @Test
    public void digestDependsOnSeed() {
        assertNotEquals(play("plain", 2), play("plain", 1));
    }

    private static String play(String name, long seed) {
        DecisionFleet.Options options = new DecisionFleet.Options();
        PolicySettings settings = settings();
        switch (name) {
            case "plain" -> options.relays = 3;
            case "reported" -> {
                options.reports = true;
                settings.relayCount = 40;
            }
            case "unlisted" -> {
                settings.listReportsRate = false;
                settings.lateRevenueHalves = true;
            }
            case "zoned" -> {
                settings.crossZonePrice = 0.004;
                settings.zoneFees = new double[]{0.02, 0};
                settings.listedRateIsApproximate = true;
            }
            case "asked" -> {
                settings.listOnRequest = true;
                settings.listRequestIntervalMicros = 2 * SECOND_MICROS;
            }
            case "crowded" -> {
                settings.maxConcurrentCalls = 6;
                settings.maxOpenMessages = 24;
                settings.refusalPrice = 0.05;
                options.load = 1.6;
            }
            case "alone" -> {
                settings.cancelAllowed = false;
                settings.connectTimeoutMicros = 0;
                settings.idleConnectionTimeoutMicros = 0;
                settings.warmUpInitialShare = 0;
                settings.warmUpMicros = 0;
                settings.collapseMultiple = 0;
                settings.collapseWindowMicros = 0;
                options.relays = 1;
            }
            case "large" -> {
                settings.relayCount = 2_000;
                options.load = 0.3;
            }
            default -> throw new IllegalArgumentException(name);
        }
        settings.relayCount = Math.max(settings.relayCount, options.relays);
        return new DecisionFleet(settings, options, seed).play();
    }

    private static PolicySettings settings() {
        PolicySettings settings = new PolicySettings();
        settings.relayCount = 2;
        settings.maxConcurrentCalls = 16;
        settings.maxOpenMessages = 120;
        settings.maxAttempts = 8;
        settings.cancelAllowed = true;
        settings.listReportsRate = true;
        settings.reportsRetryAfter = true;
        settings.maxRetryAfterMicros = 3 * SECOND_MICROS;
        settings.warmUpInitialShare = 0.18;
        settings.warmUpMicros = 6 * SECOND_MICROS;
        settings.collapseMultiple = 2;
        settings.collapseWindowMicros = 2 * SECOND_MICROS;
        settings.connectTimeoutMicros = SECOND_MICROS;
        settings.idleConnectionTimeoutMicros = 10 * SECOND_MICROS;
        settings.settleAfterUncertainMicros = 500 * MILLISECOND_MICROS;
        settings.limitPerEndpoint = new boolean[]{false, false, true};
        settings.maxBatchSize = new int[]{1, 5, 1};
        settings.zoneFees = new double[2];
        settings.messageClasses = new PolicySettings.MessageClass[]{
            new PolicySettings.MessageClass(1, 0.1, SECOND_MICROS, 8 * SECOND_MICROS,
                PolicySettings.DeliverySemantics.IDEMPOTENT, false, 0, false),
            new PolicySettings.MessageClass(2, 0.4, 2 * SECOND_MICROS, 12 * SECOND_MICROS,
                PolicySettings.DeliverySemantics.DEDUPLICATED, true, 4 * SECOND_MICROS,
                false),
            new PolicySettings.MessageClass(1, 0.4, 3 * SECOND_MICROS, 20 * SECOND_MICROS,
                PolicySettings.DeliverySemantics.AT_MOST_ONCE, false, 0, false),
            new PolicySettings.MessageClass(3, 0.3, 3 * SECOND_MICROS, 20 * SECOND_MICROS,
                PolicySettings.DeliverySemantics.AT_MOST_ONCE, false, 0, true)};
        return settings;
    }
}
