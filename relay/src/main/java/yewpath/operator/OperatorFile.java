package yewpath.operator;

import java.util.Map;
import yewpath.configuration.ConfigurationException;
import yewpath.configuration.FileSchema;
import yewpath.configuration.Key;
import yewpath.configuration.SettingValues;
import yewpath.configuration.TomlFile;

/** Reads the operator's file and checks what must fit together in it. */
public final class OperatorFile {
    private static final FileSchema SHAPE = new FileSchema(OperatorKeys.all(), OperatorKeys.tables(),
        Map.of(), null);

    private OperatorFile() {}

    /** {@code path} may be null, which leaves all as it stands in the catalogue. */
    public static OperatorSettings read(String path) throws ConfigurationException {
        return path == null ? OperatorSettings.STANDARD
            : new OperatorSettings(TomlFile.read(path, SHAPE, OperatorFile::together));
    }

    /** The same of a text that stands in no file; {@code name} is what faults call it. */
    public static OperatorSettings parse(String name, String text) throws ConfigurationException {
        return new OperatorSettings(TomlFile.parse(name, text, SHAPE, OperatorFile::together));
    }

    /** Each fault at the line of a key that is told. */
    private static void together(SettingValues all, TomlFile.ErrorReporter fault) {
        if (all.fraction(OperatorKeys.LEDGER_LIVE_FRACTION)
            + all.fraction(OperatorKeys.LEDGER_COMPACTION_FRACTION) > 0.98) {
            unfit(all, fault, OperatorKeys.LEDGER_COMPACTION_FRACTION, OperatorKeys.LEDGER_LIVE_FRACTION,
                "together exceed 0.98 of the disk");
        }
        if (all.fraction(OperatorKeys.LEDGER_LIVE_FRACTION) >= all
            .fraction(OperatorKeys.LEDGER_COMPACTION_FRACTION)) {
            unfit(all, fault, OperatorKeys.LEDGER_LIVE_FRACTION, OperatorKeys.LEDGER_COMPACTION_FRACTION,
                "the first must be less, or the file is written anew each time");
        }
        ordered(all, fault, OperatorKeys.BUFFER_INITIAL_BYTES, OperatorKeys.BUFFER_MAX_BYTES);
        ordered(all, fault, OperatorKeys.DISCOVERY_MIN_RETRY_DELAY, OperatorKeys.DISCOVERY_MAX_RETRY_DELAY);
        ordered(all, fault, OperatorKeys.SHUTDOWN_ATTEMPT_PERIOD, OperatorKeys.SHUTDOWN_MAX_DURATION);
        ordered(all, fault, OperatorKeys.SHUTDOWN_MIN_DURATION, OperatorKeys.SHUTDOWN_MAX_DURATION);
    }

    private static void ordered(SettingValues all, TomlFile.ErrorReporter fault, Key less, Key more) {
        if (all.number(less) > all.number(more)) {
            unfit(all, fault, less, more,
                "the first exceeds the second (" + less.type.format(all.value(less)) + ", "
                    + more.type.format(all.value(more)) + ")");
        }
    }

    private static void unfit(SettingValues all, TomlFile.ErrorReporter fault, Key one, Key other,
        String why) {
        fault.report(all.isSet(one) ? all.line(one) : all.line(other),
            one.path + " and " + other.path + ": " + why);
    }
}
