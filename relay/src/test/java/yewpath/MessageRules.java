package yewpath;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records the attempts that all endpoints see of each message and the violations of the delivery rules. An id
 * is one letter and a number; a message with an even number may be executed at most once.
 */
class MessageRules {
    final List<String> violations = new CopyOnWriteArrayList<>();
    /** The ids of the messages that an endpoint reported as executed. */
    final Set<String> delivered = ConcurrentHashMap.newKeySet();
    /** The ids of the messages whose submission the relay refused. */
    final Set<String> refusedToClients = ConcurrentHashMap.newKeySet();
    private final Set<String> executed = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> openAttempts = new ConcurrentHashMap<>();

    private static boolean isAtMostOnce(String id) {
        return Integer.parseInt(id.substring(1)) % 2 == 0;
    }

    /** An endpoint has read an attempt and executes it unless {@code refused}. */
    void attemptStarted(String id, boolean refused) {
        if (openAttempts.merge(id, 1, Integer::sum) > 1) {
            violations.add(id + " was in two attempts at the same time");
        }
        if (refusedToClients.contains(id)) {
            violations.add(id + " was sent although its submission had been refused");
        }
        if (isAtMostOnce(id) && (refused ? executed.contains(id) : !executed.add(id))) {
            violations.add(id + " may be executed at most once but was sent again after its execution");
        }
    }

    void messageDelivered(String id) {
        delivered.add(id);
    }

    /** The attempt that started last has ended; another one may start. */
    void attemptEnded(String id) {
        openAttempts.merge(id, -1, Integer::sum);
    }

    /** The relay has reported the message as rejected, so it must not have been executed. */
    void messageRejected(String id) {
        if (isAtMostOnce(id) && executed.contains(id)) {
            violations.add(id + " was reported as rejected although it had been executed");
        }
    }
}
