import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Two messages of different keys travel in one call to an endpoint that hangs. The time of the first is up
 * while the call is out; the next message of its key is sent in the moment in which the call ends, although
 * the key has to rest after that.
 */
public final class KeyRest {
    /** The rest of the key by the site, less the slack of the protocol page. */
    private static final double REST_MILLIS = 100 - 50;
    private static final String KEY = "91f03b7c55d20a64";
    private static final String OTHER_KEY = "0c1de0a3b5f7e829";

    private KeyRest() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, KeyRest::run);
    }

    private static String settings(String known) {
        return String.format(Locale.ROOT, """
            {"name": "@NAME@", "listen": "@LISTEN@", "discovery": "@DISCOVERY@", "seed": "8c1f30d27a5be964",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
             "known": %s,
             "settings": {
              "balancers": 2, "ordinal": 0, "discovery": "on_request", "weights": "none", "zones": ["here"],
              "locality": "here", "kinds": ["crm-hosts"],
              "family_info": {"max_calls": 14, "bundle_max": [5], "routes_apart": [true], "late": "by_half"},
              "limits": {"max_open": 100, "try_limit": 8, "cancel": true, "probes": true, "retry_after": true,
               "max_retry_after_ms": 3000.0, "connect_timeout_ms": 1000.0, "conn_idle_ms": 10000.0},
              "load_report": {"how": "none", "fields": []},
              "rules": {"cold_from": 0.2, "cold_ms": 14000.0, "fall_multiple": 2.0, "fall_ms": 3000.0,
               "answer_slack_ms": 20.0, "ask_every_ms": 10000.0, "stop_sending_within_ms": 500.0,
               "settle_after_doubt_ms": 100.0},
              "request_classes": [
               {"name": "response-push", "repeat": "token", "group": "all", "dedup_window_ms": 4000.0,
                "fifo_by_key": true, "worth": 1.0, "late_worth": 0.4, "on_time_ms": 3000.0,
                "give_up_ms": 16000.0}],
              "tenants": [{"name": "acme", "quota_per_s": 10.0, "portion": 1.0}]}}
            """, known);
    }

    private static String run(Rig rig) throws Exception {
        Rig.Platform platform = rig.new Platform();
        AtomicBoolean hangs = new AtomicBoolean();
        AtomicBoolean waitTold = new AtomicBoolean();
        List<Double> hungCallEnds = Rig.sharedList();
        List<String> hungCalls = Rig.sharedList();
        CountDownLatch hung = new CountDownLatch(1);
        Rig.Service service = call -> {
            String ids = call.id != null ? call.id : new String(call.body);
            if (call.id != null && !waitTold.getAndSet(true)) {
                // Above its limit; what is handed in during the wait travels as one call after it.
                hangs.set(rig.trouble);
                call.answer(429, "Retry-After: 0.6\r\n", "");
            } else if (hangs.get() && call.target.equals("/inbox/bulk") && hung.getCount() > 0) {
                // The endpoint has taken the call and answers nothing; the relay ends the connection.
                hungCalls.add(ids);
                hung.countDown();
                rig.log("endpoint s-1: hangs with %s", ids.replaceAll(",\"body\":\"[^\"]*\"", ""));
                int end = call.socket.getInputStream().read();
                hungCallEnds.add(rig.millis());
                rig.log("endpoint s-1: the connection of that call has ended (%d)", end);
            } else {
                Rig.sleep(100);
                if (call.id != null) {
                    call.answer(200, "", "ok " + call.id);
                    return;
                }
                List<String> states = new ArrayList<>();
                var matcher = java.util.regex.Pattern.compile("\"id\":\"([^\"]*)\"").matcher(ids);
                while (matcher.find()) {
                    states.add("{\"id\":\"" + matcher.group(1) + "\",\"state\":\"done\"}");
                }
                call.answer(200, "", "[" + String.join(",", states) + "]");
            }
        };
        Rig.Endpoint first = rig.new Endpoint("s-1", service);
        platform.servers.add(new Rig.Listed("s-1", first.address(), 7, "crm-hosts"));
        Rig.Relay relay = rig.new Relay("n1", platform, settings(platform.list()));
        relay.start();
        Rig.sleep(1000);
        submit(rig, relay, "w-1", 16_000, "");
        Rig.sleep(30);
        submit(rig, relay, "a-1", 1_600, KEY);
        submit(rig, relay, "c-1", 16_000, OTHER_KEY);
        submit(rig, relay, "b-1", 16_000, KEY);
        if (rig.trouble) {
            Rig.check(hung.await(5, TimeUnit.SECONDS), "no call of several messages arrives");
            Rig.check(hungCalls.get(0).contains("a-1") && hungCalls.get(0).contains("c-1"),
                "the two messages don't travel in one call");
        }
        Rig.sleep(8000);
        Rig.check(!rig.trouble || !hungCallEnds.isEmpty(), "the call that hangs has not ended");
        String broken = null;
        for (Rig.Call call : first.calls) {
            boolean hasNext = call.id != null ? call.id.equals("b-1") : new String(call.body).contains("\"b-1\"");
            if (hasNext && rig.trouble) {
                double rest = call.atMillis - hungCallEnds.get(0);
                rig.log("b-1 was sent %.1f ms after the call with a-1 had ended without an answer", rest);
                broken = rest < REST_MILLIS && broken == null
                    ? String.format(Locale.ROOT, "the key rested %.1f ms instead of 100 ms", rest) : broken;
            }
        }
        return broken;
    }

    private static void submit(Rig rig, Rig.Relay relay, String id, long timeoutMillis, String key)
        throws Exception {
        String header = key.isEmpty() ? "" : "Affinity-Key: " + key + "\r\n";
        int status = rig.submit(relay, "response-push", id, 7, timeoutMillis, "body of " + id, header);
        Rig.check(status == 202, "a message is not taken on");
    }
}
