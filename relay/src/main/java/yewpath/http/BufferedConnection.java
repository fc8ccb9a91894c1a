package yewpath.http;

import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** One open connection with its two rings; whoever owns it hears that bytes came, or that it is over. */
public final class BufferedConnection {
    /** Both are called on the I/O thread; after {@code over} nothing more comes. */
    public interface Listener {
        void onBytesReceived();

        /** {@code broken} tells an error from the other side's orderly end. */
        void onEndOfInput(boolean broken);
    }

    public final RingBuffer input;
    public final RingBuffer output;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private BufferedConnection.Listener owner;
    private boolean closed;
    private boolean ended;
    private boolean endsSending;

    /** Reads into a ring buffer that starts at the first size and grows to the second. */
    public BufferedConnection(StreamConnection connection, int ringFirst, int ringMost,
        BufferedConnection.Listener owner) {
        this.connection = connection;
        this.owner = owner;
        input = new RingBuffer(ringFirst, ringMost);
        output = new RingBuffer(ringFirst, ringMost);
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(channel -> readable());
        sink.setWriteListener(channel -> flush());
        source.resumeReads();
    }

    public boolean isClosed() {
        return closed;
    }

    /** Whether the other side has ended its sending. */
    public boolean isInputEnded() {
        return ended;
    }

    private void readable() {
        boolean broken = false;
        try {
            int read = 0;
            // Bounded by the ring: what doesn't fit stays in the socket and pushes back.
            while (!closed && (read = input.readFrom(source)) > 0) {
                if (input.isFull()) {
                    break;
                }
            }
            ended = read < 0;
        } catch (IOException e) {
            broken = true;
        }
        if (closed) {
            return;
        }
        if (ended || input.isFull()) {
            source.suspendReads();
        }
        // What came ahead of a reset counts: it may be the answer.
        if (input.size() > 0) {
            owner.onBytesReceived();
        }
        if (broken) {
            fail();
        } else if (ended && !closed) {
            owner.onEndOfInput(false);
        } else if (!closed && !input.isFull()) {
            source.resumeReads();
        }
    }

    /** Looks whether anything waits to be read; what does stays in the ring, and the link is not to be used on. */
    public boolean hasNoPendingInput() {
        try {
            return !closed && input.size() == 0 && input.readFrom(source) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Takes up reading again after the owner has emptied a full ring. */
    public void resumeReading() {
        if (!closed && !ended && !input.isFull()) {
            source.resumeReads();
        }
    }

    public void write(byte[] bytes) {
        output.append(bytes);
        flush();
    }

    private void flush() {
        if (closed) {
            return;
        }
        try {
            while (output.size() > 0 && output.writeTo(sink) > 0) {
                continue;
            }
            if (output.size() == 0 && endsSending) {
                sink.shutdownWrites();
            }
            if (output.size() == 0 && sink.flush()) {
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException e) {
            fail();
        }
    }

    public boolean isAllWritten() {
        return output.size() == 0;
    }

    /** Tells the other side that nothing more comes, once all that waits has been written. */
    public void shutdownOutput() {
        endsSending = true;
        flush();
    }

    /** Reads what has come by now, without waiting to be told of it. */
    public void readAvailable() {
        if (!closed && !ended && !input.isFull()) {
            readable();
        }
    }

    private void fail() {
        if (!closed) {
            close();
            owner.onEndOfInput(true);
        }
    }

    public void close() {
        closed = true;
        IoUtils.safeClose(connection);
    }
}
