import java.util.ArrayList;
import java.util.List;

/**
 * The relay stands still again and again. Each time, meanwhile, an endpoint of its destination is replaced, and
 * the address of the old one is given to another destination.
 */
final class StandsStill {
    private static final int STALLS = 6;
    private static final long STALL_MILLIS = 1900;
    private static final long BETWEEN_MILLIS = 1500;
    /** The grace of 500 ms and 50 ms more on sockets. */
    private static final long GRACE_MICROS = 550_000;

    private StandsStill() {}

    private record Replaced(String id, int port, long toldMicros) {}

    public static void main(String[] arguments) throws Exception {
        Rig.play(arguments, StandsStill::play);
    }

    private static void play(Rig rig) throws Exception {
        Rig.Platform platform = rig.new Platform();
        List<Rig.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < STALLS + 4; i++) {
            endpoints.add(rig.new Endpoint("s-" + i, 0, call -> {
                Rig.sleep(120);
                call.deliver();
            }));
        }
        for (int i = 0; i < 4; i++) {
            platform.list("s-" + i, endpoints.get(i).port, "east-hall", "general", 1, "up", 6);
        }
        String settings = Rig.settings(Rig.messageClass("standard", "token", 2000, 28000, ""), "\"general\"", "1", "")
            .replace("caba-1", "east-hall").replace("stop_sending_within_ms\":250", "stop_sending_within_ms\":500")
            .replace("dedup_window_ms\":5000", "dedup_window_ms\":12000");
        Rig.Relay relay = rig.new Relay(platform, "\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3",
            settings);
        relay.start();
        Rig.sleep(2500);
        for (int i = 0; i < 150; i++) {
            rig.submit(relay.port, "standard", String.format("%016x", 0x51a0L + i), 1, 28_000, "", new byte[80]);
        }
        List<Replaced> replaced = new ArrayList<>();
        for (int i = 0; i < STALLS; i++) {
            Rig.sleep(BETWEEN_MILLIS);
            if (rig.trouble) {
                relay.signal("STOP");
            }
            Rig.sleep(50);
            Rig.Endpoint old = endpoints.get(i);
            old.handler = call -> call.answer(400, "", "");
            synchronized (platform) {
                platform.list("s-" + i, old.port, "east-hall", "general", 1, "removed", 6);
                platform.list("t-" + i, old.port, "east-hall", "general", 2, "up", 6);
                platform.list("s-" + (i + 4), endpoints.get(i + 4).port, "east-hall", "general", 1, "up", 6);
            }
            replaced.add(new Replaced("s-" + i, old.port, rig.micros()));
            Rig.sleep(STALL_MILLIS - 50);
            if (rig.trouble) {
                relay.signal("CONT");
            }
        }
        Rig.sleep(3000);
        int late = 0;
        for (Replaced each : replaced) {
            for (Rig.Seen seen : rig.calls) {
                if (seen.who().equals(each.id) && seen.atMicros() > each.toldMicros + GRACE_MICROS) {
                    late++;
                    rig.log("message " + seen.id() + " of destination 1 came to the address of a program of destination 2 "
                        + (seen.atMicros() - each.toldMicros) / 1000 + " ms after discovery had written that " + each.id
                        + " is gone");
                }
            }
        }
        rig.log("endpoints replaced: " + replaced.size() + "; calls later than the grace: " + late);
        rig.end(late > 0 ? 1 : 0);
    }
}
