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
final class Stand implements AutoCloseable {
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    /** The relay's own address: no stand-in can be given a port that a relay is to come back to. */
    static final String RELAY = "127.0.0.2";
    private static final AtomicInteger ANSWERS = new AtomicInteger();
    /** Answers of a stand-in that are not bytes. */
    static final String SILENCE = "silence", CUT = "cut";

    /** Tests with a stand of their own each. */
    abstract static class Tests {
        Stand stand;

        @BeforeMethod
        public void build() throws Exception {
            stand = new Stand();
        }

        @AfterMethod(alwaysRun = true)
        public void stop() throws Exception {
            stand.close();
        }
    }

    /** One request as a stand-in read it; {@code open} turns false once the relay has closed the connection. */
    static final class Got {
        final String line;
        final Map<String, String> headers;
        final String body;
        final int connection;
        final long at = System.nanoTime();
        volatile boolean open = true;

        Got(String line, Map<String, String> headers, String body, int connection) {
            this.line = line;
            this.headers = headers;
            this.body = body;
            this.connection = connection;
        }

        String id() {
            return headers.get("request-id");
        }
    }

    /** A success whose body no other answer has, so that its connection can be kept. */
    static String distinctOk() {
        String body = "answer " + ANSWERS.incrementAndGet();
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A server that answers each request by a function of it, and keeps what it got. */
    static final class Server implements AutoCloseable {
        final List<Got> got = new CopyOnWriteArrayList<>();
        final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger connections = new AtomicInteger();
        volatile Function<Got, String> answer;
        private final ServerSocket listener;

        Server(Function<Got, String> answer) throws IOException {
            this(answer, 0);
        }

        Server(Function<Got, String> answer, int port) throws IOException {
            this.answer = answer;
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
                    Got request = read(in, number);
                    if (request == null) {
                        return;
                    }
                    got.add(request);
                    String bytes = answer.apply(request);
                    if (bytes.equals(CUT)) {
                        return;
                    }
                    if (bytes.equals(SILENCE)) {
                        int more = in.read();
                        request.open = more >= 0;
                        return;
                    }
                    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getOutputStream().flush();
                }
            }
        }

        List<Got> posts() {
            return got.stream().filter(g -> g.line.startsWith("POST")).toList();
        }

        void cutAll() throws IOException {
            for (Socket socket : List.copyOf(sockets)) {
                socket.close();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            cutAll();
        }
    }

    /** Connects until the listener's queue is full and further connections stay silent. */
    static List<Socket> fill(ServerSocket listener) throws IOException {
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
    static final class Deaf implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> filling;

        Deaf() throws IOException {
            filling = fill(listener);
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
    record Answer(int status, Map<String, String> headers, String body) {}

    final Path folder;
    volatile Server discovery;
    /**
     * The watches that are open, and every line told so far, which guards both: one that is being opened gets what was told
     * since it was asked for, as from a platform that knows versions. A line told in between used to reach nobody.
     */
    private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
    private final List<String> told = new ArrayList<>();
    final List<String> watched = new CopyOnWriteArrayList<>();
    final List<String> notices = new CopyOnWriteArrayList<>();
    /** Answers notices in place of {@code noticeStatus}; null for none. */
    volatile Function<Got, String> onNotice;
    /** 0 leaves notices without an answer. */
    volatile int noticeStatus = 204;
    /** What a watch starts with, and how many milliseconds after its head; below 0 it never answers. */
    volatile String news = "";
    volatile int newsAfter;
    /** The rest of what a watch starts with, and what is waited for before it. */
    volatile String newsRest = "";
    volatile Runnable beforeTheRest = () -> {};
    /** Whether a watch brings empty lines where nothing changes. */
    volatile boolean beats = true;
    private final Map<String, Server> endpoints = new LinkedHashMap<>();
    private final Map<String, String> entries = new LinkedHashMap<>();
    String limits = "";
    /** Set for the relay beside its configuration. */
    final Map<String, String> environment = new LinkedHashMap<>();
    String settings = "";
    /** The operator's file; none where empty. */
    String operator = "";
    /** What the system lets the relay have; 0 for whatever it lets this process have. */
    int descriptors;
    String mode = "pushed";
    int holdMost = 50;
    /** For how long a repeat of a tagged envelope is known, and how long a connection may take to come up. */
    int memoryMs = 6_000;
    int connectTimeoutMs = 1_000;
    /** Names in the configuration, and what stands there in their place. */
    final Map<String, String> renamed = new LinkedHashMap<>();
    /** As many of them as the settings tell of. */
    int relays = 1;
    /** For the virtual machine of the relay. */
    List<String> flags = List.of();
    /** Whether the relay writes its log into a pipe that nobody empties. */
    boolean unread;
    String weight = "50.0";
    int port;
    int version = 1;
    Process process;

    Stand() throws IOException {
        folder = Files.createTempDirectory("yewpath");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(RELAY))) {
            port = free.getLocalPort();
        }
        discovery = new Server(this::platform);
        thread(() -> {
            while (!discovery.listener.isClosed()) {
                LockSupport.parkNanos(1_000_000_000);
                if (beats) {
                    tell("");
                }
            }
        });
    }

    private String platform(Got got) {
        if (got.line.startsWith("POST /v1/outcomes")) {
            if (onNotice != null) {
                return onNotice.apply(got);
            }
            if (noticeStatus == 204) {
                notices.addAll(got.body.lines().toList());
            }
            return noticeStatus == 0 ? SILENCE
                : "HTTP/1.1 " + noticeStatus + " X\r\nContent-Length: 0\r\n\r\n";
        }
        int before;
        synchronized (told) {
            before = told.size();
            watched.add(got.line);
        }
        if (newsAfter < 0) {
            return SILENCE;
        }
        try {
            OutputStream out = discovery.sockets.get(got.connection - 1).getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            pause(newsAfter);
            synchronized (told) {
                if (!newsRest.isEmpty()) {
                    chunk(out, news);
                    beforeTheRest.run();
                }
                chunk(out, (newsRest.isEmpty() ? news : newsRest) + "\n");
                for (String line : told.subList(before, told.size())) {
                    chunk(out, line + "\n");
                }
                watches.add(out);
            }
        } catch (IOException e) {
            return CUT;
        }
        return SILENCE;
    }

    /** Discovery answers at another address from now on; the one before stays open. */
    Server moveDiscovery() throws IOException {
        watches.clear();
        discovery = new Server(this::platform);
        return discovery;
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(
            (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** A line to every open watch, as it stands. */
    void tell(String line) {
        synchronized (told) {
            told.add(line);
            tellPart(line + "\n");
        }
    }

    /** Some bytes to every open watch that need not be a line. */
    void tellPart(String text) {
        for (OutputStream watch : watches) {
            try {
                chunk(watch, text);
            } catch (IOException e) {
                watches.remove(watch);
            }
        }
    }

    void tell(boolean full, String... entry) {
        tell("{\"version\":" + ++version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entry)
            + "]}");
    }

    String entry(String name, String address, int destination, String kind, String state) {
        return "{\"id\":\"" + name + "\",\"addr\":\"" + address + "\",\"zone\":\"z\",\"kind\":\"" + kind
            + "\",\"cell\":"
            + destination + ",\"state\":\"" + state + "\",\"weight\":" + weight + ",\"started_ms\":0}";
    }

    /** An endpoint listed from the start. */
    Server endpoint(String name, int destination, String kind, Function<Got, String> answer)
        throws IOException {
        Server server = new Server(answer);
        endpoints.put(name, server);
        entries.put(name, entry(name, server.address(), destination, kind, "up"));
        return server;
    }

    Server endpoint(int destination, Function<Got, String> answer) throws IOException {
        return endpoint("e" + destination, destination, "plain", answer);
    }

    void listed(String name, String address, int destination) {
        entries.put(name, entry(name, address, destination, "plain", "up"));
    }

    /** A destination that is listed, where nothing may be sent. */
    void closed(int destination) {
        entries.put("c" + destination,
            entry("c" + destination, "127.0.0.1:1", destination, "plain", "draining"));
    }

    String config() {
        String config = usualConfig();
        for (Map.Entry<String, String> name : renamed.entrySet()) {
            config = config.replace('"' + name.getKey() + '"', '"' + name.getValue() + '"');
        }
        return config;
    }

    private String usualConfig() {
        return "{\"name\":\"n0\",\"listen\":\"" + RELAY + ":" + port + "\",\"discovery\":\""
            + discovery.address()
            + "\",\"state\":\"" + folder.resolve("state")
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
            + "\"memory_mb\":192" + (limits.contains("sockets") ? "" : ",\"sockets\":1024")
            + (limits.contains("disk_mb") ? "" : ",\"disk_mb\":3") + limits + "},"
            + "\"known\":{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries.values())
            + "]},"
            + "\"settings\":{\"balancers\":" + relays + ",\"ordinal\":0,\"discovery\":\"" + mode
            + "\",\"weights\":\"nominal\",\"zones\":[\"z\"],"
            + "\"kinds\":[\"plain\",\"bundled\"],\"family_info\":{\"max_calls\":8,\"bundle_max\":[1,20],"
            + "\"routes_apart\":[false,false],\"late\":\"by_half\"},\"limits\":{\"cancel\":true,\"retry_after\":true,"
            + "\"max_open\":" + holdMost + ",\"try_limit\":8,\"connect_timeout_ms\":" + connectTimeoutMs
            + ".0,\"conn_idle_ms\":2000.0},\"rules\":{"
            + "\"cold_from\":0.2,\"cold_ms\":2000.0,\"fall_ms\":1000.0,\"fall_multiple\":2.0,\"settle_after_doubt_ms\":400.0},"
            + settings
            + "\"request_classes\":[{\"name\":\"status\",\"repeat\":\"pure\",\"worth\":1.0,\"late_worth\":0.1,"
            + "\"on_time_ms\":1000.0,\"give_up_ms\":8000.0},{\"name\":\"order\",\"repeat\":\"side_effect\",\"worth\":1.0,"
            + "\"late_worth\":0.4,\"on_time_ms\":3000.0,\"give_up_ms\":20000.0},{\"name\":\"serial\",\"repeat\":\"token\","
            + "\"group\":\"all\",\"dedup_window_ms\":" + memoryMs
            + ".0,\"fifo_by_key\":true,\"worth\":1.0,\"late_worth\":0.4,"
            + "\"on_time_ms\":3000.0,\"give_up_ms\":20000.0}],"
            + "\"tenants\":[{\"name\":\"acme\",\"quota_per_s\":10.0,\"portion\":1.0}]}}";
    }

    static ProcessBuilder yewpath(String... args) {
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
        launch();
        until("the relay is ready", 10_000, this::isReady);
        until("it follows the list", 5_000, () -> newsAfter < 0 || !watches.isEmpty());
    }

    boolean isReady() {
        try {
            return ask("GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n").status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts the process and leaves it to itself. */
    void launch() throws Exception {
        watches.clear();
        Path config = folder.resolve("config.json");
        Files.writeString(config, config());
        ProcessBuilder builder = yewpath("serve", "--config", config.toString());
        if (!operator.isEmpty()) {
            builder.command()
                .addAll(List.of("--operator", Files.writeString(operatorFile(), operator).toString()));
        }
        builder.command().addAll(1, flags);
        builder.environment().putAll(environment);
        if (descriptors > 0) {
            builder.command().addAll(0,
                List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "sh"));
        }
        process = unread ? builder.start() : builder.redirectOutput(folder.resolve("log").toFile()).start();
    }

    /** Has the running relay read a configuration of these words. */
    void reload(String config) throws Exception {
        Files.writeString(folder.resolve("config.json"), config);
        signal("HUP");
    }

    Path operatorFile() {
        return folder.resolve("yewpath.toml");
    }

    /** What the relay has written so far. */
    List<String> log() throws IOException {
        return Files.readAllLines(folder.resolve("log"));
    }

    boolean hasLogged(String event) throws IOException {
        return log().stream().anyMatch(line -> line.contains(event));
    }

    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(RELAY, port);
        socket.setSoTimeout(5_000);
        return socket;
    }

    Answer ask(String request) throws IOException {
        try (Socket socket = connect()) {
            return ask(socket, request);
        }
    }

    static Answer ask(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return answer(socket);
    }

    static Answer answer(Socket socket) throws IOException {
        Got got = read(socket.getInputStream(), 0);
        if (got == null) {
            throw new IOException("closed without an answer");
        }
        return new Answer(Integer.parseInt(got.line.split(" ")[1]), got.headers, got.body);
    }

    static String envelope(String id, String offering, int destination, int withinMs, String body) {
        return "POST /" + offering + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id
            + "\r\nTenant: acme\r\n"
            + "Request-Timeout: " + withinMs + "m\r\nX-Addressing: dest=" + destination
            + "\r\nContent-Length: "
            + body.length() + "\r\n\r\n" + body;
    }

    int handIn(String id, String offering, int destination, int withinMs) throws IOException {
        return ask(envelope(id, offering, destination, withinMs, "body of " + id)).status;
    }

    /** A figure that the relay gives of itself. */
    long figure(String name) {
        try {
            return Long.parseLong(ask("GET /stats HTTP/1.1\r\n\r\n").body
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

    boolean ended(String id, String how) {
        return notices.stream().anyMatch(n -> n.contains('"' + id + '"') && n.contains(how));
    }

    /** Whether the other side closes this connection within the time. */
    static boolean closes(Socket socket, int withinMs) throws IOException {
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

    static void until(String what, long withinMs, Met met) throws Exception {
        long end = System.nanoTime() + withinMs * 1_000_000;
        while (!met.yet()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within " + withinMs + " ms: " + what);
            }
            Thread.sleep(5);
        }
    }

    static Got read(InputStream in, int connection) throws IOException {
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
        return new Got(lines[0], headers, new String(body, StandardCharsets.ISO_8859_1), connection);
    }

    interface Work {
        void run() throws IOException;
    }

    interface Met {
        boolean yet() throws Exception;
    }

    private static void thread(Work work) {
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
        for (Server endpoint : endpoints.values()) {
            endpoint.close();
        }
    }
}
