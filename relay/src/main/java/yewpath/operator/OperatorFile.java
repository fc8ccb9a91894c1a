package yewpath.operator;

import java.util.Map;
import yewpath.configuration.ConfigurationException;
import yewpath.configuration.FileSchema;
import yewpath.configuration.Key;
import yewpath.configuration.SettingValues;
import yewpath.configuration.TomlFile;

/** Reads the operator's file and checks the conditions that involve several keys. */
public final class OperatorFile {
    private static final FileSchema SCHEMA = new FileSchema(OperatorKeys.all(), OperatorKeys.tables(),
        Map.of(),
        null);

    private OperatorFile() {}

    /**
     * Reads a file.
     *
     * @param path the file; null returns the defaults
     * @throws ConfigurationException if the file can't be read or contains errors; holds all of them
     */
    public static OperatorSettings read(String path) throws ConfigurationException {
        return path == null ? OperatorSettings.DEFAULTS
            : new OperatorSettings(TomlFile.read(path, SCHEMA, OperatorFile::checkKeyPairs));
    }

    /**
     * Reads the text of a file.
     *
     * @param fileName the file name that error messages show
     * @throws ConfigurationException if the text contains errors; holds all of them
     */
    public static OperatorSettings parse(String fileName, String text) throws ConfigurationException {
        return new OperatorSettings(TomlFile.parse(fileName, text, SCHEMA, OperatorFile::checkKeyPairs));
    }

    /** Reports each violated condition at the line of one of its keys that the file sets. */
    private static void checkKeyPairs(SettingValues values, TomlFile.ErrorReporter errors) {
        if (values.fraction(OperatorKeys.LEDGER_LIVE_FRACTION)
            + values.fraction(OperatorKeys.LEDGER_COMPACTION_FRACTION) > 0.98) {
            reportPair(values, errors, OperatorKeys.LEDGER_COMPACTION_FRACTION,
                OperatorKeys.LEDGER_LIVE_FRACTION,
                "together exceed 0.98 of the disk");
        }
        if (values.fraction(OperatorKeys.LEDGER_LIVE_FRACTION) >= values
            .fraction(OperatorKeys.LEDGER_COMPACTION_FRACTION)) {
            reportPair(values, errors, OperatorKeys.LEDGER_LIVE_FRACTION,
                OperatorKeys.LEDGER_COMPACTION_FRACTION,
                "the first must be less than the second, or every write would compact the ledger");
        }
        checkOrder(values, errors, OperatorKeys.BUFFER_INITIAL_BYTES, OperatorKeys.BUFFER_MAX_BYTES);
        checkOrder(values, errors, OperatorKeys.DISCOVERY_MIN_RETRY_DELAY,
            OperatorKeys.DISCOVERY_MAX_RETRY_DELAY);
        checkOrder(values, errors, OperatorKeys.SHUTDOWN_ATTEMPT_PERIOD, OperatorKeys.SHUTDOWN_MAX_DURATION);
        checkOrder(values, errors, OperatorKeys.SHUTDOWN_MIN_DURATION, OperatorKeys.SHUTDOWN_MAX_DURATION);
    }

    private static void checkOrder(SettingValues values, TomlFile.ErrorReporter errors, Key smaller,
        Key larger) {
        if (values.number(smaller) > values.number(larger)) {
            reportPair(values, errors, smaller, larger,
                "the first exceeds the second (" + smaller.type.format(values.value(smaller)) + ", "
                    + larger.type.format(values.value(larger)) + ")");
        }
    }

    private static void reportPair(SettingValues values, TomlFile.ErrorReporter errors, Key first, Key second,
        String problem) {
        errors.report(values.isSet(first) ? values.line(first) : values.line(second),
            first.path + " and " + second.path + ": " + problem);
    }
}
