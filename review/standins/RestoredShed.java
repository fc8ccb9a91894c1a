import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A relay is restarted while it holds messages for a destination whose endpoint hangs. New messages come in as
 * before; when the relay is nearly full, it hands back the restored ones without a call.
 */
public final class RestoredShed {
    private static final long TIME_MILLIS = 28_000;
    private static final int MAX_OPEN = 60;
    private static final int HELD = 50;
    private static final long INTERVAL_MILLIS = 110;
    private static final long NEW_MESSAGES_MILLIS = 11_500;

    private RestoredShed() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, RestoredShed::run);
    }

    private static String run(Rig rig) throws Exception {
        Rig.Platform platform = rig.new Platform();
        AtomicBoolean hangsNow = new AtomicBoolean(true);
        Rig.Service service = call -> {
            Rig.sleep(250);
            call.answer(200, "", "ok " + call.id + " " + rig.millis());
        };
        Rig.Endpoint hangs = rig.new Endpoint("s-1", call -> {
            if (!hangsNow.get()) {
                service.serve(call);
            }
        });
        Rig.Endpoint works = rig.new Endpoint("s-2", service);
        platform.servers.add(new Rig.Listed("s-1", hangs.address(), 7, "plain"));
        platform.servers.add(new Rig.Listed("s-2", works.address(), 8, "plain"));
        Rig.Relay relay = rig.new Relay("n1", platform, Settings.of(platform.list(), "pushed", 10, MAX_OPEN));
        relay.start();
        Rig.sleep(500);
        Map<String, Double> takenMillis = new LinkedHashMap<>();
        for (int i = 0; i < HELD; i++) {
            String id = "held-" + i;
            if (rig.submit(relay, "order", id, 7, TIME_MILLIS) == 202) {
                takenMillis.put(id, rig.millis());
            }
            Rig.sleep(85);
        }
        relay.kill();
        takenMillis.keySet().removeIf(id -> platform.outcomes.containsKey(id)
            || hangs.calls.stream().anyMatch(call -> id.equals(call.id)));
        Rig.sleep(600);
        // Without the disruption the endpoint works again when the relay is restarted.
        hangsNow.set(rig.trouble);
        relay.start();
        double readyMillis = rig.millis();
        takenMillis.values().removeIf(at -> readyMillis - at > TIME_MILLIS / 2);
        rig.log("%d messages are untried with half of their time left", takenMillis.size());
        for (int i = 0; rig.millis() < readyMillis + NEW_MESSAGES_MILLIS; i++) {
            // Half of what is handed in is for the destination that hangs.
            rig.submit(relay, "order", "new-" + i, 7 + i % 2, TIME_MILLIS);
            Rig.sleep(INTERVAL_MILLIS);
        }
        // The endpoint has hung for 18 s at most by now.
        hangsNow.set(false);
        Rig.sleep(1000);
        int without = 0;
        for (String id : takenMillis.keySet()) {
            boolean called = hangs.calls.stream().anyMatch(call -> id.equals(call.id));
            Double ended = platform.outcomeMillis.get(id);
            if (!called && ended != null && ended - takenMillis.get(id) < 0.7 * TIME_MILLIS) {
                without++;
                rig.log("%s ended as %s after %.1f s of %d s, with no call", id, platform.outcomes.get(id),
                    (ended - takenMillis.get(id)) / 1000, TIME_MILLIS / 1000);
            }
        }
        rig.log("%d of %d messages that the restart found untried were given up early with no call", without,
            takenMillis.size());
        return 2 * without > takenMillis.size() ? "over half were given up early with no call" : null;
    }
}
