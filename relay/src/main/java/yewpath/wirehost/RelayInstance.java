package yewpath.wirehost;

import java.util.Arrays;
import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.boot.KeyTable;
import yewpath.boot.NameTable;
import yewpath.boot.PlatformSettings;

/**
 * One relay of the simulation: its delivery policy, the indices of its messages and endpoints, and the
 * actions that the policy has asked for in this round.
 */
final class RelayInstance implements PolicyActions {
    final DeliveryPolicy policy;
    final NameTable messages = new NameTable();
    final NameTable endpoints = new NameTable();
    final NameTable destinations = new NameTable();
    private final NameTable zones;
    private final NameTable kinds;
    final NameTable messageClasses;
    final NameTable tenants;
    final int remainingShareColumn;
    final int reportedLimitColumn;
    private final StringBuilder actions = new StringBuilder();
    private final KeyTable keys;
    private int[] keyIndices = new int[64];
    private int[] attemptsInFlight = new int[64];
    private boolean[] ended = new boolean[64];
    private long nowMicros;

    RelayInstance(PlatformSettings platformSettings, long seed, long nowMicros) {
        PolicySettings settings = platformSettings.policySettings;
        zones = platformSettings.zones;
        kinds = platformSettings.kinds;
        messageClasses = platformSettings.messageClasses;
        tenants = platformSettings.tenants;
        remainingShareColumn = platformSettings.remainingShareColumn;
        reportedLimitColumn = platformSettings.reportedLimitColumn;
        keys = new KeyTable(settings.settleAfterUncertainMicros);
        this.nowMicros = nowMicros;
        policy = new DeliveryPolicy(settings, seed, this, nowMicros);
    }

    /** Sets the time of the current round. */
    void setTime(long nowMicros) {
        this.nowMicros = nowMicros;
        policy.setTime(nowMicros);
    }

    /** Returns the index of a zone, a new one if it has none. */
    int zone(String name) {
        return zones.getOrAdd(name);
    }

    /** Returns the index of an endpoint kind, a new one if it has none. */
    int kind(String name) {
        return kinds.getOrAdd(name);
    }

    /**
     * Adds a message.
     *
     * @param key the key that orders it; null if it has none
     * @return the index of the message
     */
    int addMessage(String id, String key) {
        int message = messages.getOrAdd(id);
        if (message >= keyIndices.length) {
            keyIndices = Arrays.copyOf(keyIndices, message * 2);
            attemptsInFlight = Arrays.copyOf(attemptsInFlight, message * 2);
            ended = Arrays.copyOf(ended, message * 2);
        }
        attemptsInFlight[message] = 0;
        ended[message] = false;
        keyIndices[message] = key == null ? -1 : keys.acquire(key, nowMicros);
        return message;
    }

    /** Returns the index of a message's key; -1 if it has none. */
    int keyIndex(int message) {
        return keyIndices[message];
    }

    /** Marks a message as ended, and frees its index if no attempt is in flight. */
    void end(int message) {
        ended[message] = true;
        release(message);
    }

    /** Records that an attempt is no longer in flight. */
    void attemptEnded(int message) {
        attemptsInFlight[message]--;
        release(message);
    }

    private void release(int message) {
        if (!ended[message] || attemptsInFlight[message] > 0 || messages.name(message) == null) {
            return;
        }
        keys.release(keyIndices[message], nowMicros);
        messages.release(message);
    }

    /** Whether the message has ended. */
    boolean isEnded(int message) {
        return ended[message];
    }

    /**
     * Appends the actions of this round to the reply and clears them.
     *
     * @param instanceNumber the number of this instance in the protocol
     */
    void writeActions(int instanceNumber, StringBuilder reply) {
        if (actions.length() > 0) {
            reply.append("SPEAKING\t").append(instanceNumber).append('\n').append(actions);
            actions.setLength(0);
        }
    }

    /** Appends a time in milliseconds with three decimal places. */
    private StringBuilder appendMillis(long micros) {
        actions.append(micros / 1000).append('.');
        long microsOfMilli = Math.abs(micros % 1000);
        return actions.append((char) ('0' + microsOfMilli / 100))
            .append((char) ('0' + microsOfMilli / 10 % 10))
            .append((char) ('0' + microsOfMilli % 10));
    }

    @Override
    public void send(int message, int endpoint, long timeoutMicros, long sendByMicros) {
        attemptsInFlight[message]++;
        actions.append("SEND\t").append(messages.name(message)).append('\t')
            .append(endpoints.name(endpoint)).append('\t');
        appendMillis(timeoutMicros).append('\n');
    }

    @Override
    public void reject(int message, long retryAfterMicros) {
        actions.append("DECLINE\t").append(messages.name(message)).append('\t');
        appendMillis(retryAfterMicros).append('\n');
        end(message);
    }

    @Override
    public void fail(int message) {
        actions.append("REPORT_FAILURE\t").append(messages.name(message)).append('\n');
        end(message);
    }

    @Override
    public void cancelAttempt(int message, int attempt) {
        actions.append("ABORT_ATTEMPT\t").append(messages.name(message)).append('\t').append(attempt)
            .append('\n');
    }

    @Override
    public void closeIdleConnections(int endpoint) {
        actions.append("DISCONNECT\t").append(endpoints.name(endpoint)).append('\n');
    }

    @Override
    public void releaseEndpoint(int endpoint) {
        endpoints.release(endpoint);
    }

    @Override
    public void setAlarm(long delayMicros) {
        actions.append("SET_ALARM\tturn\t");
        appendMillis(delayMicros).append('\n');
    }

    @Override
    public void requestEndpointList(boolean subscribe) {
        actions.append(subscribe ? "KEEP_INFORMED\t1\n" : "GET_LIST\n");
    }
}
