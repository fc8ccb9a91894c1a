package yewpath;

import java.net.Socket;
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
    /** By message id, the connections of the attempts that endpoints have read and not ended. */
    private final Map<String, List<Socket>> openAttempts = new ConcurrentHashMap<>();

    private static boolean isAtMostOnce(String id) {
        return Integer.parseInt(id.substring(1)) % 2 == 0;
    }

    /** An endpoint has read an attempt from this connection and executes it unless {@code refused}. */
    void attemptStarted(String id, boolean refused, Socket connection) {
        List<Socket> earlier = openAttempts.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>());
        // The attempt of a connection that the relay has closed is given up, even if its thread, which waits for
        // that, has not continued yet.
        if (earlier.stream().anyMatch(TcpStates::isOpen)) {
            violations.add(id + " was in two attempts at the same time");
        }
        earlier.add(connection);
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

    /** The attempt of this connection has ended; another one may start. */
    void attemptEnded(String id, Socket connection) {
        openAttempts.get(id).remove(connection);
    }

    /** The relay has reported the message as rejected, so it must not have been executed. */
    void messageRejected(String id) {
        if (isAtMostOnce(id) && executed.contains(id)) {
            violations.add(id + " was reported as rejected although it had been executed");
        }
    }
}
