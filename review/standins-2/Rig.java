import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What every case needs: the record, a relay process started with the command of the deploy file, and small
 * stand-ins for clients, endpoints and the platform. All addresses are on the loopback interface.
 */
final class Rig {
    static final String HOST = "127.0.0.1";
    private static final long MAX_MILLIS = 115_000;

    /** One HTTP message as it was read from a socket. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** An event that a check looks at, with the time in microseconds since the start of the case. */
    record Seen(long atMicros, String who, String id, byte[] body) {}

    final Path root;
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Seen> calls = new CopyOnWriteArrayList<>();
    final List<Seen> delivered = new CopyOnWriteArrayList<>();
    final List<Seen> notices = new CopyOnWriteArrayList<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<AutoCloseable> opened = new CopyOnWriteArrayList<>();

    /** What a case does; it ends with {@link #end}. */
    interface Case {
        void play(Rig rig) throws Exception;
    }

    /** Plays a case; exits with 2 if it fails or takes too long. */
    static void play(String[] arguments, Case each) throws IOException {
        Rig rig = new Rig(Path.of(arguments[0]));
        daemon(() -> {
            sleep(MAX_MILLIS);
            rig.log("the case takes too long");
            rig.end(2);
        });
        try {
            each.play(rig);
        } catch (Exception exception) {
            rig.log("the case failed: " + exception);
        }
        rig.end(2);
    }

    private Rig(Path caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        temporary = Files.createTempDirectory("yewpath-case");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        if (!Files.exists(root.resolve("relay/target/yewpath.jar"))) {
            log("the relay is not built");
            end(2);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll));
        log("TROUBLE=" + (trouble ? 1 : 0));
    }

    long micros() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    /** Writes one line to the record. */
    synchronized void log(String line) {
        record.printf("%10.3f ms  %s%n", micros() / 1000.0, line);
        record.flush();
    }

    /** Ends the case: stops all processes and exits. */
    void end(int code) {
        log(code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "the case could not run");
        closeAll();
        System.out.println(code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run");
        Runtime.getRuntime().halt(code);
    }

    private synchronized void closeAll() {
        for (AutoCloseable each : opened) {
            try {
                each.close();
            } catch (Exception ignored) {
                // Nothing depends on it any more.
            }
        }
        opened.clear();
        if (Files.exists(temporary)) {
            try (Stream<Path> files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException ignored) {
                // A leftover temporary folder does no harm.
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- HTTP

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Reads one message with a length; null if the connection ended before it. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.startLine = readLine(in);
        if (message.startLine == null) {
            return null;
        }
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                return null;
            }
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        String length = message.header("content-length");
        message.body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return length != null && message.body.length < Integer.parseInt(length) ? null : message;
    }

    static byte[] response(int status, String headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.UTF_8);
    }

    static byte[] request(String messageClass, String id, int destination, long timeoutMillis, String headers,
        byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(("POST /" + messageClass + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id
            + "\r\nTenant: acme\r\nRequest-Timeout: " + timeoutMillis + "m\r\nX-Addressing: dest=" + destination
            + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        return bytes.toByteArray();
    }

    // ---- Clients

    /** A client connection, which sends one request at a time. */
    final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(HOST, port), 2000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
            opened.add(this);
        }

        /** Waits for the response; 0 if there is none in this time. */
        int status(int waitMillis) {
            try {
                socket.setSoTimeout(waitMillis);
                Message answer = read(in);
                return answer == null ? 0 : answer.status();
            } catch (IOException exception) {
                return 0;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Hands in a message on a connection of its own; returns the status, or 0 without an answer in 400 ms. */
    int submit(int port, String messageClass, String id, int destination, long timeoutMillis, String headers,
        byte[] body) {
        int status = 0;
        try (Client client = new Client(port)) {
            client.out.write(request(messageClass, id, destination, timeoutMillis, headers, body));
            client.out.flush();
            status = client.status(400);
            opened.remove(client);
        } catch (IOException exception) {
            log("client: " + id + " " + exception);
        }
        log("client: " + messageClass + " " + id + " for destination " + destination + ", " + timeoutMillis
            + " ms, " + body.length + " bytes: " + (status == 0 ? "no answer" : status));
        return status;
    }

    // ---- Endpoints

    /** One call as an endpoint has read it, and its connection. */
    final class Call {
        final Endpoint endpoint;
        final Message request;
        final OutputStream out;
        final Socket socket;

        Call(Endpoint endpoint, Message request, Socket socket) throws IOException {
            this.endpoint = endpoint;
            this.request = request;
            this.socket = socket;
            out = socket.getOutputStream();
        }

        String id() {
            return request.header("request-id");
        }

        boolean isBulk() {
            return request.startLine.startsWith("POST /inbox/bulk ");
        }

        /** The ids of the messages of this call. */
        List<String> ids() {
            if (!isBulk()) {
                return List.of(id());
            }
            List<String> ids = new ArrayList<>();
            Matcher matcher = Pattern.compile("\"id\":\"([^\"]*)\"")
                .matcher(new String(request.body, StandardCharsets.UTF_8));
            while (matcher.find()) {
                ids.add(matcher.group(1));
            }
            return ids;
        }

        void answer(int status, String headers, String body) throws IOException {
            out.write(response(status, headers, body));
            out.flush();
            log(endpoint.id + ": answered " + status + " to " + ids() + (headers.isEmpty() ? "" : ", " + headers.strip()));
        }

        /** Runs the call: answers that each of its messages is delivered. */
        void deliver() throws IOException {
            if (isBulk()) {
                answer(200, "", ids().stream().map(id -> "{\"id\":\"" + id + "\",\"state\":\"done\"}")
                    .collect(Collectors.joining(",", "[", "]")));
            } else {
                answer(200, "", "done " + id());
            }
            for (String id : ids()) {
                delivered.add(new Seen(micros(), endpoint.id, id, request.body));
            }
        }
    }

    interface Handler {
        void handle(Call call) throws Exception;
    }

    /** An endpoint: passes each complete call to its handler, on a thread for each connection. */
    final class Endpoint implements AutoCloseable {
        final String id;
        final int port;
        volatile Handler handler;
        private final ServerSocket server;

        Endpoint(String id, int port, Handler handler) throws IOException {
            this.id = id;
            this.handler = handler;
            server = new ServerSocket(port, 200, InetAddress.getByName(HOST));
            this.port = server.getLocalPort();
            opened.add(this);
            daemon(this::accept);
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message request = read(in); request != null; request = read(in)) {
                    Call call = new Call(this, request, socket);
                    for (String each : call.ids()) {
                        calls.add(new Seen(micros(), id, each, request.body));
                    }
                    log(id + ": received " + call.ids() + ", body of " + request.body.length + " bytes");
                    handler.handle(call);
                }
            } catch (IOException ended) {
                return;
            } catch (Exception exception) {
                log(id + ": " + exception);
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- Platform: discovery and the receiver of notices

    final class Platform implements AutoCloseable {
        final int port;
        /** Whether discovery is down: a watch gets no answer. Notices are answered nevertheless. */
        volatile boolean down;
        /** Bytes a millisecond that a watch passes on; 0 for no limit. */
        volatile int bytesPerMilli;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Integer> changedIn = new LinkedHashMap<>();
        private int version = 1;
        private final ServerSocket server;
        private final List<Socket> connections = new CopyOnWriteArrayList<>();

        Platform() throws IOException {
            server = new ServerSocket(0, 200, InetAddress.getByName(HOST));
            port = server.getLocalPort();
            opened.add(this);
            daemon(this::accept);
        }

        /** Adds or changes an endpoint in the list and tells all watches. */
        synchronized void list(String id, int endpointPort, String zone, String kind, int destination, String state,
            double weight) {
            version++;
            entries.put(id, "{\"id\":\"" + id + "\",\"addr\":\"" + HOST + ":" + endpointPort + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"" + kind + "\",\"cell\":" + destination + ",\"state\":\"" + state + "\",\"weight\":"
                + weight + ",\"started_ms\":0}");
            changedIn.put(id, version);
            log("platform: " + id + " for destination " + destination + " is " + state);
            notifyAll();
        }

        /** Adds or changes many endpoints that get no message, each of a destination of its own. */
        synchronized void listAll(String prefix, int count, int endpointPort, int firstDestination, String state) {
            version++;
            for (int i = 0; i < count; i++) {
                String id = prefix + String.format("%08x", i);
                entries.put(id, "{\"id\":\"" + id + "\",\"addr\":\"" + HOST + ":" + endpointPort
                    + "\",\"zone\":\"caba-1\",\"kind\":\"catalogo\",\"cell\":" + (firstDestination + i) + ",\"state\":\""
                    + state + "\",\"weight\":5.0,\"started_ms\":0}");
                changedIn.put(id, version);
            }
            log("platform: " + count + " endpoints " + prefix + "* are " + state);
            notifyAll();
        }

        synchronized String changesSince(int since) {
            List<String> changed = changedIn.entrySet().stream().filter(entry -> entry.getValue() > since)
                .map(entry -> entries.get(entry.getKey())).toList();
            return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", changed) + "]}\n";
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                connections.add(socket);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message request = read(in); request != null; request = read(in)) {
                    if (request.startLine.startsWith("POST /v1/outcomes ")) {
                        socket.getOutputStream().write("HTTP/1.1 204 X\r\n\r\n".getBytes());
                        for (String line : new String(request.body, StandardCharsets.UTF_8).split("\n")) {
                            log("platform: notice " + line);
                            Matcher matcher = Pattern.compile("\"message\":\"([^\"]*)\",\"outcome\":\"([^\"]*)\"")
                                .matcher(line);
                            if (matcher.find()) {
                                notices.add(new Seen(micros(), matcher.group(2), matcher.group(1), new byte[0]));
                            }
                        }
                    } else {
                        watch(request, socket.getOutputStream());
                    }
                }
            } catch (IOException | InterruptedException ended) {
                return;
            }
        }

        private void watch(Message request, OutputStream out) throws IOException, InterruptedException {
            Matcher matcher = Pattern.compile("since=(\\d+)").matcher(request.startLine);
            int since = matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
            log("platform: watch since " + since + (down ? ", no answer while discovery is down" : ""));
            while (down) {
                sleep(10);
            }
            out.write("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
            while (true) {
                String line = "\n";
                synchronized (this) {
                    long until = System.nanoTime() + 2_000_000_000L;
                    while (version <= since && System.nanoTime() < until) {
                        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    }
                    if (version > since) {
                        line = changesSince(since);
                        since = version;
                    }
                }
                byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
                int piece = bytesPerMilli > 0 ? bytesPerMilli * 10 : bytes.length;
                for (int from = 0; from < bytes.length; from += piece) {
                    int length = Math.min(piece, bytes.length - from);
                    ByteArrayOutputStream chunk = new ByteArrayOutputStream();
                    chunk.write((Integer.toHexString(length) + "\r\n").getBytes());
                    chunk.write(bytes, from, length);
                    chunk.write("\r\n".getBytes());
                    out.write(chunk.toByteArray());
                    out.flush();
                    if (from + length < bytes.length) {
                        sleep(10);
                    }
                }
                if (bytes.length > 1) {
                    log("platform: list of version " + since + " written");
                }
            }
        }

        /** Accepts no new connection any more and closes the open ones. */
        void leave() throws IOException {
            server.close();
            for (Socket each : connections) {
                each.close();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- The relay

    final class Relay implements AutoCloseable {
        final int port = freePort();
        final Path state = temporary.resolve("state-" + port);
        private final Path config = temporary.resolve("config-" + port + ".json");
        private final int platformPort;
        private final String configStart;
        private final String configEnd;
        private final List<String> environment = new ArrayList<>();
        Process process;

        /** A relay that is not started yet. {@code settings} and {@code limits} are members of JSON objects. */
        Relay(Platform platform, String limits, String settings) throws IOException {
            platformPort = platform.port;
            Files.createDirectories(state);
            configStart = "{\"name\":\"n1\",\"listen\":\"" + HOST + ":" + port + "\",\"discovery\":\"" + HOST + ":";
            configEnd = "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{" + limits + "},\"known\":"
                + platform.changesSince(0).replace("\"full\":false", "\"full\":true").strip() + ",\"settings\":{"
                + settings + "}}";
            Files.writeString(config, configStart + platformPort + configEnd);
            opened.add(this);
        }

        /** Starts the program with the command of the deploy file. */
        void launch() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("the deploy file has no command to run");
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve("log-" + port).toFile()));
            builder.environment().putAll(Map.of("NODE_NAME", "n1", "NODE_LISTEN", HOST + ":" + port,
                "NODE_DISCOVERY", HOST + ":" + platformPort, "NODE_STATE", state.toString(), "NODE_CONFIG",
                config.toString(), "TMPDIR", temporary.toString()));
            process = builder.start();
            log("relay: started");
        }

        /** Starts the program and waits until it is ready. */
        void start() throws IOException {
            launch();
            for (int i = 0; i < 300 && process.isAlive(); i++) {
                if (readyStatus() == 200) {
                    log("relay: ready");
                    return;
                }
                sleep(50);
            }
            log("relay: never ready");
            end(2);
        }

        int readyStatus() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(HOST, port), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes());
                Message answer = read(new BufferedInputStream(socket.getInputStream()));
                return answer == null ? 0 : answer.status();
            } catch (IOException exception) {
                return 0;
            }
        }

        /** Sends a signal to the process: KILL, TERM, STOP, CONT or HUP. */
        void signal(String name) throws Exception {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
            log("relay: signal " + name);
        }

        /** Replaces the configuration file by one that names another address of discovery, and sends SIGHUP. */
        void moveTo(Platform other) throws Exception {
            Path next = temporary.resolve("config-next.json");
            Files.writeString(next, configStart + other.port + configEnd);
            Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            signal("HUP");
        }

        void kill() throws Exception {
            signal("KILL");
            process.waitFor(5, TimeUnit.SECONDS);
        }

        void copyLogTo(Path target) throws IOException {
            Files.writeString(target, Files.readString(temporary.resolve("log-" + port)));
        }

        @Override
        public void close() {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    /** Settings like those of a small deployment; further members may follow. */
    static String settings(String classes, String kinds, String bundles, String more) {
        return "\"balancers\":1,\"ordinal\":0,\"discovery\":\"pushed\",\"weights\":\"nominal\",\"zones\":[\"caba-1\"],"
            + "\"locality\":\"caba-1\",\"kinds\":[" + kinds + "],\"family_info\":{\"max_calls\":14,\"bundle_max\":["
            + bundles + "],\"late\":\"by_half\"},\"limits\":{\"max_open\":272,\"try_limit\":8,\"cancel\":true,"
            + "\"retry_after\":true,\"max_retry_after_ms\":3000.0,\"connect_timeout_ms\":1000.0,"
            + "\"conn_idle_ms\":10000.0,\"may_duplicate\":false},\"rules\":{\"cold_from\":0.18,\"cold_ms\":9400.0,"
            + "\"fall_multiple\":2.0,\"fall_ms\":2000.0,\"answer_slack_ms\":20.0,\"stop_sending_within_ms\":250.0},"
            + "\"request_classes\":[" + classes + "],\"tenants\":[{\"name\":\"acme\",\"quota_per_s\":22.0,"
            + "\"portion\":1.0}]" + more;
    }

    static String messageClass(String name, String repeat, long onTimeMillis, long giveUpMillis, String more) {
        return "{\"name\":\"" + name + "\",\"repeat\":\"" + repeat + "\",\"group\":\"all\",\"worth\":1.0,"
            + "\"late_worth\":0.1,\"dedup_window_ms\":5000.0,\"on_time_ms\":" + onTimeMillis + ",\"give_up_ms\":"
            + giveUpMillis + ",\"stream\":false" + more + "}";
    }
}
