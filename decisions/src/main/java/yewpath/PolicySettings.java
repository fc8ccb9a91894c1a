package yewpath;

/**
 * The configuration of {@link DeliveryPolicy}. Times are in microseconds, rates in calls per second, prices
 * and fees in shares of a message's revenue. A value of 0 stands for no limit or for an unknown value unless
 * stated otherwise.
 */
public final class PolicySettings {
    /**
     * How often a message may take effect, and so whether an attempt with unknown outcome may be repeated.
     */
    public enum DeliverySemantics {
        /** Any number of times: attempts may be repeated. */
        IDEMPOTENT("repeatable"),
        /**
         * Once: endpoints recognize a repeat by the message's tag for some time, in which it may be repeated.
         */
        DEDUPLICATED("tagged"),
        /** At most once: an attempt that may have been executed is not repeated. */
        AT_MOST_ONCE("once-only");

        private final String word;

        DeliverySemantics(String word) {
            this.word = word;
        }

        /**
         * Returns the semantics that scenario files call by {@code word}: {@code repeatable}, {@code tagged}
         * or {@code once-only}.
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
     * A class of messages.
     *
     * @param revenue what the delivery of a message on time is worth
     * @param lateRevenueShare the share of the revenue that is left just before the message expires, or the
     *     least share if late revenue halves
     * @param onTimeMicros the time after submission until which a delivery is on time
     * @param timeToLiveMicros the time after submission until the message expires
     * @param semantics how often a message may take effect
     * @param deduplicatedPerZone whether only endpoints of the zone of the first attempt recognize a repeat
     * @param deduplicationMicros how long after the first attempt endpoints recognize a repeat
     * @param ordered whether messages of one key are delivered one at a time, in the order accepted
     */
    public record MessageClass(double revenue, double lateRevenueShare, long onTimeMicros,
        long timeToLiveMicros, DeliverySemantics semantics, boolean deduplicatedPerZone,
        long deduplicationMicros, boolean ordered) {}

    /**
     * A tenant.
     *
     * @param quotaPerSecond its quota in messages per second over all relays
     * @param share its share of the load
     */
    public record Tenant(double quotaPerSecond, double share) {}

    /** The number of relays that share the work. */
    public int relayCount;
    /** The index of this relay among them; not used by {@link DeliveryPolicy}. */
    public int relayIndex;
    /** Calls that this relay may have in flight at once, to all destinations; at least 1 is assumed. */
    public int maxConcurrentCalls;
    /** Messages that this relay may have accepted and not finished. */
    public int maxOpenMessages;
    /** Attempts of one message. */
    public int maxAttempts;
    /** Whether the relay may probe endpoints apart from messages; not used by {@link DeliveryPolicy}. */
    public boolean probesAllowed;
    /** Whether relays may send messages to each other; not used by {@link DeliveryPolicy}. */
    public boolean peerMessagesAllowed;
    /** Whether the relay may cancel an attempt in flight. */
    public boolean cancelAllowed;
    /** Whether the endpoint list comes only when it is requested. */
    public boolean listOnRequest;
    /** Whether the endpoint list names the rate that each endpoint's limit allows. */
    public boolean listReportsRate;
    /** Whether that rate is only approximate. */
    public boolean listedRateIsApproximate;
    /**
     * Whether the revenue of a late message halves with each further on-time duration. Otherwise it decreases
     * linearly until the message expires.
     */
    public boolean lateRevenueHalves;
    /** What a message beyond its tenant's share is worth; not used by {@link DeliveryPolicy}. */
    public double overShareWorth;
    /** The longest pause that a rejection may ask of a client. */
    public long maxRetryAfterMicros;
    /** Whether rejections carry a pause for the client. */
    public boolean reportsRetryAfter;
    /** The message classes; a message names its class by the index. */
    public MessageClass[] messageClasses = {};
    /** The tenants; not used by {@link DeliveryPolicy}. */
    public Tenant[] tenants = {};
    /**
     * By endpoint kind: whether each endpoint has its own limit, and not one with the others of its
     * destination.
     */
    public boolean[] limitPerEndpoint = {};
    /** By endpoint kind: messages that one call may carry. */
    public int[] maxBatchSize = {};
    /** The size of a call of several messages, at most; 0 if it is not limited. */
    public long maxCallBytes;
    /** What a call costs that an endpoint refuses as {@link PolicyActions#OVERLOADED}. */
    public double refusalPrice;
    /** The zone of this relay; -1 if unknown. */
    public int zone;
    /** What an attempt costs that is sent to another zone. */
    public double crossZonePrice;
    /** By zone: the fee for a message sent to an endpoint there that has its own limit. */
    public double[] zoneFees = {};
    /** The setting {@code rules.answer_slack_ms}; not used by {@link DeliveryPolicy}. */
    public long answerSlackMicros;
    /**
     * The interval of list requests; a failed list is requested again after an eighth of it, or 1 s if that
     * is less.
     */
    public long listRequestIntervalMicros;
    /** The share of its capacity that a destination has when it returns from an outage; 0 stands for 0.2. */
    public double warmUpInitialShare;
    /** How long after its return a destination takes to have its full capacity; 0 stands for 15 s. */
    public long warmUpMicros;
    /**
     * A destination that is warming up fails again if the calls within the collapse window exceed this
     * multiple of its capacity at that time; 0 stands for 2.
     */
    public double collapseMultiple;
    /** The duration over which calls are counted for that; 0 stands for 3 s. */
    public long collapseWindowMicros;
    /** How long the next message of a key waits after an attempt that may still be running. */
    public long settleAfterUncertainMicros;
    /** How long a connection may be idle before it is closed. */
    public long idleConnectionTimeoutMicros;
    /** When an attempt to open a connection is abandoned. */
    public long connectTimeoutMicros;
    /**
     * Whether an endpoint that has too many connections says so ({@link PolicyActions#CONNECTION_LIMIT}).
     * Otherwise a connect that is refused at once may mean that, or that the endpoint is down.
     */
    public boolean reportsConnectionLimit;
}
