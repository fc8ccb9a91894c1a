package yewpath;

import static yewpath.RelayFixture.OK;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Works for a while, answers as the seed has it, and sends copies of its earlier answers. */
final class CopyingEndpoint implements Function<RelayFixture.ReceivedRequest, String> {
    static final String SERVICE_UNAVAILABLE = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    private static final Pattern ITEM = Pattern.compile("\"id\":\"([^\"]+)\"");
    private static final List<String> REFUSALS = List.of(SERVICE_UNAVAILABLE,
        "HTTP/1.1 429 X\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n");

    private final Map<Integer, List<String>> answers = new ConcurrentHashMap<>();
    private final MessageRules rules;
    private final Random random;
    private RelayFixture.StubServer server;

    private CopyingEndpoint(long seed, MessageRules rules) {
        random = new Random(seed);
        this.rules = rules;
    }

    static void addTo(RelayFixture fixture, String name, int destination, String kind, long seed,
        MessageRules rules)
        throws IOException {
        CopyingEndpoint endpoint = new CopyingEndpoint(seed, rules);
        endpoint.server = fixture.addEndpoint(name, destination, kind, endpoint);
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    @Override
    public String apply(RelayFixture.ReceivedRequest got) {
        List<String> ids = messageIds(got);
        boolean isBulk = got.requestLine.contains("bulk");
        boolean refusesAll = draw(4) == 0;
        Map<String, String> states = new LinkedHashMap<>();
        for (String id : ids) {
            boolean refuses = refusesAll || isBulk && draw(4) == 0;
            states.put(id, refuses ? "busy" : "done");
            rules.attemptStarted(id, refuses);
        }
        copy(got);
        boolean open = staysOpen(server, got, 1 + draw(60));
        copy(got);
        ids.forEach(rules::attemptEnded);
        if (!open) {
            return RelayFixture.CLOSE_CONNECTION;
        }
        String answer = refusesAll ? REFUSALS.get(draw(2))
            : isBulk ? bulkResponse(states) : draw(2) == 0 ? OK : RelayFixture.uniqueOk();
        answers.computeIfAbsent(got.connectionNumber, any -> new CopyOnWriteArrayList<>()).add(answer);
        states.forEach((id, state) -> {
            if (state.equals("done")) {
                rules.messageDelivered(id);
            }
        });
        return draw(6) == 0 ? answer + answer : answer;
    }

    private void copy(RelayFixture.ReceivedRequest got) {
        List<String> earlier = answers.getOrDefault(got.connectionNumber, List.of());
        if (!earlier.isEmpty() && draw(2) == 0) {
            try {
                writeRaw(server, got, earlier.get(draw(earlier.size())));
            } catch (UncheckedIOException closed) {
                return;
            }
        }
    }

    static void writeRaw(RelayFixture.StubServer server, RelayFixture.ReceivedRequest got, String bytes) {
        try {
            server.sockets.get(got.connectionNumber - 1).getOutputStream()
                .write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException closed) {
            throw new UncheckedIOException(closed);
        }
    }

    /** Whether the relay leaves the connection open for this long. */
    static boolean staysOpen(RelayFixture.StubServer server, RelayFixture.ReceivedRequest got, int millis) {
        Socket socket = server.sockets.get(got.connectionNumber - 1);
        try {
            socket.setSoTimeout(millis);
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException open) {
            return restore(socket);
        } catch (IOException reset) {
            return false;
        }
    }

    private static boolean restore(Socket socket) {
        try {
            socket.setSoTimeout(0);
            return true;
        } catch (IOException closed) {
            return false;
        }
    }

    static List<String> messageIds(RelayFixture.ReceivedRequest got) {
        if (got.id() != null) {
            return List.of(got.id());
        }
        List<String> ids = new ArrayList<>();
        for (Matcher item = ITEM.matcher(got.body); item.find();) {
            ids.add(item.group(1));
        }
        return ids;
    }

    static String bulkResponse(Map<String, String> states) {
        String body = "[" + states.entrySet().stream()
            .map(one -> "{\"id\":\"" + one.getKey() + "\",\"state\":\"" + one.getValue() + "\"}")
            .collect(Collectors.joining(",")) + "]";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
