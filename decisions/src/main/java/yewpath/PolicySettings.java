package yewpath;

/** What a relay is told at its start, in this project's words; decides nothing. Times are microseconds. */
public final class PolicySettings {
    /** How often a message may take effect: any number of times, once by its tag, or at most once. */
    public enum DeliverySemantics {
        IDEMPOTENT("repeatable"),
        DEDUPLICATED("tagged"),
        AT_MOST_ONCE("once-only");

        private final String word;

        DeliverySemantics(String word) {
            this.word = word;
        }

        /**
         * Returns the semantics that a scenario file calls by {@code word}: {@code repeatable}, {@code
         * tagged} or {@code once-only}.
         *
         * @throws IllegalArgumentException if {@code word} is none of these
         */
        public static DeliverySemantics ofWord(String word) {
            for (DeliverySemantics semantics : values()) {
                if (semantics.word.equals(word)) {
                    return semantics;
                }
            }
            throw new IllegalArgumentException(
                "delivery semantics must be repeatable, tagged or once-only, found " + word);
        }
    }

    /**
     * {@code deduplicationMicros} and {@code deduplicatedPerZone} say how long, and where, endpoints
     * recognize a repeat of a deduplicated message.
     */
    public record MessageClass(double revenue, double lateRevenueShare, long onTimeMicros,
        long timeToLiveMicros,
        DeliverySemantics semantics, boolean deduplicatedPerZone, long deduplicationMicros,
        boolean ordered) {}

    /** {@code quotaPerSecond} is in messages a second over all relays. */
    public record Tenant(double quotaPerSecond, double share) {}

    public int relayCount;
    public int relayIndex;
    public int maxConcurrentCalls;
    public int maxOpenMessages;
    public int maxAttempts;
    public boolean probesAllowed;
    public boolean peerMessagesAllowed;
    public boolean cancelAllowed;
    public boolean listOnRequest;
    public boolean listReportsRate;
    public boolean listedRateIsApproximate;
    public boolean lateRevenueHalves;
    public double overShareWorth;
    public long maxRetryAfterMicros;
    public boolean reportsRetryAfter;
    public PolicySettings.MessageClass[] messageClasses = {};
    public Tenant[] tenants = {};
    public boolean[] limitPerEndpoint = {};
    public int[] maxBatchSize = {};
    public double refusalPrice;
    /**
     * The zone this relay stands in, and what a shot into another costs as a part of an envelope's revenue.
     */
    public int zone;
    public double crossZonePrice;
    /** By zone: what a route apart there takes for an envelope, as a part of its revenue. */
    public double[] zoneFees = {};
    public long answerSlackMicros;
    public long listRequestIntervalMicros;
    public double warmUpInitialShare;
    public long warmUpMicros;
    public double collapseMultiple;
    public long collapseWindowMicros;
    public long settleAfterUncertainMicros;
    public long idleConnectionTimeoutMicros;
    public long connectTimeoutMicros;
}
