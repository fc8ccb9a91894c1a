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
import yewpath.ledger.FolderLock;

/**
 * Starts a relay to check whether a configuration works. The build runs this check too, to write the
 * classes that a start needs to a class data archive; with it, a restarting relay is ready in half the
 * time.
 */
public final class StartCheck {
    private StartCheck() {}

    /**
     * Starts a relay with an empty state folder on a free port and submits one message.
     *
     * @return the line to print on success
     * @throws Config.InvalidConfigException if the configuration is invalid
     * @throws IOException if the relay does not start, is not ready or refuses the message
     */
    public static String run(String file, String operatorFile, Map<String, String> environment)
        throws Config.InvalidConfigException,
        IOException, InterruptedException {
        Map<String, String> testEnvironment = new HashMap<>(environment);
        testEnvironment.put("NODE_LISTEN", "127.0.0.1:0");
        // No server listens there, so that the check does not receive anything from the platform.
        testEnvironment.put("NODE_DISCOVERY", "127.0.0.1:1");
        Path state = Files.createTempDirectory("yewpath");
        testEnvironment.put("NODE_STATE", state.toString());
        Config config = Config.read(file, operatorFile, testEnvironment);
        // One destination that exists, whose only endpoint is draining, so that nothing is sent to it.
        config.configuredEndpoints = EndpointList
            .read(("{\"version\":0,\"full\":true,\"servers\":[{\"id\":\"check\",\"addr\":\"127.0.0.1:1\","
                + "\"zone\":\"check\",\"kind\":\"check\",\"cell\":0,\"state\":\"draining\",\"weight\":1.0,"
                + "\"started_ms\":0}]}").getBytes(StandardCharsets.UTF_8));
        RelayServer.Running relay = RelayServer.start(config, ProcessSignals.listen());
        String ready = request(relay.address(), "GET /health/ready HTTP/1.1\r\n\r\n");
        String accepted = request(relay.address(),
            "POST /" + config.platformSettings.messageClasses.name(0) + " HTTP/1.1\r\nRequest-Id: check\r\n"
                + "Request-Timeout: 50m\r\nX-Addressing: dest=0\r\nContent-Length: 2\r\n\r\nhi");
        if (!ready.contains(" 200 ") || !accepted.contains(" 202 ")) {
            throw new IOException(
                "the relay started, but the readiness check and the message were answered with " + ready
                    + " and " + accepted);
        }
        // The check leaves no files behind.
        relay.closeLedger();
        Files.delete(state.resolve("ledger"));
        Files.delete(state.resolve(FolderLock.FILE_NAME));
        Files.delete(state);
        return config.name + ": starts and accepts messages";
    }

    /** Sends a request and returns the status line of the response. */
    private static String request(InetSocketAddress address, String requestText) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(requestText.getBytes(StandardCharsets.ISO_8859_1));
            byte[] head = new byte[64];
            int length = socket.getInputStream().read(head);
            return new String(head, 0, Math.max(0, length), StandardCharsets.ISO_8859_1).lines().findFirst()
                .orElse("");
        }
    }
}
