package yewpath.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What of a key is not over yet outside of this process, though Logic has ended it: an end that the platform has not heard
 * of, or a call of several that an ended envelope is still part of. What follows on the key waits for it.
 */
final class KeyOrder {
    /** By what it is known: a ledger's entry, or a shot. */
    private final Map<Object, String> unfinished = new HashMap<>();
    private final Map<String, Integer> counts = new HashMap<>();
    private final Map<String, List<Runnable>> waiting = new HashMap<>();

    void begin(String key, Object what) {
        if (unfinished.put(what, key) == null) {
            counts.merge(key, 1, Integer::sum);
        }
    }

    /** Does nothing where it was not begun. */
    void end(Object what) {
        String key = unfinished.remove(what);
        if (key != null && counts.merge(key, -1, Integer::sum) == 0) {
            counts.remove(key);
            List<Runnable> next = waiting.remove(key);
            if (next != null) {
                next.forEach(Runnable::run);
            }
        }
    }

    boolean isHeld(String key) {
        return counts.containsKey(key);
    }

    /** Runs it as soon as all of the key is over; it asks for itself whether there still is something to do. */
    void whenOver(String key, Runnable act) {
        waiting.computeIfAbsent(key, k -> new ArrayList<>(1)).add(act);
    }
}
