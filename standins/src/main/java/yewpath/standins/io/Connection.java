package yewpath.standins.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** One connection of a peer, which can also end in ways that a decent program would not choose. */
public final class Connection {
    /** Hears what becomes of it, on the reactor's thread; after {@code over} nothing more. */
    public interface Handler {
        default void opened() {}

        void received(ByteBuffer bytes);

        /** {@code broken} tells a reset or a failed connect from an orderly end. */
        void closed(boolean broken);
    }

    /** Shared by all wires, since the reactor has one thread: what comes is handed on before the next read. */
    private static final ThreadLocal<ByteBuffer> CAME = ThreadLocal
        .withInitial(() -> ByteBuffer.allocateDirect(64 << 10));
    private final Reactor reactor;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private Handler owner;
    private boolean closed;
    private boolean ending;

    Connection(Reactor reactor, Selector selector, SocketChannel channel, boolean open) throws IOException {
        this.reactor = reactor;
        this.channel = channel;
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = channel.register(selector, open ? SelectionKey.OP_READ : 0, (Runnable) this::ready);
    }

    public void setHandler(Handler by) {
        owner = by;
    }

    void connect(InetSocketAddress to) {
        try {
            if (channel.connect(to)) {
                key.interestOps(SelectionKey.OP_READ);
                reactor.execute(() -> owner.opened());
            } else {
                key.interestOps(SelectionKey.OP_CONNECT);
            }
        } catch (IOException refused) {
            reactor.execute(() -> fail(true));
        }
    }

    private void ready() {
        if (closed || !key.isValid()) {
            return;
        }
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE));
                owner.opened();
            }
            if (!closed && key.isWritable()) {
                flush();
            }
            if (!closed && key.isReadable()) {
                read();
            }
        } catch (IOException broken) {
            fail(true);
        }
    }

    private void read() throws IOException {
        ByteBuffer came = CAME.get().clear();
        int read = channel.read(came);
        if (read < 0) {
            fail(false);
        } else if (read > 0) {
            owner.received(came.flip());
        }
    }

    private void fail(boolean broken) {
        if (!closed) {
            close();
            owner.closed(broken);
        }
    }

    public boolean isClosed() {
        return closed;
    }

    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        out.add(ByteBuffer.wrap(bytes));
        if (channel.isConnected()) {
            try {
                flush();
            } catch (IOException broken) {
                reactor.execute(() -> fail(true));
            }
        }
    }

    private void flush() throws IOException {
        while (!out.isEmpty()) {
            channel.write(out.peek());
            if (out.peek().hasRemaining()) {
                key.interestOps(key.interestOps() | SelectionKey.OP_WRITE);
                return;
            }
            out.poll();
        }
        key.interestOps(key.interestOps() & ~SelectionKey.OP_WRITE);
        if (ending) {
            channel.shutdownOutput();
        }
    }

    /** Reads no more until {@link #resumeReading}: what the other side writes fills the buffers and pushes back. */
    public void pauseReading() {
        if (!closed) {
            key.interestOps(key.interestOps() & ~SelectionKey.OP_READ);
        }
    }

    public void resumeReading() {
        if (!closed) {
            key.interestOps(key.interestOps() | SelectionKey.OP_READ);
        }
    }

    /** Ends its sending once all is written; goes on reading. */
    public void shutdownOutput() {
        ending = true;
        if (!closed && out.isEmpty()) {
            try {
                channel.shutdownOutput();
            } catch (IOException broken) {
                reactor.execute(() -> fail(true));
            }
        }
    }

    public void close() {
        closed = true;
        try {
            channel.close();
        } catch (IOException ignored) {
            return;
        }
    }

    /** Ends it by a reset: what was written and not read by the other side is lost. */
    public void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException ignored) {
            // Closed by the other side already.
        }
        close();
    }
}
