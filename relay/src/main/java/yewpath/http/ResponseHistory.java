package yewpath.http;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/** The bodies of the answers that came on one connection, by which a copy of one of them can be told. */
public final class ResponseHistory {
    /** A connection with more answers is closed, so that what is kept of them stays small. */
    private static final int MOST_ANSWERS = 1_000;

    private final Set<Integer> bodies = new HashSet<>();

    /** Whether an answer with this body has come before; seldom true of one that has not. */
    public boolean contains(byte[] body) {
        return bodies.contains(Arrays.hashCode(body));
    }

    /** Adds an answer; false where the connection has had enough of them. */
    public boolean add(byte[] body) {
        bodies.add(Arrays.hashCode(body));
        return bodies.size() < MOST_ANSWERS;
    }
}
