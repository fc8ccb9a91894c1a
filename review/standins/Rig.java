import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What all cases of the review share: the record, a relay in a process of its own, and small stand-ins for
 * clients, endpoints and the platform, with blocking sockets on loopback addresses. Shares no code with the
 * project.
 */
final class Rig {
    /** The body of a case; returns null if the rule held, otherwise how it was broken. */
    interface Case {
        String run(Rig rig) throws Exception;
    }

    /** A step that may fail. */
    interface Step {
        void run() throws Exception;
    }

    static final int RULE_BROKEN = 10;
    static final int NOT_RUN = 12;
    private static final long TIME_LIMIT_MILLIS = 110_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path temporary;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Relay> relays = new CopyOnWriteArrayList<>();

    private Rig(Path caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        temporary = Files.createTempDirectory("yewpath-review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    }

    /** Runs a case, ends all processes that it started, and exits: 0 held, 10 broken, 12 not run. */
    static void main(String[] args, Case body) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Thread watchdog = new Thread(() -> {
            sleep(TIME_LIMIT_MILLIS);
            rig.log("not run: the time limit is over");
            rig.cleanUp();
            Runtime.getRuntime().halt(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(rig::cleanUp));
        int code = NOT_RUN;
        try {
            rig.log("the disruption is %s", rig.trouble ? "on" : "off");
            String broken = body.run(rig);
            rig.log(broken == null ? "RESULT: the rule held" : "RESULT: the rule was broken: " + broken);
            code = broken == null ? 0 : RULE_BROKEN;
        } catch (Throwable e) {
            rig.log("RESULT: the case could not run: %s", e);
        }
        System.exit(code);
    }

    synchronized void log(String format, Object... args) {
        String line = args.length == 0 ? format : String.format(Locale.ROOT, format, args);
        line = String.format(Locale.ROOT, "%9.1f ms  %s", millis(), line);
        record.println(line);
        System.out.println(line);
    }

    /** Returns the time since the start of the case. */
    double millis() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized void cleanUp() {
        relays.forEach(Relay::destroy);
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException | RuntimeException e) {
            // Nothing depends on it.
        }
    }

    /** Starts a daemon thread; what it throws is ignored, since a peer may leave at any time. */
    static Thread background(Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (Exception e) {
                // The peer has left.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByName("127.0.0.1");
    }

    static void check(boolean condition, String otherwise) {
        if (!condition) {
            throw new IllegalStateException(otherwise);
        }
    }

    // ---- HTTP

    /** A message as read from a socket. */
    static final class Http {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        /** Reads a message with Content-Length; returns null at the end of the stream. */
        static Http read(InputStream in) throws IOException {
            Http message = new Http();
            for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
                if (line == null) {
                    return null;
                }
                if (message.startLine == null) {
                    message.startLine = line;
                } else {
                    String[] parts = line.split(":", 2);
                    message.headers.put(parts[0].toLowerCase(Locale.ROOT), parts[1].strip());
                }
            }
            if (message.startLine == null) {
                return null;
            }
            int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
            message.body = in.readNBytes(length);
            return message.body.length < length ? null : message;
        }

        private static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                if (b != '\r') {
                    line.write(b);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }
    }

    // ---- The relay

    /** A relay, started by the command of the deploy file. */
    final class Relay {
        final Path state;
        final Path config;
        final int port;
        private final Map<String, String> environment = new LinkedHashMap<>();
        private volatile Process process;
        private int starts;

        Relay(String name, Platform platform, String configText) throws IOException {
            this(name, platform, configText, freePort());
        }

        private Relay(String name, Platform platform, String configText, int port) throws IOException {
            this.port = port;
            state = Files.createDirectories(temporary.resolve(name + "-state"));
            config = temporary.resolve(name + ".json");
            Files.writeString(config, configText.replace("@LISTEN@", "127.0.0.1:" + port)
                .replace("@DISCOVERY@", platform.address()).replace("@NAME@", name));
            environment.put("NODE_NAME", name);
            environment.put("NODE_LISTEN", "127.0.0.1:" + port);
            environment.put("NODE_DISCOVERY", platform.address());
            environment.put("NODE_STATE", state.toString());
            environment.put("NODE_CONFIG", config.toString());
            relays.add(this);
        }

        /** Starts the process and waits until it is ready. */
        void start() throws Exception {
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow()
                .replaceFirst("run = \"(.*)\".*", "$1");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
            builder.environment().putAll(environment);
            File output = temporary.resolve("relay-" + environment.get("NODE_NAME") + "-" + starts++ + ".log")
                .toFile();
            process = builder.redirectErrorStream(true).redirectOutput(output).start();
            log("relay %s: started", environment.get("NODE_NAME"));
            for (double until = millis() + 30_000; millis() < until; sleep(10)) {
                check(process.isAlive(), "the relay ended: " + Files.readString(output.toPath()));
                if (isReady()) {
                    log("relay %s: ready", environment.get("NODE_NAME"));
                    return;
                }
            }
            throw new IllegalStateException("the relay is not ready within 30 s");
        }

        boolean isReady() {
            try (Socket socket = new Socket(loopback(), port)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
                Http answer = Http.read(socket.getInputStream());
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String name) throws Exception {
            log("relay %s: SIG%s", environment.get("NODE_NAME"), name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }

        /** Kills the process and waits for its end. */
        void kill() throws Exception {
            signal("KILL");
            process.waitFor(10, TimeUnit.SECONDS);
        }

        void destroy() {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    // ---- The platform

    /** One endpoint in the list of discovery. */
    static final class Listed {
        final String id;
        final String address;
        final int cell;
        final String kind;
        volatile String state = "up";
        volatile double weight = 20;

        Listed(String id, String address, int cell, String kind) {
            this.id = id;
            this.address = address;
            this.cell = cell;
            this.kind = kind;
        }

        String json() {
            return String.format(Locale.ROOT,
                "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"here\",\"kind\":\"%s\",\"cell\":%d,\"state\":\"%s\","
                    + "\"weight\":%.1f,\"started_ms\":0}",
                id, address, kind, cell, state, weight);
        }
    }

    /** Discovery's agent and the receiver of notices, at one address. */
    final class Platform {
        final List<Listed> servers = new CopyOnWriteArrayList<>();
        /** The outcome that was reported first for each message, with its time. */
        final Map<String, String> outcomes = new ConcurrentHashMap<>();
        final Map<String, Double> outcomeMillis = new ConcurrentHashMap<>();
        /** While discovery is down, the agent accepts connections and says nothing; notices are answered. */
        volatile boolean silent;
        /** Requests made while discovery was down that the relay has given up. */
        volatile int requestsGivenUp;
        private final ServerSocket listener = new ServerSocket(0, 512, loopback());
        private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
        private volatile int version = 1;

        Platform() throws IOException {
            background(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    background(() -> serve(socket));
                }
            });
            background(() -> {
                while (true) {
                    sleep(2000);
                    if (!silent) {
                        watches.forEach(watch -> writeChunk(watch, "\n"));
                    }
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Discovery's whole list as JSON, as the configuration names it. */
        String list() {
            return "{\"version\":" + version + ",\"full\":true,\"servers\":["
                + String.join(",", servers.stream().map(Listed::json).toList()) + "]}";
        }

        /** Changes the state of a server in the list, and tells it to all watches. */
        void change(Listed server, String state) {
            server.state = state;
            version++;
            log("discovery: %s is %s (version %d)%s", server.id, state, version,
                watches.isEmpty() ? ", no watch is open" : "");
            String delta = "{\"version\":" + version + ",\"full\":false,\"servers\":[" + server.json() + "]}\n";
            if (!silent) {
                watches.forEach(watch -> writeChunk(watch, delta));
            }
        }

        private void writeChunk(OutputStream out, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            try {
                synchronized (out) {
                    out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                watches.remove(out);
            }
        }

        /** Waits for the socket's timeout; returns whether the peer has closed the connection. */
        private static boolean hasEnded(InputStream in) throws IOException {
            try {
                return in.read() < 0;
            } catch (SocketTimeoutException e) {
                return false;
            }
        }

        /** Discovery is up again: open requests are answered, and open watches get the list. */
        void resume() {
            silent = false;
            log("discovery: up again");
            watches.forEach(watch -> writeChunk(watch, list() + "\n"));
        }

        private void serve(Socket socket) throws IOException {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                if (request.startLine.startsWith("POST /v1/outcomes ")) {
                    for (String line : new String(request.body, StandardCharsets.UTF_8).split("\n")) {
                        log("notice: %s", line);
                        String id = line.replaceFirst(".*\"message\":\"([^\"]*)\".*", "$1");
                        outcomeMillis.putIfAbsent(id, millis());
                        outcomes.putIfAbsent(id, line.replaceFirst(".*\"outcome\":\"([^\"]*)\".*", "$1"));
                    }
                    out.write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                if (silent) {
                    log("discovery: asked while it is down (%s)", request.startLine);
                }
                socket.setSoTimeout(2);
                while (silent) {
                    if (hasEnded(in)) {
                        log("discovery: the relay has given up that request");
                        requestsGivenUp++;
                        socket.close();
                        return;
                    }
                }
                socket.setSoTimeout(0);
                if (request.startLine.contains("follow=1")) {
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1));
                    writeChunk(out, list() + "\n");
                    watches.add(out);
                } else {
                    String list = list();
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.ISO_8859_1));
                }
            }
            watches.remove(out);
            socket.close();
        }
    }

    // ---- Endpoints

    /** One call as an endpoint received it. */
    final class Call {
        final Endpoint endpoint;
        final String id;
        final byte[] body;
        final String target;
        final Http request;
        final double atMillis = millis();
        final Socket socket;

        Call(Endpoint endpoint, Http request, Socket socket) {
            this.endpoint = endpoint;
            this.request = request;
            this.socket = socket;
            id = request.header("Request-Id");
            body = request.body;
            target = request.startLine.split(" ")[1];
        }

        /** Answers; the extra headers end in CR LF each. */
        void answer(int status, String extraHeaders, String text) throws IOException {
            log("endpoint %s: answers %s with %d %s", endpoint.name, id == null ? "a batch" : id, status,
                extraHeaders.strip());
            socket.getOutputStream().write(("HTTP/1.1 " + status + " X\r\nContent-Length: " + text.length()
                + "\r\n" + extraHeaders + "\r\n" + text).getBytes(StandardCharsets.ISO_8859_1));
        }

        void reset() throws IOException {
            log("endpoint %s: resets the connection of %s", endpoint.name, id == null ? "a batch" : id);
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Decides what an endpoint does with a call; runs on the thread of its connection. */
    interface Service {
        void serve(Call call) throws Exception;
    }

    /** An endpoint that records each call that has arrived completely. */
    final class Endpoint {
        final String name;
        final List<Call> calls = new CopyOnWriteArrayList<>();
        private final ServerSocket listener = new ServerSocket(0, 512, loopback());
        volatile Service service;

        Endpoint(String name, Service service) throws IOException {
            this.name = name;
            this.service = service;
            background(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    background(() -> serveConnection(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void serveConnection(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                Call call = new Call(this, request, socket);
                calls.add(call);
                log("endpoint %s: call %s %s", name, call.target, call.id == null ? "" : call.id);
                service.serve(call);
            }
            socket.close();
        }
    }

    // ---- Clients

    /** The bytes of a client's request that hands in a message. */
    static byte[] submission(String messageClass, String id, int destination, long timeoutMillis,
        String body, String extraHeaders) {
        return ("POST /" + messageClass + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id
            + "\r\nTenant: acme\r\nRequest-Timeout: " + timeoutMillis + "m\r\nX-Addressing: dest="
            + destination + "\r\n" + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Hands in one message on a new connection; returns the status, or 0 after 400 ms without an answer. */
    int submit(Relay relay, String messageClass, String id, int destination, long timeoutMillis)
        throws IOException {
        return submit(relay, messageClass, id, destination, timeoutMillis, "body of " + id, "");
    }

    int submit(Relay relay, String messageClass, String id, int destination, long timeoutMillis, String body,
        String extraHeaders) throws IOException {
        try (Socket socket = new Socket(loopback(), relay.port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(400);
            socket.getOutputStream().write(
                submission(messageClass, id, destination, timeoutMillis, body, extraHeaders));
            Http answer = Http.read(socket.getInputStream());
            int status = answer == null ? 0 : answer.status();
            log("client: %s (%s, destination %d, %d ms): %d", id, messageClass, destination, timeoutMillis,
                status);
            return status;
        } catch (SocketTimeoutException e) {
            log("client: %s: no answer within 400 ms", id);
            return 0;
        }
    }

    /** A list that can be appended by several threads. */
    static <T> List<T> sharedList() {
        return java.util.Collections.synchronizedList(new ArrayList<>());
    }
}
