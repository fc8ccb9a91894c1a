package yewpath.http;

import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * An open TCP connection with a ring buffer for each direction. A listener is notified when bytes have been
 * received and when the input has ended. All methods must be called on the I/O thread of the connection.
 */
public final class BufferedConnection {
    /**
     * Receives the events of a connection, on its I/O thread. Nothing is reported after the end of the input,
     * except that a write may still fail after an orderly end.
     */
    public interface Listener {
        /** New bytes are in {@link BufferedConnection#input}. */
        void onBytesReceived();

        /** The socket has accepted all bytes that had to wait until it was writable. */
        default void onAllWritten() {}

        /**
         * The peer has ended its output, or the connection has failed. {@code failed} is true after an I/O
         * error, which has closed the connection, and false after an orderly end, which leaves it open for
         * writing.
         */
        void onEndOfInput(boolean failed);
    }

    /** Received bytes that the listener has not consumed yet. */
    public final RingBuffer input;
    /** Bytes that wait to be written to the socket. */
    public final RingBuffer output;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private BufferedConnection.Listener listener;
    private boolean closed;
    private boolean inputEnded;
    private boolean outputShutdownRequested;

    /** Starts to read from the connection, with ring buffers of these initial and maximum sizes. */
    public BufferedConnection(StreamConnection connection, int initialRingBytes, int maxRingBytes,
        BufferedConnection.Listener listener) {
        this.connection = connection;
        this.listener = listener;
        input = new RingBuffer(initialRingBytes, maxRingBytes);
        output = new RingBuffer(initialRingBytes, maxRingBytes);
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(channel -> onReadable());
        sink.setWriteListener(channel -> onWritable());
        source.resumeReads();
    }

    /** Returns whether this side has closed the connection, on request or after an I/O error. */
    public boolean isClosed() {
        return closed;
    }

    /** Returns whether the peer has ended its output. */
    public boolean isInputEnded() {
        return inputEnded;
    }

    private void onReadable() {
        boolean failed = false;
        try {
            int read = 0;
            // The ring buffer bounds what is read. The rest stays in the socket, so that TCP flow control
            // slows the peer.
            while (!closed && (read = input.readFrom(source)) > 0) {
                if (input.isFull()) {
                    break;
                }
            }
            inputEnded = read < 0;
        } catch (IOException exception) {
            failed = true;
        }
        if (closed) {
            return;
        }
        if (inputEnded || input.isFull()) {
            source.suspendReads();
        }
        // Bytes received before a reset are delivered first, because they may be the response.
        if (input.size() > 0) {
            listener.onBytesReceived();
        }
        if (failed) {
            fail();
        } else if (inputEnded && !closed) {
            listener.onEndOfInput(false);
        } else if (!closed && !input.isFull()) {
            source.resumeReads();
        }
    }

    /**
     * Returns whether the connection is open and nothing has been received that is not consumed yet. The
     * check reads from the socket; what it reads stays in {@link #input} and is not reported, so a connection
     * that fails the check must not be used further.
     */
    public boolean hasNoPendingInput() {
        try {
            return !closed && input.size() == 0 && input.readFrom(source) == 0;
        } catch (IOException exception) {
            return false;
        }
    }

    /** Resumes reading after the listener has consumed bytes of a full ring buffer. */
    public void resumeReading() {
        if (!closed && !inputEnded && !input.isFull()) {
            source.resumeReads();
        }
    }

    /**
     * Queues bytes and writes as many as the socket accepts; the rest follows when the socket is writable.
     */
    public void write(byte[] bytes) {
        output.append(bytes);
        flush();
    }

    private void onWritable() {
        flush();
        if (!closed && isAllWritten()) {
            listener.onAllWritten();
        }
    }

    private void flush() {
        if (closed) {
            return;
        }
        try {
            while (output.size() > 0 && output.writeTo(sink) > 0) {
                continue;
            }
            if (output.size() == 0 && outputShutdownRequested) {
                sink.shutdownWrites();
            }
            if (output.size() == 0 && sink.flush()) {
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException exception) {
            fail();
        }
    }

    /** Returns whether the socket has accepted all bytes passed to {@link #write}. */
    public boolean isAllWritten() {
        return output.size() == 0;
    }

    /** Ends the output of this side once all queued bytes have been written; the input stays open. */
    public void shutdownOutput() {
        outputShutdownRequested = true;
        flush();
    }

    /** Reads what the socket holds now, without waiting for the notification of the selector. */
    public void readAvailable() {
        if (!closed && !inputEnded && !input.isFull()) {
            onReadable();
        }
    }

    private void fail() {
        if (!closed) {
            close();
            listener.onEndOfInput(true);
        }
    }

    /** Closes the connection without notifying the listener; bytes not written yet are lost. */
    public void close() {
        closed = true;
        IoUtils.safeClose(connection);
    }
}
