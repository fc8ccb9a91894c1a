package yewpath;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A discovery that writes at a limited speed: a watch gets the change since its version in pieces, and an empty
 * line every second while there is none. Each new watch gets the change from its beginning.
 */
final class PacedDiscovery {
    private static final int PAUSE_MILLIS = 10;
    private static final int HEARTBEAT_MILLIS = 1_000;

    private record Change(String text, int millis) {}

    /** The versions from which watches were requested. */
    final List<Integer> requestedVersions = new CopyOnWriteArrayList<>();
    /** The next watch that has written this much of a change writes nothing more; 0 for no such watch. */
    volatile int stallAfterBytes;
    /** When a watch had written the whole change; 0 before that. */
    volatile long writtenAtNanos;
    private volatile Change change;
    private volatile int version;

    /** Makes a server answer watches and notices in place of the fixture. */
    static PacedDiscovery serve(RelayFixture.StubServer server, int version) {
        PacedDiscovery discovery = new PacedDiscovery();
        discovery.version = version;
        server.responder = request -> discovery.respond(server, request);
        return discovery;
    }

    /** Publishes a list with the next version. A watch takes this time to write it. */
    void publish(boolean complete, List<String> entries, int millis) {
        int nextVersion = version + 1;
        writtenAtNanos = 0;
        change = new Change("{\"version\":" + nextVersion + ",\"full\":" + complete + ",\"servers\":["
            + String.join(",", entries) + "]}\n", millis);
        version = nextVersion;
    }

    private String respond(RelayFixture.StubServer server, RelayFixture.ReceivedRequest request) {
        if (request.requestLine.startsWith("POST")) {
            return "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
        }
        int since = Integer.parseInt(request.requestLine.replaceAll(".*since=(\\d+).*", "$1"));
        requestedVersions.add(since);
        try {
            writeWatch(request.connection.getOutputStream(), since);
            return RelayFixture.NO_RESPONSE;
        } catch (IOException closed) {
            return RelayFixture.CLOSE_CONNECTION;
        }
    }

    /** Writes a watch until its connection ends or it stalls. */
    private void writeWatch(OutputStream out, int since) throws IOException {
        out.write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        int written = since;
        while (true) {
            int target = version;
            if (target > written && !writeChange(out, change)) {
                return;
            }
            written = Math.max(written, target);
            long heartbeatAtNanos = System.nanoTime() + HEARTBEAT_MILLIS * 1_000_000L;
            while (version <= written && System.nanoTime() < heartbeatAtNanos) {
                RelayFixture.pause(PAUSE_MILLIS);
            }
            if (version <= written) {
                RelayFixture.chunk(out, "\n");
            }
        }
    }

    /** Writes a change; returns false if the watch stalls in it. */
    private boolean writeChange(OutputStream out, Change written) throws IOException {
        String text = written.text;
        long startNanos = System.nanoTime();
        for (int position = 0; position < text.length();) {
            long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
            long dueBytes = Math.max(position + 1, text.length() * elapsedMillis / written.millis);
            int end = (int) Math.min(text.length(), dueBytes);
            RelayFixture.chunk(out, text.substring(position, end));
            position = end;
            if (stallAfterBytes > 0 && position >= stallAfterBytes) {
                stallAfterBytes = 0;
                return false;
            }
            RelayFixture.pause(PAUSE_MILLIS);
        }
        writtenAtNanos = System.nanoTime();
        return true;
    }
}
