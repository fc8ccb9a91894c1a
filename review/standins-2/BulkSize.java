import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A clump of messages for one destination that takes several messages in one call. */
final class BulkSize {
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private BulkSize() {}

    public static void main(String[] arguments) throws Exception {
        Rig.play(arguments, BulkSize::play);
    }

    private static void play(Rig rig) throws Exception {
        AtomicInteger largest = new AtomicInteger();
        Rig.Endpoint endpoint = rig.new Endpoint("s-1", 0, call -> {
            largest.accumulateAndGet(call.request.body.length, Math::max);
            Rig.sleep(200);
            if (call.request.body.length > MAX_BODY_BYTES) {
                // As the protocol page says of a call that is too large: none of its messages has run.
                call.answer(413, "", "");
                call.socket.close();
            } else {
                call.deliver();
            }
        });
        Rig.Platform platform = rig.new Platform();
        platform.list("s-1", endpoint.port, "caba-1", "campus", 1, "up", 20);
        Rig.Relay relay = rig.new Relay(platform, "\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3",
            Rig.settings(Rig.messageClass("orden-regalia", "side_effect", 3000, 28000, ""), "\"campus\"", "20", ""));
        relay.start();
        Rig.sleep(2500);

        byte[] order = new byte[6000];
        Arrays.fill(order, (byte) 'x');
        int count = 40;
        int[] taken = {0};
        for (int i = 0; i < count; i++) {
            String id = String.format("%016x", 0x7c01d2a400L + i);
            Runnable submit = () -> {
                if (rig.submit(relay.port, "orden-regalia", id, 1, 20_000, "", order) == 202) {
                    synchronized (taken) {
                        taken[0]++;
                    }
                }
            };
            if (rig.trouble) {
                Rig.daemon(submit);
            } else {
                submit.run();
                Rig.sleep(300);
            }
        }
        Rig.sleep(20_500);
        List<Rig.Seen> failed = rig.notices.stream()
            .filter(notice -> rig.delivered.stream().noneMatch(seen -> seen.id().equals(notice.id()))).toList();
        rig.log("taken on: " + taken[0] + "; delivered: " + rig.delivered.size() + "; ended undelivered: "
            + failed.size() + "; largest body: " + largest + " bytes");
        rig.end(largest.get() > MAX_BODY_BYTES ? 1 : 0);
    }
}
