/**
 * Discovery is down for some time. At its return the agent gets the change that an endpoint drains. The relay
 * has no request open at that moment and waits before it opens the next one.
 */
public final class DrainAtReturn {
    /** The grace of the site, and the slack of the protocol page. */
    private static final double GRACE_MILLIS = 250 + 50;
    /** Discovery returns when the relay has given up so many requests since it went down. */
    private static final int REQUESTS_GIVEN_UP = 3;
    private static final long DOWN_MILLIS_WITHOUT_TROUBLE = 12_500;
    private static final long INTERVAL_MILLIS = 40;

    private DrainAtReturn() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, DrainAtReturn::run);
    }

    private static String run(Rig rig) throws Exception {
        Rig.Platform platform = rig.new Platform();
        Rig.Service service = call -> {
            Rig.sleep(150);
            call.answer(200, "", "ok " + call.id + " " + rig.millis());
        };
        Rig.Endpoint first = rig.new Endpoint("s-1", service);
        Rig.Endpoint second = rig.new Endpoint("s-2", service);
        Rig.Listed draining = new Rig.Listed("s-1", first.address(), 7, "plain");
        platform.servers.add(draining);
        platform.servers.add(new Rig.Listed("s-2", second.address(), 7, "plain"));
        platform.servers.forEach(server -> server.weight = 100);
        Rig.Relay relay = rig.new Relay("n1", platform, Settings.of(platform.list(), "pushed", 14, 272));
        relay.start();
        Rig.background(() -> {
            for (int i = 0;; i++) {
                rig.submit(relay, "status", "status-" + i, 7, 8000);
                Rig.sleep(INTERVAL_MILLIS);
            }
        });
        Rig.sleep(3000);
        double downSince = rig.millis();
        if (rig.trouble) {
            platform.silent = true;
            rig.log("discovery: down, the agent is silent");
            while (platform.requestsGivenUp < REQUESTS_GIVEN_UP) {
                Rig.sleep(1);
                Rig.check(rig.millis() < downSince + 40_000, "the relay does not ask discovery again");
            }
        } else {
            Rig.sleep(DOWN_MILLIS_WITHOUT_TROUBLE);
        }
        // The agent gets the change at the return, which counts at once.
        platform.change(draining, "draining");
        double toldMillis = rig.millis();
        if (rig.trouble) {
            platform.resume();
            rig.log("discovery was down for %.1f s", (toldMillis - downSince) / 1000);
        }
        Rig.sleep(4000);
        String broken = null;
        for (Rig.Call call : first.calls) {
            double late = call.atMillis - toldMillis;
            if (late > GRACE_MILLIS) {
                broken = String.format("%s was sent to s-1, which drains, %.0f ms after the change counts as told",
                    call.id, late);
                rig.log(broken);
            }
        }
        return broken;
    }
}
