import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A bad client uses the id of another client's open request, which arrives in two pieces. */
final class ConflictingId {
    private ConflictingId() {}

    public static void main(String[] arguments) throws Exception {
        Rig.play(arguments, ConflictingId::play);
    }

    private static void play(Rig rig) throws Exception {
        Rig.Endpoint first = rig.new Endpoint("s-1", 0, Rig.Call::deliver);
        Rig.Endpoint second = rig.new Endpoint("s-2", 0, Rig.Call::deliver);
        Rig.Platform platform = rig.new Platform();
        platform.list("s-1", first.port, "caba-1", "catalogo", 1, "up", 20);
        platform.list("s-2", second.port, "caba-1", "catalogo", 2, "up", 20);
        Rig.Relay relay = rig.new Relay(platform, "\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3",
            Rig.settings(Rig.messageClass("orden-regalia", "side_effect", 3000, 28000, ""), "\"catalogo\"", "1", ""));
        relay.start();
        Rig.sleep(2500);

        String id = "9b1f03aa5c7e2d41";
        long timeoutMillis = 6000;
        byte[] order = "royalty order of the usual client".repeat(30).getBytes(StandardCharsets.UTF_8);
        byte[] request = Rig.request("orden-regalia", id, 1, timeoutMillis, "", order);
        Rig.Client usual = rig.new Client(relay.port);
        usual.out.write(request, 0, request.length - 400);
        usual.out.flush();
        rig.log("usual client: sent the first part of " + id + " for destination 1");
        Rig.sleep(300);
        if (rig.trouble) {
            rig.submit(relay.port, "orden-regalia", id, 2, timeoutMillis, "",
                "something else".getBytes(StandardCharsets.UTF_8));
        }
        Rig.sleep(300);
        usual.out.write(request, request.length - 400, 400);
        usual.out.flush();
        long sentMicros = rig.micros();
        int status = usual.status(400);
        rig.log("usual client: sent the rest of " + id + ", answer " + status);
        if (status != 200 && status != 202) {
            rig.log("the message was not taken on, so nothing is owed");
            rig.end(0);
        }
        Rig.sleep((sentMicros - rig.micros()) / 1000 + timeoutMillis + 350 + 200);
        boolean isDelivered = rig.delivered.stream()
            .anyMatch(seen -> seen.who().equals("s-1") && seen.id().equals(id) && Arrays.equals(seen.body(), order));
        boolean isNotified = rig.notices.stream().anyMatch(seen -> seen.id().equals(id));
        rig.log("taken on with " + status + "; delivered to destination 1: " + isDelivered + "; notice: " + isNotified);
        rig.end(isDelivered || isNotified ? 0 : 1);
    }
}
