package yewpath.http;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/**
 * Hash codes of the bodies of the responses received on one connection. They show whether a response may be a
 * duplicate of an earlier one.
 */
public final class ResponseHistory {
    /**
     * A connection that has received this many different bodies is closed, which bounds the memory for their
     * hash codes.
     */
    private static final int MAX_BODIES = 1_000;

    private final Set<Integer> bodyHashCodes = new HashSet<>();

    /**
     * Returns whether a response with this body was added before. A different body with the same hash code
     * gives a false positive, which is rare.
     */
    public boolean contains(byte[] body) {
        return bodyHashCodes.contains(Arrays.hashCode(body));
    }

    /** Adds the body of a response. Returns false if the connection should serve no further requests. */
    public boolean add(byte[] body) {
        bodyHashCodes.add(Arrays.hashCode(body));
        return bodyHashCodes.size() < MAX_BODIES;
    }
}
