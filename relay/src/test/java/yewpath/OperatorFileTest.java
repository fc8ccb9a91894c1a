package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import yewpath.configuration.ConfigurationException;
import yewpath.configuration.Key;
import yewpath.configuration.ValueType;
import yewpath.events.Event;
import yewpath.operator.OperatorFile;
import yewpath.operator.OperatorKeys;
import yewpath.operator.OperatorSettings;
import yewpath.operator.Reference;

/** Values that the operator's file may contain, and the errors reported for an invalid file. */
public final class OperatorFileTest {
    private static OperatorSettings read(String text) throws ConfigurationException {
        return OperatorFile.parse("y.toml", text);
    }

    private static List<String> errorLines(String text) {
        return expectThrows(ConfigurationException.class, () -> read(text)).errorLines();
    }

    @Test
    public void valuesAreReadWithUnitAndOrigin() throws ConfigurationException {
        OperatorSettings settings = read(
            "[clients]\nrequest_within = \"1.5 s\"\nbody_most = \"1 MiB\"\nbacklog = 7\n[ledger]\nlive_part = 0.3\n");
        assertEquals(settings.number(OperatorKeys.CLIENT_REQUEST_TIMEOUT), 1_500_000);
        assertEquals(settings.number(OperatorKeys.CLIENT_MAX_BODY_BYTES), 1 << 20);
        assertEquals(settings.number(OperatorKeys.CLIENT_BACKLOG), 7);
        assertEquals(settings.fraction(OperatorKeys.LEDGER_LIVE_FRACTION), 0.3);
        assertEquals(settings.origin(OperatorKeys.CLIENT_BACKLOG), "y.toml:4");
        assertEquals(settings.origin(OperatorKeys.LEDGER_COMPACTION_FRACTION), "default");
        assertEquals(settings.origin(OperatorKeys.CLIENT_CONNECTIONS), "derived");
        assertEquals(settings.numberOr(OperatorKeys.CLIENT_CONNECTIONS, 99), 99);
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][]{
            {"[clients]\n\nbacklogs = 7",
                "y.toml:3: unknown key clients.backlogs; the nearest known is clients.backlog"},
            {"[client]\nbacklog = 7", "y.toml:1: unknown table client; the nearest known is clients"},
            {"[endpoints]\nbacklog = 7",
                "y.toml:2: unknown key endpoints.backlog; the nearest known is clients.backlog"},
            {"clients = 3", "y.toml:1: unknown key clients"},
            {"[clients]\nrequest_within = 250",
                "clients.request_within should be a time with its unit such as \"250 ms\""},
            {"[clients]\nrequest_within = \"250\"", "should be a time with its unit"},
            {"[clients]\nrequest_within = \"250 KiB\"", "should be a time with its unit"},
            {"[clients]\nbody_most = \"64 kB\"", "should be a size with its unit"},
            {"[clients]\nbacklog = \"7\"", "should be a whole number"},
            {"[clients]\nbacklog = [7]", "should be a whole number such as 64; it is a list"},
            {"[clients.backlog]\nmost = 7", "should be a whole number such as 64; it is a table"},
            {"[clients]\nbacklog = 0", "y.toml:2: clients.backlog should be from 1 to 65535; it is 0"},
            {"[ledger]\nlive_part = nan", "should be from 0.01 to 0.49; it is NaN"},
            {"[log]\nform = \"xml\"", "log.form should be one of text, json; it is \"xml\""},
            {"[log]\nform = \"\\u001b[2J\"", "it is \"?[2J\""},
            {"[ledger]\nlive_part = 0.45",
                "y.toml:2: ledger.anew_part and ledger.live_part: together exceed 0.98"},
            {"[discovery]\nretry_first = \"2 s\"",
                "y.toml:2: discovery.retry_first and discovery.retry_most: the first exceeds"},
            {"[clients]\nbacklog = 7\nbacklog = 8", "y.toml:3: "},
            {"[clients\nbacklog = 7", "y.toml:1: "},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void errorNamesFileLineAndKey(String text, String expectedError) {
        List<String> lines = errorLines(
            text.contains("0.45") ? text.replace("0.45", "0.45\nanew_part = 0.6") : text);
        if (text.contains("0.45")) {
            assertTrue(lines.get(0).startsWith("y.toml:3: ledger.anew_part and ledger.live_part: together"),
                lines.toString());
            return;
        }
        assertEquals(lines.size(), 1, lines.toString());
        assertTrue(lines.get(0).startsWith("y.toml:") && lines.get(0).contains(expectedError),
            lines.toString());
    }

    @Test
    public void allErrorsAreReportedInOrderOfLines() {
        List<String> lines = errorLines(
            "[log]\nlevel = 3\n[clients]\nbacklog = 0\nid_mots = 9\n[nothing]\nx = 1\n");
        assertEquals(lines.stream().map(line -> line.split(":")[1]).toList(), List.of("2", "4", "5", "6"),
            lines.toString());
    }

    @Test
    public void boundsOfEachRangeAreAcceptedAndValuesBeyondAreRejected() throws ConfigurationException {
        for (Key key : OperatorKeys.all()) {
            if (key.type == ValueType.CHOICE) {
                continue;
            }
            for (double bound : new double[]{key.minimum, key.maximum}) {
                Object expected = key.type == ValueType.FRACTION ? (Object) bound : (Object) (long) bound;
                // In the smallest unit, so that the bound is not rounded.
                String fileValue = switch (key.type) {
                    case DURATION -> "\"" + (long) bound + " us\"";
                    case SIZE -> "\"" + (long) bound + " B\"";
                    default -> key.type.format(expected);
                };
                String text = "[" + key.table() + "]\n" + key.path.substring(key.path.indexOf('.') + 1)
                    + " = ";
                try {
                    assertEquals(read(text + fileValue).value(key), expected);
                } catch (ConfigurationException conflict) {
                    // The value by itself is valid, but conflicts with the default of another key.
                    assertTrue(conflict.getMessage().contains(" and "), conflict.getMessage());
                }
                double beyond = bound + (bound == key.minimum ? -1 : 1);
                if (beyond >= 0) {
                    String invalidValue = key.type == ValueType.FRACTION ? String.valueOf(beyond)
                        : fileValue.replace(
                            String.valueOf((long) bound), String.valueOf((long) beyond));
                    assertTrue(errorLines(text + invalidValue).get(0).contains("should be from"), key.path);
                }
            }
        }
    }

    @Test
    public void effectiveFileReadsBackToTheSameSettings() throws ConfigurationException {
        OperatorSettings first = read(
            "[clients]\nrequest_within = \"1.234 s\"\nlinger_most = \"3000 B\"\nconnections = 12\n[log]\nform = \"json\"");
        OperatorSettings again = read(Reference.effective(first));
        for (Key key : OperatorKeys.all()) {
            assertEquals(again.value(key), first.value(key), key.path);
        }
        assertTrue(Reference.effective(first).contains("connections = 12   # y.toml:4"));
        assertEquals(OperatorSettings.DEFAULTS.changedKeys(first, true),
            List.of("clients.request_within", "clients.linger_most",
                "log.form"));
        assertEquals(OperatorSettings.DEFAULTS.changedKeys(first, false), List.of("clients.connections"));
    }

    @Test
    public void exampleFileIsValidAndSetsOnlyDefaults() throws Exception {
        OperatorSettings deployed = OperatorFile.read("../deploy/yewpath.toml");
        assertEquals(OperatorSettings.DEFAULTS.changedKeys(deployed, true), List.of());
        assertEquals(OperatorSettings.DEFAULTS.changedKeys(deployed, false), List.of());
    }

    @Test
    public void unreadableFileIsReported() throws Exception {
        assertEquals(
            expectThrows(ConfigurationException.class, () -> OperatorFile.read("/nowhere/y.toml"))
                .errorLines(),
            List.of("/nowhere/y.toml: no such file"));
        Path bytes = Files.write(Files.createTempFile("y", ".toml"), new byte[]{'a', (byte) 0xff, '=', '1'});
        assertTrue(
            expectThrows(ConfigurationException.class, () -> OperatorFile.read(bytes.toString())).getMessage()
                .contains("not UTF-8"));
        Files.delete(bytes);
    }

    /** The generated pages are up to date with the keys and events of the program. */
    @Test
    public void referencePagesAreUpToDate() throws Exception {
        assertEquals(Files.readString(Path.of("../docs/configuration.md")), Reference.markdown(),
            "generate it again: bin/yewpath config keys --markdown");
        assertEquals(Files.readString(Path.of("../docs/events.md")), Event.markdown(),
            "generate it again: bin/yewpath events --markdown");
    }
}
