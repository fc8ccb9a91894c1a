package yewpath.ledger;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;
import yewpath.OutageState;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.ledger.FinishedMessages.FinishedMessage;
import yewpath.loop.ClockReading;

/**
 * The write-ahead log of accepted messages and their attempts. Each record in the file has its length and
 * checksum; a record that was cut short is dropped when the file is replayed. Written records survive a kill
 * of the process without an fsync, because the operating system already holds them. While the state folder
 * cannot be written, records stay pending, and the caller must not send anything that depends on them.
 *
 * <p>Not thread-safe.
 */
public final class Ledger {
    /** A message was accepted. */
    static final byte TYPE_ACCEPTED = 1;
    /** An attempt is about to be sent. */
    static final byte TYPE_ATTEMPT_STARTED = 2;
    /** An attempt ended without delivery. */
    static final byte TYPE_ATTEMPT_ENDED = 3;
    /** The message ended without delivery, and the platform has to be notified. */
    static final byte TYPE_NOTICE_OWED = 4;
    /** Nothing is left to do for the message. */
    static final byte TYPE_COMPLETED = 5;
    /** The clock of the process that wrote the records that follow. */
    static final byte TYPE_CLOCK = 6;
    /** Several records that are replayed together or not at all. */
    static final byte TYPE_BATCH = 7;
    /** A message that ended before the file was rewritten. */
    static final byte TYPE_FINISHED = 8;
    /** What is known of an outage of an endpoint has changed. */
    static final byte TYPE_OUTAGE = 9;

    /** The number in records that belong to no entry. */
    private static final long NO_ENTRY = 0;
    /** The part of the heap that the ids of finished messages may take. */
    private static final int HEAP_PART_FOR_FINISHED_MESSAGES = 16;

    /** A record that is not written yet, and the number of the entry that it belongs to. */
    private record PendingRecord(long number, byte[] bytes) {}

    private final LedgerFile file;
    /** Null if the caller has made sure otherwise that no other process uses the folder. */
    private FolderLock lock;
    private final long maxLiveBytes;
    private final long compactAtBytes;
    /** Reserved when an entry is created, so that the later records of an accepted message always fit. */
    private final int reservedBytesPerEntry;
    /** The clock that the times of all entries refer to. */
    private ClockReading clock;
    private final Map<Long, LedgerEntry> entries = new LinkedHashMap<>();
    private final FinishedMessages finishedMessages = new FinishedMessages(
        Runtime.getRuntime().maxMemory() / HEAP_PART_FOR_FINISHED_MESSAGES);
    private final KnownOutages knownOutages = new KnownOutages();
    private final List<PendingRecord> pending = new ArrayList<>();
    private int pendingBytes;
    private boolean writable = true;
    private boolean closed;
    private long liveBytes;
    private long lastNumber;

    /**
     * Opens the ledger in a folder, which is created if needed, and replays what an earlier process left
     * there. Then rewrites the file; if that fails the ledger starts as not writable.
     *
     * @param maxLiveBytes the limit on the reserved size of all entries together
     * @param compactAtBytes the file is rewritten instead of growing beyond this size
     * @param reservedBytesPerEntry the room kept for the records that follow the acceptance of a message
     * @param now the current reading of this process's clock, to which the replayed times are converted
     * @throws IOException if the folder cannot be created or the existing file cannot be read
     */
    public Ledger(Path folder, long maxLiveBytes, long compactAtBytes, int reservedBytesPerEntry,
        ClockReading now) throws IOException {
        this.maxLiveBytes = maxLiveBytes;
        this.compactAtBytes = compactAtBytes;
        this.reservedBytesPerEntry = reservedBytesPerEntry;
        file = new LedgerFile(folder);
        long incompleteBytes = file.replay(this::restore);
        if (incompleteBytes > 0) {
            Log.log(Event.LEDGER_TRUNCATED, incompleteBytes);
        }
        adoptEntries(now);
        rewrite();
    }

    /** Returns a copy of the list of live entries, in the order of their acceptance. */
    public Collection<LedgerEntry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** Returns the messages that ended recently, also those that ended in an earlier process. */
    public FinishedMessages finishedMessages() {
        return finishedMessages;
    }

    /** Returns what is known of outages of endpoints, also what an earlier process knew. */
    public KnownOutages knownOutages() {
        return knownOutages;
    }

    /** Records what is known of an outage of an endpoint. */
    public void recordOutage(String endpoint, OutageState state) {
        knownOutages.put(endpoint, state);
        append(NO_ENTRY, RecordFormat.outage(endpoint, state));
    }

    /** Whether the ledger knows any message, open or finished. */
    public boolean hasHistory() {
        return !entries.isEmpty() || !finishedMessages.isEmpty();
    }

    /** Returns the number of live entries. */
    public int size() {
        return entries.size();
    }

    /** Returns the size of the file in bytes. */
    public long fileBytes() {
        return file.length();
    }

    /** Returns whether this entry and its later records fit within the limit on live entries. */
    public boolean hasRoomFor(LedgerEntry entry) {
        return liveBytes + entry.reservedBytes <= maxLiveBytes;
    }

    /**
     * Creates an entry with the next number; it is not part of the ledger until its acceptance is recorded.
     */
    public LedgerEntry createEntry(String id, String messageClass, String tenant, String key,
        String idempotencyKey, String destination, long deadlineMicros, byte[] body) {
        LedgerEntry entry = new LedgerEntry(++lastNumber, id, messageClass, tenant, key, idempotencyKey,
            destination, deadlineMicros, body);
        entry.reservedBytes = RecordFormat.accepted(entry).length + reservedBytesPerEntry;
        return entry;
    }

    /** Adds an entry and records that its message was accepted. */
    public void recordAccepted(LedgerEntry entry) {
        add(entry);
        append(entry, RecordFormat.accepted(entry));
    }

    /** Records an attempt; must be called and flushed before the first byte of the attempt is sent. */
    public void recordAttempt(LedgerEntry entry, long startedMicros, String zone) {
        entry.attempts++;
        entry.attemptStartedMicros = startedMicros;
        entry.attemptZone = zone;
        append(entry, RecordFormat.attemptStarted(entry));
    }

    /**
     * Records that the attempt in progress ended without delivery; does nothing if there is none.
     *
     * @param neverProcessed whether it is certain that the endpoint did not process the message
     */
    public void recordAttemptEnded(LedgerEntry entry, boolean neverProcessed) {
        if (entry.attemptStartedMicros < 0) {
            return;
        }
        if (neverProcessed) {
            entry.attemptStartedMicros = -1;
        }
        entry.endAttemptAsUncertain();
        append(entry, RecordFormat.attemptEnded(entry, neverProcessed));
    }

    /**
     * Records that the message ended without delivery and that the platform has to be notified; drops its
     * body.
     */
    public void recordNoticeOwed(LedgerEntry entry, boolean rejected, long retryAfterMicros,
        long nowMicros) {
        entry.noticeOwed = true;
        entry.rejected = rejected;
        entry.retryAfterMicros = retryAfterMicros;
        entry.finishedMicros = nowMicros;
        addFinished(entry);
        dropBody(entry);
        append(entry, RecordFormat.noticeOwed(entry));
    }

    private void add(LedgerEntry entry) {
        entries.put(entry.number, entry);
        liveBytes += entry.reservedBytes;
    }

    private boolean remove(LedgerEntry entry) {
        boolean wasLive = entries.remove(entry.number) != null;
        liveBytes -= wasLive ? entry.reservedBytes : 0;
        return wasLive;
    }

    private void dropBody(LedgerEntry entry) {
        liveBytes -= entry.body.length;
        entry.reservedBytes -= entry.body.length;
        entry.body = new byte[0];
    }

    /**
     * Removes an entry and records that its message is delivered, so that nothing is left to do; does nothing
     * if it is not live.
     */
    public void recordDelivered(LedgerEntry entry, long nowMicros) {
        if (remove(entry)) {
            entry.finishedMicros = nowMicros;
            addFinished(entry);
            append(entry, RecordFormat.completed(entry));
        }
    }

    /**
     * Removes an entry and records that nothing is left to do: the platform has acknowledged the notice, or
     * the message was never confirmed to its client, which may submit it again under the same id. Does
     * nothing if the entry is not live.
     */
    public void recordCompleted(LedgerEntry entry) {
        if (remove(entry)) {
            append(entry, RecordFormat.completed(entry));
        }
    }

    /** Removes an entry together with its pending records; none of its records may have been written yet. */
    public void discard(LedgerEntry entry) {
        remove(entry);
        pending.removeIf(record -> record.number == entry.number);
        pendingBytes = pending.stream().mapToInt(record -> record.bytes.length).sum();
    }

    private void append(LedgerEntry entry, byte[] record) {
        append(entry.number, record);
    }

    private void append(long number, byte[] record) {
        pending.add(new PendingRecord(number, record));
        pendingBytes += record.length;
    }

    /** Returns whether the last write succeeded and the ledger is not closed. */
    public boolean isWritable() {
        return writable;
    }

    /**
     * Writes all pending records, or the whole file anew where it would grow too large or where the last
     * write failed. If it fails the records stay pending, and nothing that depends on them may be sent.
     *
     * @return whether all records are written
     */
    public boolean flush() {
        if (!closed && (!writable || pendingBytes > 0)) {
            boolean fits = pendingBytes < RecordFormat.MAX_RECORD_BYTES
                && file.length() + pendingBytes <= compactAtBytes;
            if (writable && file.canAppend() && fits) {
                appendPending();
            } else {
                rewrite();
            }
        }
        return writable;
    }

    /**
     * Rewrites the file without batch records, which earlier versions of the program skip when they read it.
     */
    public void compact() {
        if (!closed) {
            rewrite();
        }
    }

    private void appendPending() {
        try {
            file.append(RecordFormat.batch(pending.stream().map(PendingRecord::bytes).toList()));
            writeSucceeded();
        } catch (IOException e) {
            writeFailed(e);
        }
    }

    /** Replaces the file by one that holds only the live entries. */
    private void rewrite() {
        long startNanos = System.nanoTime();
        long bytesBefore = file.length();
        Collection<byte[]> outageRecords = knownOutages.records(maxHistoryBytes() / 2);
        long outageBytes = outageRecords.stream().mapToLong(record -> record.length).sum();
        Stream<byte[]> records = Stream.of(Stream.of(RecordFormat.clock(clock)), outageRecords.stream(),
            finishedMessages.records(maxHistoryBytes() - outageBytes).stream(),
            entries.values().stream().map(RecordFormat::entireEntry)).flatMap(Function.identity());
        try {
            file.replace(records::iterator);
            if (bytesBefore > 0) {
                Log.log(Event.LEDGER_COMPACTED, bytesBefore, file.length(), entries.size(),
                    (System.nanoTime() - startNanos) / 1_000_000);
            }
            writeSucceeded();
        } catch (IOException e) {
            writeFailed(e);
        }
    }

    /**
     * Returns how many bytes of a rewritten file outages and finished messages may take: no more than live entries
     * leave of their limit, because the old and the new file exist at the same time, and half of the room for later
     * records, so that the file is not rewritten again soon.
     */
    private long maxHistoryBytes() {
        return Math.min(maxLiveBytes - liveBytes, (compactAtBytes - maxLiveBytes) / 2);
    }

    private void writeSucceeded() {
        pending.clear();
        pendingBytes = 0;
        if (!writable) {
            Log.log(Event.LEDGER_RECOVERED, entries.size());
        }
        writable = true;
    }

    private void writeFailed(IOException e) {
        if (writable) {
            Log.log(Event.LEDGER_FAILED, e);
        }
        writable = false;
    }

    /** Takes over the lock of the folder, which is released when the ledger is closed. */
    public void keep(FolderLock acquiredLock) {
        lock = acquiredLock;
    }

    /** Closes the file; later calls of {@link #flush} write nothing and return false. */
    public void close() {
        closed = true;
        writable = false;
        file.close();
        if (lock != null) {
            lock.close();
        }
    }

    /**
     * Checks whether the state folder or the file was replaced while this process runs. If so, the ledger
     * counts as not writable, and the next flush writes all live entries into the new folder.
     */
    public void checkFileReplaced() {
        if (writable && !file.isInPlace()) {
            Log.log(Event.LEDGER_REPLACED, entries.size());
            file.close();
            writable = false;
        }
    }

    /**
     * Adopts the entries of an earlier process: converts their times to the given clock, and treats each
     * attempt that was in progress as one that the endpoint may have processed or may still process.
     */
    private void adoptEntries(ClockReading newClock) {
        long offsetMicros = clock == null ? 0 : newClock.offsetMicrosFrom(clock);
        for (LedgerEntry entry : entries.values()) {
            entry.shiftTimes(offsetMicros);
            entry.endAttemptAsUncertain();
        }
        finishedMessages.shiftTimes(offsetMicros);
        knownOutages.shiftTimes(offsetMicros);
        clock = newClock;
    }

    /** Applies one record of the file that is being replayed. */
    private void restore(byte type, ByteBuffer fields) {
        long number = fields.getLong();
        if (type == TYPE_CLOCK) {
            adoptEntries(RecordFormat.readClock(fields));
            return;
        }
        if (type == TYPE_FINISHED) {
            finishedMessages.add(RecordFormat.readFinished(fields));
            return;
        }
        if (type == TYPE_OUTAGE) {
            RecordFormat.readOutage(knownOutages, fields);
            return;
        }
        lastNumber = Math.max(lastNumber, number);
        if (type == TYPE_ACCEPTED) {
            LedgerEntry accepted = RecordFormat.readAccepted(number, fields);
            accepted.reservedBytes = RecordFormat.accepted(accepted).length + reservedBytesPerEntry;
            add(accepted);
            return;
        }
        LedgerEntry entry = entries.get(number);
        if (entry == null) {
            return;
        }
        switch (type) {
            case TYPE_ATTEMPT_STARTED -> RecordFormat.readAttemptStarted(entry, fields);
            case TYPE_ATTEMPT_ENDED -> {
                entry.attemptStartedMicros = fields.get() == 1 ? -1 : entry.attemptStartedMicros;
                entry.endAttemptAsUncertain();
            }
            case TYPE_NOTICE_OWED -> {
                RecordFormat.readNoticeOwed(entry, fields);
                addFinished(entry);
                dropBody(entry);
            }
            case TYPE_COMPLETED -> {
                RecordFormat.readCompleted(entry, fields);
                addFinished(entry);
                remove(entry);
            }
            default -> throw new IllegalArgumentException("unknown ledger record type");
        }
    }

    /** Adds the message of an entry to the finished ones, if it is known when it ended. */
    private void addFinished(LedgerEntry entry) {
        if (entry.finishedMicros >= 0) {
            finishedMessages.add(new FinishedMessage(entry.id, entry.finishedMicros, entry.rejected,
                entry.contentFingerprint));
        }
    }
}
