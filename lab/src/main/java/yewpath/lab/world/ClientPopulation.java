package yewpath.lab.world;

import org.HdrHistogram.Histogram;
import yewpath.lab.core.EventCalendar;
import yewpath.lab.core.RandomStream;
import yewpath.lab.referee.Referee;
import yewpath.lab.scenario.Scenario;

/**
 * All clients of a run: generates their requests, submits them to the relays, resubmits what was refused,
 * rejected or not answered, and counts the results.
 */
public final class ClientPopulation {
    /**
     * What a client wants delivered. It is submitted once or several times, each time as a new
     * {@link Message}.
     */
    public static final class ClientRequest {
        final int index;
        final int messageClassIndex;
        final Scenario.MessageClass messageClass;
        final int destination;
        final int key;
        final long createdAtMicros;
        final long expiresAtMicros;
        int submissions;
        boolean finished;

        ClientRequest(int index, int messageClassIndex, Scenario.MessageClass messageClass, int destination,
            int key, long createdAtMicros) {
            this.index = index;
            this.messageClassIndex = messageClassIndex;
            this.messageClass = messageClass;
            this.destination = destination;
            this.key = key;
            this.createdAtMicros = createdAtMicros;
            expiresAtMicros = createdAtMicros + messageClass.timeToLiveMicros();
        }
    }

    /** How long a client waits for the relay's answer to a submission. */
    private static final long ANSWER_TIMEOUT_MICROS = 400_000;
    /** Wait before a client resubmits a message that was lost together with its relay. */
    private static final long LOST_RELAY_RESUBMIT_MICROS = 1_000_000;
    /** Largest delay that the histogram records: one hour. */
    private static final long MAX_DELAY_MICROS = 3_600_000_000L;
    private final World world;
    private final Scenario scenario;
    private final EventCalendar calendar;
    private final Referee referee;
    private final RandomStream arrivals;
    private final RandomStream choices;
    private final RandomStream retryDelays;
    private final RandomStream loadBalancer;
    /** Cumulative weights of the destinations. */
    private final double[] cumulativePopularity;
    /** Cumulative shares of the message classes. */
    private final double[] cumulativeShares;
    /** Factor on the arrival rate; above 1 during a burst. */
    double rateFactor = 1;
    private int requestsCreated;
    private int messagesSubmitted;

    // Statistics of the requests created after the warm-up.
    final Histogram deliveryDelays = new Histogram(MAX_DELAY_MICROS, 3);
    long requests;
    long delivered;
    long deliveredOnTime;
    long failed;
    double revenue;
    double possibleRevenue;

    // Statistics of the whole run.
    long deliveredIncludingWarmUp;
    long refusals;
    long rejections;
    long submissions;

    ClientPopulation(World world) {
        this.world = world;
        scenario = world.scenario;
        calendar = world.calendar;
        referee = world.referee;
        arrivals = world.randomStream("arrivals");
        choices = world.randomStream("choices");
        retryDelays = world.randomStream("clients");
        loadBalancer = world.randomStream("front");
        cumulativePopularity = new double[scenario.destinationCount];
        double sum = 0;
        for (int i = 0; i < cumulativePopularity.length; i++) {
            sum += 1 / StrictMath.pow(i + 1, scenario.zipfExponent);
            cumulativePopularity[i] = sum;
        }
        cumulativeShares = new double[scenario.messageClasses.size()];
        sum = 0;
        for (int i = 0; i < cumulativeShares.length; i++) {
            sum += scenario.messageClasses.get(i).share();
            cumulativeShares[i] = sum;
        }
    }

    /** Schedules the first arrival. */
    void start() {
        if (scenario.requestsPerSecond > 0) {
            calendar.scheduleAfter(
                (long) arrivals.exponential(1e6 * scenario.meanArrivalBatchSize / scenario.requestsPerSecond),
                this::arrive);
        }
    }

    private void arrive() {
        if (calendar.nowMicros() >= scenario.lengthMicros) {
            return;
        }
        // Compound Poisson process: the batch sizes have a geometric distribution with the configured mean.
        int size = 1;
        while (scenario.meanArrivalBatchSize > 1
            && arrivals.uniform() < 1 - 1 / scenario.meanArrivalBatchSize) {
            size++;
        }
        for (int i = 0; i < size; i++) {
            createRequest();
        }
        calendar.scheduleAfter(
            (long) arrivals
                .exponential(1e6 * scenario.meanArrivalBatchSize / (scenario.requestsPerSecond * rateFactor)),
            this::arrive);
    }

    private static int pick(double[] cumulative, double uniform) {
        int position = java.util.Arrays.binarySearch(cumulative, uniform * cumulative[cumulative.length - 1]);
        return Math.min(cumulative.length - 1, position < 0 ? -position - 1 : position + 1);
    }

    private void createRequest() {
        int messageClass = pick(cumulativeShares, choices.uniform());
        int destination = pick(cumulativePopularity, choices.uniform());
        int key = scenario.keysPerDestination > 0
            ? destination * scenario.keysPerDestination + choices.nextInt(scenario.keysPerDestination) : -1;
        ClientRequest request = new ClientRequest(requestsCreated++, messageClass,
            scenario.messageClasses.get(messageClass), destination, key, calendar.nowMicros());
        if (isCounted(request)) {
            requests++;
            possibleRevenue += request.messageClass.revenue();
        }
        submit(request);
    }

    private boolean isCounted(ClientRequest request) {
        return request.createdAtMicros >= scenario.runWarmUpMicros;
    }

    private void submit(ClientRequest request) {
        Relay relay = world.chooseRelay(loadBalancer);
        Message message = new Message(messagesSubmitted++, request);
        request.submissions++;
        submissions++;
        referee.submitted(calendar.nowMicros(), message.index, message.requestIndex,
            World.semantics(request.messageClass.semantics()), message.expiresAtMicros,
            request.messageClass.deduplicationMicros());
        calendar.scheduleAfter(world.networkDelay(), () -> {
            if (relay.isUp()) {
                relay.submit(message);
            } else {
                calendar.scheduleAfter(ANSWER_TIMEOUT_MICROS, () -> submissionUnanswered(message));
            }
        });
    }

    /**
     * The client's wait for an answer to its submission has ended: it submits the request again, under a new
     * id.
     */
    public void submissionUnanswered(Message message) {
        resubmit(message.request, 0);
    }

    /** The relay refused the submission and asked the client to wait; 0 for no such wait. */
    public void refused(Message message, long retryAfterMicros) {
        referee.rejected(calendar.nowMicros(), message.index);
        refusals++;
        calendar.scheduleAfter(world.networkDelay(), () -> resubmit(message.request, retryAfterMicros));
    }

    /** The message was delivered. Only the first delivery of a request counts. */
    public void delivered(Message message) {
        ClientRequest request = message.request;
        if (request.finished) {
            return;
        }
        request.finished = true;
        deliveredIncludingWarmUp++;
        if (!isCounted(request)) {
            return;
        }
        long delayMicros = calendar.nowMicros() - request.createdAtMicros;
        delivered++;
        deliveryDelays.recordValue(Math.max(1, Math.min(delayMicros, MAX_DELAY_MICROS)));
        boolean onTime = delayMicros <= request.messageClass.onTimeMicros();
        deliveredOnTime += onTime ? 1 : 0;
        revenue += request.messageClass.revenue() * (onTime ? 1 : lateShare(request, delayMicros));
    }

    /**
     * Share of its revenue that a late delivery earns. It falls linearly from 1 at the agreed time to the
     * class's late share at the expiry.
     */
    private static double lateShare(ClientRequest request, long delayMicros) {
        double lateness = (delayMicros - request.messageClass.onTimeMicros())
            / (double) Math.max(1,
                request.messageClass.timeToLiveMicros() - request.messageClass.onTimeMicros());
        return 1 - (1 - request.messageClass.lateRevenueShare()) * Math.min(1, lateness);
    }

    /** The relay gave an accepted message up: rejected for the client to resubmit, or failed. */
    public void endedWithoutDelivery(Message message, boolean rejected, long retryAfterMicros) {
        if (rejected) {
            rejections++;
            calendar.scheduleAfter(world.networkDelay(), () -> resubmit(message.request, retryAfterMicros));
        } else {
            fail(message.request);
        }
    }

    /** The platform reports that the message's relay is gone for good, together with its ledger. */
    public void lostWithRelay(Message message) {
        if (message.messageClass.semantics().equals("once-only") && message.attempts > 0) {
            fail(message.request);
        } else {
            calendar.scheduleAfter(LOST_RELAY_RESUBMIT_MICROS, () -> resubmit(message.request, 0));
        }
    }

    private void resubmit(ClientRequest request, long retryAfterMicros) {
        long clientPause = (long) (scenario.clientRetryDelayMicros * (0.5 + retryDelays.uniform()));
        long pause = scenario.clientsHonorRetryAfter ? Math.max(retryAfterMicros, clientPause) : clientPause;
        if (request.finished || request.submissions > scenario.maxClientRetries
            || calendar.nowMicros() + pause >= request.expiresAtMicros) {
            fail(request);
            return;
        }
        calendar.scheduleAfter(pause, () -> {
            if (!request.finished) {
                submit(request);
            }
        });
    }

    private void fail(ClientRequest request) {
        if (!request.finished) {
            request.finished = true;
            failed += isCounted(request) ? 1 : 0;
        }
    }

    /** Requests created so far, including those of the warm-up. */
    long requestsCreated() {
        return requestsCreated;
    }

    /** Messages submitted so far; each submission of a request is one message. */
    int messagesSubmitted() {
        return messagesSubmitted;
    }
}
