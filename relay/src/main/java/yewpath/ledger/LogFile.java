package yewpath.ledger;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import yewpath.events.Event;
import yewpath.events.Log;

/**
 * The log's file in the lasting folder. It is appended to until a write fails; what stands at its end is not known then,
 * and the next write has to replace it whole.
 */
final class LogFile {
    private static final String NAME = "ledger";
    private static final String NEXT_NAME = "ledger.next";
    private static final String SET_ASIDE_SUFFIX = ".unusable";
    /** A write takes direct memory of its own size. */
    private static final int SLICE_BYTES = 64 * 1024;

    private final Path folder;
    private final Path path;
    private final Path next;
    private FileChannel channel;
    private Object key;
    private long length;

    /** Prepares the folder; nothing is written yet. */
    LogFile(Path folder) throws IOException {
        this.folder = folder;
        path = folder.resolve(NAME);
        next = folder.resolve(NEXT_NAME);
        Files.createDirectories(folder);
        setAside(path);
        setAside(next);
        Files.deleteIfExists(next);
    }

    /** What is no file has been put there by somebody else. */
    private static void setAside(Path path) throws IOException {
        if (!Files.exists(path, LinkOption.NOFOLLOW_LINKS) || Files.isRegularFile(path)) {
            return;
        }
        int number = 0;
        Path to;
        do {
            to = path
                .resolveSibling(path.getFileName() + SET_ASIDE_SUFFIX + (number > 0 ? "." + number : ""));
            number++;
        } while (Files.exists(to, LinkOption.NOFOLLOW_LINKS));
        Files.move(path, to);
        Log.log(Event.LEDGER_MOVED_ASIDE, path.toString(), to.toString());
    }

    /** Hands on the records of an earlier process; returns how many bytes at the end are none. */
    long replay(Records.Sink sink) throws IOException {
        if (!Files.exists(path)) {
            return 0;
        }
        long size = Files.size(path);
        // Takes no direct memory, of which there is less than a log can be long.
        try (InputStream in = new BufferedInputStream(new FileInputStream(path.toFile()), SLICE_BYTES)) {
            return size - Records.play(in, size, sink);
        }
    }

    /** Whether the last write succeeded, so that another can follow it. */
    boolean canAppend() {
        return channel != null;
    }

    long length() {
        return length;
    }

    void append(byte[] bytes) throws IOException {
        try {
            writeAll(channel, bytes);
        } catch (IOException e) {
            abandon();
            throw e;
        }
        length += bytes.length;
    }

    /** Puts a new file in place of the old one, which stays until the new one is whole. */
    void replace(Iterable<byte[]> contents) throws IOException {
        Files.createDirectories(folder);
        FileChannel written = FileChannel.open(next, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
        Object writtenKey;
        long size;
        try {
            ByteArrayOutputStream slice = new ByteArrayOutputStream(SLICE_BYTES);
            for (byte[] bytes : contents) {
                slice.writeBytes(bytes);
                if (slice.size() >= SLICE_BYTES) {
                    writeAll(written, slice.toByteArray());
                    slice.reset();
                }
            }
            writeAll(written, slice.toByteArray());
            size = written.position();
            writtenKey = keyOf(next);
            Files.move(next, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            closeQuietly(written);
            removeNext();
            throw e;
        }
        abandon();
        channel = written;
        key = writtenKey;
        length = size;
    }

    private void removeNext() {
        try {
            Files.deleteIfExists(next);
        } catch (IOException e) {
            Log.log(Event.LEDGER_LEFTOVER, next.toString(), e);
        }
    }

    /** Whether the folder still holds the file that is written to. */
    boolean isInPlace() {
        try {
            return key == null || key.equals(keyOf(path));
        } catch (IOException gone) {
            return false;
        }
    }

    private static Object keyOf(Path path) throws IOException {
        return Files.readAttributes(path, BasicFileAttributes.class).fileKey();
    }

    /** Writes no more to this file. */
    void abandon() {
        if (channel != null) {
            closeQuietly(channel);
            channel = null;
        }
    }

    private static void closeQuietly(FileChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // What was written before is in the file or was told as failed.
            Log.log(Event.LIBRARY, "closing the log failed", e);
        }
    }

    private static void writeAll(FileChannel to, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.position() < bytes.length) {
            buffer.limit(Math.min(bytes.length, buffer.position() + SLICE_BYTES));
            to.write(buffer);
        }
    }
}
