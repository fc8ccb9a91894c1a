import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A bad client sends the id of another client's open request, hundreds of requests at once. All its bytes are
 * sent while that message is open; the message is delivered while the relay works through them.
 */
public final class RepeatedId {
    private static final int COPIES = 900;
    private static final int ROUNDS = 8;

    private RepeatedId() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, RepeatedId::run);
    }

    private static String run(Rig rig) throws Exception {
        Rig.Platform platform = rig.new Platform();
        CountDownLatch[] sent = new CountDownLatch[ROUNDS];
        CountDownLatch[] arrived = new CountDownLatch[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            sent[i] = new CountDownLatch(1);
            arrived[i] = new CountDownLatch(1);
        }
        Rig.Endpoint endpoint = rig.new Endpoint("s-1", call -> {
            if (call.id.startsWith("warm")) {
                call.answer(200, "", "ok " + call.id);
                return;
            }
            int round = Integer.parseInt(call.id.substring(6));
            boolean isFirst = arrived[round].getCount() > 0;
            arrived[round].countDown();
            // The message runs for 210 ms at least; its answer is written once the bad client has sent all its bytes.
            Rig.sleep(210);
            if (isFirst) {
                sent[round].await(10, TimeUnit.SECONDS);
            }
            call.answer(200, "", "ok " + call.id + " " + rig.millis());
        });
        platform.servers.add(new Rig.Listed("s-1", endpoint.address(), 7, "plain"));
        Rig.Relay relay = rig.new Relay("n1", platform, Settings.of(platform.list(), "pushed", 14, 272));
        relay.start();
        Rig.sleep(500);
        for (int i = 0; i < 3; i++) {
            Rig.check(rig.submit(relay, "status", "warm" + i, 7, 8000) == 202, "a message is not taken on");
        }
        for (int i = 0; i < ROUNDS; i++) {
            int round = i;
            String id = "order-" + round;
            Rig.check(rig.submit(relay, "order", id, 7, 28_000) == 202, "a message is not taken on");
            Rig.check(arrived[round].await(5, TimeUnit.SECONDS), "the message does not arrive");
            if (rig.trouble) {
                Rig.sleep(230);
                badClient(rig, relay, id, sent[round]);
            } else {
                sent[round].countDown();
            }
            Rig.sleep(1500);
        }
        String broken = null;
        for (int i = 0; i < ROUNDS; i++) {
            String id = "order-" + i;
            var calls = endpoint.calls.stream().filter(call -> id.equals(call.id)).toList();
            for (Rig.Call call : calls) {
                rig.log("%s ran at the endpoint at %.1f ms with the body \"%s\"", id, call.atMillis,
                    new String(call.body, StandardCharsets.ISO_8859_1));
            }
            broken = calls.size() > 1 ? id + " must never run twice and ran " + calls.size() + " times" : broken;
        }
        return broken;
    }

    private static void badClient(Rig rig, Rig.Relay relay, String id, CountDownLatch sent) throws Exception {
        Socket socket = new Socket(Rig.loopback(), relay.port);
        byte[] one = Rig.submission("order", id, 7, 28_000, "of the bad client", "");
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        for (int i = 0; i < COPIES; i++) {
            all.write(one);
        }
        Rig.background(() -> {
            InputStream in = socket.getInputStream();
            int answers = 0;
            int last = 0;
            for (Rig.Http answer = Rig.Http.read(in); answer != null && answers < COPIES; answer = Rig.Http.read(in)) {
                answers++;
                last = answer.status();
                if (answers == COPIES || answers == 1) {
                    rig.log("bad client: answer %d of %d has status %d", answers, COPIES, last);
                }
            }
            socket.close();
        });
        OutputStream out = socket.getOutputStream();
        out.write(all.toByteArray());
        out.flush();
        rig.log("bad client: %d requests with the id %s are sent", COPIES, id);
        sent.countDown();
    }
}
