package yewpath.lab.policy;

import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;

/** Runs the relay's real delivery policy, unchanged. */
final class DeliveryPolicyAdapter implements Policy {
    private final DeliveryPolicy policy;

    DeliveryPolicyAdapter(PolicySettings settings, long seed, PolicyActions actions, long nowMicros) {
        policy = new DeliveryPolicy(settings, seed, actions, nowMicros);
    }

    @Override
    public void setTime(long nowMicros) {
        policy.setTime(nowMicros);
    }

    @Override
    public void messageAccepted(int index, int messageClass, int tenant, int key, int destination,
        long expiresAtMicros, int attempts, long uncertainSinceMicros, int uncertainZone) {
        policy.messageAccepted(index, messageClass, tenant, key, destination, expiresAtMicros, attempts,
            uncertainSinceMicros, uncertainZone);
    }

    @Override
    public void messageWithdrawn(int index) {
        policy.messageWithdrawn(index);
    }

    @Override
    public void attemptEnded(int index, boolean finished, int attempt, int endpoint, int outcome,
        long retryAfterMicros, long elapsedMicros, double remainingShare, double reportedLimit) {
        policy.attemptEnded(index, finished, attempt, endpoint, outcome, retryAfterMicros, elapsedMicros,
            remainingShare, reportedLimit);
    }

    @Override
    public void endpointListStarted(boolean complete, boolean cached) {
        policy.endpointListStarted(complete, cached);
    }

    @Override
    public void endpointListed(int endpoint, int zone, int kind, int destination, int phase,
        double callsPerSecond, long sinceMicros) {
        policy.endpointListed(endpoint, zone, kind, destination, phase, callsPerSecond, sinceMicros);
    }

    @Override
    public void endpointListEnded() {
        policy.endpointListEnded();
    }

    @Override
    public void alarmFired() {
        policy.alarmFired();
    }

    @Override
    public void completeRound() {
        policy.completeRound(true);
    }
}
