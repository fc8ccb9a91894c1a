import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Messages of some kilobytes wait for a destination that has told a wait. After the wait the relay sends them
 * as one call whose body exceeds the protocol's limit, which the endpoint turns away unread.
 */
public final class LargeBatch {
    private static final int BODY_LIMIT = 64 * 1024;
    private static final int MESSAGES = 6;
    private static final int MESSAGE_BYTES = 20_000;

    private LargeBatch() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, LargeBatch::run);
    }

    private static String run(Rig rig) throws Exception {
        Rig.Platform platform = rig.new Platform();
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        AtomicBoolean waitTold = new AtomicBoolean(!rig.trouble);
        List<Integer> tooLong = Rig.sharedList();
        Rig.Endpoint endpoint = rig.new Endpoint("s-1", call -> {
            if (call.body.length > BODY_LIMIT) {
                tooLong.add(call.body.length);
                rig.log("endpoint s-1: the body has %d bytes, over 64 KiB; nothing runs", call.body.length);
                call.answer(413, "Connection: close\r\n", "");
                call.socket.shutdownOutput();
            } else if (!waitTold.getAndSet(true)) {
                call.answer(429, "Retry-After: 1.0\r\n", "");
            } else if (call.target.equals("/inbox/bulk")) {
                StringBuilder answer = new StringBuilder();
                Matcher ids = Pattern.compile("\"id\":\"([^\"]*)\"").matcher(new String(call.body));
                Rig.sleep(100);
                while (ids.find()) {
                    delivered.add(ids.group(1));
                    answer.append(answer.length() == 0 ? "[" : ",").append("{\"id\":\"" + ids.group(1)
                        + "\",\"state\":\"done\"}");
                }
                call.answer(200, "", answer + "]");
            } else {
                Rig.sleep(100);
                delivered.add(call.id);
                call.answer(200, "", "ok " + call.id);
            }
        });
        platform.servers.add(new Rig.Listed("s-1", endpoint.address(), 7, "plain"));
        Rig.Relay relay = rig.new Relay("n1", platform,
            Settings.of(platform.list(), "pushed", 14, 272).replace("\"bundle_max\": [1]", "\"bundle_max\": [20]"));
        relay.start();
        Rig.sleep(500);
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            String id = "order-" + i;
            int status = rig.submit(relay, "order", id, 7, 8_000, "x".repeat(MESSAGE_BYTES), "");
            Rig.check(status == 202, "a message is not taken on");
            taken.add(id);
            Rig.sleep(20);
        }
        Rig.sleep(10_000);
        String broken = tooLong.isEmpty() ? null
            : "the relay sent a body of " + tooLong.get(0) + " bytes to an endpoint";
        for (String id : taken) {
            rig.log("%s: %s, notice: %s", id, delivered.contains(id) ? "ran" : "never ran",
                platform.outcomes.getOrDefault(id, "none"));
        }
        return broken;
    }
}
