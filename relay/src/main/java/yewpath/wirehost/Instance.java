package yewpath.wirehost;

import java.util.Arrays;
import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.boot.PlatformSettings;
import yewpath.boot.KeyTable;
import yewpath.boot.NameTable;

/** One relay on the wire: its Logic, its id tables and the actions it has asked for in this round. */
final class Instance implements PolicyActions {
    final DeliveryPolicy logic;
    final NameTable envelopes = new NameTable();
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
    private int[] keyOf = new int[64];
    private int[] shotsOut = new int[64];
    private boolean[] over = new boolean[64];
    private long now;

    Instance(PlatformSettings platformSettings, long seed, long now) {
        PolicySettings settings = platformSettings.policySettings;
        zones = platformSettings.zones;
        kinds = platformSettings.kinds;
        messageClasses = platformSettings.messageClasses;
        tenants = platformSettings.tenants;
        remainingShareColumn = platformSettings.remainingShareColumn;
        reportedLimitColumn = platformSettings.reportedLimitColumn;
        keys = new KeyTable(settings.settleAfterUncertainMicros);
        this.now = now;
        logic = new DeliveryPolicy(settings, seed, this, now);
    }

    void at(long clock) {
        now = clock;
        logic.setTime(clock);
    }

    int zone(String name) {
        return zones.getOrAdd(name);
    }

    int kind(String name) {
        return kinds.getOrAdd(name);
    }

    int take(String id, String key) {
        int envelope = envelopes.getOrAdd(id);
        if (envelope >= keyOf.length) {
            keyOf = Arrays.copyOf(keyOf, envelope * 2);
            shotsOut = Arrays.copyOf(shotsOut, envelope * 2);
            over = Arrays.copyOf(over, envelope * 2);
        }
        shotsOut[envelope] = 0;
        over[envelope] = false;
        keyOf[envelope] = key == null ? -1 : keys.acquire(key, now);
        return envelope;
    }

    int keyOf(int envelope) {
        return keyOf[envelope];
    }

    void ended(int envelope) {
        over[envelope] = true;
        release(envelope);
    }

    void shotBack(int envelope) {
        shotsOut[envelope]--;
        release(envelope);
    }

    private void release(int envelope) {
        if (!over[envelope] || shotsOut[envelope] > 0 || envelopes.name(envelope) == null) {
            return;
        }
        keys.release(keyOf[envelope], now);
        envelopes.release(envelope);
    }

    boolean isOver(int envelope) {
        return over[envelope];
    }

    void drain(int who, StringBuilder reply) {
        if (actions.length() > 0) {
            reply.append("SPEAKING\t").append(who).append('\n').append(actions);
            actions.setLength(0);
        }
    }

    private StringBuilder millis(long micros) {
        actions.append(micros / 1000).append('.');
        long rest = Math.abs(micros % 1000);
        return actions.append((char) ('0' + rest / 100)).append((char) ('0' + rest / 10 % 10))
            .append((char) ('0' + rest % 10));
    }

    @Override
    public void send(int envelope, int endpoint, long withinMicros, long leaveBy) {
        shotsOut[envelope]++;
        actions.append("SEND\t").append(envelopes.name(envelope)).append('\t')
            .append(endpoints.name(endpoint)).append('\t');
        millis(withinMicros).append('\n');
    }

    @Override
    public void reject(int envelope, long pauseMicros) {
        actions.append("DECLINE\t").append(envelopes.name(envelope)).append('\t');
        millis(pauseMicros).append('\n');
        ended(envelope);
    }

    @Override
    public void fail(int envelope) {
        actions.append("REPORT_FAILURE\t").append(envelopes.name(envelope)).append('\n');
        ended(envelope);
    }

    @Override
    public void cancelAttempt(int envelope, int shot) {
        actions.append("ABORT_ATTEMPT\t").append(envelopes.name(envelope)).append('\t').append(shot)
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
    public void setAlarm(long inMicros) {
        actions.append("SET_ALARM\tturn\t");
        millis(inMicros).append('\n');
    }

    @Override
    public void requestEndpointList(boolean follow) {
        actions.append(follow ? "KEEP_INFORMED\t1\n" : "GET_LIST\n");
    }
}
