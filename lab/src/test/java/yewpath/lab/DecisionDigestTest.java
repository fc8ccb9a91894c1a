package yewpath.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.Settings;

/**
 * Compares every action of the decision module, in order, with those recorded before a refactoring. A rename or a split
 * leaves the digests as they are; a deliberate change of decisions replaces them, in the commit that says why.
 */
public final class DecisionDigestTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][]{{"plain"}, {"reported"}, {"unlisted"}, {"zoned"}, {"asked"}, {"crowded"},
            {"alone"}, {"large"}};
    }

    @Test(dataProvider = "fleets")
    public void everyActionIsAsRecorded(String name) throws IOException {
        Properties recorded = new Properties();
        try (InputStream in = DecisionDigestTest.class.getResourceAsStream("/decision-digests.properties")) {
            recorded.load(in);
        }
        assertEquals(play(name, 1), recorded.getProperty(name), "digest of fleet " + name);
    }

    @Test
    public void anotherSeedIsAnotherDigest() {
        assertNotEquals(play("plain", 2), play("plain", 1));
    }

    private static String play(String name, long seed) {
        DecisionFleet.Options options = new DecisionFleet.Options();
        Settings settings = settings();
        switch (name) {
            case "plain" -> options.relays = 3;
            case "reported" -> {
                options.reports = true;
                settings.relays = 40;
            }
            case "unlisted" -> {
                settings.listTellsRate = false;
                settings.halving = true;
            }
            case "zoned" -> {
                settings.crossingPrice = 0.004;
                settings.fees = new double[]{0.02, 0};
                settings.rateIsRough = true;
            }
            case "asked" -> {
                settings.listAsked = true;
                settings.askEvery = 2 * SECOND;
            }
            case "crowded" -> {
                settings.slots = 6;
                settings.holdLimit = 24;
                settings.refusalPrice = 0.05;
                options.load = 1.6;
            }
            case "alone" -> {
                settings.mayCancel = false;
                settings.connectTimeout = 0;
                settings.connectionIdle = 0;
                settings.coldFrom = 0;
                settings.coldFor = 0;
                settings.fallMultiple = 0;
                settings.fallFor = 0;
                options.relays = 1;
            }
            case "large" -> {
                settings.relays = 2_000;
                options.load = 0.3;
            }
            default -> throw new IllegalArgumentException(name);
        }
        settings.relays = Math.max(settings.relays, options.relays);
        return new DecisionFleet(settings, options, seed).play();
    }

    private static Settings settings() {
        Settings settings = new Settings();
        settings.relays = 2;
        settings.slots = 16;
        settings.holdLimit = 120;
        settings.shotLimit = 8;
        settings.mayCancel = true;
        settings.listTellsRate = true;
        settings.tellsPause = true;
        settings.pauseLimit = 3 * SECOND;
        settings.coldFrom = 0.18;
        settings.coldFor = 6 * SECOND;
        settings.fallMultiple = 2;
        settings.fallFor = 2 * SECOND;
        settings.connectTimeout = SECOND;
        settings.connectionIdle = 10 * SECOND;
        settings.settleAfterDoubt = 500 * MS;
        settings.routesApart = new boolean[]{false, false, true};
        settings.bundle = new int[]{1, 5, 1};
        settings.fees = new double[2];
        settings.offerings = new Settings.Offering[]{
            new Settings.Offering(1, 0.1, SECOND, 8 * SECOND, Settings.Kind.REPEATABLE, false, 0, false),
            new Settings.Offering(2, 0.4, 2 * SECOND, 12 * SECOND, Settings.Kind.TAGGED, true, 4 * SECOND,
                false),
            new Settings.Offering(1, 0.4, 3 * SECOND, 20 * SECOND, Settings.Kind.ONCE_ONLY, false, 0, false),
            new Settings.Offering(3, 0.3, 3 * SECOND, 20 * SECOND, Settings.Kind.ONCE_ONLY, false, 0, true)};
        return settings;
    }
}
