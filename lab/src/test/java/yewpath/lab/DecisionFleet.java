package yewpath.lab;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;
import yewpath.lab.core.EventCalendar;

/**
 * Relays before endpoints that fail in every way the decision module distinguishes, played from a seed. What counts is
 * not how well they do but that each branch of the module is taken; the result is a digest of all its actions.
 */
final class DecisionFleet {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long END = 120 * SECOND;
    private static final int DESTINATIONS = 12;
    private static final int SIZES = 6;
    private static final int ENDPOINTS_EACH = 3;
    private static final long STATE_FOR = 3 * SECOND;
    private static final int KEYS = 5;
    private static final int UP = 0;
    private static final int DRAINING = 1;
    private static final int GONE = 2;

    /** What varies beside the settings. */
    static final class Options {
        int relays = 2;
        double load = 0.8;
        boolean reports;
    }

    private enum State {
        WELL,
        TURNS_AWAY,
        SILENT_CONNECT,
        SILENT,
        ERRORS,
        SLOW,
        RESETS,
        DROPS_IDLE,
        LOSES_ANSWERS
    }

    private static final class Endpoint {
        final int destination;
        State state = State.WELL;
        int phase = UP;
        long backAt;

        Endpoint(int destination) {
            this.destination = destination;
        }
    }

    private final PolicySettings settings;
    private final Options options;
    private final SplittableRandom random;
    private final EventCalendar calendar = new EventCalendar();
    private final MessageDigest digest;
    private final Endpoint[] endpoints = new Endpoint[DESTINATIONS * ENDPOINTS_EACH];
    private final int[] taken = new int[DESTINATIONS];
    private final double[] limits = new double[DESTINATIONS];
    private final List<Relay> relays = new ArrayList<>();

    DecisionFleet(PolicySettings settings, Options options, long seed) {
        this.settings = settings;
        this.options = options;
        random = new SplittableRandom(seed);
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = new Endpoint(i / ENDPOINTS_EACH);
        }
        Arrays.setAll(limits, i -> sizeOf(i));
        for (int i = 0; i < options.relays; i++) {
            relays.add(new Relay(i, seed * 1000 + i));
        }
    }

    String play() {
        relays.forEach(relay -> relay.tellList(true));
        calendar.scheduleAt(STATE_FOR, this::changeStates);
        calendar.scheduleAt(SECOND, this::resetLimits);
        relays.forEach(this::handIn);
        calendar.runUntil(END);
        return HexFormat.of().formatHex(digest.digest());
    }

    /** Calls a second that a destination takes from all relays. */
    private static double sizeOf(int destination) {
        return 6 + 9 * (destination % SIZES);
    }

    private void resetLimits() {
        Arrays.fill(taken, 0);
        calendar.scheduleAfter(SECOND, this::resetLimits);
    }

    /** Outages mostly take all endpoints of a destination; some drain and come back as others. */
    private void changeStates() {
        for (int d = 0; d < DESTINATIONS; d++) {
            State whole = random.nextInt(4) == 0 ? State.values()[random.nextInt(State.values().length)]
                : State.WELL;
            limits[d] = sizeOf(d) * (random.nextInt(5) == 0 ? 0.5 : 1);
            for (int i = d * ENDPOINTS_EACH; i < (d + 1) * ENDPOINTS_EACH; i++) {
                changeState(endpoints[i], random.nextInt(10) == 0 ? State.ERRORS : whole);
            }
        }
        relays.forEach(relay -> relay.tellList(random.nextInt(3) == 0));
        calendar.scheduleAfter(STATE_FOR, this::changeStates);
    }

    private void changeState(Endpoint endpoint, State next) {
        boolean wasOut = endpoint.state != State.WELL && endpoint.state != State.DROPS_IDLE;
        endpoint.backAt = wasOut && next == State.WELL ? calendar.nowMicros() : endpoint.backAt;
        endpoint.state = next;
        int draw = random.nextInt(12);
        if (endpoint.phase == UP && draw == 0) {
            endpoint.phase = DRAINING;
        } else if (endpoint.phase == DRAINING) {
            endpoint.phase = GONE;
        } else if (endpoint.phase == GONE && draw < 3) {
            endpoint.phase = UP;
        }
    }

    private void handIn(Relay relay) {
        double perSecond = options.load * Arrays.stream(limits).sum() / Math.max(1, options.relays);
        calendar.scheduleAfter((long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond) + 1, () -> {
            int clump = random.nextInt(20) == 0 ? 1 + random.nextInt(15) : 1;
            int destination = (int) (DESTINATIONS * Math.sqrt(random.nextDouble()));
            for (int i = 0; i < clump; i++) {
                relay.take(destination);
            }
            relay.turn();
            handIn(relay);
        });
    }

    /** One relay: the module under test, and a record of what it asks for. */
    private final class Relay implements PolicyActions {
        private record Send(int message, int endpoint, long within) {}

        private final int index;
        private final DeliveryPolicy logic;
        private final List<Send> sends = new ArrayList<>();
        private final ArrayDeque<Integer> free = new ArrayDeque<>();
        private final List<Boolean> open = new ArrayList<>();
        private final List<Integer> attempts = new ArrayList<>();
        private final List<Boolean> cancelled = new ArrayList<>();
        private final boolean[] told = new boolean[endpoints.length];

        Relay(int index, long seed) {
            this.index = index;
            settings.relayIndex = index;
            settings.zone = index % 2;
            logic = new DeliveryPolicy(settings, seed, this, 0);
        }

        private void record(String action, long... values) {
            String line = calendar.nowMicros() + " " + index + " " + action + " " + Arrays.toString(values)
                + "\n";
            digest.update(line.getBytes(StandardCharsets.US_ASCII));
        }

        void take(int destination) {
            int message = free.isEmpty() ? open.size() : free.poll();
            if (message == open.size()) {
                open.add(true);
                attempts.add(0);
                cancelled.add(false);
            }
            open.set(message, true);
            int offering = random.nextInt(settings.messageClasses.length);
            boolean restored = random.nextInt(40) == 0;
            boolean doubtful = restored && random.nextBoolean();
            attempts.set(message, restored ? 1 : 0);
            int key = settings.messageClasses[offering].ordered() ? random.nextInt(KEYS) : -1;
            long now = calendar.nowMicros();
            logic.setTime(now);
            logic.messageAccepted(message, offering, 0, key, destination,
                now + settings.messageClasses[offering].timeToLiveMicros(),
                restored ? 1 : 0, doubtful ? now - 500 * MS : -1, random.nextInt(2));
            if (random.nextInt(100) == 0) {
                calendar.scheduleAfter(100 * MS, () -> withdraw(message));
            }
        }

        private void withdraw(int message) {
            if (open.get(message)) {
                logic.setTime(calendar.nowMicros());
                logic.messageWithdrawn(message);
                open.set(message, false);
                turn();
            }
        }

        void tellList(boolean whole) {
            logic.setTime(calendar.nowMicros());
            if (random.nextInt(6) == 0) {
                logic.endpointListFailed();
                turn();
                return;
            }
            logic.endpointListStarted(whole, false);
            for (int i = 0; i < endpoints.length; i++) {
                Endpoint endpoint = endpoints[i];
                if (endpoint.phase != GONE || told[i] && !whole) {
                    told[i] |= endpoint.phase != GONE;
                    logic.endpointListed(i, i % 2, endpoint.destination % 3, endpoint.destination,
                        endpoint.phase,
                        sizeOf(endpoint.destination), 0);
                }
            }
            logic.endpointListEnded();
            turn();
        }

        void turn() {
            logic.setTime(calendar.nowMicros());
            logic.completeRound(true);
            List<Send> now = List.copyOf(sends);
            sends.clear();
            for (int endpoint : now.stream().mapToInt(Send::endpoint).distinct().toArray()) {
                List<Send> there = now.stream().filter(send -> send.endpoint == endpoint).toList();
                int most = settings.maxBatchSize[endpoints[endpoint].destination % 3];
                for (int from = 0; from < there.size(); from += most) {
                    call(endpoints[endpoint], endpoint,
                        there.subList(from, Math.min(there.size(), from + most)));
                }
            }
        }

        private void call(Endpoint endpoint, int at, List<Send> carried) {
            long began = calendar.nowMicros();
            State state = endpoint.phase == GONE ? State.TURNS_AWAY : endpoint.state;
            long warmFor = began - endpoint.backAt;
            double warm = endpoint.backAt == 0 ? 1 : Math.min(1, 0.2 + 0.8 * warmFor / settings.warmUpMicros);
            boolean full = ++taken[endpoint.destination] > limits[endpoint.destination] * warm;
            long quick = 40 * MS + random.nextLong(200 * MS);
            long within = carried.get(0).within > 0 ? carried.get(0).within : 15 * SECOND;
            boolean lost = state == State.LOSES_ANSWERS && random.nextInt(8) == 0;
            boolean stale = state == State.DROPS_IDLE && random.nextInt(3) == 0;
            int outcome = switch (state) {
                case TURNS_AWAY, SILENT_CONNECT -> UNREACHABLE;
                case SILENT -> TIMEOUT;
                case RESETS -> CONNECTION_LOST;
                case ERRORS -> ERROR;
                default -> stale ? STALE_CONNECTION : lost ? TIMEOUT : full ? OVERLOADED : DELIVERED;
            };
            long takes = switch (state) {
                case TURNS_AWAY -> 2 * MS;
                case SILENT_CONNECT -> SECOND - random.nextLong(150 * MS);
                case SILENT -> within;
                case SLOW -> 10 * quick;
                default -> stale ? 5 * MS : lost ? within : full ? 25 * MS : quick;
            };
            boolean outOfTime = takes >= within && outcome != UNREACHABLE;
            int ended = outOfTime ? TIMEOUT : outcome;
            long wait = ended == OVERLOADED && random.nextInt(3) == 0 ? 200 * MS + random.nextLong(4 * SECOND)
                : 0;
            double left = options.reports
                ? Math.max(0, 1 - taken[endpoint.destination] / limits[endpoint.destination])
                : Double.NaN;
            double limit = !options.reports ? Double.NaN
                : endpoint.destination % SIZES == 5 ? 0 : limits[endpoint.destination];
            calendar.scheduleAfter(outOfTime ? within : takes,
                () -> settle(at, carried, ended, wait, began, left, limit));
        }

        private void settle(int at, List<Send> carried, int outcome, long wait, long began, double left,
            double limit) {
            logic.setTime(calendar.nowMicros());
            for (Send send : carried) {
                int message = send.message;
                boolean over = outcome == DELIVERED || !open.get(message);
                int told = cancelled.get(message) && outcome == TIMEOUT ? CANCELLED : outcome;
                cancelled.set(message, false);
                open.set(message, open.get(message) && !over);
                logic.attemptEnded(message, over, attempts.get(message) - 1, at, told, wait,
                    calendar.nowMicros() - began, left, limit);
            }
            turn();
        }

        @Override
        public void send(int message, int endpoint, long withinMicros, long leaveBy) {
            record("send", message, endpoint, withinMicros, leaveBy);
            sends.add(new Send(message, endpoint, withinMicros));
            attempts.set(message, attempts.get(message) + 1);
        }

        @Override
        public void reject(int message, long pauseMicros) {
            record("defer", message, pauseMicros);
            open.set(message, false);
        }

        @Override
        public void fail(int message) {
            record("abort", message);
            open.set(message, false);
        }

        @Override
        public void cancelAttempt(int message, int attempt) {
            record("cancel", message, attempt);
            cancelled.set(message, true);
        }

        @Override
        public void closeIdleConnections(int endpoint) {
            record("close", endpoint);
        }

        @Override
        public void releaseEndpoint(int endpoint) {
            record("forget", endpoint);
            told[endpoint] = false;
        }

        @Override
        public void endpointHealthChanged(int endpoint, boolean well) {
            record("health", endpoint, well ? 1 : 0);
        }

        @Override
        public void setAlarm(long inMicros) {
            record("alarm", inMicros);
            calendar.scheduleAfter(inMicros, () -> {
                logic.setTime(calendar.nowMicros());
                logic.alarmFired();
                turn();
            });
        }

        @Override
        public void requestEndpointList(boolean follow) {
            record("list", follow ? 1 : 0);
            calendar.scheduleAfter(30 * MS, () -> tellList(true));
        }
    }
}
