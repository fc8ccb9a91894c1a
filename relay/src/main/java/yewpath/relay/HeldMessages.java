package yewpath.relay;

import java.util.Arrays;
import yewpath.boot.KeyTable;
import yewpath.boot.NameTable;
import yewpath.ledger.LedgerEntry;

/** The envelopes held, under small indices that are used again once nothing of an envelope is left. */
final class HeldMessages {
    private final NameTable ids = new NameTable();
    private final KeyTable keys;
    private HeldMessage[] held = new HeldMessage[64];
    private int open;

    HeldMessages(long keyRest) {
        keys = new KeyTable(keyRest);
    }

    int open() {
        return open;
    }

    boolean has(String id) {
        return ids.find(id) >= 0;
    }

    HeldMessage at(int index) {
        return held[index];
    }

    HeldMessage add(LedgerEntry entry, long now) {
        int index = ids.getOrAdd(entry.id);
        held = index >= held.length ? Arrays.copyOf(held, index * 2) : held;
        held[index] = new HeldMessage(entry, index, entry.key == null ? -1 : keys.acquire(entry.key, now));
        open++;
        return held[index];
    }

    void end(HeldMessage one, long now) {
        open -= one.over ? 0 : 1;
        one.over = true;
        release(one, now);
    }

    /** An index is another's only when no shot can come back to it. */
    void release(HeldMessage one, long now) {
        if (one.over && one.shotsOut == 0 && held[one.index] == one) {
            keys.release(one.key, now);
            held[one.index] = null;
            ids.release(one.index);
        }
    }
}
