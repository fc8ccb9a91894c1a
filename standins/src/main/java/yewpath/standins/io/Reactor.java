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

/** One thread on which all peers of a process live: nothing handed to it may block. Loopback only. */
public final class Reactor implements AutoCloseable {
    /** Something due at a time, unless called off. */
    public static final class Timer {
        private final long at;
        private final long order;
        private Runnable act;

        private Timer(long at, long order, Runnable act) {
            this.at = at;
            this.order = order;
            this.act = act;
        }

        public void cancel() {
            act = null;
        }
    }

    /** A port that takes connections until it is shut. */
    public final class ServerPort {
        private final ServerSocketChannel channel;

        private ServerPort(ServerSocketChannel channel) {
            this.channel = channel;
        }

        public InetSocketAddress address() {
            try {
                return (InetSocketAddress) channel.getLocalAddress();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** New connections are refused from now on; open ones stay. */
        public void close() {
            try {
                channel.close();
                // A closed channel keeps its port until its key is dropped by the next select.
                selector.selectNow();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private final Selector selector;
    private final Thread thread;
    private final ConcurrentLinkedQueue<Runnable> handedIn = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
        (a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
            : Long.compare(a.order, b.order));
    private final long origin = System.nanoTime();
    private final Consumer<Throwable> failed;
    private long ordered;
    private volatile boolean closed;

    /** {@code failed} hears of what an act threw; the others go on. */
    public Reactor(Consumer<Throwable> failed) throws IOException {
        this.failed = failed;
        selector = Selector.open();
        thread = new Thread(this::turn, "yewpath-standins");
        thread.setDaemon(true);
        thread.start();
    }

    /** Microseconds since it was made. */
    public long nowMicros() {
        return (System.nanoTime() - origin) / 1000;
    }

    /** Runs it on the reactor's thread, soon. */
    public void execute(Runnable act) {
        handedIn.add(act);
        selector.wakeup();
    }

    /** Runs it there and waits for what it gives; not to be called on the reactor's own thread. */
    public <T> T call(Callable<T> act) {
        CompletableFuture<T> done = new CompletableFuture<>();
        execute(() -> {
            try {
                done.complete(act.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        try {
            return done.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Only on the reactor's thread, as all below. */
    public Timer schedule(long micros, Runnable act) {
        Timer timer = new Timer(nowMicros() + Math.max(0, micros), ordered++, act);
        timers.add(timer);
        return timer;
    }

    /** ServerPort 0 takes any free one. A small receive buffer lets a peer push back early. */
    public ServerPort listen(InetSocketAddress at, int receiveBuffer, Consumer<Connection> accepted)
        throws IOException {
        onLoopback(at);
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (receiveBuffer > 0) {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, receiveBuffer);
        }
        channel.bind(at, 4_096);
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_ACCEPT, (Runnable) () -> accept(channel, accepted));
        return new ServerPort(channel);
    }

    private void accept(ServerSocketChannel from, Consumer<Connection> accepted) {
        try {
            for (SocketChannel one = from.accept(); one != null; one = from.accept()) {
                accepted.accept(new Connection(this, selector, one, true));
            }
        } catch (IOException e) {
            failed.accept(e);
        }
    }

    public Connection connect(InetSocketAddress to, Connection.Handler owner) {
        onLoopback(to);
        try {
            SocketChannel channel = SocketChannel.open();
            Connection wire = new Connection(this, selector, channel, false);
            wire.setHandler(owner);
            wire.connect(to);
            return wire;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void onLoopback(InetSocketAddress at) {
        InetAddress address = at.getAddress();
        if (address == null || !address.isLoopbackAddress()) {
            throw new IllegalArgumentException("not on loopback: " + at);
        }
    }

    private void turn() {
        while (!closed) {
            try {
                Timer next = timers.peek();
                long wait = next == null ? 1_000 : (next.at - nowMicros() + 999) / 1000;
                if (wait <= 0 || !handedIn.isEmpty()) {
                    selector.selectNow();
                } else {
                    selector.select(wait);
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    safely((Runnable) key.attachment());
                }
                selector.selectedKeys().clear();
                for (Runnable act = handedIn.poll(); act != null; act = handedIn.poll()) {
                    safely(act);
                }
                long now = nowMicros();
                while (!timers.isEmpty() && timers.peek().at <= now) {
                    Runnable act = timers.poll().act;
                    if (act != null) {
                        safely(act);
                    }
                }
            } catch (ClosedSelectorException over) {
                return;
            } catch (IOException e) {
                failed.accept(e);
            }
        }
    }

    private void safely(Runnable act) {
        try {
            act.run();
        } catch (CancelledKeyException over) {
            return;
        } catch (RuntimeException e) {
            failed.accept(e);
        }
    }

    /** Ends the thread and every connection and port. */
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
            failed.accept(e);
        }
    }
}
