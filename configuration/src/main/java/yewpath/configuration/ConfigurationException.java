package yewpath.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * Thrown for an invalid configuration file. Lists every error that was found, with file name, line and key.
 */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;
    private final ArrayList<String> errorLines;

    /** Creates an exception whose message is all {@code errorLines}, joined by line feeds. */
    public ConfigurationException(List<String> errorLines) {
        super(String.join("\n", errorLines), null, false, false);
        this.errorLines = new ArrayList<>(errorLines);
    }

    /** Returns one line of text for each error, ordered by line number. */
    public List<String> errorLines() {
        return List.copyOf(errorLines);
    }
}
