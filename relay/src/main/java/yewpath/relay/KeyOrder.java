package yewpath.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the order of messages with the same key beyond what the policy sees. A key is blocked while the
 * platform has not acknowledged the outcome of an earlier message, or while an earlier message is part of
 * a batch call that is still in flight. The next message with the key is sent when nothing blocks the key
 * any more.
 */
final class KeyOrder {
    /** The key that each ledger entry or attempt blocks. */
    private final Map<Object, String> keysByBlocker = new HashMap<>();
    private final Map<String, Integer> blockerCounts = new HashMap<>();
    private final Map<String, List<Runnable>> waitingActions = new HashMap<>();

    /** Blocks a key until {@link #unblock} is called with the same object. */
    void block(String key, Object blocker) {
        if (keysByBlocker.put(blocker, key) == null) {
            blockerCounts.merge(key, 1, Integer::sum);
        }
    }

    /**
     * Ends the block that {@link #block} has begun with this object, if any. If it was the last block of
     * its key, the waiting actions of the key run.
     */
    void unblock(Object blocker) {
        String key = keysByBlocker.remove(blocker);
        if (key != null && blockerCounts.merge(key, -1, Integer::sum) == 0) {
            blockerCounts.remove(key);
            List<Runnable> next = waitingActions.remove(key);
            if (next != null) {
                next.forEach(Runnable::run);
            }
        }
    }

    /** Whether anything blocks the key. */
    boolean isBlocked(String key) {
        return blockerCounts.containsKey(key);
    }

    /**
     * Runs the action when nothing blocks the key any more. The action itself checks whether there is
     * still something to do.
     */
    void runWhenUnblocked(String key, Runnable action) {
        waitingActions.computeIfAbsent(key, unused -> new ArrayList<>(1)).add(action);
    }
}
