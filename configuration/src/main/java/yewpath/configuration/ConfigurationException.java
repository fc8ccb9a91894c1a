package yewpath.configuration;

import java.util.ArrayList;
import java.util.List;

/** What is wrong with a file: a line for each fault, with file, line and path. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;
    private final ArrayList<String> lines;

    public ConfigurationException(List<String> lines) {
        super(String.join("\n", lines), null, false, false);
        this.lines = new ArrayList<>(lines);
    }

    public List<String> errorLines() {
        return List.copyOf(lines);
    }
}
