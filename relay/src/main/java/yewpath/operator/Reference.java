package yewpath.operator;

import java.util.Map;
import yewpath.configuration.Key;

/** The catalogue as pages and listings; docs/configuration.md is written from here. */
public final class Reference {
    private Reference() {}

    /** Returns every key as plain text. */
    public static String text() {
        StringBuilder out = new StringBuilder();
        for (Key key : OperatorKeys.all()) {
            out.append(key.path).append("  (").append(key.formattedDefault()).append("; ").append(key.range())
                .append(key.reloadable ? "; SIGHUP" : "; restart").append(")\n    ").append(key.description)
                .append('\n');
        }
        return out.toString();
    }

    /** Returns every key as a page. */
    public static String markdown() {
        StringBuilder out = new StringBuilder(
            """
                # The operator's file

                Made by `bin/yewpath config keys --markdown`; the text is in `yewpath.operator.Catalogue`.

                `serve --operator FILE` reads it: TOML, everything optional. Times and sizes are texts with their unit. Keys marked
                *SIGHUP* are taken up by a running relay on that signal, the others wait for a restart, and the log says which. A file
                with a fault is refused as a whole: at a start with exit code 2 and every fault told, on SIGHUP by going on as before.
                What the platform tells (`limits`, `settings`) stays in its own JSON; `deploy/yewpath.toml` is a file to start from.
                `bin/yewpath config check FILE` looks for faults, `bin/yewpath config show FILE` tells what is in force and from where.
                """);
        for (Map.Entry<String, String> table : OperatorKeys.tables().entrySet()) {
            out.append("\n## [").append(table.getKey()).append("]\n\n").append(table.getValue())
                .append("\n\n| key | default | range | taken up | |\n| --- | --- | --- | --- | --- |\n");
            for (Key key : OperatorKeys.all()) {
                if (key.table().equals(table.getKey())) {
                    out.append("| `").append(key.path.substring(key.path.indexOf('.') + 1)).append("` | ")
                        .append(key.formattedDefault()).append(" | ").append(key.range()).append(" | ")
                        .append(key.reloadable ? "SIGHUP" : "restart").append(" | ").append(key.description)
                        .append(" |\n");
                }
            }
        }
        return out.toString();
    }

    /** The values in force, as a file that would set them so, each with where it comes from. */
    public static String effective(OperatorSettings operator) {
        StringBuilder out = new StringBuilder();
        String table = "";
        for (Key key : OperatorKeys.all()) {
            if (!key.table().equals(table)) {
                out.append(table.isEmpty() ? "" : "\n").append('[').append(table = key.table()).append("]\n");
            }
            Object value = operator.value(key);
            String name = key.path.substring(key.path.indexOf('.') + 1);
            out.append(value == null ? "# " + name + " =" : name + " = " + key.type.format(value))
                .append("   # ")
                .append(operator.origin(key)).append('\n');
        }
        return out.toString();
    }
}
