package yewpath;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What all endpoints together saw of each message, and the rules that were broken. Even numbers may run once only. */
class MessageRules {
    final List<String> violations = new CopyOnWriteArrayList<>();
    final Set<String> delivered = ConcurrentHashMap.newKeySet();
    final Set<String> refusedToClients = ConcurrentHashMap.newKeySet();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> out = new ConcurrentHashMap<>();

    private static boolean isOnceOnly(String id) {
        return Integer.parseInt(id.substring(1)) % 2 == 0;
    }

    /** An attempt has been read; it runs unless it is refused. */
    void attemptStarted(String id, boolean refused) {
        if (out.merge(id, 1, Integer::sum) > 1) {
            violations.add(id + " was out twice at once");
        }
        if (refusedToClients.contains(id)) {
            violations.add(id + " was sent though its client was refused");
        }
        if (isOnceOnly(id) && (refused ? ran.contains(id) : !ran.add(id))) {
            violations.add(id + " was sent again after it had run");
        }
    }

    void messageDelivered(String id) {
        delivered.add(id);
    }

    void attemptEnded(String id) {
        out.merge(id, -1, Integer::sum);
    }

    void messageRejected(String id) {
        if (isOnceOnly(id) && ran.contains(id)) {
            violations.add(id + " was handed back though it had run");
        }
    }
}
