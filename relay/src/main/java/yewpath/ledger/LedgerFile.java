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
 * The ledger's file in the state folder. Records are appended to it until a write fails. After a failed write
 * the end of the file is unknown, so the next write has to replace the whole file.
 */
final class LedgerFile {
    private static final String FILE_NAME = "ledger";
    private static final String TEMPORARY_FILE_NAME = "ledger.next";
    private static final String SET_ASIDE_SUFFIX = ".unusable";
    /** Writes are split into chunks, because the JDK copies each one to a direct buffer of the same size. */
    private static final int CHUNK_BYTES = 64 * 1024;

    private final Path folder;
    private final Path path;
    private final Path temporaryPath;
    /** Null before the first write and after a failed one. */
    private FileChannel channel;
    /**
     * Identifies the file that the channel writes to; null before the first write or where the system has
     * none.
     */
    private Object fileKey;
    private long length;

    /**
     * Creates the folder if needed and removes or renames what is in the way; does not open the file yet.
     *
     * @throws IOException if the folder cannot be prepared
     */
    LedgerFile(Path folder) throws IOException {
        this.folder = folder;
        path = folder.resolve(FILE_NAME);
        temporaryPath = folder.resolve(TEMPORARY_FILE_NAME);
        Files.createDirectories(folder);
        setAside(path);
        setAside(temporaryPath);
        Files.deleteIfExists(temporaryPath);
    }

    /** Renames whatever has this path and is not a regular file; another program must have created it. */
    static void setAside(Path path) throws IOException {
        if (!Files.exists(path, LinkOption.NOFOLLOW_LINKS) || Files.isRegularFile(path)) {
            return;
        }
        int number = 0;
        Path target;
        do {
            target = path
                .resolveSibling(path.getFileName() + SET_ASIDE_SUFFIX + (number > 0 ? "." + number : ""));
            number++;
        } while (Files.exists(target, LinkOption.NOFOLLOW_LINKS));
        Files.move(path, target);
        Log.log(Event.LEDGER_MOVED_ASIDE, path.toString(), target.toString());
    }

    /**
     * Passes the records that an earlier process wrote to the consumer.
     *
     * @return the number of bytes at the end of the file that hold no complete record
     * @throws IOException if the file cannot be read
     */
    long replay(RecordFormat.RecordConsumer consumer) throws IOException {
        if (!Files.exists(path)) {
            return 0;
        }
        long size = Files.size(path);
        // A FileInputStream needs no direct memory, whose limit is lower than the size that the file can
        // have.
        try (InputStream in = new BufferedInputStream(new FileInputStream(path.toFile()), CHUNK_BYTES)) {
            return size - RecordFormat.replay(in, size, consumer);
        }
    }

    /** Returns whether the last write succeeded, so that another one can follow it. */
    boolean canAppend() {
        return channel != null;
    }

    /** Returns the number of bytes written to the file, without those of a failed write. */
    long length() {
        return length;
    }

    /** Appends to the file; if that fails the file is closed, and only {@link #replace} can write again. */
    void append(byte[] bytes) throws IOException {
        try {
            writeAll(channel, bytes);
        } catch (IOException e) {
            close();
            throw e;
        }
        length += bytes.length;
    }

    /**
     * Writes a temporary file and renames it to replace the old one, which stays unchanged until then.
     *
     * @throws IOException if that fails; the old file, if it is open, stays in use
     */
    void replace(Iterable<byte[]> contents) throws IOException {
        Files.createDirectories(folder);
        FileChannel newChannel = FileChannel.open(temporaryPath, StandardOpenOption.CREATE,
            StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
        Object newFileKey;
        long newLength;
        try {
            ByteArrayOutputStream chunk = new ByteArrayOutputStream(CHUNK_BYTES);
            for (byte[] bytes : contents) {
                chunk.writeBytes(bytes);
                if (chunk.size() >= CHUNK_BYTES) {
                    writeAll(newChannel, chunk.toByteArray());
                    chunk.reset();
                }
            }
            writeAll(newChannel, chunk.toByteArray());
            newLength = newChannel.position();
            newFileKey = fileKeyOf(temporaryPath);
            Files.move(temporaryPath, path, StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            closeQuietly(newChannel);
            removeTemporaryFile();
            throw e;
        }
        close();
        channel = newChannel;
        fileKey = newFileKey;
        length = newLength;
    }

    private void removeTemporaryFile() {
        try {
            Files.deleteIfExists(temporaryPath);
        } catch (IOException e) {
            Log.log(Event.LEDGER_LEFTOVER, temporaryPath.toString(), e);
        }
    }

    /** Returns whether the folder still holds the file that this process writes to. */
    boolean isInPlace() {
        try {
            return fileKey == null || fileKey.equals(fileKeyOf(path));
        } catch (IOException missing) {
            return false;
        }
    }

    private static Object fileKeyOf(Path path) throws IOException {
        return Files.readAttributes(path, BasicFileAttributes.class).fileKey();
    }

    /** Closes the file; nothing can be appended until the next {@link #replace}. */
    void close() {
        if (channel != null) {
            closeQuietly(channel);
            channel = null;
        }
    }

    /** Closes a file of which nothing more is needed; a failure is logged only. */
    static void closeQuietly(FileChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // No data is lost: earlier writes either succeeded or were reported as failed.
            Log.log(Event.LIBRARY, "closing the ledger file failed", e);
        }
    }

    private static void writeAll(FileChannel channel, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.position() < bytes.length) {
            buffer.limit(Math.min(bytes.length, buffer.position() + CHUNK_BYTES));
            channel.write(buffer);
        }
    }
}
