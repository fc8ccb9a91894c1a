import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A new configuration moves discovery to another address, whose agent knows of a change, while discovery is down
 * there.
 */
final class MovedWhileDown {
    private static final long DOWN_MILLIS = 8000;
    private static final long TOLD_AFTER_MICROS = 4_000_000;
    private static final long GRACE_MICROS = 300_000;

    private MovedWhileDown() {}

    public static void main(String[] arguments) throws Exception {
        Rig.play(arguments, MovedWhileDown::play);
    }

    private static void play(Rig rig) throws Exception {
        Rig.Handler own = call -> {
            Rig.sleep(30);
            call.deliver();
        };
        Rig.Endpoint first = rig.new Endpoint("s-1", 0, own);
        Rig.Endpoint second = rig.new Endpoint("s-2", 0, own);
        Rig.Platform platform = rig.new Platform();
        Rig.Platform other = rig.new Platform();
        for (Rig.Platform each : List.of(platform, other)) {
            each.list("s-1", first.port, "caba-1", "catalogo", 1, "up", 20);
            each.list("s-2", second.port, "caba-1", "catalogo", 1, "up", 20);
        }
        Rig.Relay relay = rig.new Relay(platform, "\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3",
            Rig.settings(Rig.messageClass("estado-grabacion", "pure", 1000, 8000, ""), "\"catalogo\"", "1", ""));
        relay.start();
        Rig.sleep(2500);
        for (int i = 0; i < 20; i++) {
            rig.submit(relay.port, "estado-grabacion", String.format("a%015x", i), 1, 5000, "", body(i));
            Rig.sleep(100);
        }

        // The program at the address of s-1 now belongs to s-9 and to destination 2. The agent at the new address has
        // this change before discovery goes down; the one at the old address does not get it any more.
        first.handler = call -> refuseForeign(rig, call);
        synchronized (other) {
            other.list("s-1", first.port, "caba-1", "catalogo", 1, "removed", 20);
            other.list("s-9", first.port, "caba-1", "catalogo", 2, "up", 20);
        }
        other.down = rig.trouble;
        relay.moveTo(other);
        long movedMicros = rig.micros();
        Rig.daemon(() -> {
            Rig.sleep(1500);
            try {
                platform.leave();
            } catch (IOException exception) {
                rig.log("platform: " + exception);
            }
            rig.log("the old address of discovery accepts no connection and has closed the open ones");
            Rig.sleep(DOWN_MILLIS - 1500);
            other.down = false;
            rig.log("discovery is up");
        });
        for (int i = 0; i < 120; i++) {
            rig.submit(relay.port, "estado-grabacion", String.format("b%015x", i), 1, 5000, "", body(i));
            Rig.sleep(100);
        }
        long boundMicros = movedMicros + TOLD_AFTER_MICROS + GRACE_MICROS;
        List<Rig.Seen> late = rig.calls.stream()
            .filter(seen -> seen.who().equals("s-1") && seen.atMicros() > boundMicros).toList();
        rig.log("calls of destination 1 at the address of s-9 later than 4.3 s after SIGHUP: " + late.size()
            + (late.isEmpty() ? "" : ", the last " + (late.get(late.size() - 1).atMicros() - movedMicros) / 1000
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
