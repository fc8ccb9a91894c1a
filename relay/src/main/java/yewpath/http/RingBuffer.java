package yewpath.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** The bytes of one direction of a connection; grows by doubling up to a bound, beyond which nothing is read. */
public final class RingBuffer {
    private final int first;
    private final int most;
    private byte[] bytes;
    private int head;
    private int size;

    /** Starts with room for {@code first} bytes and grows to at most {@code most}. */
    public RingBuffer(int first, int most) {
        this.first = first;
        this.most = most;
        bytes = new byte[Math.min(first, most)];
    }

    public int size() {
        return size;
    }

    public boolean isFull() {
        return size >= most;
    }

    public byte byteAt(int index) {
        return bytes[(head + index) % bytes.length];
    }

    /** Returns the index of the first such byte at or after {@code from}, or -1. */
    public int indexOf(byte wanted, int from) {
        for (int i = from; i < size; i++) {
            if (byteAt(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** Drops this many bytes from the front. */
    public void skip(int count) {
        head = (head + count) % bytes.length;
        size -= count;
        if (size == 0) {
            head = 0;
            // One large message must not keep its room on each of hundreds of connections.
            bytes = bytes.length > most ? new byte[first] : bytes;
        }
    }

    /** Moves this many bytes from the front into an array. */
    public void remove(byte[] into, int offset, int count) {
        int toEnd = Math.min(count, bytes.length - head);
        System.arraycopy(bytes, head, into, offset, toEnd);
        System.arraycopy(bytes, 0, into, offset + toEnd, count - toEnd);
        skip(count);
    }

    /** Appends bytes, growing the buffer as needed. */
    public void append(byte[] from) {
        reserve(size + from.length);
        int tail = (head + size) % bytes.length;
        int toEnd = Math.min(from.length, bytes.length - tail);
        System.arraycopy(from, 0, bytes, tail, toEnd);
        System.arraycopy(from, toEnd, bytes, 0, from.length - toEnd);
        size += from.length;
    }

    /** Returns what one read brought: 0 where nothing was there or no room is left, -1 at the end. */
    public int readFrom(ConduitStreamSourceChannel from) throws IOException {
        if (size == bytes.length) {
            if (isFull()) {
                return 0;
            }
            reserve(size + 1);
        }
        int tail = (head + size) % bytes.length;
        int room = Math.min(bytes.length - size, bytes.length - tail);
        int read = from.read(ByteBuffer.wrap(bytes, tail, room));
        size += Math.max(0, read);
        return read;
    }

    /** Returns how much one write took. */
    public int writeTo(ConduitStreamSinkChannel to) throws IOException {
        int written = to.write(ByteBuffer.wrap(bytes, head, Math.min(size, bytes.length - head)));
        skip(written);
        return written;
    }

    private void reserve(int wanted) {
        if (wanted <= bytes.length) {
            return;
        }
        // Only put() may pass the bound, by the one message being written; reading stops at it.
        int length = Math.max(wanted, Math.min(most, bytes.length * 2));
        byte[] larger = Arrays.copyOfRange(bytes, head, head + length);
        int toEnd = Math.min(size, bytes.length - head);
        System.arraycopy(bytes, 0, larger, toEnd, size - toEnd);
        bytes = larger;
        head = 0;
    }
}
