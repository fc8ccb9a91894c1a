import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * One in eight endpoints of a large fleet is replaced while discovery is slow: it writes the change in pieces,
 * one every 10 ms, and has written it within the 6 s after which it counts as told.
 */
final class SlowDiscovery {
    private static final int FLEET = 800;
    private static final int REPLACED = 100;
    private static final long TOLD_AFTER_MICROS = 6_000_000;
    private static final long GRACE_MICROS = 300_000;

    private SlowDiscovery() {}

    public static void main(String[] arguments) throws Exception {
        Rig.play(arguments, SlowDiscovery::play);
    }

    private static void play(Rig rig) throws Exception {
        Rig.Handler own = call -> {
            Rig.sleep(30);
            call.deliver();
        };
        Rig.Endpoint first = rig.new Endpoint("s-1", 0, own);
        Rig.Endpoint second = rig.new Endpoint("s-2", 0, own);
        Rig.Platform platform = rig.new Platform();
        int unused = Rig.freePort();
        platform.list("s-1", first.port, "caba-1", "catalogo", 1, "up", 20);
        platform.list("s-2", second.port, "caba-1", "catalogo", 1, "up", 20);
        platform.listAll("f-", FLEET, unused, 100, "up");
        Rig.Relay relay = rig.new Relay(platform, "\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3",
            Rig.settings(Rig.messageClass("estado-grabacion", "pure", 1000, 8000, ""), "\"catalogo\"", "1", ""));
        relay.start();
        Rig.sleep(2500);
        for (int i = 0; i < 20; i++) {
            rig.submit(relay.port, "estado-grabacion", String.format("a%015x", i), 1, 5000, "", body(i));
            Rig.sleep(100);
        }

        // The program at the address of s-1 now belongs to s-9 and to destination 2.
        first.handler = call -> refuseForeign(rig, call);
        rig.log("s-1 is gone; s-9 for destination 2 has its address");
        platform.bytesPerMilli = rig.trouble ? 8 : 0;
        synchronized (platform) {
            platform.list("s-1", first.port, "caba-1", "catalogo", 1, "removed", 20);
            platform.list("s-9", first.port, "caba-1", "catalogo", 2, "up", 20);
            platform.listAll("f-", REPLACED, unused, 100, "removed");
            platform.listAll("g-", REPLACED, unused, 100, "up");
        }
        long changedMicros = rig.micros();
        for (int i = 0; i < 200; i++) {
            rig.submit(relay.port, "estado-grabacion", String.format("b%015x", i), 1, 5000, "", body(i));
            Rig.sleep(100);
        }
        long boundMicros = changedMicros + TOLD_AFTER_MICROS + GRACE_MICROS;
        List<Rig.Seen> late = rig.calls.stream()
            .filter(seen -> seen.who().equals("s-1") && seen.atMicros() > boundMicros).toList();
        rig.log("the change was " + platform.changesSince(4).length() + " bytes; calls of destination 1 at the address "
            + "of s-9 later than 6.3 s after the change: " + late.size()
            + (late.isEmpty() ? "" : ", the last " + (late.get(late.size() - 1).atMicros() - changedMicros) / 1000
                + " ms after it"));
        rig.end(late.isEmpty() ? 0 : 1);
    }

    private static byte[] body(int number) {
        return ("status " + number).getBytes(StandardCharsets.UTF_8);
    }

    private static void refuseForeign(Rig rig, Rig.Call call) throws IOException {
        rig.log("s-9: a message of destination 1");
        call.answer(400, "", "");
    }
}
