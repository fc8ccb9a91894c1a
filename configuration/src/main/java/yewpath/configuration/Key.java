package yewpath.configuration;

import java.util.List;

/**
 * One thing that may be set: {@code path} in the file, its type, what holds where the file says nothing,
 * the range, whether a running relay takes it up on SIGHUP, and a sentence for the reference.
 */
public final class Key {
    public final String path;
    public final Type type;
    /** Null where it follows from other figures; the sentence says from which. */
    public final Object standard;
    public final double least;
    public final double most;
    /** Empty but for {@link Type#WORD}. */
    public final List<String> words;
    public final boolean live;
    public final String sentence;

    private Key(String path, Type type, Object standard, double least, double most, List<String> words,
        boolean live,
        String sentence) {
        this.path = path;
        this.type = type;
        this.standard = standard;
        this.least = least;
        this.most = most;
        this.words = words;
        this.live = live;
        this.sentence = sentence;
    }

    /** {@code standard} may be null; the bounds are in the unit inside. */
    public static Key number(String path, Type type, Object standard, double least, double most, boolean live,
        String sentence) {
        return new Key(path, type, standard, least, most, List.of(), live, sentence);
    }

    public static Key word(String path, String standard, List<String> words, boolean live, String sentence) {
        return new Key(path, Type.WORD, standard, 0, 0, words, live, sentence);
    }

    /** A text, flag or list of texts; {@code standard} may be null. */
    public static Key plain(String path, Type type, Object standard, String sentence) {
        return new Key(path, type, standard, 0, 0, List.of(), false, sentence);
    }

    public String table() {
        return path.substring(0, path.indexOf('.'));
    }

    /** The value inside of one in the file; throws IllegalArgumentException with what would be right. */
    Object read(Object written) {
        Object value = type.read(written);
        if (type == Type.WORD && !words.contains(value) || value instanceof Number figure
            && !(figure.doubleValue() >= least && figure.doubleValue() <= most)) {
            throw new IllegalArgumentException("should be " + range());
        }
        return value;
    }

    /** Returns the values allowed, in words. */
    public String range() {
        if (type == Type.TEXT || type == Type.FLAG || type == Type.TEXTS) {
            return type.example;
        }
        if (type == Type.WORD) {
            return "one of " + String.join(", ", words);
        }
        return "from " + bound(least) + " to " + bound(most);
    }

    private String bound(double figure) {
        return type == Type.PART ? type.show(figure) : type.show((long) figure).replace("\"", "");
    }

    public String standardShown() {
        return standard == null ? "derived" : type.show(standard);
    }
}
