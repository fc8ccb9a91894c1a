package yewpath;

import yewpath.OutageState.Symptom;

/**
 * The evidence of an outage of one endpoint: the failures since its last delivery, and whether a delivery proves
 * that it was not out. A single failure is no proof of an outage, but a relay with little traffic sees no more of
 * one. So until there is proof, a relay has to regard the endpoint as one that returns from an outage.
 */
final class OutageEvidence {
    /** An endpoint that does not answer for a shorter time is not out. */
    static final long SHORTEST_OUTAGE_MICROS = 1_000_000;
    /** Deliveries before and after a single failure that come at the usual pace lie at most this far apart. */
    private static final int USUAL_INTERVALS = 3;
    private static final long LONGEST_USUAL_GAP_MICROS = 5_000_000;
    /** An answer that takes longer may come from a call that was held up during the outage. */
    private static final long PROMPT_ANSWER_MICROS = 1_000_000;
    /** An outage rarely ends between a single failure and a repeat that follows within this time. */
    private static final long IMMEDIATE_REPEAT_MICROS = 200_000;
    private static final long NEVER = Long.MIN_VALUE / 4;

    private long lastDeliveryAtMicros = NEVER;
    private long failedCallStartedAtMicros;
    private long firstFailureAtMicros;
    private long lastFailureAtMicros;
    private int failures;
    private Symptom symptom;

    /** Whether there was a failure since the last delivery. */
    boolean isPending() {
        return failures > 0;
    }

    /** Whether there has been no delivery since a failure for the time of the shortest outage. */
    boolean isUnanswered(long nowMicros) {
        return failures > 0 && nowMicros - firstFailureAtMicros >= SHORTEST_OUTAGE_MICROS;
    }

    /** Whether several failures without a delivery in between show an outage: the more, the sooner. */
    boolean isRepeated(long nowMicros) {
        return (failures - 1) * (nowMicros - firstFailureAtMicros) >= SHORTEST_OUTAGE_MICROS;
    }

    /** Returns the first failure since the last delivery; null if there was none. */
    Symptom symptom() {
        return failures > 0 ? symptom : null;
    }

    /** Returns when the last failure became known. */
    long lastFailureAtMicros() {
        return lastFailureAtMicros;
    }

    /** Records a failure, which became known at {@code atMicros}. */
    void recordFailure(Symptom failure, long callStartedAtMicros, long atMicros) {
        lastFailureAtMicros = atMicros;
        if (failures++ == 0) {
            symptom = failure;
            failedCallStartedAtMicros = callStartedAtMicros;
            firstFailureAtMicros = atMicros;
        }
    }

    /**
     * Returns why a delivery proves that the endpoint was not out; null if it does not prove that.
     *
     * @param callStartedAtMicros when the delivered call was started
     * @param callIntervalMicros the usual time between calls
     */
    Symptom disproof(long callStartedAtMicros, long callIntervalMicros, long nowMicros) {
        boolean wasSingleFailure = failures == 1 && symptom != Symptom.CONNECT_REFUSED;
        long usualGapMicros = wasSingleFailure
            ? Math.min(LONGEST_USUAL_GAP_MICROS, USUAL_INTERVALS * callIntervalMicros) : 0;
        if (nowMicros - lastDeliveryAtMicros < Math.max(SHORTEST_OUTAGE_MICROS, usualGapMicros)) {
            return Symptom.ANSWERED_IN_BETWEEN;
        }
        if (callStartedAtMicros <= firstFailureAtMicros
            && nowMicros - callStartedAtMicros < PROMPT_ANSWER_MICROS) {
            return Symptom.ANSWERED_EARLIER_CALL;
        }
        boolean wasSharpFailure = (symptom == Symptom.RESET || symptom == Symptom.ERROR)
            && firstFailureAtMicros - failedCallStartedAtMicros < PROMPT_ANSWER_MICROS;
        return wasSingleFailure && wasSharpFailure
            && callStartedAtMicros - firstFailureAtMicros < IMMEDIATE_REPEAT_MICROS ? Symptom.ANSWERED_AT_ONCE
                : null;
    }

    /** Records a delivery, which ends the evidence. */
    void recordDelivery(long nowMicros) {
        lastDeliveryAtMicros = nowMicros;
        clear();
    }

    /** Ends the evidence without a delivery. */
    void clear() {
        failures = 0;
    }
}
