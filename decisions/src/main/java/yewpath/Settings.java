package yewpath;

/** What a relay is told at its start, in this project's words; decides nothing. Times are microseconds. */
public final class Settings {
    /** How often a message may take effect: any number of times, once by its tag, or at most once. */
    public enum Kind {
        REPEATABLE,
        TAGGED,
        ONCE_ONLY
    }

    /** {@code memory} and {@code oneZone} say how long, and where, a repeat of a tagged envelope is known. */
    public record Offering(double revenue, double lateRevenue, long agreed, long expiry, Kind kind,
        boolean oneZone, long memory, boolean ordered) {}

    /** {@code quota} is in envelopes a second over all relays. */
    public record Tenant(double quota, double portion) {}

    public int relays;
    public int self;
    public int slots;
    public int holdLimit;
    public int shotLimit;
    public boolean mayProbe;
    public boolean mayNote;
    public boolean mayCancel;
    public boolean listAsked;
    public boolean listTellsRate;
    public boolean rateIsRough;
    public boolean halving;
    public double overShare;
    public long pauseLimit;
    public boolean tellsPause;
    public Offering[] offerings = {};
    public Tenant[] tenants = {};
    public boolean[] routesApart = {};
    public int[] bundle = {};
    public double refusalPrice;
    /** The zone this relay stands in, and what a shot into another costs as a part of an envelope's revenue. */
    public int zone;
    public double crossingPrice;
    /** By zone: what a route apart there takes for an envelope, as a part of its revenue. */
    public double[] fees = {};
    public long answerSlack;
    public long askEvery;
    public double coldFrom;
    public long coldFor;
    public double fallMultiple;
    public long fallFor;
    public long settleAfterDoubt;
    public long connectionIdle;
    public long connectTimeout;
}
