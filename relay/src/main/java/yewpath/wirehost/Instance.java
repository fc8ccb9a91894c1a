package yewpath.wirehost;

import java.util.Arrays;
import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.boot.Boot;
import yewpath.boot.Keys;
import yewpath.boot.Names;

/** One relay on the wire: its Logic, its id tables and the actions it has asked for in this round. */
final class Instance implements PolicyActions {
    final DeliveryPolicy logic;
    final Names envelopes = new Names();
    final Names endpoints = new Names();
    final Names destinations = new Names();
    private final Names zones;
    private final Names kinds;
    final Names offerings;
    final Names tenants;
    final int leftColumn;
    final int limitColumn;
    private final StringBuilder actions = new StringBuilder();
    private final Keys keys;
    private int[] keyOf = new int[64];
    private int[] shotsOut = new int[64];
    private boolean[] over = new boolean[64];
    private long now;

    Instance(Boot boot, long seed, long now) {
        PolicySettings settings = boot.settings;
        zones = boot.zones;
        kinds = boot.kinds;
        offerings = boot.offerings;
        tenants = boot.tenants;
        leftColumn = boot.leftColumn;
        limitColumn = boot.limitColumn;
        keys = new Keys(settings.settleAfterUncertainMicros);
        this.now = now;
        logic = new DeliveryPolicy(settings, seed, this, now);
    }

    void at(long clock) {
        now = clock;
        logic.setTime(clock);
    }

    int zone(String name) {
        return zones.of(name);
    }

    int kind(String name) {
        return kinds.of(name);
    }

    int take(String id, String key) {
        int envelope = envelopes.of(id);
        if (envelope >= keyOf.length) {
            keyOf = Arrays.copyOf(keyOf, envelope * 2);
            shotsOut = Arrays.copyOf(shotsOut, envelope * 2);
            over = Arrays.copyOf(over, envelope * 2);
        }
        shotsOut[envelope] = 0;
        over[envelope] = false;
        keyOf[envelope] = key == null ? -1 : keys.hold(key, now);
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
        envelopes.letGo(envelope);
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
        endpoints.letGo(endpoint);
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
