import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The relay is killed and starts again. Several hundred clients, whose connections ended with it, hand in a
 * message each and keep their new connections. Another client asks every half second whether the relay is ready.
 */
final class RestartUnderClients {
    /** Less than a third of the descriptors, which is the most that clients hold for requests. */
    private static final int CLIENTS = 335;
    /** Without a kill that ends all connections at one moment, the clients come one after the other. */
    private static final int SPREAD_MILLIS = 8;
    /** Within this time from connecting, each client is owed a response or a close. */
    private static final int OWED_WITHIN_MILLIS = 3000;

    private RestartUnderClients() {}

    public static void main(String[] arguments) throws Exception {
        Rig.play(arguments, RestartUnderClients::play);
    }

    private static void play(Rig rig) throws Exception {
        Rig.Endpoint endpoint = rig.new Endpoint("s-1", 0, call -> {
            Rig.sleep(100);
            call.deliver();
        });
        Rig.Platform platform = rig.new Platform();
        platform.list("s-1", endpoint.port, "caba-1", "catalogo", 1, "up", 100);
        Rig.Relay relay = rig.new Relay(platform, "\"cores\":1.0,\"memory_mb\":96,\"sockets\":1024,\"disk_mb\":3",
            Rig.settings(Rig.messageClass("estado-grabacion", "pure", 1000, 8000, ""), "\"catalogo\"", "1", ""));
        relay.start();
        Rig.sleep(2500);
        if (rig.trouble) {
            relay.kill();
        }
        AtomicInteger answered = new AtomicInteger();
        CountDownLatch go = new CountDownLatch(1);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.daemon(() -> handInUntilAnswered(rig, relay, number, answered, go));
        }
        Rig.sleep(600);
        rig.log(CLIENTS + " clients begin to hand in a message each, again after 20 ms where the connect is refused, "
            + (rig.trouble ? "all at once after the kill" : "one every " + SPREAD_MILLIS + " ms"));
        go.countDown();
        if (rig.trouble) {
            relay.launch();
        }
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicLong longestMillis = new AtomicLong();
        for (int i = 0; i < 50; i++) {
            Rig.daemon(() -> askWhetherReady(rig, relay, asked, unanswered, longestMillis));
            Rig.sleep(500);
        }
        Rig.sleep(OWED_WITHIN_MILLIS);
        if (!relay.process.isAlive()) {
            rig.log("the relay has ended");
            rig.end(2);
        }
        rig.log("clients answered: " + answered + " of " + CLIENTS + "; asked whether it is ready: " + asked
            + " times on a connection that was up; neither a response nor a close within 3 s: " + unanswered
            + " times; the longest wait for a response: " + longestMillis + " ms");
        rig.end(unanswered.get() > 0 ? 1 : 0);
    }

    /** Hands in a message, again after 400 ms without an answer, and keeps the connection with the answer. */
    private static void handInUntilAnswered(Rig rig, Rig.Relay relay, int number, AtomicInteger answered,
        CountDownLatch go) {
        try {
            go.await();
            Thread.sleep(rig.trouble ? 0 : SPREAD_MILLIS * number);
        } catch (InterruptedException exception) {
            return;
        }
        for (int attempt = 0; attempt < 100; attempt++) {
            try {
                Rig.Client client = rig.new Client(relay.port);
                client.out.write(Rig.request("estado-grabacion", String.format("%08x%08x", number, attempt), 1, 8000, "",
                    new byte[200]));
                int status = client.status(400);
                if (status > 0) {
                    rig.log("client " + number + ": " + status);
                    answered.incrementAndGet();
                    return;
                }
                client.close();
            } catch (IOException refused) {
                Rig.sleep(20);
            }
        }
    }

    private static void askWhetherReady(Rig rig, Rig.Relay relay, AtomicInteger asked, AtomicInteger unanswered,
        AtomicLong longestMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Rig.HOST, relay.port), 500);
            long startMicros = rig.micros();
            asked.incrementAndGet();
            socket.setSoTimeout(OWED_WITHIN_MILLIS);
            socket.getOutputStream().write("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes());
            int first = socket.getInputStream().read();
            long millis = (rig.micros() - startMicros) / 1000;
            longestMillis.accumulateAndGet(millis, Math::max);
            rig.log("ready?: " + (first < 0 ? "closed" : "answered") + " after " + millis + " ms");
        } catch (java.net.SocketTimeoutException exception) {
            unanswered.incrementAndGet();
            rig.log("ready?: connected, but neither a response nor a close within 3 s");
        } catch (IOException exception) {
            rig.log("ready?: " + exception.getMessage());
        }
    }
}
