package yewpath;

/** What a relay is told at its start, in this project's words; decides nothing. Times are microseconds. */
public final class Settings {
    public enum Kind { REPEATABLE, TAGGED, ONCE_ONLY }

    /** {@code memory} and {@code oneZone} say how long, and where, a repeat of a tagged envelope is known. */
    public record Offering(double revenue, double lateRevenue, long agreed, long expiry, Kind kind,
                           boolean oneZone, long memory, boolean ordered) { }

    /** {@code quota} is in envelopes a second over all relays. */
    public record Tenant(double quota, double portion) { }

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
