package yewpath.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A ring buffer for the bytes of one direction of a connection. It doubles its capacity when it is full, up
 * to a maximum; reading from the channel stops there.
 */
public final class RingBuffer {
    private final int initialBytes;
    private final int maxBytes;
    private byte[] bytes;
    private int head;
    private int size;

    /**
     * Creates an empty buffer with a capacity of {@code initialBytes}, which may grow to {@code maxBytes}.
     */
    public RingBuffer(int initialBytes, int maxBytes) {
        this.initialBytes = initialBytes;
        this.maxBytes = maxBytes;
        bytes = new byte[Math.min(initialBytes, maxBytes)];
    }

    /** Returns the number of bytes in the buffer. */
    public int size() {
        return size;
    }

    /** Returns whether the buffer holds its maximum, so that nothing more is read from the channel. */
    public boolean isFull() {
        return size >= maxBytes;
    }

    /** Returns the byte at this index, counted from the front; the index must be below {@link #size}. */
    public byte byteAt(int index) {
        return bytes[(head + index) % bytes.length];
    }

    /** Returns the index of the first occurrence of a byte at or after {@code fromIndex}, or -1. */
    public int indexOf(byte wanted, int fromIndex) {
        for (int i = fromIndex; i < size; i++) {
            if (byteAt(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** Removes {@code count} bytes from the front; {@code count} must not exceed {@link #size}. */
    public void skip(int count) {
        head = (head + count) % bytes.length;
        size -= count;
        if (size == 0) {
            head = 0;
            // Releases the memory of one large message; hundreds of connections may have had one.
            bytes = bytes.length > maxBytes ? new byte[initialBytes] : bytes;
        }
    }

    /** Moves {@code count} bytes from the front into {@code target}, starting at {@code offset}. */
    public void remove(byte[] target, int offset, int count) {
        int toEnd = Math.min(count, bytes.length - head);
        System.arraycopy(bytes, head, target, offset, toEnd);
        System.arraycopy(bytes, 0, target, offset + toEnd, count - toEnd);
        skip(count);
    }

    /** Appends bytes. Grows the buffer as needed, even beyond its maximum. */
    public void append(byte[] source) {
        reserve(size + source.length);
        int tail = (head + size) % bytes.length;
        int toEnd = Math.min(source.length, bytes.length - tail);
        System.arraycopy(source, 0, bytes, tail, toEnd);
        System.arraycopy(source, toEnd, bytes, 0, source.length - toEnd);
        size += source.length;
    }

    /**
     * Reads once from a channel. Returns the number of bytes read, 0 if none were available or the buffer is
     * full, and -1 at the end of the stream.
     */
    public int readFrom(ConduitStreamSourceChannel channel) throws IOException {
        if (size == bytes.length) {
            if (isFull()) {
                return 0;
            }
            reserve(size + 1);
        }
        int tail = (head + size) % bytes.length;
        int room = Math.min(bytes.length - size, bytes.length - tail);
        int read = channel.read(ByteBuffer.wrap(bytes, tail, room));
        size += Math.max(0, read);
        return read;
    }

    /** Writes once to a channel and removes the bytes written. Returns their number. */
    public int writeTo(ConduitStreamSinkChannel channel) throws IOException {
        int written = channel.write(ByteBuffer.wrap(bytes, head, Math.min(size, bytes.length - head)));
        skip(written);
        return written;
    }

    private void reserve(int neededBytes) {
        if (neededBytes <= bytes.length) {
            return;
        }
        // Only append() may exceed the maximum, by the message that is being sent; readFrom() stops at the
        // maximum.
        int capacity = Math.max(neededBytes, Math.min(maxBytes, bytes.length * 2));
        byte[] larger = Arrays.copyOfRange(bytes, head, head + capacity);
        int toEnd = Math.min(size, bytes.length - head);
        System.arraycopy(bytes, 0, larger, toEnd, size - toEnd);
        bytes = larger;
        head = 0;
    }
}
