package yewpath.lab.world;

import org.HdrHistogram.Histogram;
import yewpath.lab.core.EventCalendar;
import yewpath.lab.core.RandomStream;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;

/** All clients: what they wish, how they hand it in, and whether they heed what they are told. */
public final class Crowd {
    /** A client's wish, handed in once or several times. */
    public static final class Wish {
        final int intent;
        final int offeringIndex;
        final Scenario.MessageClass offering;
        final int destination;
        final int key;
        final long bornAt;
        final long expiry;
        int handIns;
        boolean over;

        Wish(int intent, int offeringIndex, Scenario.MessageClass offering, int destination, int key,
            long bornAt) {
            this.intent = intent;
            this.offeringIndex = offeringIndex;
            this.offering = offering;
            this.destination = destination;
            this.key = key;
            this.bornAt = bornAt;
            expiry = bornAt + offering.timeToLiveMicros();
        }
    }

    private static final long PATIENCE = 400_000;
    private final World world;
    private final Scenario s;
    private final EventCalendar calendar;
    private final Referee referee;
    private final RandomStream arrivals;
    private final RandomStream choices;
    private final RandomStream clients;
    private final RandomStream front;
    /** Cumulated weights of destinations. */
    private final double[] popular;
    private final double[] shares;
    /** Raised by a burst. */
    double burst = 1;
    private int intents;
    private int envelopes;

    // What is counted, of wishes born after the warm-up.
    final Histogram delays = new Histogram(3_600_000_000L, 3);
    long wishes;
    long fulfilled;
    /** With those of the warm-up, for the series. */
    long fulfilledEver;
    long inAgreedTime;
    long failed;
    long refusals;
    long deferrals;
    long handIns;
    double revenue;
    double possible;

    Crowd(World world) {
        this.world = world;
        s = world.s;
        calendar = world.calendar;
        referee = world.referee;
        arrivals = world.chance("arrivals");
        choices = world.chance("choices");
        clients = world.chance("clients");
        front = world.chance("front");
        popular = new double[s.destinationCount];
        double sum = 0;
        for (int i = 0; i < popular.length; i++) {
            sum += 1 / StrictMath.pow(i + 1, s.zipfExponent);
            popular[i] = sum;
        }
        shares = new double[s.messageClasses.size()];
        sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += s.messageClasses.get(i).share();
            shares[i] = sum;
        }
    }

    void begin() {
        if (s.requestsPerSecond > 0) {
            calendar.scheduleAfter(
                (long) arrivals.exponential(1e6 * s.meanArrivalBatchSize / s.requestsPerSecond),
                this::arrive);
        }
    }

    private void arrive() {
        if (calendar.nowMicros() >= s.lengthMicros) {
            return;
        }
        // Compound Poisson: clumps whose sizes are geometric about their mean.
        int size = 1;
        while (s.meanArrivalBatchSize > 1 && arrivals.uniform() < 1 - 1 / s.meanArrivalBatchSize) {
            size++;
        }
        for (int i = 0; i < size; i++) {
            wish();
        }
        calendar.scheduleAfter(
            (long) arrivals.exponential(1e6 * s.meanArrivalBatchSize / (s.requestsPerSecond * burst)),
            this::arrive);
    }

    private static int pick(double[] cumulated, double uniform) {
        int at = java.util.Arrays.binarySearch(cumulated, uniform * cumulated[cumulated.length - 1]);
        return Math.min(cumulated.length - 1, at < 0 ? -at - 1 : at + 1);
    }

    private void wish() {
        int offering = pick(shares, choices.uniform());
        int destination = pick(popular, choices.uniform());
        int key = s.keysPerDestination > 0
            ? destination * s.keysPerDestination + choices.nextInt(s.keysPerDestination) : -1;
        Wish wish = new Wish(intents++, offering, s.messageClasses.get(offering), destination, key,
            calendar.nowMicros());
        if (counts(wish)) {
            wishes++;
            possible += wish.offering.revenue();
        }
        handIn(wish);
    }

    private boolean counts(Wish wish) {
        return wish.bornAt >= s.runWarmUpMicros;
    }

    private void handIn(Wish wish) {
        Host relay = world.choose(front);
        Envelope e = new Envelope(envelopes++, wish);
        wish.handIns++;
        handIns++;
        referee.submitted(calendar.nowMicros(), e.index, e.intent, World.kind(wish.offering.semantics()),
            e.expiry,
            wish.offering.deduplicationMicros());
        calendar.scheduleAfter(world.trip(), () -> {
            if (relay.isUp()) {
                relay.handIn(e);
            } else {
                calendar.scheduleAfter(PATIENCE, () -> unanswered(e));
            }
        });
    }

    /** No answer has come while the client waited for it: it tries once more, under another id. */
    public void unanswered(Envelope e) {
        again(e.wish, 0);
    }

    public void refused(Envelope e, long pause) {
        referee.rejected(calendar.nowMicros(), e.index);
        refusals++;
        calendar.scheduleAfter(world.trip(), () -> again(e.wish, pause));
    }

    public void fulfilled(Envelope e) {
        Wish wish = e.wish;
        if (wish.over) {
            return;
        }
        wish.over = true;
        fulfilledEver++;
        if (!counts(wish)) {
            return;
        }
        long took = calendar.nowMicros() - wish.bornAt;
        fulfilled++;
        delays.recordValue(Math.max(1, Math.min(took, 3_600_000_000L)));
        boolean inTime = took <= wish.offering.onTimeMicros();
        inAgreedTime += inTime ? 1 : 0;
        revenue += wish.offering.revenue() * (inTime ? 1 : late(wish, took));
    }

    /** Worth falls evenly from all to the late part between the agreed time and the expiry. */
    private static double late(Wish wish, long took) {
        double part = (took - wish.offering.onTimeMicros())
            / (double) Math.max(1, wish.offering.timeToLiveMicros() - wish.offering.onTimeMicros());
        return 1 - (1 - wish.offering.lateRevenueShare()) * Math.min(1, part);
    }

    public void ended(Envelope e, boolean handedBack, long pause) {
        if (handedBack) {
            deferrals++;
            calendar.scheduleAfter(world.trip(), () -> again(e.wish, pause));
        } else {
            fail(e.wish);
        }
    }

    /** The platform tells clients that their relay's machine has gone with what it held. */
    public void lostWithItsRelay(Envelope e) {
        if (e.offering.semantics().equals("once-only") && e.shots > 0) {
            fail(e.wish);
        } else {
            calendar.scheduleAfter(1_000_000, () -> again(e.wish, 0));
        }
    }

    private void again(Wish wish, long told) {
        long own = (long) (s.clientRetryDelayMicros * (0.5 + clients.uniform()));
        long pause = s.clientsHonorRetryAfter ? Math.max(told, own) : own;
        if (wish.over || wish.handIns > s.maxClientRetries || calendar.nowMicros() + pause >= wish.expiry) {
            fail(wish);
            return;
        }
        calendar.scheduleAfter(pause, () -> {
            if (!wish.over) {
                handIn(wish);
            }
        });
    }

    private void fail(Wish wish) {
        if (!wish.over) {
            wish.over = true;
            failed += counts(wish) ? 1 : 0;
        }
    }

    long wishesEver() {
        return intents;
    }

    int envelopes() {
        return envelopes;
    }
}
