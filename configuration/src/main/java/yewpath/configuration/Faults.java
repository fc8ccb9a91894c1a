package yewpath.configuration;

import java.util.ArrayList;
import java.util.List;

/** What is wrong with a file: a line for each fault, with file, line and path. */
public final class Faults extends Exception {
    private static final long serialVersionUID = 1L;
    private final ArrayList<String> lines;

    public Faults(List<String> lines) {
        super(String.join("\n", lines), null, false, false);
        this.lines = new ArrayList<>(lines);
    }

    public List<String> lines() {
        return List.copyOf(lines);
    }
}
