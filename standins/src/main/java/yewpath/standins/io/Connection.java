package yewpath.standins.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * One non-blocking TCP connection of a test server or test client. It can also be ended abruptly, which a
 * well-behaved program avoids. All methods are for the reactor's thread only.
 */
public final class Connection {
    /** Receives the events of a connection, on the reactor's thread. No event follows {@link #closed}. */
    public interface Handler {
        /** An outgoing connection has been established. */
        default void opened() {}

        /** Bytes were received; the buffer is valid only during this call. */
        void received(ByteBuffer bytes);

        /**
         * The connection has ended from the other side or by an error.
         *
         * @param abnormal true for a reset or a failed connect, false if the other side closed in the regular
         * way
         */
        void closed(boolean abnormal);
    }

    /** Shared by all connections of a thread: the handler consumes the bytes before the next read. */
    private static final ThreadLocal<ByteBuffer> RECEIVE_BUFFER = ThreadLocal
        .withInitial(() -> ByteBuffer.allocateDirect(64 << 10));
    private final Reactor reactor;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private Handler handler;
    private boolean closed;
    private boolean shutdownRequested;

    Connection(Reactor reactor, Selector selector, SocketChannel channel, boolean established)
        throws IOException {
        this.reactor = reactor;
        this.channel = channel;
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = channel.register(selector, established ? SelectionKey.OP_READ : 0, (Runnable) this::ready);
    }

    /** Sets the receiver of events; must be called before the connection has an event. */
    public void setHandler(Handler newHandler) {
        handler = newHandler;
    }

    void connect(InetSocketAddress remoteAddress) {
        try {
            if (channel.connect(remoteAddress)) {
                key.interestOps(SelectionKey.OP_READ);
                reactor.execute(() -> handler.opened());
            } else {
                key.interestOps(SelectionKey.OP_CONNECT);
            }
        } catch (IOException refused) {
            reactor.execute(() -> closeAndNotify(true));
        }
    }

    private void ready() {
        if (closed || !key.isValid()) {
            return;
        }
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ | (unsent.isEmpty() ? 0 : SelectionKey.OP_WRITE));
                handler.opened();
            }
            if (!closed && key.isWritable()) {
                flush();
            }
            if (!closed && key.isReadable()) {
                read();
            }
        } catch (IOException failure) {
            closeAndNotify(true);
        }
    }

    private void read() throws IOException {
        ByteBuffer received = RECEIVE_BUFFER.get().clear();
        int byteCount = channel.read(received);
        if (byteCount < 0) {
            closeAndNotify(false);
        } else if (byteCount > 0) {
            handler.received(received.flip());
        }
    }

    private void closeAndNotify(boolean abnormal) {
        if (!closed) {
            close();
            handler.closed(abnormal);
        }
    }

    /** Returns whether the connection is closed, by either side. */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Sends bytes in the order of the calls. What the socket does not accept at once, or before the
     * connection is established, is sent later. Does nothing on a closed connection.
     */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        unsent.add(ByteBuffer.wrap(bytes));
        if (channel.isConnected()) {
            try {
                flush();
            } catch (IOException failure) {
                reactor.execute(() -> closeAndNotify(true));
            }
        }
    }

    private void flush() throws IOException {
        while (!unsent.isEmpty()) {
            channel.write(unsent.peek());
            if (unsent.peek().hasRemaining()) {
                key.interestOps(key.interestOps() | SelectionKey.OP_WRITE);
                return;
            }
            unsent.poll();
        }
        key.interestOps(key.interestOps() & ~SelectionKey.OP_WRITE);
        if (shutdownRequested) {
            channel.shutdownOutput();
        }
    }

    /**
     * Stops reading until {@link #resumeReading}. The bytes that the other side sends fill the socket
     * buffers, and then its writes block.
     */
    public void pauseReading() {
        if (!closed) {
            key.interestOps(key.interestOps() & ~SelectionKey.OP_READ);
        }
    }

    /** Reads again after {@link #pauseReading}. */
    public void resumeReading() {
        if (!closed) {
            key.interestOps(key.interestOps() | SelectionKey.OP_READ);
        }
    }

    /** Closes the sending direction once all bytes are written; the connection can still receive. */
    public void shutdownOutput() {
        shutdownRequested = true;
        if (!closed && unsent.isEmpty()) {
            try {
                channel.shutdownOutput();
            } catch (IOException failure) {
                reactor.execute(() -> closeAndNotify(true));
            }
        }
    }

    /** Closes the connection without an event to the handler. */
    public void close() {
        closed = true;
        try {
            channel.close();
        } catch (IOException ignored) {
            return;
        }
    }

    /** Closes the connection by a TCP reset: bytes that the other side has not read yet are lost. */
    public void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException ignored) {
            // The other side has already closed the connection.
        }
        close();
    }
}
