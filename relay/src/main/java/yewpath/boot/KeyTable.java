package yewpath.boot;

import java.util.ArrayDeque;
import java.util.Arrays;

/** Keys of ordered envelopes as small indices, each kept a while past the last envelope that held it. */
public final class KeyTable {
    private record Idle(int key, long since, int use) {}

    private final NameTable names = new NameTable();
    private final ArrayDeque<Idle> idle = new ArrayDeque<>();
    private final long rest;
    private int[] holders = new int[16];
    private int[] uses = new int[16];

    public KeyTable(long rest) {
        this.rest = rest;
    }

    /** Returns the index of a key, which stays the same until every holder has released it. */
    public int acquire(String name, long now) {
        // A key outlives its last envelope by the rest it may owe, lest its index be another's meanwhile.
        while (!idle.isEmpty() && idle.peek().since + 2 * rest < now) {
            Idle oldest = idle.poll();
            if (holders[oldest.key] == 0 && uses[oldest.key] == oldest.use) {
                names.release(oldest.key);
            }
        }
        int key = names.getOrAdd(name);
        if (key >= holders.length) {
            holders = Arrays.copyOf(holders, key * 2);
            uses = Arrays.copyOf(uses, key * 2);
        }
        holders[key]++;
        uses[key]++;
        return key;
    }

    /** Releases one hold; a negative index stands for no key. */
    public void release(int key, long now) {
        if (key >= 0 && --holders[key] == 0) {
            idle.add(new Idle(key, now, uses[key]));
        }
    }
}
