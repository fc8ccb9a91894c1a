package yewpath;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import yewpath.standins.process.LoopbackAddresses;

/**
 * Runs a relay in its own process against stubs of the endpoints and of the platform, which serves discovery
 * and accepts outcome notices. Set the fields, add endpoints, then call {@link #start}. The relay's state,
 * configuration and log are in a temporary directory. {@link #close} kills the relay and closes the stubs.
 */
final class RelayFixture implements AutoCloseable {
    /** A success with an empty body; all such responses are alike, see {@link #uniqueOk}. */
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String MAX_HEAP_FLAG = "-Xmx64m";
    private static final AtomicInteger RESPONSE_COUNT = new AtomicInteger();
    /** A responder returns this to send nothing and leave the connection open until the relay closes it. */
    static final String NO_RESPONSE = "silence";
    /** A responder returns this to close the connection without a response. */
    static final String CLOSE_CONNECTION = "cut";

    /** Base class of tests that each get a new fixture. */
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

    /**
     * One request as a stub read it. Header names are in lower case. {@code connectionNumber} counts the
     * stub's connections from 1. {@code open} becomes false once the relay has closed the connection of a
     * request that got {@link #NO_RESPONSE}.
     */
    static final class ReceivedRequest {
        final String requestLine;
        final Map<String, String> headers;
        final String body;
        final int connectionNumber;
        final long receivedAtNanos = System.nanoTime();
        /** The connection that a stub read the request from. */
        Socket connection;
        volatile boolean open = true;

        ReceivedRequest(String line, Map<String, String> headers, String body, int connection) {
            this.requestLine = line;
            this.headers = headers;
            this.body = body;
            this.connectionNumber = connection;
        }

        /** Returns the id of the message; null if the request has none, such as a batch. */
        String id() {
            return headers.get("request-id");
        }
    }

    /**
     * Returns a success whose body differs from that of every other response, so that its connection can be
     * reused.
     */
    static String uniqueOk() {
        String body = "answer " + RESPONSE_COUNT.incrementAndGet();
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a responder that waits for the latch before each response. */
    static Function<ReceivedRequest, String> respondAfter(CountDownLatch latch,
        Function<ReceivedRequest, String> response) {
        return request -> {
            try {
                latch.await();
            } catch (InterruptedException exception) {
                return CLOSE_CONNECTION;
            }
            return response.apply(request);
        };
    }

    /** Threads are used again: beside load, each new one delays the thread that starts it. */
    private static final ExecutorService BACKGROUND_THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** An HTTP server that computes each response from the request and records the requests it read. */
    static final class StubServer implements AutoCloseable {
        final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
        final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger connections = new AtomicInteger();
        volatile Function<ReceivedRequest, String> responder;
        private final ServerSocket listener;
        private final CountDownLatch acceptingEnded = new CountDownLatch(1);

        StubServer(Function<ReceivedRequest, String> responder) throws IOException {
            this(responder, 0);
        }

        StubServer(Function<ReceivedRequest, String> responder, int port) throws IOException {
            this.responder = responder;
            listener = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
            runInBackground(this::acceptUntilClosed);
        }

        private void acceptUntilClosed() throws IOException {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    int number = connections.incrementAndGet();
                    runInBackground(() -> serve(socket, number));
                }
            } finally {
                acceptingEnded.countDown();
            }
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
                    request.connection = socket;
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
            return requests.stream().filter(request -> request.requestLine.startsWith("POST")).toList();
        }

        void closeConnections() throws IOException {
            for (Socket socket : List.copyOf(sockets)) {
                socket.close();
            }
        }

        /** Closes the server; its port is free after that, which it is not while a thread accepts. */
        @Override
        public void close() throws IOException {
            listener.close();
            closeConnections();
            try {
                acceptingEnded.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /**
     * Connects until the backlog of {@code listener} is full, so that further connection attempts get no
     * reply.
     */
    static List<Socket> fillBacklog(ServerSocket listener) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (boolean hasRoom = true; hasRoom;) {
            Socket socket = new Socket();
            sockets.add(socket);
            try {
                socket.connect(listener.getLocalSocketAddress(), 200);
            } catch (SocketTimeoutException backlogFull) {
                hasRoom = false;
            }
        }
        return sockets;
    }

    /** Records the id of each request to a listener until the listener is closed, and answers it. */
    static void recordIds(ServerSocket listener, List<String> ids) {
        Thread thread = new Thread(() -> {
            while (!listener.isClosed()) {
                try (Socket connection = listener.accept()) {
                    ReceivedRequest request = readRequest(connection.getInputStream(), 1);
                    if (request != null) {
                        ids.add(request.id());
                        connection.getOutputStream().write(uniqueOk().getBytes());
                    }
                } catch (IOException closed) {
                    continue;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A server that never accepts. Its backlog is full, so connection attempts to it get no reply. */
    static final class UnresponsiveServer implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> backlog;

        UnresponsiveServer() throws IOException {
            backlog = fillBacklog(listener);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : backlog) {
                socket.close();
            }
            listener.close();
        }
    }

    /** A response of the relay to a client; header names are in lower case. */
    record Response(int status, Map<String, String> headers, String body) {}

    final Path directory;
    volatile StubServer discovery;
    /**
     * The open watches of discovery. {@code publishedLines} holds every line published so far and is the lock
     * for both. A watch that is being opened gets the lines published since it was requested, as from a
     * platform that keeps versions; otherwise a line published while a watch is being opened would reach
     * nobody.
     */
    private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
    private final List<String> publishedLines = new ArrayList<>();
    /** The request line of each watch that was requested. */
    final List<String> watchRequests = new CopyOnWriteArrayList<>();
    /** The outcome notices that were answered with 204, one JSON object each. */
    final List<String> notices = new CopyOnWriteArrayList<>();
    /**
     * Computes the responses to notices in place of {@code noticeStatus} if not null; its notices are not
     * recorded.
     */
    volatile Function<ReceivedRequest, String> noticeResponder;
    /** The status of the responses to notices; 0 sends no response. */
    volatile int noticeStatus = 204;
    /** What a watch sends first. */
    volatile String initialWatchData = "";
    /**
     * The delay between the response head of a watch and its first data; if negative, watches get no
     * response.
     */
    volatile int watchDelayMillis;
    /**
     * If not empty, what a watch sends after {@code initialWatchData}, once {@code beforeRemainingWatchData}
     * has run.
     */
    volatile String remainingWatchData = "";
    volatile Runnable beforeRemainingWatchData = () -> {};
    /** Whether open watches get an empty line every second. */
    volatile boolean watchKeepAlive = true;
    private final Map<String, StubServer> endpoints = new LinkedHashMap<>();
    private final Map<String, String> entries = new LinkedHashMap<>();
    /** Added to the object {@code limits} of the configuration; starts with a comma. */
    String extraLimits = "";
    /** Additional environment variables of the relay. */
    final Map<String, String> environment = new LinkedHashMap<>();
    /** Added to the object {@code settings} of the configuration; ends with a comma. */
    String extraSettings = "";
    /** The text of the operator's file; empty for no such file. */
    String operatorConfig = "";
    /** The limit of open file descriptors of the relay; 0 for that of this process. */
    int maxFileDescriptors;
    /** The setting {@code discovery}: {@code pushed} or {@code on_request}. */
    String discoveryMode = "pushed";
    int maxOpenMessages = 50;
    /** How long endpoints recognize a repeat of a deduplicated message. */
    int deduplicationMillis = 6_000;
    int connectTimeoutMillis = 1_000;
    /** How long an ordered key pauses after an attempt whose outcome is unknown. */
    int settleMillis = 400;
    /** Names in the configuration and their replacements. */
    final Map<String, String> renamedConfigNames = new LinkedHashMap<>();
    /** The number of relays that the settings report. */
    int relayCount = 1;
    /** The maximum heap size of the relay, as an option of its Java virtual machine. */
    String maxHeapFlag = MAX_HEAP_FLAG;
    /** Additional options of the relay's Java virtual machine. */
    List<String> jvmFlags = List.of();
    /** Whether the relay writes its log into a pipe that nobody reads. */
    boolean leaveOutputUnread;
    /** The weight of listed endpoints: the advertised limit in calls per second. */
    String endpointWeight = "50.0";
    /** The address on which the relay listens; no other server uses its host. */
    final InetSocketAddress relayAddress;
    /** The version of the endpoint list published last. */
    int listVersion = 1;
    Process process;

    RelayFixture() throws IOException {
        directory = Files.createTempDirectory("yewpath");
        relayAddress = LoopbackAddresses.next();
        discovery = new StubServer(this::platform);
        runInBackground(() -> {
            while (!discovery.listener.isClosed()) {
                LockSupport.parkNanos(1_000_000_000);
                if (watchKeepAlive) {
                    publish("");
                }
            }
        });
    }

    private String platform(ReceivedRequest request) {
        if (request.requestLine.startsWith("POST /v1/outcomes")) {
            if (noticeResponder != null) {
                return noticeResponder.apply(request);
            }
            if (noticeStatus == 204) {
                notices.addAll(request.body.lines().toList());
            }
            return noticeStatus == 0 ? NO_RESPONSE
                : "HTTP/1.1 " + noticeStatus + " X\r\nContent-Length: 0\r\n\r\n";
        }
        int before;
        synchronized (publishedLines) {
            before = publishedLines.size();
            watchRequests.add(request.requestLine);
        }
        if (watchDelayMillis < 0) {
            return NO_RESPONSE;
        }
        try {
            OutputStream out = request.connection.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            pause(watchDelayMillis);
            synchronized (publishedLines) {
                if (!remainingWatchData.isEmpty()) {
                    chunk(out, initialWatchData);
                    beforeRemainingWatchData.run();
                }
                chunk(out, (remainingWatchData.isEmpty() ? initialWatchData : remainingWatchData) + "\n");
                for (String line : publishedLines.subList(before, publishedLines.size())) {
                    chunk(out, line + "\n");
                }
                watches.add(out);
            }
        } catch (IOException exception) {
            return CLOSE_CONNECTION;
        }
        return NO_RESPONSE;
    }

    /**
     * Starts discovery at another address, which later configurations name; the previous server stays open.
     */
    StubServer replaceDiscovery() throws IOException {
        watches.clear();
        discovery = new StubServer(this::platform);
        return discovery;
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(
            (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Sends a line, unchanged, to every open watch. */
    void publish(String line) {
        synchronized (publishedLines) {
            publishedLines.add(line);
            publishPart(line + "\n");
        }
    }

    /** Sends text that need not be a whole line to every open watch. */
    void publishPart(String text) {
        for (OutputStream watch : watches) {
            try {
                chunk(watch, text);
            } catch (IOException exception) {
                watches.remove(watch);
            }
        }
    }

    /**
     * Publishes the next version of the endpoint list; a full one replaces the list, another one updates
     * entries.
     */
    void publish(boolean full, String... entry) {
        publish(
            "{\"version\":" + ++listVersion + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entry)
                + "]}");
    }

    /** Returns an entry of the endpoint list in JSON. */
    String listEntry(String name, String address, int destination, String kind, String state) {
        return "{\"id\":\"" + name + "\",\"addr\":\"" + address + "\",\"zone\":\"z\",\"kind\":\"" + kind
            + "\",\"cell\":"
            + destination + ",\"state\":\"" + state + "\",\"weight\":" + endpointWeight
            + ",\"started_ms\":0}";
    }

    /** Starts an endpoint that the configuration lists. */
    StubServer addEndpoint(String name, int destination, String kind,
        Function<ReceivedRequest, String> responder)
        throws IOException {
        StubServer server = new StubServer(responder);
        endpoints.put(name, server);
        entries.put(name, listEntry(name, server.address(), destination, kind, "up"));
        return server;
    }

    /**
     * Starts a listed endpoint that takes one message per call; its name is {@code e} and the destination.
     */
    StubServer addEndpoint(int destination, Function<ReceivedRequest, String> responder) throws IOException {
        return addEndpoint("e" + destination, destination, "plain", responder);
    }

    /** Lists an endpoint in the configuration without starting a server. */
    void listEndpoint(String name, String address, int destination) {
        entries.put(name, listEntry(name, address, destination, "plain", "up"));
    }

    /** Lists a destination whose only endpoint is draining, so nothing may be sent to it. */
    void listDrainingEndpoint(int destination) {
        entries.put("c" + destination,
            listEntry("c" + destination, "127.0.0.1:1", destination, "plain", "draining"));
    }

    /** Returns the relay's configuration. */
    String config() {
        String config = configWithOriginalNames();
        for (Map.Entry<String, String> name : renamedConfigNames.entrySet()) {
            config = config.replace('"' + name.getKey() + '"', '"' + name.getValue() + '"');
        }
        return config;
    }

    private String configWithOriginalNames() {
        return "{\"name\":\"n0\",\"listen\":\"" + LoopbackAddresses.hostAndPort(relayAddress)
            + "\",\"discovery\":\""
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
            + "\"cold_from\":0.2,\"cold_ms\":2000.0,\"fall_ms\":1000.0,\"fall_multiple\":2.0,\"settle_after_doubt_ms\":"
            + settleMillis + ".0},"
            + extraSettings
            + "\"request_classes\":[{\"name\":\"status\",\"repeat\":\"pure\",\"worth\":1.0,\"late_worth\":0.1,"
            + "\"on_time_ms\":1000.0,\"give_up_ms\":8000.0},{\"name\":\"order\",\"repeat\":\"side_effect\",\"worth\":1.0,"
            + "\"late_worth\":0.4,\"on_time_ms\":3000.0,\"give_up_ms\":20000.0},{\"name\":\"serial\",\"repeat\":\"token\","
            + "\"group\":\"all\",\"dedup_window_ms\":" + deduplicationMillis
            + ".0,\"fifo_by_key\":true,\"worth\":1.0,\"late_worth\":0.4,"
            + "\"on_time_ms\":3000.0,\"give_up_ms\":20000.0}],"
            + "\"tenants\":[{\"name\":\"acme\",\"quota_per_s\":10.0,\"portion\":1.0}]}}";
    }

    /**
     * Returns a process of the main program with these arguments, without the {@code NODE_} variables of this
     * process.
     */
    static ProcessBuilder yewpathCommand(String... args) {
        List<String> command = new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", MAX_HEAP_FLAG, "-cp",
                System.getProperty("surefire.test.class.path",
                    System.getProperty("java.class.path")),
                "yewpath.command.Main"));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        return builder;
    }

    /**
     * Starts the relay and waits until it is ready and watches discovery. If it does not, or if it ends, the
     * message of the error has the relay's log.
     */
    void start() throws Exception {
        startProcess();
        try {
            waitUntil("the relay is ready", 10_000, () -> isReady(process));
            waitUntil("the relay watches the endpoint list", 5_000,
                () -> watchDelayMillis < 0 || !watches.isEmpty());
        } catch (AssertionError notStarted) {
            throw new AssertionError(notStarted.getMessage() + "; log of the relay: "
                + (leaveOutputUnread ? "not read" : logLines()), notStarted);
        }
    }

    /** Returns whether a process is the relay that is ready; throws AssertionError if the process has ended. */
    private boolean isReady(Process relay) {
        if (!relay.isAlive()) {
            throw new AssertionError("the relay ended while it started");
        }
        return isReady();
    }

    boolean isReady() {
        try {
            return exchange("GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n").status == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    /** Starts the relay without waiting until it is ready. */
    void startProcess() throws Exception {
        watches.clear();
        Path config = directory.resolve("config.json");
        Files.writeString(config, config());
        ProcessBuilder builder = yewpathCommand("serve", "--config", config.toString());
        if (!operatorConfig.isEmpty()) {
            builder.command()
                .addAll(List.of("--operator", Files.writeString(operatorFile(), operatorConfig).toString()));
        }
        Collections.replaceAll(builder.command(), MAX_HEAP_FLAG, maxHeapFlag);
        builder.command().addAll(1, jvmFlags);
        builder.environment().putAll(environment);
        if (maxFileDescriptors > 0) {
            builder.command().addAll(0,
                List.of("sh", "-c", "ulimit -n " + maxFileDescriptors + "; exec \"$@\"", "sh"));
        }
        process = leaveOutputUnread ? builder.start()
            : builder.redirectOutput(directory.resolve("log").toFile()).start();
    }

    /** Replaces the configuration file and makes the running relay reload it. */
    void reload(String config) throws Exception {
        Files.writeString(directory.resolve("config.json"), config);
        signal("HUP");
    }

    Path operatorFile() {
        return directory.resolve("yewpath.toml");
    }

    /** Returns the lines that the relay has logged so far. */
    List<String> logLines() throws IOException {
        return Files.readAllLines(directory.resolve("log"));
    }

    boolean hasLogged(String event) throws IOException {
        return logLines().stream().anyMatch(line -> line.contains(event));
    }

    /** Kills the relay and waits for its end. */
    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    /** Sends the relay a signal, such as {@code HUP}. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    /** Connects to the relay; reads time out after 5 seconds. */
    Socket connect() throws IOException {
        Socket socket = new Socket(relayAddress.getAddress(), relayAddress.getPort());
        socket.setSoTimeout(5_000);
        return socket;
    }

    /** Sends a request on a new connection and returns the response. */
    Response exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            return exchange(socket, request);
        }
    }

    static Response exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return readResponse(socket);
    }

    /** Reads a response; throws IOException if the connection closes before one is complete. */
    static Response readResponse(Socket socket) throws IOException {
        ReceivedRequest request = readRequest(socket.getInputStream(), 0);
        if (request == null) {
            throw new IOException("the connection was closed before a whole response");
        }
        return new Response(Integer.parseInt(request.requestLine.split(" ")[1]), request.headers,
            request.body);
    }

    /** Returns the HTTP request that submits a message. */
    static String messageRequest(String id, String messageClass, int destination, int timeoutMillis,
        String body) {
        return "POST /" + messageClass + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id
            + "\r\nTenant: acme\r\n"
            + "Request-Timeout: " + timeoutMillis + "m\r\nX-Addressing: dest=" + destination
            + "\r\nContent-Length: "
            + body.length() + "\r\n\r\n" + body;
    }

    /** Returns the HTTP request that submits an ordered message with the key {@code doc} to destination 1. */
    static String keyedMessageRequest(String id, int timeoutMillis) {
        return messageRequest(id, "serial", 1, timeoutMillis, "x").replaceFirst("\r\n",
            "\r\nAffinity-Key: doc\r\n");
    }

    /** Submits a message and returns the status of the response. */
    int submit(String id, String messageClass, int destination, int timeoutMillis) throws IOException {
        return exchange(messageRequest(id, messageClass, destination, timeoutMillis, "body of " + id)).status;
    }

    /** Returns whether the relay uses its endpoint list, as its page {@code /stats} tells. */
    boolean isListCurrent() throws IOException {
        return exchange("GET /stats HTTP/1.1\r\n\r\n").body.contains("\"endpoint_list_current\":true");
    }

    /** Returns a number of the relay's page {@code /stats}. */
    long statistic(String name) {
        try {
            return Long.parseLong(exchange("GET /stats HTTP/1.1\r\n\r\n").body
                .replaceAll("(?s).*\"" + name + "\":([0-9]+).*", "$1"));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Blocks the calling thread for the whole time. */
    static void pause(long millis) {
        // A park can return at once, since a permit may be left from an earlier wait of this thread.
        long end = System.nanoTime() + millis * 1_000_000;
        for (long left = end - System.nanoTime(); left > 0; left = end - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    /** Whether a notice of this message contains the outcome. */
    boolean hasOutcomeNotice(String id, String outcome) {
        return notices.stream()
            .anyMatch(notice -> notice.contains('"' + id + '"') && notice.contains(outcome));
    }

    /** Whether the peer closes or resets the connection within the time. */
    static boolean isClosedWithin(Socket socket, int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        try {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
            return true;
        } catch (SocketTimeoutException exception) {
            return false;
        } catch (IOException reset) {
            return true;
        }
    }

    /** Waits for the condition; throws AssertionError, which names {@code what}, if it is not met in time. */
    static void waitUntil(String what, long timeoutMillis, Condition condition) throws Exception {
        long end = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.isMet()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within " + timeoutMillis + " ms: " + what);
            }
            Thread.sleep(5);
        }
    }

    /** Reads an HTTP message; returns null if the connection ends before the head is complete. */
    static ReceivedRequest readRequest(InputStream in, int connection) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
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

    /** A condition that is polled. */
    interface Condition {
        boolean isMet() throws Exception;
    }

    private static void runInBackground(IoTask work) {
        BACKGROUND_THREADS.execute(() -> {
            try {
                work.run();
            } catch (IOException | UncheckedIOException closed) {
                return;
            }
        });
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
