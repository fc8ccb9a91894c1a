package yewpath.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import yewpath.directory.EndpointList;

/**
 * A start on trial: tells whether a configuration serves. The build runs it too, so that the classes a start
 * needs are written to an archive: a relay that restarts is back in half the time.
 */
public final class StartCheck {
    private StartCheck() {}

    /** Starts a relay in an empty folder on a free port, hands in one message and returns what to print. */
    public static String run(String file, String operatorFile, Map<String, String> environment)
        throws Config.InvalidConfigException,
        IOException, InterruptedException {
        Map<String, String> aside = new HashMap<>(environment);
        aside.put("NODE_LISTEN", "127.0.0.1:0");
        // Nobody listens there: what the relay would be told by its platform is not drawn into a trial.
        aside.put("NODE_DISCOVERY", "127.0.0.1:1");
        Path state = Files.createTempDirectory("yewpath");
        aside.put("NODE_STATE", state.toString());
        Config config = Config.read(file, operatorFile, aside);
        // A destination that exists, and an endpoint to which nothing is sent.
        config.known = EndpointList
            .read(("{\"version\":0,\"full\":true,\"servers\":[{\"id\":\"check\",\"addr\":\"127.0.0.1:1\","
                + "\"zone\":\"check\",\"kind\":\"check\",\"cell\":0,\"state\":\"draining\",\"weight\":1.0,"
                + "\"started_ms\":0}]}").getBytes(StandardCharsets.UTF_8));
        RelayServer.Running relay = RelayServer.start(config, ProcessSignals.listen());
        String ready = ask(relay.address(), "GET /health/ready HTTP/1.1\r\n\r\n");
        String taken = ask(relay.address(),
            "POST /" + config.platformSettings.messageClasses.name(0) + " HTTP/1.1\r\nRequest-Id: check\r\n"
                + "Request-Timeout: 50m\r\nX-Addressing: dest=0\r\nContent-Length: 2\r\n\r\nhi");
        if (!ready.contains(" 200 ") || !taken.contains(" 202 ")) {
            throw new IOException("started, but answered " + ready + " and " + taken);
        }
        // Nothing of a trial is to stay.
        relay.closeLedger();
        Files.delete(state.resolve("ledger"));
        Files.delete(state);
        return config.name + ": starts and takes envelopes";
    }

    private static String ask(InetSocketAddress at, String request) throws IOException {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            byte[] head = new byte[64];
            int length = socket.getInputStream().read(head);
            return new String(head, 0, Math.max(0, length), StandardCharsets.ISO_8859_1).lines().findFirst()
                .orElse("");
        }
    }
}
