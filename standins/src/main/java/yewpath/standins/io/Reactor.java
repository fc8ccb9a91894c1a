package yewpath.standins.io;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.PriorityQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;

/**
 * An event loop: one thread on which all test servers and test clients of a process run. Tasks and handlers
 * must not block. Only loopback addresses are allowed.
 */
public final class Reactor implements AutoCloseable {
    /** A task that is scheduled for a time and can be cancelled until then. */
    public static final class Timer {
        private final long dueMicros;
        /** Position among all timers by creation: timers that are due at the same time run in this order. */
        private final long sequence;
        /** Null once cancelled. */
        private Runnable task;

        private Timer(long dueMicros, long sequence, Runnable task) {
            this.dueMicros = dueMicros;
            this.sequence = sequence;
            this.task = task;
        }

        /** Prevents the task from running; has no effect once it has run. */
        public void cancel() {
            task = null;
        }
    }

    /** A listening socket. */
    public final class ServerPort {
        private final ServerSocketChannel channel;

        private ServerPort(ServerSocketChannel channel) {
            this.channel = channel;
        }

        /** Returns the bound address, with the port that the system chose if port 0 was asked for. */
        public InetSocketAddress address() {
            try {
                return (InetSocketAddress) channel.getLocalAddress();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Stops listening, so that new connections are refused; accepted connections stay open. */
        public void close() {
            try {
                channel.close();
                // A closed channel keeps its port bound until the next select removes its key.
                selector.selectNow();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private final Selector selector;
    private final Thread thread;
    private final ConcurrentLinkedQueue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
        (a, b) -> a.dueMicros != b.dueMicros ? Long.compare(a.dueMicros, b.dueMicros)
            : Long.compare(a.sequence, b.sequence));
    private final long startNanos = System.nanoTime();
    private final Consumer<Throwable> failureHandler;
    private long nextSequence;
    private volatile boolean closed;

    /**
     * Starts the thread, as a daemon.
     *
     * @param failureHandler receives what a task or handler throws; the other tasks continue
     */
    public Reactor(Consumer<Throwable> failureHandler) throws IOException {
        this.failureHandler = failureHandler;
        selector = Selector.open();
        thread = new Thread(this::runLoop, "yewpath-standins");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the time in microseconds since this reactor was created. */
    public long nowMicros() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    /** Runs a task on the reactor's thread as soon as possible; may be called from any thread. */
    public void execute(Runnable task) {
        submittedTasks.add(task);
        selector.wakeup();
    }

    /**
     * Runs a task on the reactor's thread and waits for its result. Must not be called on the reactor's own
     * thread.
     *
     * @throws IllegalStateException with what the task threw as its cause, or if the wait is interrupted
     */
    public <T> T call(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /**
     * Runs a task after a delay; a negative delay counts as none. Only for the reactor's thread, like
     * {@link #listen} and {@link #connect}.
     */
    public Timer schedule(long delayMicros, Runnable task) {
        Timer timer = new Timer(nowMicros() + Math.max(0, delayMicros), nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Listens on a loopback address.
     *
     * @param address port 0 stands for any free port
     * @param receiveBufferBytes 0 for the system's default; with a small buffer the sender's writes block
     * early
     * @param acceptHandler is called with each accepted connection and must set its handler
     * @throws IllegalArgumentException if the address is not on loopback
     */
    public ServerPort listen(InetSocketAddress address, int receiveBufferBytes,
        Consumer<Connection> acceptHandler) throws IOException {
        requireLoopback(address);
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (receiveBufferBytes > 0) {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, receiveBufferBytes);
        }
        channel.bind(address, 4_096);
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_ACCEPT, (Runnable) () -> accept(channel, acceptHandler));
        return new ServerPort(channel);
    }

    private void accept(ServerSocketChannel server, Consumer<Connection> acceptHandler) {
        try {
            for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
                acceptHandler.accept(new Connection(this, selector, channel, true));
            }
        } catch (IOException e) {
            failureHandler.accept(e);
        }
    }

    /**
     * Starts to connect to a loopback address. The connection can be written to at once; a failed connect is
     * reported to {@code handler} as an abnormal close.
     *
     * @throws IllegalArgumentException if the address is not on loopback
     */
    public Connection connect(InetSocketAddress remoteAddress, Connection.Handler handler) {
        requireLoopback(remoteAddress);
        try {
            SocketChannel channel = SocketChannel.open();
            Connection connection = new Connection(this, selector, channel, false);
            connection.setHandler(handler);
            connection.connect(remoteAddress);
            return connection;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void requireLoopback(InetSocketAddress socketAddress) {
        InetAddress address = socketAddress.getAddress();
        if (address == null || !address.isLoopbackAddress()) {
            throw new IllegalArgumentException("only loopback addresses are allowed, not " + socketAddress);
        }
    }

    private void runLoop() {
        while (!closed) {
            try {
                Timer next = timers.peek();
                long waitMillis = next == null ? 1_000 : (next.dueMicros - nowMicros() + 999) / 1000;
                if (waitMillis <= 0 || !submittedTasks.isEmpty()) {
                    selector.selectNow();
                } else {
                    selector.select(waitMillis);
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    runGuarded((Runnable) key.attachment());
                }
                selector.selectedKeys().clear();
                for (Runnable task = submittedTasks.poll(); task != null; task = submittedTasks.poll()) {
                    runGuarded(task);
                }
                long nowMicros = nowMicros();
                while (!timers.isEmpty() && timers.peek().dueMicros <= nowMicros) {
                    Runnable task = timers.poll().task;
                    if (task != null) {
                        runGuarded(task);
                    }
                }
            } catch (ClosedSelectorException reactorClosed) {
                return;
            } catch (IOException e) {
                failureHandler.accept(e);
            }
        }
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (CancelledKeyException connectionClosed) {
            return;
        } catch (RuntimeException e) {
            failureHandler.accept(e);
        }
    }

    /** Stops the thread and closes all connections and listening sockets. */
    @Override
    public void close() {
        execute(() -> {
            closed = true;
            for (SelectionKey key : selector.keys()) {
                try {
                    key.channel().close();
                } catch (IOException ignored) {
                    continue;
                }
            }
        });
        try {
            thread.join(2_000);
            selector.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            failureHandler.accept(e);
        }
    }
}
