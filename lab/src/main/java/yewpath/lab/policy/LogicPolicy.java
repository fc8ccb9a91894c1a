package yewpath.lab.policy;

import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;

/** The real module, unchanged. */
final class LogicPolicy implements Policy {
    private final DeliveryPolicy logic;

    LogicPolicy(PolicySettings settings, long seed, PolicyActions out, long now) {
        logic = new DeliveryPolicy(settings, seed, out, now);
    }

    @Override
    public void at(long clock) {
        logic.setTime(clock);
    }

    @Override
    public void taken(int id, int offering, int tenant, int key, int destination, long expiry, int shots,
        long doubtSince,
        int doubtZone) {
        logic.messageAccepted(id, offering, tenant, key, destination, expiry, shots, doubtSince, doubtZone);
    }

    @Override
    public void withdrawn(int id) {
        logic.messageWithdrawn(id);
    }

    @Override
    public void settled(int id, boolean over, int shot, int endpoint, int outcome, long wait, long elapsed,
        double left,
        double limit) {
        logic.attemptEnded(id, over, shot, endpoint, outcome, wait, elapsed, left, limit);
    }

    @Override
    public void listBegins(boolean whole, boolean cached) {
        logic.endpointListStarted(whole, cached);
    }

    @Override
    public void listed(int endpoint, int zone, int kind, int destination, int phase, double rate,
        long since) {
        logic.endpointListed(endpoint, zone, kind, destination, phase, rate, since);
    }

    @Override
    public void listEnds() {
        logic.endpointListEnded();
    }

    @Override
    public void due() {
        logic.alarmFired();
    }

    @Override
    public void turn() {
        logic.completeRound(true);
    }
}
