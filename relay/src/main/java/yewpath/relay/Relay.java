package yewpath.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import yewpath.DeliveryPolicy;
import yewpath.OutageState;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.boot.PlatformSettings;
import yewpath.delivery.Call;
import yewpath.delivery.CallRequest;
import yewpath.delivery.Delivery;
import yewpath.directory.DiscoveryClient;
import yewpath.directory.ListValidity;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.intake.ClientListener;
import yewpath.intake.MessageIntake;
import yewpath.intake.Submission;
import yewpath.json.Json;
import yewpath.ledger.ContentFingerprint;
import yewpath.ledger.FinishedMessages.FinishedMessage;
import yewpath.ledger.Ledger;
import yewpath.ledger.LedgerEntry;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;
import yewpath.outcome.NoticeSender;

/**
 * Connects the event loop, the ledger and the network code with the delivery policy. In each round the
 * queued events are reported to the policy, the policy completes the round, the ledger is written, and
 * only then are the responses and requests sent that depend on the written records.
 */
final class Relay implements PolicyActions, MessageIntake {
    /** A call to start at the end of this round: an endpoint and the messages that the policy sent to it. */
    private static final class PendingCall {
        final int endpoint;
        final List<TrackedMessage> messages = new ArrayList<>(1);
        long deadlineMicros;

        PendingCall(int endpoint) {
            this.endpoint = endpoint;
        }
    }

    private static final int HTTP_CONFLICT = 409;
    /** The outcomes of {@link PolicyActions} by their names in log events, indexed by outcome. */
    private static final String[] OUTCOME_LABELS = {"fulfilled", "error", "full", "timeout", "unreached",
        "broken",
        "cancelled",
        "moot", "stale", "unreached"};

    private final EventLoop loop;
    private final Ledger ledger;
    private final LedgerWriter ledgerWriter;
    private final PlatformSettings platformSettings;
    private final DeliveryPolicy policy;
    private final Delivery delivery;
    private final NoticeSender notices;
    private final Endpoints endpoints;
    private final DiscoveryClient discoveryClient;
    private final ListValidity listValidity;
    private final MessageTable messages;
    private final KeyOrder keyOrder = new KeyOrder();
    private final Shutdown shutdown;
    private final int maxOpenMessages;
    /** The index of the class for restored messages whose class the configuration does not name. */
    private final int unknownMessageClass;
    /** Whether responses to clients may contain Retry-After. */
    private final boolean reportsRetryAfter;
    /** How long a key pauses after an attempt of unknown outcome. */
    private final long settleAfterUncertainMicros;
    /**
     * Until when every key pauses, because the calls of an earlier process may have carried messages of which
     * the ledger knows nothing any more.
     */
    private final long keysPausedUntilMicros;
    /** Messages accepted in this round; their clients wait for the response. */
    private final List<TrackedMessage> acceptedInRound = new ArrayList<>();
    /** Actions that the policy asked for in this round; run once the ledger is written. */
    private final List<Runnable> actions = new ArrayList<>();
    /** The latest call of this round to each endpoint, which further messages may join. */
    private final Map<Integer, PendingCall> openBatches = new HashMap<>();
    private long roundCount;
    private long acceptedCount;
    private long deliveredCount;
    private long rejectedCount;
    private long failedCount;

    /**
     * Creates a relay, restores the messages of the ledger and starts to follow discovery. Like all
     * methods it must be called on the I/O thread.
     *
     * @param ledger the opened ledger
     */
    Relay(Config config, EventLoop loop, Ledger ledger) {
        this.loop = loop;
        this.ledger = ledger;
        platformSettings = config.platformSettings;
        Limits limits = config.limits;
        PolicySettings settings = platformSettings.policySettings;
        unknownMessageClass = settings.messageClasses.length;
        if (ledger.entries().stream()
            .anyMatch(entry -> platformSettings.messageClasses.find(entry.messageClass) < 0)) {
            addUnknownMessageClass(settings);
        }
        // The number of concurrent calls is limited to the number of connections: a further call would
        // have no connection.
        settings.maxConcurrentCalls = Math.min(settings.maxConcurrentCalls, limits.maxEndpointConnections());
        settings.reportsConnectionLimit = true;
        settings.maxCallBytes = limits.maxBodyBytes();
        maxOpenMessages = settings.maxOpenMessages > 0 ? settings.maxOpenMessages : Integer.MAX_VALUE;
        reportsRetryAfter = settings.reportsRetryAfter;
        settleAfterUncertainMicros = settings.settleAfterUncertainMicros;
        messages = new MessageTable(settleAfterUncertainMicros);
        shutdown = new Shutdown(loop, limits);
        notices = new NoticeSender(loop, limits, config.discoveryAddress, this::onNoticeAcknowledged);
        ledgerWriter = new LedgerWriter(loop, ledger, notices::add);
        delivery = new Delivery(loop, limits, platformSettings.reportFields, this::isListCurrent,
            ledgerWriter::flush);
        loop.setRoundAction(this::round);
        policy = new DeliveryPolicy(settings, config.seed, this, loop.nowMicros());
        endpoints = new Endpoints(platformSettings, policy, delivery, ledger.knownOutages());
        listValidity = new ListValidity(loop, this::stopSending);
        discoveryClient = new DiscoveryClient(loop, limits, config.discoveryAddress,
            endpoints.loadConfigured(config.configuredEndpoints), endpoints, listValidity,
            settings.listOnRequest ? () -> loop.enqueue(policy::endpointListFailed) : null);
        if (!settings.listOnRequest) {
            discoveryClient.startWatch();
        }
        ledger.entries().forEach(this::restore);
        policy.messagesRestored();
        keysPausedUntilMicros = ledger.hasHistory() ? loop.nowMicros() + settleAfterUncertainMicros : 0;
        endpoints.restoreOutages();
        loop.schedule(limits.connectTimeoutMicros(), this::logMissingList);
        loop.requestRound();
    }

    /**
     * Cancels the calls that are not sent yet, because the endpoint list may be outdated. Messages are
     * accepted and wait until discovery answers.
     */
    private void stopSending() {
        logMissingList();
        delivery.cancelUnsentCalls();
        loop.requestRound();
    }

    /**
     * Whether requests may be sent by the list in use: discovery has confirmed it, and what discovery has written
     * since is part of it.
     */
    private boolean isListCurrent() {
        return discoveryClient.readAvailable() && listValidity.isValid();
    }

    private void logMissingList() {
        if (!listValidity.isValid()) {
            Log.log(Event.DIRECTORY_AWAITED, messages.openCount());
        }
    }

    /**
     * Adds a message class for restored messages whose class is no longer configured. Guards against such
     * messages failing without an attempt. The properties of their class are unknown, so the most careful
     * ones apply: at-most-once delivery, in the order of the key, and after the messages of all other
     * classes.
     */
    private static void addUnknownMessageClass(PolicySettings settings) {
        int last = settings.messageClasses.length;
        double revenue = Arrays.stream(settings.messageClasses)
            .mapToDouble(PolicySettings.MessageClass::revenue).min()
            .orElse(0);
        long timeToLive = Arrays.stream(settings.messageClasses)
            .mapToLong(PolicySettings.MessageClass::timeToLiveMicros).max().orElse(0);
        settings.messageClasses = Arrays.copyOf(settings.messageClasses, last + 1);
        settings.messageClasses[last] = new PolicySettings.MessageClass(revenue, revenue, timeToLive,
            timeToLive,
            PolicySettings.DeliverySemantics.AT_MOST_ONCE, false, 0, true);
    }

    /** Restores a message from the ledger, or the notice that is still owed for it. */
    private void restore(LedgerEntry entry) {
        if (entry.noticeOwed) {
            queueNotice(entry);
            return;
        }
        int messageClass = platformSettings.messageClasses.find(entry.messageClass);
        reportToPolicy(messages.add(entry, loop.nowMicros()),
            messageClass < 0 ? unknownMessageClass : messageClass,
            platformSettings.zones.getOrAdd(entry.uncertainZone));
        if (Log.isEnabled(Event.MESSAGE_RESTORED)) {
            Log.log(Event.MESSAGE_RESTORED, entry.id, entry.attempts, entry.uncertainSinceMicros >= 0);
        }
    }

    /**
     * Reports an accepted or restored message to the policy.
     *
     * @param uncertainZone the zone of the first attempt with unknown outcome; ignored if there is none
     */
    private void reportToPolicy(TrackedMessage message, int messageClass, int uncertainZone) {
        LedgerEntry entry = message.entry;
        policy.messageAccepted(message.index, messageClass,
            entry.tenant == null ? -1 : platformSettings.tenants.find(entry.tenant), message.keyIndex,
            endpoints.destinationIndex(entry.destination), entry.deadlineMicros, entry.attempts,
            entry.uncertainSinceMicros, uncertainZone, CallRequest.maxBatchItemBytes(entry.id,
                entry.idempotencyKey != null ? entry.idempotencyKey : entry.key, entry.body.length));
    }

    // ---- Rounds

    /** Runs one round of the event loop. */
    private void round() {
        roundCount++;
        long nowMicros = loop.nowMicros();
        policy.setTime(nowMicros);
        readWhatCameMeanwhile();
        loop.runQueuedEvents();
        boolean maySend = shutdown.mayStartAttempts(nowMicros) && listValidity.isValid()
            && ledger.isWritable();
        EventLoop.runLoggingFailures(() -> policy.completeRound(maySend));
        openBatches.clear();
        if (!ledgerWriter.flush()) {
            refuseAcceptedMessages();
        }
        confirmAcceptedMessages();
        for (Runnable action : actions) {
            EventLoop.runLoggingFailures(action);
        }
        actions.clear();
        ledgerWriter.flush();
    }

    /**
     * Reads what has arrived and is not handled yet, so that the policy decides by it: the list of endpoints before
     * each round, responses after a standstill.
     */
    private void readWhatCameMeanwhile() {
        discoveryClient.readAvailable();
        if (loop.pollStandstill()) {
            delivery.readAvailable();
        }
    }

    /** Refuses the messages accepted in this round, because they could not be written to the ledger. */
    private void refuseAcceptedMessages() {
        for (TrackedMessage message : List.copyOf(acceptedInRound)) {
            ledger.discard(message.entry);
            if (!message.ended) {
                logRefusal(message.entry.id, "disk");
                message.answer(503, clientRetryDelayMicros());
                message.withdrawn = true;
                loop.enqueue(() -> endWithdrawn(message));
            }
        }
        acceptedInRound.clear();
    }

    // ---- Accepting messages

    @Override
    public boolean isClosing() {
        return shutdown.isStarted();
    }

    @Override
    public boolean isReady() {
        return !isClosing() && ledger.isWritable();
    }

    @Override
    public boolean isKnownClass(String messageClass) {
        return platformSettings.messageClasses.find(messageClass) >= 0;
    }

    @Override
    public byte[] statistics() {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField("open", messages.openCount());
            out.writeNumberField("calls_out", delivery.callsInFlight());
            out.writeNumberField("endpoint_links", delivery.connectionCount());
            out.writeNumberField("notices_owed", notices.unacknowledgedCount());
            out.writeNumberField("ledger_bytes", ledger.fileBytes());
            out.writeBooleanField("ledger_writable", ledger.isWritable());
            out.writeBooleanField("endpoint_list_current", listValidity.isValid());
            out.writeNumberField("rounds", roundCount);
            out.writeNumberField("taken", acceptedCount);
            out.writeNumberField("fulfilled", deliveredCount);
            out.writeNumberField("deferred", rejectedCount);
            out.writeNumberField("aborted", failedCount);
            out.writeNumberField("log_dropped", Log.droppedLines());
            out.writeEndObject();
            out.writeRaw('\n');
        });
    }

    @Override
    public void submit(Submission submission, long timeoutMicros, Reply reply) {
        long deadlineMicros = loop.nowMicros() + timeoutMicros;
        loop.enqueue(() -> accept(submission, deadlineMicros, reply));
    }

    /** Accepts or refuses a submitted message; runs in the round after its submission. */
    private void accept(Submission submission, long deadlineMicros, Reply reply) {
        if (reply.isClientGone()) {
            return;
        }
        TrackedMessage known = messages.find(submission.id());
        if (known != null && known.withdrawn) {
            // Its last steps are queued already.
            loop.enqueue(() -> accept(submission, deadlineMicros, reply));
            return;
        }
        FinishedMessage finished = ledger.finishedMessages().find(submission.id(), loop.nowMicros());
        if (finished != null) {
            answerRepeatOfFinished(submission, finished, reply);
        } else if (known != null) {
            answerRepeatOfOpen(submission, known, reply);
        } else {
            acceptNew(submission, deadlineMicros, reply);
        }
    }

    private void acceptNew(Submission submission, long deadlineMicros, Reply reply) {
        LedgerEntry entry = ledger.createEntry(submission.id(), submission.messageClass(),
            submission.tenant(), submission.affinityKey(), submission.idempotencyKey(),
            submission.destination(), deadlineMicros, submission.body());
        String refusal = isClosing() ? "closing" : !ledger.isWritable() ? "disk"
            : messages.openCount() >= maxOpenMessages ? "hold" : !ledger.hasRoomFor(entry) ? "ledger"
                // A message to an unlisted destination would occupy space until its deadline, and the
                // number of each such destination would be kept forever. The list that names the
                // destination may only be late, so the client may retry.
                : !endpoints.isListedDestination(submission.destination()) ? "unlisted" : null;
        if (refusal != null) {
            refuse(submission.id(), refusal, reply);
            return;
        }
        // Recorded at once, so that the space check of the next message in this round includes it.
        ledger.recordAccepted(entry);
        TrackedMessage message = messages.add(entry, loop.nowMicros());
        message.replies.add(reply);
        acceptedInRound.add(message);
        acceptedCount++;
        if (Log.isEnabled(Event.MESSAGE_ACCEPTED)) {
            Log.log(Event.MESSAGE_ACCEPTED, entry.id, entry.messageClass, entry.tenant, entry.destination,
                (deadlineMicros - loop.nowMicros()) / 1000, entry.body.length);
        }
        reportToPolicy(message, platformSettings.messageClasses.find(entry.messageClass), 0);
    }

    /**
     * Answers a request whose message has ended; it is not attempted again. The client of a rejected message may
     * submit it under another id.
     */
    private void answerRepeatOfFinished(Submission submission, FinishedMessage finished, Reply reply) {
        if (hasOtherContent(submission, finished.contentFingerprint())) {
            refuseOtherContent(submission.id(), reply);
        } else if (finished.rejected()) {
            refuse(submission.id(), "repeated", reply);
        } else {
            confirmRepeat(submission.id(), true, reply);
        }
    }

    /**
     * Answers a request whose message is open and still gets exactly one outcome. While the acceptance of the
     * message is not written yet, the request waits for the same answer as the first one.
     */
    private void answerRepeatOfOpen(Submission submission, TrackedMessage open, Reply reply) {
        if (hasOtherContent(submission, open.entry.contentFingerprint)) {
            refuseOtherContent(submission.id(), reply);
        } else if (open.isAnswerPending()) {
            open.replies.add(reply);
        } else {
            confirmRepeat(submission.id(), false, reply);
        }
    }

    /**
     * Whether a request under a known id is no repeat but the message of another client, which has to learn that it
     * is not accepted.
     */
    private static boolean hasOtherContent(Submission submission, int knownFingerprint) {
        return ContentFingerprint.differ(knownFingerprint,
            ContentFingerprint.of(submission.messageClass(), submission.destination(),
                submission.affinityKey(), submission.idempotencyKey(), submission.body()));
    }

    private static void refuseOtherContent(String id, Reply reply) {
        logRefusal(id, "taken");
        reply.send(HTTP_CONFLICT, 0);
    }

    private static void confirmRepeat(String id, boolean finished, Reply reply) {
        if (Log.isEnabled(Event.MESSAGE_REPEATED)) {
            Log.log(Event.MESSAGE_REPEATED, id, finished);
        }
        reply.send(202, 0);
    }

    /**
     * Answers 503 to a message that is not accepted.
     *
     * @param reason the reason as the log event names it
     */
    private void refuse(String id, String reason, Reply reply) {
        logRefusal(id, reason);
        reply.send(503, clientRetryDelayMicros());
    }

    /** Returns how long a refused client should wait, in microseconds; 0 if it may not be told. */
    private long clientRetryDelayMicros() {
        return reportsRetryAfter ? policy.resubmitDelayMicros() : 0;
    }

    private static void logRefusal(String id, String reason) {
        if (Log.isEnabled(Event.MESSAGE_REFUSED)) {
            Log.log(Event.MESSAGE_REFUSED, id, reason);
        }
    }

    /** Confirms to the clients that their messages are accepted; sent first in a round. */
    private void confirmAcceptedMessages() {
        List<TrackedMessage> accepted = List.copyOf(acceptedInRound);
        acceptedInRound.clear();
        accepted.forEach(message -> EventLoop.runLoggingFailures(() -> confirmAccepted(message)));
    }

    private void confirmAccepted(TrackedMessage message) {
        if (!message.ended && !message.answer(202, 0)) {
            // No client has a confirmation; each may submit the message again under another id.
            message.withdrawn = true;
            loop.enqueue(() -> withdraw(message));
        }
    }

    /** Ends a message whose clients disconnected before it was confirmed. */
    private void withdraw(TrackedMessage message) {
        if (!message.ended) {
            Log.log(Event.MESSAGE_WITHDRAWN, message.entry.id);
        }
        endWithdrawn(message);
    }

    /** Ends a withdrawn message without an outcome, unless it has ended meanwhile. */
    private void endWithdrawn(TrackedMessage message) {
        if (!message.ended) {
            policy.messageWithdrawn(message.index);
            ledger.recordCompleted(message.entry);
            messages.end(message, loop.nowMicros());
        }
    }

    // ---- Delivery

    @Override
    public void send(int messageIndex, int endpoint, long timeoutMicros, long sendByMicros) {
        TrackedMessage message = messages.get(messageIndex);
        message.sendByMicros = sendByMicros;
        message.attemptsInFlight++;
        message.attemptCount++;
        long deadlineMicros = timeoutMicros > 0
            ? Math.min(message.entry.deadlineMicros, loop.nowMicros() + timeoutMicros)
            : message.entry.deadlineMicros;
        PendingCall pendingCall = openBatches.get(endpoint);
        if (pendingCall == null || pendingCall.messages.size() >= endpoints.maxBatchSize(endpoint)) {
            PendingCall created = new PendingCall(endpoint);
            pendingCall = created;
            openBatches.put(endpoint, created);
            actions.add(() -> startCall(created));
        }
        pendingCall.messages.add(message);
        pendingCall.deadlineMicros = Math.max(pendingCall.deadlineMicros, deadlineMicros);
    }

    /**
     * Starts a call with its messages. A withdrawn message is not sent. An ordered message whose key is
     * blocked gets a call of its own, which starts when the key is unblocked.
     */
    private void startCall(PendingCall pendingCall) {
        List<Call.Attempt> attempts = new ArrayList<>();
        List<TrackedMessage> sentMessages = new ArrayList<>();
        for (TrackedMessage message : pendingCall.messages) {
            message.attempt = new MessageAttempt(message, pendingCall.endpoint);
            if (message.withdrawn) {
                message.attempt.onEnd(NOT_EXECUTED, 0, true, Double.NaN, Double.NaN);
                message.attempt.onCallEnd();
            } else if (mustWaitForKey(message)) {
                Call waitingCall = delivery.prepareCall(pendingCall.endpoint, List.of(message.attempt),
                    pendingCall.deadlineMicros);
                message.call = waitingCall;
                keyOrder.runWhenUnblocked(message.entry.key,
                    () -> delivery.startPreparedCall(waitingCall, pendingCall.deadlineMicros));
            } else {
                attempts.add(message.attempt);
                sentMessages.add(message);
            }
        }
        Call call = attempts.isEmpty() ? null
            : delivery.startCall(pendingCall.endpoint, attempts, pendingCall.deadlineMicros);
        sentMessages.forEach(message -> message.call = call);
    }

    /** Whether an ordered message has to wait until its key is unblocked. */
    private boolean mustWaitForKey(TrackedMessage message) {
        if (!isOrdered(message.entry)) {
            return false;
        }
        long pauseMicros = keysPausedUntilMicros - loop.nowMicros();
        if (pauseMicros > 0 && message.entry.attempts == 0) {
            keyOrder.block(message.entry.key, message);
            loop.schedule(pauseMicros, () -> keyOrder.unblock(message));
        }
        return keyOrder.isBlocked(message.entry.key);
    }

    /**
     * Whether the messages with the key of this one are delivered in order. A class that is no longer
     * configured may have been ordered.
     */
    private boolean isOrdered(LedgerEntry entry) {
        int messageClass = platformSettings.messageClasses.find(entry.messageClass);
        return entry.key != null
            && (messageClass < 0 || platformSettings.policySettings.messageClasses[messageClass].ordered());
    }

    /** One attempt to deliver a message, as part of a call. */
    private final class MessageAttempt implements Call.Attempt {
        private final TrackedMessage message;
        private final int endpoint;
        private final int attemptNumber;
        private final long startedAtMicros = loop.nowMicros();

        MessageAttempt(TrackedMessage message, int endpoint) {
            this.message = message;
            this.endpoint = endpoint;
            attemptNumber = message.attemptCount - 1;
        }

        @Override
        public String id() {
            return message.entry.id;
        }

        @Override
        public String affinityKey() {
            return message.entry.key;
        }

        @Override
        public String idempotencyKey() {
            return message.entry.idempotencyKey;
        }

        @Override
        public byte[] body() {
            return message.entry.body;
        }

        @Override
        public long deadlineMicros() {
            return message.entry.deadlineMicros;
        }

        @Override
        public long sendByMicros() {
            return message.sendByMicros;
        }

        @Override
        public void beforeSend() {
            ledger.recordAttempt(message.entry, loop.nowMicros(), endpoints.zone(endpoint));
            if (Log.isEnabled(Event.ATTEMPT_STARTED)) {
                Log.log(Event.ATTEMPT_STARTED, message.entry.id, attemptNumber, endpoints.name(endpoint));
            }
        }

        @Override
        public void onEnd(int outcome, long retryAfterMicros, boolean finished, double remainingShare,
            double reportedLimit) {
            long elapsedMicros = loop.nowMicros() - startedAtMicros;
            if (isOrdered(message.entry)) {
                keyOrder.block(message.entry.key, this);
            }
            if (retryAfterMicros > 0) {
                endpoints.retryAfterReceived(endpoint);
            }
            loop.enqueue(() -> completeAttempt(outcome, retryAfterMicros, finished, elapsedMicros,
                remainingShare, reportedLimit));
        }

        /**
         * Ends the block of the key. If the message has ended before, it expired while the call went on, and
         * the endpoint may have executed it until now: the key pauses as after an attempt of unknown outcome.
         */
        @Override
        public void onCallEnd() {
            if (message.ended && isOrdered(message.entry)) {
                loop.schedule(settleAfterUncertainMicros, () -> keyOrder.unblock(this));
            } else {
                keyOrder.unblock(this);
            }
        }

        /**
         * Records the end of the attempt and reports it to the policy; runs in the next round.
         *
         * @param finished whether nothing more is owed for the message
         */
        private void completeAttempt(int outcome, long retryAfterMicros, boolean finished, long elapsedMicros,
            double remainingShare, double reportedLimit) {
            if (finished && !message.ended) {
                deliveredCount += outcome == DELIVERED ? 1 : 0;
                ledger.recordDelivered(message.entry, loop.nowMicros());
            } else if (!message.ended) {
                ledger.recordAttemptEnded(message.entry, PolicyActions.isNotExecuted(outcome));
            }
            message.call = null;
            if (Log.isEnabled(Event.ATTEMPT_FAILED)) {
                logEnd(outcome, retryAfterMicros, finished, elapsedMicros);
            }
            policy.attemptEnded(message.index, finished || message.ended, attemptNumber, endpoint, outcome,
                retryAfterMicros, elapsedMicros, remainingShare,
                reportedLimit);
            message.attemptsInFlight--;
            if (finished) {
                messages.end(message, loop.nowMicros());
            }
            messages.release(message, loop.nowMicros());
        }

        private void logEnd(int outcome, long retryAfterMicros, boolean finished, long elapsedMicros) {
            if (finished) {
                Log.log(Event.MESSAGE_DELIVERED, message.entry.id, attemptNumber, endpoints.name(endpoint),
                    elapsedMicros / 1000);
            } else {
                Log.log(Event.ATTEMPT_FAILED, message.entry.id, attemptNumber, endpoints.name(endpoint),
                    OUTCOME_LABELS[outcome],
                    elapsedMicros / 1000, retryAfterMicros / 1000);
            }
        }
    }

    @Override
    public void cancelAttempt(int messageIndex, int attempt) {
        TrackedMessage message = messages.get(messageIndex);
        actions.add(() -> {
            // A message has at most one attempt in flight, so the current call is the one to cancel.
            if (message != null && message.call != null) {
                message.call.cancel(message.attempt);
            }
        });
    }

    @Override
    public void closeIdleConnections(int endpoint) {
        actions.add(() -> delivery.closeIdle(endpoint));
    }

    @Override
    public void releaseEndpoint(int endpoint) {
        endpoints.release(endpoint);
    }

    @Override
    public void endpointHealthChanged(int endpoint, boolean healthy) {
        Log.log(healthy ? Event.ENDPOINT_HEALTHY : Event.ENDPOINT_UNHEALTHY, endpoints.name(endpoint));
    }

    @Override
    public void outageChanged(int endpoint, OutageState state) {
        Log.log(Event.ENDPOINT_OUTAGE, endpoints.name(endpoint),
            state.phase().name().toLowerCase(Locale.ROOT),
            state.symptom() == null ? null : state.symptom().name().toLowerCase(Locale.ROOT));
        ledger.recordOutage(endpoints.name(endpoint), state);
    }

    // ---- Messages ended by the policy

    @Override
    public void reject(int messageIndex, long retryAfterMicros) {
        rejectedCount++;
        finish(messages.get(messageIndex), true, reportsRetryAfter ? retryAfterMicros : 0);
    }

    @Override
    public void fail(int messageIndex) {
        failedCount++;
        finish(messages.get(messageIndex), false, 0);
    }

    /**
     * Ends a message without delivery and tells its client, either in the pending response or by a notice.
     *
     * @param rejected true if the client may submit the message again, false if the message failed
     */
    private void finish(TrackedMessage message, boolean rejected, long retryAfterMicros) {
        if (message.ended) {
            return;
        }
        if (rejected) {
            Log.log(Event.MESSAGE_REJECTED, message.entry.id, retryAfterMicros / 1000);
        } else {
            Log.log(Event.MESSAGE_FAILED, message.entry.id);
        }
        messages.end(message, loop.nowMicros());
        if (message.isAnswerPending()) {
            ledger.recordCompleted(message.entry);
            actions.add(() -> message.answer(rejected ? 503 : 500, retryAfterMicros));
        } else {
            ledger.recordNoticeOwed(message.entry, rejected, retryAfterMicros, loop.nowMicros());
            actions.add(() -> queueNotice(message.entry));
        }
    }

    /**
     * Queues the notice of an outcome; later messages with the key of an ordered message wait until the
     * notice is acknowledged.
     */
    private void queueNotice(LedgerEntry entry) {
        if (isOrdered(entry)) {
            keyOrder.block(entry.key, entry);
        }
        ledgerWriter.notifyOnceWritten(entry);
    }

    /** Records that the platform has received the outcome. */
    private void onNoticeAcknowledged(LedgerEntry entry) {
        ledger.recordCompleted(entry);
        keyOrder.unblock(entry);
        loop.requestRound();
    }

    // ---- Alarms and endpoint list

    @Override
    public void setAlarm(long delayMicros) {
        loop.schedule(delayMicros, () -> loop.enqueue(policy::alarmFired));
    }

    @Override
    public void requestEndpointList(boolean subscribe) {
        actions.add(subscribe ? discoveryClient::startWatch : discoveryClient::fetchList);
    }

    /**
     * Changes the address of discovery and of the receiver of notices; messages, calls and clients are not
     * affected.
     */
    void setDiscoveryAddress(InetSocketAddress address) {
        discoveryClient.setAddress(address);
        notices.setAddress(address);
    }

    // ---- Shutdown

    /**
     * Starts the shutdown.
     *
     * @param done counted down when the process may end
     */
    void startShutdown(ClientListener listener, CountDownLatch done) {
        Log.log(Event.RELAY_CLOSING, messages.openCount(), delivery.callsInFlight());
        shutdown.start(listener, () -> delivery.callsInFlight() > 0 || notices.isSending(),
            () -> messages.openCount() > 0,
            done);
    }

    /** Compacts the ledger and logs the final event, once the shutdown is complete. */
    void finishShutdown() {
        ledger.compact();
        Log.log(Event.RELAY_CLOSED, ledger.size(), delivery.callsInFlight());
    }
}
