package yewpath.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.boot.PlatformSettings;
import yewpath.delivery.Call;
import yewpath.delivery.Delivery;
import yewpath.directory.DiscoveryClient;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.intake.ClientListener;
import yewpath.intake.MessageIntake;
import yewpath.json.Json;
import yewpath.ledger.LedgerEntry;
import yewpath.ledger.Ledger;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;
import yewpath.outcome.NoticeSender;

/**
 * The one that speaks with Logic. A round: what was gathered is handed in, Logic closes the round, the ledger
 * is written, and only then does anything leave that rests on it.
 */
final class Relay implements PolicyActions, MessageIntake {
    /** One call to make: an endpoint and what Logic sent there in this round. */
    private static final class Sending {
        final int endpoint;
        final List<HeldMessage> carried = new ArrayList<>(1);
        long endsAt;

        Sending(int endpoint) {
            this.endpoint = endpoint;
        }
    }

    /** Egress's outcomes as events name them. */
    private static final String[] OUTCOMES = {"fulfilled", "error", "full", "timeout", "unreached", "broken",
        "cancelled",
        "moot", "stale"};

    private final EventLoop loop;
    private final Ledger ledger;
    private final LedgerWriter ledgerWriter;
    private final PlatformSettings platformSettings;
    private final DeliveryPolicy logic;
    private final Delivery delivery;
    private final NoticeSender notices;
    private final Endpoints endpoints;
    private final DiscoveryClient watch;
    private final HeldMessages envelopes;
    private final KeyOrder keyOrder = new KeyOrder();
    private final Shutdown closing;
    private final int holdLimit;
    /** That of envelopes from an earlier life whose offering the settings of this one don't name. */
    private final int unknownOffering;
    private final boolean tellsPause;
    private final long listBy;
    /** Of this round: envelopes whose clients wait, what Logic asked for, and calls that more may join. */
    private final List<HeldMessage> taken = new ArrayList<>();
    private final List<Runnable> acts = new ArrayList<>();
    private final Map<Integer, Sending> joining = new HashMap<>();
    private long rounds;
    private long takenEver;
    private long fulfilledEver;
    private long deferredEver;
    private long abortedEver;

    Relay(Config config, EventLoop loop, Ledger ledger) {
        this.loop = loop;
        this.ledger = ledger;
        platformSettings = config.platformSettings;
        Limits limits = config.limits;
        PolicySettings settings = platformSettings.policySettings;
        unknownOffering = settings.messageClasses.length;
        if (ledger.entries().stream()
            .anyMatch(entry -> platformSettings.messageClasses.find(entry.messageClass) < 0)) {
            addUnknown(settings);
        }
        // A call that finds all connections in use would have none: what Logic may have out is what can be held.
        settings.maxConcurrentCalls = Math.min(settings.maxConcurrentCalls, limits.maxEndpointConnections());
        holdLimit = settings.maxOpenMessages > 0 ? settings.maxOpenMessages : Integer.MAX_VALUE;
        tellsPause = settings.reportsRetryAfter;
        envelopes = new HeldMessages(settings.settleAfterUncertainMicros);
        closing = new Shutdown(loop, limits);
        notices = new NoticeSender(loop, limits, config.discovery, this::told);
        ledgerWriter = new LedgerWriter(loop, ledger, notices::add);
        delivery = new Delivery(loop, limits, platformSettings.reportFields, ledgerWriter::flush);
        loop.setRoundAction(this::round);
        logic = new DeliveryPolicy(settings, config.seed, this, loop.nowMicros());
        endpoints = new Endpoints(platformSettings, logic, delivery);
        watch = new DiscoveryClient(loop, limits, config.discovery, endpoints.start(config.known), endpoints,
            settings.listOnRequest ? () -> loop.enqueue(logic::endpointListFailed) : null);
        if (!settings.listOnRequest) {
            watch.startWatch();
        }
        ledger.entries().forEach(this::restore);
        listBy = settings.listOnRequest ? 0 : loop.nowMicros() + limits.connectTimeoutMicros();
        loop.schedule(limits.connectTimeoutMicros(), loop::requestRound);
        loop.requestRound();
    }

    /**
     * Guards against shots to endpoints that began to drain while no process ran: the list that the configuration
     * brings is as old as that, and what a ledger gives back would leave before discovery's first word, some
     * milliseconds later. Where discovery stays silent for as long as a connection may take to open,
     * the old list has to do. A relay that asks for the list does
     * so by Logic's own turn.
     */
    private boolean listIsOld(long now) {
        return now < listBy && !watch.hasAnswered();
    }

    /**
     * Guards against giving up, untried, what an earlier life took on under a name that the settings don't have any more. Of
     * its kind nothing is known, so it is handled with the most care: sent once, in the order of its key, after the others.
     */
    private static void addUnknown(PolicySettings settings) {
        int last = settings.messageClasses.length;
        double revenue = Arrays.stream(settings.messageClasses)
            .mapToDouble(PolicySettings.MessageClass::revenue).min()
            .orElse(0);
        long expiry = Arrays.stream(settings.messageClasses)
            .mapToLong(PolicySettings.MessageClass::timeToLiveMicros).max().orElse(0);
        settings.messageClasses = Arrays.copyOf(settings.messageClasses, last + 1);
        settings.messageClasses[last] = new PolicySettings.MessageClass(revenue, revenue, expiry, expiry,
            PolicySettings.DeliverySemantics.AT_MOST_ONCE, false, 0, true);
    }

    private void restore(LedgerEntry entry) {
        if (entry.noticeOwed) {
            owe(entry);
            return;
        }
        int offering = platformSettings.messageClasses.find(entry.messageClass);
        hand(envelopes.add(entry, loop.nowMicros()), offering < 0 ? unknownOffering : offering,
            platformSettings.zones.getOrAdd(entry.uncertainZone));
        if (Log.isEnabled(Event.MESSAGE_RESTORED)) {
            Log.log(Event.MESSAGE_RESTORED, entry.id, entry.attempts, entry.uncertainSinceMicros >= 0);
        }
    }

    private void hand(HeldMessage one, int offering, int doubtZone) {
        LedgerEntry entry = one.entry;
        logic.messageAccepted(one.index, offering,
            entry.tenant == null ? -1 : platformSettings.tenants.find(entry.tenant), one.key,
            endpoints.destination(entry.destination), entry.deadlineMicros, entry.attempts,
            entry.uncertainSinceMicros, doubtZone);
    }

    // ---- Rounds

    private void round() {
        rounds++;
        long now = loop.nowMicros();
        logic.setTime(now);
        loop.runQueuedEvents();
        boolean maySend = closing.mayShoot(now) && !listIsOld(now) && ledger.isWritable();
        EventLoop.runLoggingFailures(() -> logic.completeRound(maySend));
        joining.clear();
        if (!ledgerWriter.flush()) {
            refuseTaken();
        }
        answerClients();
        for (Runnable act : acts) {
            EventLoop.runLoggingFailures(act);
        }
        acts.clear();
        ledgerWriter.flush();
    }

    /** What could not be written down is not taken on. */
    private void refuseTaken() {
        for (HeldMessage one : List.copyOf(taken)) {
            ledger.discard(one.entry);
            if (!one.over) {
                refuse(one.entry.id, "disk", one.reply);
                one.reply = null;
                one.left = true;
                loop.enqueue(() -> letGo(one));
            }
        }
        taken.clear();
    }

    // ---- Intake

    @Override
    public boolean isClosing() {
        return closing.hasBegun();
    }

    @Override
    public boolean isReady() {
        return !isClosing() && ledger.isWritable();
    }

    @Override
    public boolean isKnownClass(String offering) {
        return platformSettings.messageClasses.find(offering) >= 0;
    }

    @Override
    public byte[] statistics() {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField("open", envelopes.open());
            out.writeNumberField("calls_out", delivery.callsInFlight());
            out.writeNumberField("endpoint_links", delivery.connectionCount());
            out.writeNumberField("notices_owed", notices.unacknowledgedCount());
            out.writeNumberField("ledger_bytes", ledger.fileBytes());
            out.writeBooleanField("ledger_writable", ledger.isWritable());
            out.writeNumberField("rounds", rounds);
            out.writeNumberField("taken", takenEver);
            out.writeNumberField("fulfilled", fulfilledEver);
            out.writeNumberField("deferred", deferredEver);
            out.writeNumberField("aborted", abortedEver);
            out.writeNumberField("log_dropped", Log.droppedLines());
            out.writeEndObject();
            out.writeRaw('\n');
        });
    }

    @Override
    public void submit(String id, String offering, String tenant, String key, String tag, String destination,
        long within, byte[] body, Reply reply) {
        long expiry = loop.nowMicros() + within;
        loop.enqueue(() -> take(id, offering, tenant, key, tag, destination, expiry, body, reply));
    }

    private void take(String id, String offering, String tenant, String key, String tag, String destination,
        long expiry, byte[] body, Reply reply) {
        if (reply.isClientGone()) {
            return;
        }
        if (envelopes.has(id)) {
            // Already taken on under this id: its end is owed once, and is.
            reply.send(202, 0);
            return;
        }
        LedgerEntry entry = ledger.createEntry(id, offering, tenant, key, tag, destination, expiry, body);
        String refusal = isClosing() ? "closing" : !ledger.isWritable() ? "disk"
            : envelopes.open() >= holdLimit ? "hold" : !ledger.hasRoomFor(entry) ? "ledger"
                // Held, it would take the room of others until its expiry, and each such number would be kept for good; but
                // the list that names it may only be late, so the client is to come again.
                : !endpoints.knowsDestination(destination) ? "unlisted" : null;
        if (refusal != null) {
            refuse(id, refusal, reply);
            return;
        }
        // Written down at once, so that the next of the same round finds what room is left.
        ledger.recordAccepted(entry);
        HeldMessage one = envelopes.add(entry, loop.nowMicros());
        one.reply = reply;
        taken.add(one);
        takenEver++;
        if (Log.isEnabled(Event.MESSAGE_ACCEPTED)) {
            Log.log(Event.MESSAGE_ACCEPTED, id, offering, tenant, destination,
                (expiry - loop.nowMicros()) / 1000,
                body.length);
        }
        hand(one, platformSettings.messageClasses.find(offering), 0);
    }

    private void refuse(String id, String why, Reply reply) {
        if (Log.isEnabled(Event.MESSAGE_REFUSED)) {
            Log.log(Event.MESSAGE_REFUSED, id, why);
        }
        reply.send(503, tellsPause ? logic.resubmitDelayMicros() : 0);
    }

    /** The first thing to leave in a round: that envelopes handed in are taken on. */
    private void answerClients() {
        List<HeldMessage> due = List.copyOf(taken);
        taken.clear();
        due.forEach(one -> EventLoop.runLoggingFailures(() -> answerClient(one)));
    }

    private void answerClient(HeldMessage one) {
        Reply reply = one.reply;
        one.reply = null;
        if (!one.over && !reply.send(202, 0)) {
            // It may hand the envelope in again under another id.
            one.left = true;
            loop.enqueue(() -> withdraw(one));
        }
    }

    private void withdraw(HeldMessage one) {
        if (!one.over) {
            Log.log(Event.MESSAGE_WITHDRAWN, one.entry.id);
        }
        letGo(one);
    }

    private void letGo(HeldMessage one) {
        if (!one.over) {
            logic.messageWithdrawn(one.index);
            ledger.recordCompleted(one.entry);
            envelopes.end(one, loop.nowMicros());
        }
    }

    // ---- Delivery

    @Override
    public void send(int envelope, int endpoint, long withinMicros, long leaveBy) {
        HeldMessage one = envelopes.at(envelope);
        one.leaveBy = leaveBy;
        one.shotsOut++;
        one.shots++;
        long endsAt = withinMicros > 0 ? Math.min(one.entry.deadlineMicros, loop.nowMicros() + withinMicros)
            : one.entry.deadlineMicros;
        Sending sending = joining.get(endpoint);
        if (sending == null || sending.carried.size() >= endpoints.bundle(endpoint)) {
            Sending begun = new Sending(endpoint);
            sending = begun;
            joining.put(endpoint, begun);
            acts.add(() -> shoot(begun));
        }
        sending.carried.add(one);
        sending.endsAt = Math.max(sending.endsAt, endsAt);
    }

    private void shoot(Sending sending) {
        List<Call.Attempt> attempts = new ArrayList<>();
        List<HeldMessage> with = new ArrayList<>();
        for (HeldMessage one : sending.carried) {
            one.attempt = new Shot(one, sending.endpoint);
            if (one.left) {
                one.attempt.onEnd(NOT_EXECUTED, 0, true, Double.NaN, Double.NaN);
                one.attempt.onCallEnd();
            } else if (isOrdered(one.entry) && keyOrder.isHeld(one.entry.key)) {
                Call waits = delivery.prepareCall(sending.endpoint, List.of(one.attempt), sending.endsAt);
                one.call = waits;
                keyOrder.whenOver(one.entry.key, () -> delivery.startPreparedCall(waits, sending.endsAt));
            } else {
                attempts.add(one.attempt);
                with.add(one);
            }
        }
        Call call = attempts.isEmpty() ? null
            : delivery.startCall(sending.endpoint, attempts, sending.endsAt);
        with.forEach(one -> one.call = call);
    }

    /** One of an offering that is not known any more may have been. */
    private boolean isOrdered(LedgerEntry entry) {
        int offering = platformSettings.messageClasses.find(entry.messageClass);
        return entry.key != null
            && (offering < 0 || platformSettings.policySettings.messageClasses[offering].ordered());
    }

    /** An envelope's part in a call, and what its end leaves to be done. */
    private final class Shot implements Call.Attempt {
        private final HeldMessage one;
        private final int endpoint;
        private final int number;
        private final long sentAt = loop.nowMicros();

        Shot(HeldMessage one, int endpoint) {
            this.one = one;
            this.endpoint = endpoint;
            number = one.shots - 1;
        }

        @Override
        public String id() {
            return one.entry.id;
        }

        @Override
        public String affinityKey() {
            return one.entry.key;
        }

        @Override
        public String idempotencyKey() {
            return one.entry.idempotencyKey;
        }

        @Override
        public byte[] body() {
            return one.entry.body;
        }

        @Override
        public long deadlineMicros() {
            return one.entry.deadlineMicros;
        }

        @Override
        public long sendByMicros() {
            return one.leaveBy;
        }

        @Override
        public void beforeSend() {
            ledger.recordAttempt(one.entry, loop.nowMicros(), endpoints.zone(endpoint));
            if (Log.isEnabled(Event.ATTEMPT_STARTED)) {
                Log.log(Event.ATTEMPT_STARTED, one.entry.id, number, endpoints.name(endpoint));
            }
        }

        @Override
        public void onEnd(int outcome, long wait, boolean over, double left, double limit) {
            long elapsed = loop.nowMicros() - sentAt;
            if (isOrdered(one.entry)) {
                keyOrder.begin(one.entry.key, this);
            }
            if (wait > 0) {
                endpoints.waitTold(endpoint);
            }
            loop.enqueue(() -> settle(outcome, wait, over, elapsed, left, limit));
        }

        @Override
        public void onCallEnd() {
            keyOrder.end(this);
        }

        private void settle(int outcome, long wait, boolean over, long elapsed, double left, double limit) {
            if (over && !one.over) {
                fulfilledEver += outcome == DELIVERED ? 1 : 0;
                ledger.recordCompleted(one.entry);
            } else if (!one.over) {
                ledger.recordAttemptEnded(one.entry,
                    outcome == OVERLOADED || outcome == UNREACHABLE || outcome == NOT_EXECUTED);
            }
            one.call = null;
            if (Log.isEnabled(Event.ATTEMPT_FAILED)) {
                tellEnd(outcome, wait, over, elapsed);
            }
            logic.attemptEnded(one.index, over || one.over, number, endpoint, outcome, wait, elapsed, left,
                limit);
            one.shotsOut--;
            if (over) {
                envelopes.end(one, loop.nowMicros());
            }
            envelopes.release(one, loop.nowMicros());
        }

        private void tellEnd(int outcome, long wait, boolean over, long elapsed) {
            if (over) {
                Log.log(Event.MESSAGE_DELIVERED, one.entry.id, number, endpoints.name(endpoint),
                    elapsed / 1000);
            } else {
                Log.log(Event.ATTEMPT_FAILED, one.entry.id, number, endpoints.name(endpoint),
                    OUTCOMES[outcome],
                    elapsed / 1000, wait / 1000);
            }
        }
    }

    @Override
    public void cancelAttempt(int envelope, int shot) {
        HeldMessage one = envelopes.at(envelope);
        acts.add(() -> {
            // An envelope has one shot out at most: the one meant.
            if (one != null && one.call != null) {
                one.call.cancel(one.attempt);
            }
        });
    }

    @Override
    public void closeIdleConnections(int endpoint) {
        acts.add(() -> delivery.closeIdle(endpoint));
    }

    @Override
    public void releaseEndpoint(int endpoint) {
        endpoints.forget(endpoint);
    }

    @Override
    public void endpointHealthChanged(int endpoint, boolean well) {
        Log.log(well ? Event.ENDPOINT_HEALTHY : Event.ENDPOINT_UNHEALTHY, endpoints.name(endpoint));
    }

    // ---- Ends

    @Override
    public void reject(int envelope, long pauseMicros) {
        deferredEver++;
        finish(envelopes.at(envelope), true, tellsPause ? pauseMicros : 0);
    }

    @Override
    public void fail(int envelope) {
        abortedEver++;
        finish(envelopes.at(envelope), false, 0);
    }

    private void finish(HeldMessage one, boolean handedBack, long pause) {
        if (one.over) {
            return;
        }
        if (handedBack) {
            Log.log(Event.MESSAGE_REJECTED, one.entry.id, pause / 1000);
        } else {
            Log.log(Event.MESSAGE_FAILED, one.entry.id);
        }
        envelopes.end(one, loop.nowMicros());
        if (one.reply != null) {
            Reply reply = one.reply;
            ledger.recordCompleted(one.entry);
            acts.add(() -> reply.send(handedBack ? 503 : 500, pause));
        } else {
            ledger.recordNoticeOwed(one.entry, handedBack, pause);
            acts.add(() -> owe(one.entry));
        }
    }

    private void owe(LedgerEntry entry) {
        if (isOrdered(entry)) {
            keyOrder.begin(entry.key, entry);
        }
        ledgerWriter.tellOnceWritten(entry);
    }

    private void told(LedgerEntry entry) {
        ledger.recordCompleted(entry);
        keyOrder.end(entry);
        loop.requestRound();
    }

    // ---- Time and list

    @Override
    public void setAlarm(long inMicros) {
        loop.schedule(inMicros, () -> loop.enqueue(logic::alarmFired));
    }

    @Override
    public void requestEndpointList(boolean follow) {
        acts.add(follow ? watch::startWatch : watch::fetchList);
    }

    /** Held envelopes, calls and clients know nothing of it. */
    void discoveryAt(InetSocketAddress address) {
        watch.setAddress(address);
        notices.setAddress(address);
    }

    // ---- Closing

    void close(ClientListener listener, CountDownLatch gone) {
        Log.log(Event.RELAY_CLOSING, envelopes.open(), delivery.callsInFlight());
        closing.begin(listener, () -> delivery.callsInFlight() > 0 || notices.isSending(),
            () -> envelopes.open() > 0,
            gone);
    }

    /** The last words, once closing is done. */
    void closed() {
        ledger.compact();
        Log.log(Event.RELAY_CLOSED, ledger.size(), delivery.callsInFlight());
    }
}
