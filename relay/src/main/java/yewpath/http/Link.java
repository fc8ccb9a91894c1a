package yewpath.http;

import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** One open connection with its two rings; whoever owns it hears that bytes came, or that it is over. */
public final class Link {
    /** Both are called on the I/O thread; after {@code over} nothing more comes. */
    public interface Owner {
        void came();

        /** {@code broken} tells an error from the other side's orderly end. */
        void over(boolean broken);
    }

    public final Ring in;
    public final Ring out;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private Owner owner;
    private boolean closed;
    private boolean ended;
    private boolean endsSending;

    /** Reads into a ring buffer that starts at the first size and grows to the second. */
    public Link(StreamConnection connection, int ringFirst, int ringMost, Owner owner) {
        this.connection = connection;
        this.owner = owner;
        in = new Ring(ringFirst, ringMost);
        out = new Ring(ringFirst, ringMost);
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
    public boolean isEnded() {
        return ended;
    }

    private void readable() {
        boolean broken = false;
        try {
            int read = 0;
            // Bounded by the ring: what doesn't fit stays in the socket and pushes back.
            while (!closed && (read = in.fill(source)) > 0) {
                if (in.isFull()) {
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
        if (ended || in.isFull()) {
            source.suspendReads();
        }
        // What came ahead of a reset counts: it may be the answer.
        if (in.size() > 0) {
            owner.came();
        }
        if (broken) {
            fail();
        } else if (ended && !closed) {
            owner.over(false);
        } else if (!closed && !in.isFull()) {
            source.resumeReads();
        }
    }

    /** Looks whether anything waits to be read; what does stays in the ring, and the link is not to be used on. */
    public boolean isQuiet() {
        try {
            return !closed && in.size() == 0 && in.fill(source) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Takes up reading again after the owner has emptied a full ring. */
    public void readOn() {
        if (!closed && !ended && !in.isFull()) {
            source.resumeReads();
        }
    }

    public void write(byte[] bytes) {
        out.put(bytes);
        flush();
    }

    private void flush() {
        if (closed) {
            return;
        }
        try {
            while (out.size() > 0 && out.drain(sink) > 0) {
                continue;
            }
            if (out.size() == 0 && endsSending) {
                sink.shutdownWrites();
            }
            if (out.size() == 0 && sink.flush()) {
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException e) {
            fail();
        }
    }

    public boolean allWritten() {
        return out.size() == 0;
    }

    /** Tells the other side that nothing more comes, once all that waits has been written. */
    public void endSending() {
        endsSending = true;
        flush();
    }

    /** Reads what has come by now, without waiting to be told of it. */
    public void look() {
        if (!closed && !ended && !in.isFull()) {
            readable();
        }
    }

    private void fail() {
        if (!closed) {
            close();
            owner.over(true);
        }
    }

    public void close() {
        closed = true;
        IoUtils.safeClose(connection);
    }
}
