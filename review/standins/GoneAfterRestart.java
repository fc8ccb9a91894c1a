import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A relay is killed while it holds messages. Before it is started again, the agent is told that an endpoint is
 * gone and that its address belongs to an endpoint of another destination; then discovery goes down and the
 * agent is silent. The new process sends to that address by its old list.
 */
public final class GoneAfterRestart {
    /** The grace of the site, and the slack of the protocol page. */
    private static final double GRACE_MILLIS = 250 + 50;
    private static final int MESSAGES = 12;

    private GoneAfterRestart() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, GoneAfterRestart::run);
    }

    private static String run(Rig rig) throws Exception {
        Rig.Platform platform = rig.new Platform();
        Rig.Service slow = call -> {
            Rig.sleep(700);
            call.answer(200, "", "ok " + call.id + " " + rig.millis());
        };
        AtomicBoolean replaced = new AtomicBoolean();
        Rig.Endpoint first = rig.new Endpoint("s-1", call -> {
            if (replaced.get()) {
                // Now the endpoint s-9 of destination 8, which knows no such message.
                call.answer(400, "", "");
            } else {
                slow.serve(call);
            }
        });
        Rig.Endpoint second = rig.new Endpoint("s-2", slow);
        Rig.Listed gone = new Rig.Listed("s-1", first.address(), 7, "plain");
        platform.servers.add(gone);
        platform.servers.add(new Rig.Listed("s-2", second.address(), 7, "plain"));
        Rig.Relay relay = rig.new Relay("n1", platform, Settings.of(platform.list(), "pushed", 8, 272));
        relay.start();
        Rig.sleep(1500);
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            String id = "order-" + i;
            if (rig.submit(relay, "order", id, 7, 28_000) == 202) {
                taken.add(id);
            }
        }
        Rig.check(taken.size() == MESSAGES, "a message is not taken on");
        relay.kill();
        Rig.sleep(200);
        // The agent has this from now on; what the relay held last, "known" in its file, is older.
        platform.servers.add(new Rig.Listed("s-9", first.address(), 8, "plain"));
        replaced.set(true);
        platform.change(gone, "removed");
        platform.servers.remove(gone);
        rig.log("discovery: s-9 of destination 8 is up at the address of s-1");
        Rig.sleep(100);
        if (rig.trouble) {
            platform.silent = true;
            rig.log("discovery: down, the agent is silent");
        }
        Rig.sleep(300);
        double startedMillis = rig.millis();
        relay.start();
        Rig.sleep(8000 - (long) (rig.millis() - startedMillis));
        if (platform.silent) {
            platform.resume();
        }
        Rig.sleep(6000);
        String broken = null;
        for (Rig.Call call : first.calls) {
            double late = call.atMillis - startedMillis;
            if (late > GRACE_MILLIS) {
                broken = String.format("%s of destination 7 was sent to the address of s-1, which is gone, %.0f ms"
                    + " after the new process was started", call.id, late);
                rig.log("%s; it is s-9 of destination 8; the notice says %s", broken,
                    platform.outcomes.get(call.id));
            }
        }
        return broken;
    }
}
