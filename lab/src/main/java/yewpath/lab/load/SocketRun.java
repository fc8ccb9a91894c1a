package yewpath.lab.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import yewpath.lab.scenario.Scenario;
import yewpath.lab.world.Envelope;
import yewpath.lab.world.World;
import yewpath.standins.io.Reactor;
import yewpath.standins.peer.Platform;
import yewpath.standins.process.RelayConfig;
import yewpath.standins.process.RelayProcess;
import yewpath.standins.referee.PlatformObserver;

/** One run on sockets. All of it but the relays lives on one reactor's thread. */
public final class SocketRun {
    /** What a relay took of the machine: CPU in milliseconds over the run, most memory and descriptors. */
    public record ResourceUsage(long cpuMillis, long residentMb, long openDescriptors) {}

    private static final List<String> PLAYED = List.of("silent", "refuse", "slow", "errors", "resets",
        "limit", "drain", "burst",
        "relay-kill");

    final Reactor reactor;
    World world;
    private final Scenario s;
    private final PrintStream say;
    private final List<RelayProcess> processes = new ArrayList<>();
    private final List<SocketHost> hosts = new ArrayList<>();
    private final List<SocketStation> stations = new ArrayList<>();
    private Platform platform;
    private final ArrayList<Envelope> envelopes = new ArrayList<>();
    private final ArrayList<SocketHost> holders = new ArrayList<>();
    private long begunAt;
    private long armedFor = Long.MAX_VALUE;
    private final List<ResourceUsage> usage = new ArrayList<>();

    /** Throws IllegalArgumentException for a trouble that sockets on one machine can't have. */
    public SocketRun(PrintStream say, Scenario scenario) throws IOException {
        this.say = say;
        s = scenario;
        for (Scenario.Fault trouble : s.faults) {
            if (!PLAYED.contains(trouble.type())) {
                throw new IllegalArgumentException(
                    "trouble " + trouble.type() + " can't be played on sockets; these can: "
                        + String.join(", ", PLAYED));
            }
        }
        if (s.relayCount > 16 || s.destinationCount * s.endpointsPerDestination > 2_000) {
            throw new IllegalArgumentException(
                "at most 16 relays and 2000 endpoints on sockets of one machine");
        }
        // The way is what loopback takes, and is not added once more.
        s.networkDelayMicros = 1;
        s.networkDelaySigma = 0;
        reactor = new Reactor(failure -> say.println("a stand-in failed: " + failure));
    }

    /** {@code command} starts a relay, without its arguments. */
    public World.RunResult run(List<String> command) throws IOException, InterruptedException {
        try {
            reactor.call(() -> {
                world = new World(s, "logic", s.seed, (w, index) -> {
                    SocketHost host = new SocketHost(this, w, index);
                    hosts.add(host);
                    return host;
                });
                for (yewpath.lab.world.Station one : world.stations) {
                    stations.add(new SocketStation(this, one));
                }
                platform = new Platform(reactor, new PlatformObserver() {
                    @Override
                    public void endpointListed(String endpoint, boolean open, long at) {}

                    @Override
                    public void noticeReceived(String id, boolean handedBack, long pause, long at) {
                        act(() -> ended(id, handedBack, pause));
                    }
                }, stations);
                platform.open(0);
                return null;
            });
            for (int i = 0; i < s.relayCount; i++) {
                RelayProcess process = new RelayProcess(command, "127.0.0.1:" + platform.address().getPort(),
                    0, offerings(), told(i), List.of());
                processes.add(process);
                hosts.get(i).runsIn(process);
            }
            CountDownLatch over = new CountDownLatch(1);
            reactor.call(() -> {
                begunAt = reactor.nowMicros();
                world.begin();
                world.calendar.scheduleAt(world.end(), over::countDown);
                arm();
                return null;
            });
            watch(over);
            return reactor.call(world::close);
        } finally {
            for (RelayProcess process : processes) {
                process.terminate();
                process.close();
            }
            reactor.close();
        }
    }

    private void watch(CountDownLatch over) throws InterruptedException, IOException {
        long[] cpu = new long[processes.size()];
        long[] resident = new long[processes.size()];
        long[] descriptors = new long[processes.size()];
        long[] first = new long[processes.size()];
        for (int second = 0; !over.await(1, TimeUnit.SECONDS); second++) {
            for (int i = 0; i < processes.size(); i++) {
                try {
                    Proc proc = new Proc(processes.get(i).pid());
                    long now = proc.cpuMillis();
                    first[i] = second == 0 ? now : first[i];
                    cpu[i] = Math.max(cpu[i], now - first[i]);
                    resident[i] = Math.max(resident[i], (long) proc.residentMb());
                    descriptors[i] = Math.max(descriptors[i], proc.openDescriptors());
                } catch (IOException gone) {
                    // Killed by the scenario, and not yet back.
                    continue;
                }
            }
        }
        for (int i = 0; i < processes.size(); i++) {
            usage.add(new ResourceUsage(cpu[i], resident[i], descriptors[i]));
        }
    }

    /** By relay. */
    public List<ResourceUsage> resourceUsage() {
        return usage;
    }

    private List<RelayConfig.MessageClass> offerings() {
        return s.messageClasses.stream()
            .map(o -> new RelayConfig.MessageClass(o.name(), switch (o.semantics()) {
                case "repeatable" -> "pure";
                case "tagged" -> "token";
                default -> "side_effect";
            }, o.ordered(), (int) (o.onTimeMicros() / 1000), (int) (o.timeToLiveMicros() / 1000))).toList();
    }

    private RelayConfig.RelaySettings told(int index) {
        return new RelayConfig.RelaySettings(s.relayCount, index, s.maxConcurrentCalls, s.maxOpenMessages,
            s.maxAttempts,
            s.connectTimeoutMicros / 1000,
            s.idleConnectionTimeoutMicros / 1000, s.endpointWarmUpInitialShare,
            s.endpointWarmUpMicros / 1000, s.collapseMultiple, s.collapseMicros / 1000, World.SETTLE / 1000,
            false, 192);
    }

    // ---- Time

    /** Brings the world to the present, lets something happen in it, and sees to what is due next. */
    void act(Runnable happens) {
        world.calendar.runUntil(reactor.nowMicros() - begunAt);
        happens.run();
        arm();
    }

    private void arm() {
        long next = world.calendar.nextEventMicros();
        if (next < armedFor) {
            armedFor = next;
            reactor.schedule(next - (reactor.nowMicros() - begunAt), () -> {
                armedFor = Long.MAX_VALUE;
                act(() -> stations.forEach(SocketStation::look));
            });
        }
    }

    // ---- Envelopes by id

    String id(Envelope e, SocketHost host) {
        while (envelopes.size() <= e.index) {
            envelopes.add(null);
            holders.add(null);
        }
        envelopes.set(e.index, e);
        holders.set(e.index, host);
        return "v" + e.index;
    }

    private static int number(String id) {
        return id.matches("v[0-9]{1,9}") ? Integer.parseInt(id.substring(1)) : -1;
    }

    /** Null for one that nobody handed in. */
    Envelope envelope(String id) {
        int number = number(id);
        return number >= 0 && number < envelopes.size() ? envelopes.get(number) : null;
    }

    SocketHost holder(String id) {
        return holders.get(number(id));
    }

    private void ended(String id, boolean handedBack, long pause) {
        Envelope e = envelope(id);
        if (e == null) {
            say.println("a notice for an envelope that nobody handed in: " + id);
        } else if (handedBack) {
            world.referee.rejected(world.calendar.nowMicros(), e.index);
            world.crowd.ended(e, true, pause);
        } else {
            world.referee.failed(world.calendar.nowMicros(), e.index);
            world.crowd.ended(e, false, 0);
        }
    }

    /** The list as it stands, to all relays. */
    void tell() {
        platform.publishList();
    }

    /** A line of what a run came to. */
    public static String tableRow(String what, World.RunResult o) {
        return String.format(Locale.ROOT, "| %s | %.4f | %.4f | %.4f | %.4f | %.1f | %.1f | %d | %d |", what,
            o.revenueShare(), o.deliveredShare(),
            o.onTimeShare(), o.failedShare(), o.deliveryDelays().getValueAtPercentile(50) / 1e3,
            o.deliveryDelays().getValueAtPercentile(99) / 1e3, o.submissions(),
            o.violationCount());
    }
}
