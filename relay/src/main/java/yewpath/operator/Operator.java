package yewpath.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import yewpath.configuration.Key;
import yewpath.configuration.Values;

/** What is in force: the operator's file over the catalogue. Never changes: a new file makes a new one. */
public final class Operator {
    /** No file: all as it stands in the catalogue. */
    public static final Operator STANDARD = new Operator(new Values());

    private final Values values;

    Operator(Values values) {
        this.values = values;
    }

    /** Null where neither the file nor the catalogue names a figure. */
    public Object value(Key key) {
        return values.value(key);
    }

    /** Of counts, spans (microseconds) and sizes (bytes). */
    public long figure(Key key) {
        return values.figure(key);
    }

    /** {@code derived} holds where the file says nothing. */
    public long figureOr(Key key, long derived) {
        return values.isTold(key) ? values.figure(key) : derived;
    }

    public double part(Key key) {
        return values.part(key);
    }

    public String word(Key key) {
        return values.word(key);
    }

    /** "file:line", "default" or "derived". */
    public String origin(Key key) {
        return values.origin(key);
    }

    /** The keys whose values differ, of those that a running relay takes up, or of the others. */
    public List<String> changes(Operator anew, boolean live) {
        List<String> paths = new ArrayList<>();
        for (Key key : Catalogue.all()) {
            if (key.live == live && !Objects.equals(value(key), anew.value(key))) {
                paths.add(key.path);
            }
        }
        return paths;
    }
}
