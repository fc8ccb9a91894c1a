package yewpath;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** A relay in a process of its own, among stand-ins for clients, endpoints and the platform. */
final class RelayFixture implements AutoCloseable {
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    /** The relay's own address: no stand-in can be given a port that a relay is to come back to. */
    static final String RELAY_ADDRESS = "127.0.0.2";
    private static final AtomicInteger ANSWERS = new AtomicInteger();
    /** Answers of a stand-in that are not bytes. */
    static final String NO_RESPONSE = "silence", CLOSE_CONNECTION = "cut";

    /** Tests with a stand of their own each. */
    abstract static class RelayTest {
        RelayFixture fixture;

        @BeforeMethod
        public void build() throws Exception {
            fixture = new RelayFixture();
        }

        @AfterMethod(alwaysRun = true)
        public void stop() throws Exception {
            fixture.close();
        }
    }

    /** One request as a stand-in read it; {@code open} turns false once the relay has closed the connection. */
    static final class ReceivedRequest {
        final String requestLine;
        final Map<String, String> headers;
        final String body;
        final int connectionNumber;
        final long receivedAtNanos = System.nanoTime();
        volatile boolean open = true;

        ReceivedRequest(String line, Map<String, String> headers, String body, int connection) {
            this.requestLine = line;
            this.headers = headers;
            this.body = body;
            this.connectionNumber = connection;
        }

        String id() {
            return headers.get("request-id");
        }
    }

    /** A success whose body no other answer has, so that its connection can be kept. */
    static String uniqueOk() {
        String body = "answer " + ANSWERS.incrementAndGet();
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A server that answers each request by a function of it, and keeps what it got. */
    static final class StubServer implements AutoCloseable {
        final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
        final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger connections = new AtomicInteger();
        volatile Function<ReceivedRequest, String> responder;
        private final ServerSocket listener;

        StubServer(Function<ReceivedRequest, String> responder) throws IOException {
            this(responder, 0);
        }

        StubServer(Function<ReceivedRequest, String> responder, int port) throws IOException {
            this.responder = responder;
            listener = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
            thread(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    int number = connections.incrementAndGet();
                    thread(() -> serve(socket, number));
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void serve(Socket socket, int number) throws IOException {
            try (socket) {
                InputStream in = socket.getInputStream();
                while (true) {
                    ReceivedRequest request = readRequest(in, number);
                    if (request == null) {
                        return;
                    }
                    requests.add(request);
                    String bytes = responder.apply(request);
                    if (bytes.equals(CLOSE_CONNECTION)) {
                        return;
                    }
                    if (bytes.equals(NO_RESPONSE)) {
                        int more = in.read();
                        request.open = more >= 0;
                        return;
                    }
                    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getOutputStream().flush();
                }
            }
        }

        List<ReceivedRequest> postRequests() {
            return requests.stream().filter(g -> g.requestLine.startsWith("POST")).toList();
        }

        void closeConnections() throws IOException {
            for (Socket socket : List.copyOf(sockets)) {
                socket.close();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            closeConnections();
        }
    }

    /** Connects until the listener's queue is full and further connections stay silent. */
    static List<Socket> fillBacklog(ServerSocket listener) throws IOException {
        List<Socket> filling = new ArrayList<>();
        for (boolean room = true; room;) {
            Socket socket = new Socket();
            filling.add(socket);
            try {
                socket.connect(listener.getLocalSocketAddress(), 200);
            } catch (SocketTimeoutException full) {
                room = false;
            }
        }
        return filling;
    }

    /** A server that never accepts: its queue is full, and further connections stay silent. */
    static final class UnresponsiveServer implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> filling;

        UnresponsiveServer() throws IOException {
            filling = fillBacklog(listener);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : filling) {
                socket.close();
            }
            listener.close();
        }
    }

    /** What a client got back. */
    record Response(int status, Map<String, String> headers, String body) {}

    final Path directory;
    volatile StubServer discovery;
    /**
     * The watches that are open, and every line told so far, which guards both: one that is being opened gets what was told
     * since it was asked for, as from a platform that knows versions. A line told in between used to reach nobody.
     */
    private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
    private final List<String> told = new ArrayList<>();
    final List<String> watchRequests = new CopyOnWriteArrayList<>();
    final List<String> notices = new CopyOnWriteArrayList<>();
    /** Answers notices in place of {@code noticeStatus}; null for none. */
    volatile Function<ReceivedRequest, String> noticeResponder;
    /** 0 leaves notices without an answer. */
    volatile int noticeStatus = 204;
    /** What a watch starts with, and how many milliseconds after its head; below 0 it never answers. */
    volatile String initialWatchData = "";
    volatile int watchDelayMillis;
    /** The rest of what a watch starts with, and what is waited for before it. */
    volatile String remainingWatchData = "";
    volatile Runnable beforeRemainingWatchData = () -> {};
    /** Whether a watch brings empty lines where nothing changes. */
    volatile boolean watchKeepAlive = true;
    private final Map<String, StubServer> endpoints = new LinkedHashMap<>();
    private final Map<String, String> entries = new LinkedHashMap<>();
    String extraLimits = "";
    /** Set for the relay beside its configuration. */
    final Map<String, String> environment = new LinkedHashMap<>();
    String extraSettings = "";
    /** The operator's file; none where empty. */
    String operatorConfig = "";
    /** What the system lets the relay have; 0 for whatever it lets this process have. */
    int maxFileDescriptors;
    String discoveryMode = "pushed";
    int maxOpenMessages = 50;
    /** For how long a repeat of a tagged envelope is known, and how long a connection may take to come up. */
    int deduplicationMillis = 6_000;
    int connectTimeoutMillis = 1_000;
    /** Names in the configuration, and what stands there in their place. */
    final Map<String, String> renamedConfigNames = new LinkedHashMap<>();
    /** As many of them as the settings tell of. */
    int relayCount = 1;
    /** For the virtual machine of the relay. */
    List<String> jvmFlags = List.of();
    /** Whether the relay writes its log into a pipe that nobody empties. */
    boolean leaveOutputUnread;
    String endpointWeight = "50.0";
    int port;
    int listVersion = 1;
    Process process;

    RelayFixture() throws IOException {
        directory = Files.createTempDirectory("yewpath");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(RELAY_ADDRESS))) {
            port = free.getLocalPort();
        }
        discovery = new StubServer(this::platform);
        thread(() -> {
            while (!discovery.listener.isClosed()) {
                LockSupport.parkNanos(1_000_000_000);
                if (watchKeepAlive) {
                    publish("");
                }
            }
        });
    }

    private String platform(ReceivedRequest got) {
        if (got.requestLine.startsWith("POST /v1/outcomes")) {
            if (noticeResponder != null) {
                return noticeResponder.apply(got);
            }
            if (noticeStatus == 204) {
                notices.addAll(got.body.lines().toList());
            }
            return noticeStatus == 0 ? NO_RESPONSE
                : "HTTP/1.1 " + noticeStatus + " X\r\nContent-Length: 0\r\n\r\n";
        }
        int before;
        synchronized (told) {
            before = told.size();
            watchRequests.add(got.requestLine);
        }
        if (watchDelayMillis < 0) {
            return NO_RESPONSE;
        }
        try {
            OutputStream out = discovery.sockets.get(got.connectionNumber - 1).getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            pause(watchDelayMillis);
            synchronized (told) {
                if (!remainingWatchData.isEmpty()) {
                    chunk(out, initialWatchData);
                    beforeRemainingWatchData.run();
                }
                chunk(out, (remainingWatchData.isEmpty() ? initialWatchData : remainingWatchData) + "\n");
                for (String line : told.subList(before, told.size())) {
                    chunk(out, line + "\n");
                }
                watches.add(out);
            }
        } catch (IOException e) {
            return CLOSE_CONNECTION;
        }
        return NO_RESPONSE;
    }

    /** Discovery answers at another address from now on; the one before stays open. */
    StubServer replaceDiscovery() throws IOException {
        watches.clear();
        discovery = new StubServer(this::platform);
        return discovery;
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(
            (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** A line to every open watch, as it stands. */
    void publish(String line) {
        synchronized (told) {
            told.add(line);
            publishPart(line + "\n");
        }
    }

    /** Some bytes to every open watch that need not be a line. */
    void publishPart(String text) {
        for (OutputStream watch : watches) {
            try {
                chunk(watch, text);
            } catch (IOException e) {
                watches.remove(watch);
            }
        }
    }

    void publish(boolean full, String... entry) {
        publish(
            "{\"version\":" + ++listVersion + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entry)
                + "]}");
    }

    String listEntry(String name, String address, int destination, String kind, String state) {
        return "{\"id\":\"" + name + "\",\"addr\":\"" + address + "\",\"zone\":\"z\",\"kind\":\"" + kind
            + "\",\"cell\":"
            + destination + ",\"state\":\"" + state + "\",\"weight\":" + endpointWeight
            + ",\"started_ms\":0}";
    }

    /** An endpoint listed from the start. */
    StubServer addEndpoint(String name, int destination, String kind,
        Function<ReceivedRequest, String> responder)
        throws IOException {
        StubServer server = new StubServer(responder);
        endpoints.put(name, server);
        entries.put(name, listEntry(name, server.address(), destination, kind, "up"));
        return server;
    }

    StubServer addEndpoint(int destination, Function<ReceivedRequest, String> responder) throws IOException {
        return addEndpoint("e" + destination, destination, "plain", responder);
    }

    void listEndpoint(String name, String address, int destination) {
        entries.put(name, listEntry(name, address, destination, "plain", "up"));
    }

    /** A destination that is listed, where nothing may be sent. */
    void listDrainingEndpoint(int destination) {
        entries.put("c" + destination,
            listEntry("c" + destination, "127.0.0.1:1", destination, "plain", "draining"));
    }

    String config() {
        String config = usualConfig();
        for (Map.Entry<String, String> name : renamedConfigNames.entrySet()) {
            config = config.replace('"' + name.getKey() + '"', '"' + name.getValue() + '"');
        }
        return config;
    }

    private String usualConfig() {
        return "{\"name\":\"n0\",\"listen\":\"" + RELAY_ADDRESS + ":" + port + "\",\"discovery\":\""
            + discovery.address()
            + "\",\"state\":\"" + directory.resolve("state")
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
            + "\"memory_mb\":192" + (extraLimits.contains("sockets") ? "" : ",\"sockets\":1024")
            + (extraLimits.contains("disk_mb") ? "" : ",\"disk_mb\":3") + extraLimits + "},"
            + "\"known\":{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries.values())
            + "]},"
            + "\"settings\":{\"balancers\":" + relayCount + ",\"ordinal\":0,\"discovery\":\"" + discoveryMode
            + "\",\"weights\":\"nominal\",\"zones\":[\"z\"],"
            + "\"kinds\":[\"plain\",\"bundled\"],\"family_info\":{\"max_calls\":8,\"bundle_max\":[1,20],"
            + "\"routes_apart\":[false,false],\"late\":\"by_half\"},\"limits\":{\"cancel\":true,\"retry_after\":true,"
            + "\"max_open\":" + maxOpenMessages + ",\"try_limit\":8,\"connect_timeout_ms\":"
            + connectTimeoutMillis
            + ".0,\"conn_idle_ms\":2000.0},\"rules\":{"
            + "\"cold_from\":0.2,\"cold_ms\":2000.0,\"fall_ms\":1000.0,\"fall_multiple\":2.0,\"settle_after_doubt_ms\":400.0},"
            + extraSettings
            + "\"request_classes\":[{\"name\":\"status\",\"repeat\":\"pure\",\"worth\":1.0,\"late_worth\":0.1,"
            + "\"on_time_ms\":1000.0,\"give_up_ms\":8000.0},{\"name\":\"order\",\"repeat\":\"side_effect\",\"worth\":1.0,"
            + "\"late_worth\":0.4,\"on_time_ms\":3000.0,\"give_up_ms\":20000.0},{\"name\":\"serial\",\"repeat\":\"token\","
            + "\"group\":\"all\",\"dedup_window_ms\":" + deduplicationMillis
            + ".0,\"fifo_by_key\":true,\"worth\":1.0,\"late_worth\":0.4,"
            + "\"on_time_ms\":3000.0,\"give_up_ms\":20000.0}],"
            + "\"tenants\":[{\"name\":\"acme\",\"quota_per_s\":10.0,\"portion\":1.0}]}}";
    }

    static ProcessBuilder yewpathCommand(String... args) {
        List<String> command = new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp",
                System.getProperty("surefire.test.class.path",
                    System.getProperty("java.class.path")),
                "yewpath.command.Main"));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        return builder;
    }

    void start() throws Exception {
        startProcess();
        waitUntil("the relay is ready", 10_000, this::isReady);
        waitUntil("it follows the list", 5_000, () -> watchDelayMillis < 0 || !watches.isEmpty());
    }

    boolean isReady() {
        try {
            return exchange("GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n").status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts the process and leaves it to itself. */
    void startProcess() throws Exception {
        watches.clear();
        Path config = directory.resolve("config.json");
        Files.writeString(config, config());
        ProcessBuilder builder = yewpathCommand("serve", "--config", config.toString());
        if (!operatorConfig.isEmpty()) {
            builder.command()
                .addAll(List.of("--operator", Files.writeString(operatorFile(), operatorConfig).toString()));
        }
        builder.command().addAll(1, jvmFlags);
        builder.environment().putAll(environment);
        if (maxFileDescriptors > 0) {
            builder.command().addAll(0,
                List.of("sh", "-c", "ulimit -n " + maxFileDescriptors + "; exec \"$@\"", "sh"));
        }
        process = leaveOutputUnread ? builder.start()
            : builder.redirectOutput(directory.resolve("log").toFile()).start();
    }

    /** Has the running relay read a configuration of these words. */
    void reload(String config) throws Exception {
        Files.writeString(directory.resolve("config.json"), config);
        signal("HUP");
    }

    Path operatorFile() {
        return directory.resolve("yewpath.toml");
    }

    /** What the relay has written so far. */
    List<String> logLines() throws IOException {
        return Files.readAllLines(directory.resolve("log"));
    }

    boolean hasLogged(String event) throws IOException {
        return logLines().stream().anyMatch(line -> line.contains(event));
    }

    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(RELAY_ADDRESS, port);
        socket.setSoTimeout(5_000);
        return socket;
    }

    Response exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            return exchange(socket, request);
        }
    }

    static Response exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return readResponse(socket);
    }

    static Response readResponse(Socket socket) throws IOException {
        ReceivedRequest got = readRequest(socket.getInputStream(), 0);
        if (got == null) {
            throw new IOException("closed without an answer");
        }
        return new Response(Integer.parseInt(got.requestLine.split(" ")[1]), got.headers, got.body);
    }

    static String messageRequest(String id, String offering, int destination, int withinMs, String body) {
        return "POST /" + offering + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id
            + "\r\nTenant: acme\r\n"
            + "Request-Timeout: " + withinMs + "m\r\nX-Addressing: dest=" + destination
            + "\r\nContent-Length: "
            + body.length() + "\r\n\r\n" + body;
    }

    int submit(String id, String offering, int destination, int withinMs) throws IOException {
        return exchange(messageRequest(id, offering, destination, withinMs, "body of " + id)).status;
    }

    /** A figure that the relay gives of itself. */
    long statistic(String name) {
        try {
            return Long.parseLong(exchange("GET /stats HTTP/1.1\r\n\r\n").body
                .replaceAll("(?s).*\"" + name + "\":([0-9]+).*", "$1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void pause(long millis) {
        // Parking may end at once: a permit can be left over from whatever this thread waited for before.
        long end = System.nanoTime() + millis * 1_000_000;
        for (long left = end - System.nanoTime(); left > 0; left = end - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    boolean hasOutcomeNotice(String id, String how) {
        return notices.stream().anyMatch(n -> n.contains('"' + id + '"') && n.contains(how));
    }

    /** Whether the other side closes this connection within the time. */
    static boolean isClosedWithin(Socket socket, int withinMs) throws IOException {
        socket.setSoTimeout(withinMs);
        try {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException reset) {
            return true;
        }
    }

    static void waitUntil(String what, long withinMs, Condition met) throws Exception {
        long end = System.nanoTime() + withinMs * 1_000_000;
        while (!met.isMet()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within " + withinMs + " ms: " + what);
            }
            Thread.sleep(5);
        }
    }

    static ReceivedRequest readRequest(InputStream in, int connection) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            String[] parts = lines[i].split(":", 2);
            headers.put(parts[0].toLowerCase(), parts[1].strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new ReceivedRequest(lines[0], headers, new String(body, StandardCharsets.ISO_8859_1),
            connection);
    }

    interface IoTask {
        void run() throws IOException;
    }

    interface Condition {
        boolean isMet() throws Exception;
    }

    private static void thread(IoTask work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | UncheckedIOException over) {
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
        discovery.close();
        for (StubServer endpoint : endpoints.values()) {
            endpoint.close();
        }
    }
}
