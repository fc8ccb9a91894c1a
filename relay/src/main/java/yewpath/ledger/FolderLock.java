package yewpath.ledger;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import yewpath.events.Event;
import yewpath.events.Log;

/**
 * The right of one process to use a state folder. The operating system releases it when the process ends in
 * whatever way. It is a lock on a file of its own, because the ledger's file is replaced by a rename.
 */
public final class FolderLock implements AutoCloseable {
    /** The name of the file in the folder; it stays there, empty. */
    public static final String FILE_NAME = "lock";

    private final FileChannel channel;

    private FolderLock(FileChannel channel) {
        this.channel = channel;
    }

    /**
     * Tries to lock a folder, which is created if needed. Where the file system has no locks, the folder counts
     * as locked.
     *
     * @return the lock; null if another process has it
     * @throws IOException if the folder or the file cannot be created
     */
    public static FolderLock tryAcquire(Path folder) throws IOException {
        Files.createDirectories(folder);
        Path path = folder.resolve(FILE_NAME);
        LedgerFile.setAside(path);
        FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = channel.tryLock();
        } catch (IOException unsupported) {
            Log.log(Event.LEDGER_UNLOCKED, unsupported);
            return new FolderLock(channel);
        }
        if (lock == null) {
            channel.close();
            return null;
        }
        return new FolderLock(channel);
    }

    /** Releases the folder; does nothing if that was done before. */
    @Override
    public void close() {
        LedgerFile.closeQuietly(channel);
    }
}
