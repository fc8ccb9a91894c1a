package yewpath.boot;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * Assigns small indices to the keys of ordered messages. A key keeps its index for some time after the
 * last message with it has ended.
 */
public final class KeyTable {
    private record UnusedKey(int key, long sinceMicros, int useCount) {}

    private final NameTable names = new NameTable();
    private final ArrayDeque<UnusedKey> unusedKeys = new ArrayDeque<>();
    private final long settleMicros;
    private int[] holderCounts = new int[16];
    /** How often each key was acquired; tells whether a key was used again after it became unused. */
    private int[] useCounts = new int[16];

    /**
     * Creates an empty table.
     *
     * @param settleMicros how long a key is paused after an attempt with unknown outcome; an unused key
     *     keeps its index for twice as long
     */
    public KeyTable(long settleMicros) {
        this.settleMicros = settleMicros;
    }

    /** Returns the index of a key, which stays the same until every holder has released it. */
    public int acquire(String name, long nowMicros) {
        // A key that is still paused after an attempt with unknown outcome must not lose its index to
        // another key.
        while (!unusedKeys.isEmpty() && unusedKeys.peek().sinceMicros + 2 * settleMicros < nowMicros) {
            UnusedKey oldest = unusedKeys.poll();
            if (holderCounts[oldest.key] == 0 && useCounts[oldest.key] == oldest.useCount) {
                names.release(oldest.key);
            }
        }
        int key = names.getOrAdd(name);
        if (key >= holderCounts.length) {
            holderCounts = Arrays.copyOf(holderCounts, key * 2);
            useCounts = Arrays.copyOf(useCounts, key * 2);
        }
        holderCounts[key]++;
        useCounts[key]++;
        return key;
    }

    /**
     * Ends one use of a key.
     *
     * @param key the index of the key; a negative one stands for no key
     */
    public void release(int key, long nowMicros) {
        if (key >= 0 && --holderCounts[key] == 0) {
            unusedKeys.add(new UnusedKey(key, nowMicros, useCounts[key]));
        }
    }
}
