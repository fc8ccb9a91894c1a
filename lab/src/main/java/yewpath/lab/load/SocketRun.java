package yewpath.lab.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import yewpath.lab.scenario.Scenario;
import yewpath.lab.world.EmulatedEndpoint;
import yewpath.lab.world.Message;
import yewpath.lab.world.World;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.Platform;
import yewpath.standins.process.RelayConfig;
import yewpath.standins.process.RelayProcess;
import yewpath.standins.referee.PlatformObserver;

/** One run of a scenario over sockets. Everything but the relays runs on the thread of one reactor. */
public final class SocketRun {
    /**
     * Resources that a relay used: CPU time over the run, and the maxima of resident memory and open
     * descriptors.
     */
    public record ResourceUsage(long cpuMillis, long residentMb, long openDescriptors) {}

    /** The types of faults that can be injected over sockets. */
    private static final List<String> SUPPORTED_FAULTS = List.of("silent", "refuse", "slow", "errors",
        "resets", "limit", "drain", "burst", "relay-kill");
    private static final int MAX_RELAYS = 16;
    private static final int MAX_ENDPOINTS = 2_000;
    private static final int RELAY_MEMORY_MB = 192;

    final Reactor reactor;
    World world;
    private final Scenario scenario;
    private final PrintStream log;
    private final List<RelayProcess> processes = new ArrayList<>();
    private final List<SocketRelay> relays = new ArrayList<>();
    private final List<SocketEndpoint> endpoints = new ArrayList<>();
    private Platform platform;
    // By message index.
    private final ArrayList<Message> messages = new ArrayList<>();
    private final ArrayList<SocketRelay> relayOfMessage = new ArrayList<>();
    private long startedAtMicros;
    /** The world's time for which a timer is set. */
    private long timerSetForMicros = Long.MAX_VALUE;
    private final List<ResourceUsage> resourceUsage = new ArrayList<>();

    /**
     * Prepares a run; {@code log} receives reports of unexpected events.
     *
     * @throws IllegalArgumentException when the scenario has a fault that cannot be injected over sockets, or
     *     is too large for one machine
     */
    public SocketRun(PrintStream log, Scenario scenario) throws IOException {
        this.log = log;
        this.scenario = scenario;
        for (Scenario.Fault fault : scenario.faults) {
            if (!SUPPORTED_FAULTS.contains(fault.type())) {
                throw new IllegalArgumentException(
                    "trouble " + fault.type() + " can't be played on sockets; these can: "
                        + String.join(", ", SUPPORTED_FAULTS));
            }
        }
        if (scenario.relayCount > MAX_RELAYS
            || scenario.destinationCount * scenario.endpointsPerDestination > MAX_ENDPOINTS) {
            throw new IllegalArgumentException(
                "at most 16 relays and 2000 endpoints on sockets of one machine");
        }
        // The loopback interface has a delay of its own; the emulated network delay must not be added to it.
        scenario.networkDelayMicros = 1;
        scenario.networkDelaySigma = 0;
        reactor = new Reactor(failure -> log.println("exception in the stand-ins' reactor: " + failure));
    }

    /**
     * Starts the relays, plays the scenario in real time, and stops the relays.
     *
     * @param command starts a relay, without the relay's arguments
     */
    public World.RunResult run(List<String> command) throws IOException, InterruptedException {
        try {
            reactor.call(() -> {
                world = new World(scenario, "logic", scenario.seed, (createdWorld, index) -> {
                    SocketRelay relay = new SocketRelay(this, createdWorld, index);
                    relays.add(relay);
                    return relay;
                });
                for (EmulatedEndpoint endpoint : world.endpoints) {
                    endpoints.add(new SocketEndpoint(this, endpoint));
                }
                platform = new Platform(reactor, new PlatformObserver() {
                    @Override
                    public void endpointListed(String endpoint, boolean open, long atMicros) {}

                    @Override
                    public void noticeReceived(String id, boolean rejected, long retryAfterMicros,
                        long atMicros) {
                        runEvent(() -> messageEnded(id, rejected, retryAfterMicros));
                    }
                }, endpoints);
                platform.open(0);
                return null;
            });
            for (int i = 0; i < scenario.relayCount; i++) {
                RelayProcess process = new RelayProcess(command,
                    "127.0.0.1:" + platform.address().getPort(), 0, messageClasses(), relaySettings(i),
                    List.of());
                processes.add(process);
                relays.get(i).setProcess(process);
            }
            CountDownLatch ended = new CountDownLatch(1);
            reactor.call(() -> {
                startedAtMicros = reactor.nowMicros();
                world.start();
                world.calendar.scheduleAt(world.endMicros(), ended::countDown);
                setTimer();
                return null;
            });
            recordUsageUntil(ended);
            return reactor.call(world::finish);
        } finally {
            for (RelayProcess process : processes) {
                process.terminate();
                process.close();
            }
            reactor.close();
        }
    }

    /** Reads the resource usage of the relays once a second until the run has ended. */
    private void recordUsageUntil(CountDownLatch ended) throws InterruptedException, IOException {
        long[] cpuMillis = new long[processes.size()];
        long[] residentMb = new long[processes.size()];
        long[] openDescriptors = new long[processes.size()];
        long[] firstCpuMillis = new long[processes.size()];
        for (int second = 0; !ended.await(1, TimeUnit.SECONDS); second++) {
            for (int i = 0; i < processes.size(); i++) {
                try {
                    ProcessStatistics statistics = new ProcessStatistics(processes.get(i).pid());
                    long currentCpuMillis = statistics.cpuMillis();
                    firstCpuMillis[i] = second == 0 ? currentCpuMillis : firstCpuMillis[i];
                    cpuMillis[i] = Math.max(cpuMillis[i], currentCpuMillis - firstCpuMillis[i]);
                    residentMb[i] = Math.max(residentMb[i], (long) statistics.residentMb());
                    openDescriptors[i] = Math.max(openDescriptors[i], statistics.openDescriptors());
                } catch (IOException processGone) {
                    // The scenario killed the process, and it has not been started again yet.
                    continue;
                }
            }
        }
        for (int i = 0; i < processes.size(); i++) {
            resourceUsage.add(new ResourceUsage(cpuMillis[i], residentMb[i], openDescriptors[i]));
        }
    }

    /** The resource usage by relay; empty before {@link #run} has returned. */
    public List<ResourceUsage> resourceUsage() {
        return resourceUsage;
    }

    private List<RelayConfig.MessageClass> messageClasses() {
        return scenario.messageClasses.stream()
            .map(messageClass -> new RelayConfig.MessageClass(messageClass.name(),
                switch (messageClass.semantics()) {
                    case "repeatable" -> "pure";
                    case "tagged" -> "token";
                    default -> "side_effect";
                }, messageClass.ordered(), (int) (messageClass.onTimeMicros() / 1000),
                (int) (messageClass.timeToLiveMicros() / 1000)))
            .toList();
    }

    private RelayConfig.RelaySettings relaySettings(int index) {
        return new RelayConfig.RelaySettings(scenario.relayCount, index, scenario.maxConcurrentCalls,
            scenario.maxOpenMessages, scenario.maxAttempts, scenario.connectTimeoutMicros / 1000,
            scenario.idleConnectionTimeoutMicros / 1000, scenario.endpointWarmUpInitialShare,
            scenario.endpointWarmUpMicros / 1000, scenario.collapseMultiple,
            scenario.collapseMicros / 1000, World.SETTLE_AFTER_UNCERTAIN_MICROS / 1000, false,
            RELAY_MEMORY_MB);
    }

    // ---- Time

    /** Runs all events that are due, then this one, and sets the timer for the next. */
    void runEvent(Runnable event) {
        world.calendar.runUntil(reactor.nowMicros() - startedAtMicros);
        event.run();
        setTimer();
    }

    private void setTimer() {
        long nextMicros = world.calendar.nextEventMicros();
        if (nextMicros < timerSetForMicros) {
            timerSetForMicros = nextMicros;
            reactor.schedule(nextMicros - (reactor.nowMicros() - startedAtMicros), () -> {
                timerSetForMicros = Long.MAX_VALUE;
                runEvent(() -> endpoints.forEach(SocketEndpoint::updatePort));
            });
        }
    }

    // ---- Messages by id

    /** Remembers the message and the relay it is submitted to, and returns its id on the wire. */
    String register(Message message, SocketRelay relay) {
        while (messages.size() <= message.index) {
            messages.add(null);
            relayOfMessage.add(null);
        }
        messages.set(message.index, message);
        relayOfMessage.set(message.index, relay);
        return "v" + message.index;
    }

    /** The message index of an id, -1 for an id of another form. */
    private static int index(String id) {
        return id.matches("v[0-9]{1,9}") ? Integer.parseInt(id.substring(1)) : -1;
    }

    /** The message of this id, null if no client submitted it. */
    Message message(String id) {
        int index = index(id);
        return index >= 0 && index < messages.size() ? messages.get(index) : null;
    }

    /** The relay that the message of this id was submitted to. */
    SocketRelay relayOf(String id) {
        return relayOfMessage.get(index(id));
    }

    /** A notice reports that a message was not delivered. */
    private void messageEnded(String id, boolean rejected, long retryAfterMicros) {
        Message message = message(id);
        if (message == null) {
            log.println("received a notice for a message that no client submitted: " + id);
        } else if (rejected) {
            world.referee.rejected(world.calendar.nowMicros(), message.index);
            world.clients.endedWithoutDelivery(message, true, retryAfterMicros);
        } else {
            world.referee.failed(world.calendar.nowMicros(), message.index);
            world.clients.endedWithoutDelivery(message, false, 0);
        }
    }

    /** Has the platform send the current endpoint list to all relays. */
    void publishList() {
        platform.publishList();
    }

    /** Formats a run's results as a row of the result table of the command {@code load}. */
    public static String tableRow(String label, World.RunResult result) {
        return String.format(Locale.ROOT, "| %s | %.4f | %.4f | %.4f | %.4f | %.1f | %.1f | %d | %d |",
            label, result.revenueShare(), result.deliveredShare(), result.onTimeShare(),
            result.failedShare(), result.deliveryDelays().getValueAtPercentile(50) / 1e3,
            result.deliveryDelays().getValueAtPercentile(99) / 1e3, result.submissions(),
            result.violationCount());
    }
}
