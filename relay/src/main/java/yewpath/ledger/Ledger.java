package yewpath.ledger;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.loop.ClockReading;

/**
 * What outlives the process: one record after another, each with its length and checksum. What was written before a
 * kill is there afterwards, without any sync; a record cut short is dropped. While the folder cannot be written, records
 * stay pending and nothing that rests on them may leave.
 */
public final class Ledger {
    static final byte TAKEN = 1;
    static final byte SHOT = 2;
    static final byte BACK = 3;
    static final byte OWED = 4;
    static final byte OVER = 5;
    static final byte CLOCK = 6;
    static final byte BATCH = 7;

    /** A record that is not written yet, and the number of the entry it is about. */
    private record Pending(long number, byte[] bytes) {}

    private final LogFile file;
    private final long liveMost;
    private final long anewAt;
    /** Shots and ends of an envelope taken on must always find room: set aside for each from the start. */
    private final int aside;
    /** In whose time all entries are. */
    private ClockReading clock;
    private final Map<Long, Entry> live = new LinkedHashMap<>();
    private final List<Pending> pending = new ArrayList<>();
    private int pendingBytes;
    private boolean writable = true;
    private boolean closed;
    private long liveBytes;
    private long lastNumber;

    /** Replays what an earlier process left in a folder; fails only where that cannot be read. */
    public Ledger(Path folder, long liveMost, long anewAt, int aside, ClockReading now) throws IOException {
        this.liveMost = liveMost;
        this.anewAt = anewAt;
        this.aside = aside;
        file = new LogFile(folder);
        long torn = file.replay(this::restore);
        if (torn > 0) {
            Log.log(Event.LEDGER_TRUNCATED, torn);
        }
        takeOver(now);
        rewrite();
    }

    public Collection<Entry> live() {
        return new ArrayList<>(live.values());
    }

    public int size() {
        return live.size();
    }

    public long bytes() {
        return file.length();
    }

    /** Whether one more envelope could be kept to its end. */
    public boolean hasRoom(Entry e) {
        return liveBytes + e.room <= liveMost;
    }

    /** Creates an entry that is not part of the log yet. */
    public Entry draft(String id, String offering, String tenant, String key, String tag, String destination,
        long expiry, byte[] body) {
        Entry e = new Entry(++lastNumber, id, offering, tenant, key, tag, destination, expiry, body);
        e.room = Records.taken(e).length + aside;
        return e;
    }

    public void taken(Entry e) {
        add(e);
        append(e, Records.taken(e));
    }

    /** Records that an attempt is about to leave, before its first byte does. */
    public void shot(Entry e, long at, String zone) {
        e.shots++;
        e.outSince = at;
        e.outZone = zone;
        append(e, Records.shot(e));
    }

    /** The shot that was out has come to its end. */
    public void back(Entry e, boolean neverRan) {
        if (e.outSince < 0) {
            return;
        }
        if (neverRan) {
            e.outSince = -1;
        }
        e.outIsDoubt();
        append(e, Records.back(e, neverRan));
    }

    /** Records that the message ended without delivery and its notice is owed. */
    public void owed(Entry e, boolean handedBack, long pause) {
        e.noticeOwed = true;
        e.handedBack = handedBack;
        e.pause = pause;
        dropBody(e);
        append(e, Records.owed(e));
    }

    private void add(Entry e) {
        live.put(e.number, e);
        liveBytes += e.room;
    }

    private boolean remove(Entry e) {
        boolean was = live.remove(e.number) != null;
        liveBytes -= was ? e.room : 0;
        return was;
    }

    private void dropBody(Entry e) {
        liveBytes -= e.body.length;
        e.room -= e.body.length;
        e.body = new byte[0];
    }

    /** Records that nothing is owed for the message any more. */
    public void over(Entry e) {
        if (remove(e)) {
            append(e, Records.over(e));
        }
    }

    /** Takes back an entry of which no record is written yet. */
    public void discard(Entry e) {
        remove(e);
        pending.removeIf(record -> record.number == e.number);
        pendingBytes = pending.stream().mapToInt(record -> record.bytes.length).sum();
    }

    private void append(Entry e, byte[] record) {
        pending.add(new Pending(e.number, record));
        pendingBytes += record.length;
    }

    /** Whether the last write succeeded. */
    public boolean isWritable() {
        return writable;
    }

    /** Hands all records to the system; where that fails they stay pending, and nothing may leave that rests on them. */
    public boolean flush() {
        if (!closed && (!writable || pendingBytes > 0)) {
            boolean fits = pendingBytes < Records.LONGEST && file.length() + pendingBytes <= anewAt;
            if (writable && file.canAppend() && fits) {
                appendPending();
            } else {
                rewrite();
            }
        }
        return writable;
    }

    /** Leaves a file without batches, which earlier versions of the program can take up. */
    public void compact() {
        if (!closed) {
            rewrite();
        }
    }

    private void appendPending() {
        try {
            file.append(Records.batch(pending.stream().map(Pending::bytes).toList()));
            written();
        } catch (IOException e) {
            failed(e);
        }
    }

    /** Writes what is live in place of the file. */
    private void rewrite() {
        long begun = System.nanoTime();
        long before = file.length();
        Stream<byte[]> records = Stream.concat(Stream.of(Records.clock(clock)),
            live.values().stream().map(Records::whole));
        try {
            file.replace(records::iterator);
            if (before > 0) {
                Log.log(Event.LEDGER_COMPACTED, before, file.length(), live.size(),
                    (System.nanoTime() - begun) / 1_000_000);
            }
            written();
        } catch (IOException e) {
            failed(e);
        }
    }

    private void written() {
        pending.clear();
        pendingBytes = 0;
        if (!writable) {
            Log.log(Event.LEDGER_RECOVERED, live.size());
        }
        writable = true;
    }

    private void failed(IOException e) {
        if (writable) {
            Log.log(Event.LEDGER_FAILED, e);
        }
        writable = false;
    }

    /** Writes nothing any more. */
    public void close() {
        closed = true;
        writable = false;
        file.abandon();
    }

    /** Notices a folder that was replaced under this process; the next flush writes all into the new one. */
    public void checkPlace() {
        if (writable && !file.isInPlace()) {
            Log.log(Event.LEDGER_REPLACED, live.size());
            file.abandon();
            writable = false;
        }
    }

    /** What was read so far is from an earlier process: in its time, and what was out may have run, and may yet. */
    private void takeOver(ClockReading next) {
        long offset = clock == null ? 0 : next.offsetFrom(clock);
        for (Entry entry : live.values()) {
            entry.shiftTimes(offset);
            entry.outIsDoubt();
        }
        clock = next;
    }

    private void restore(byte type, ByteBuffer fields) {
        long number = fields.getLong();
        if (type == CLOCK) {
            takeOver(Records.readClock(fields));
            return;
        }
        lastNumber = Math.max(lastNumber, number);
        if (type == TAKEN) {
            Entry e = Records.readTaken(number, fields);
            e.room = Records.taken(e).length + aside;
            add(e);
            return;
        }
        Entry e = live.get(number);
        if (e == null) {
            return;
        }
        switch (type) {
            case SHOT -> Records.readShot(e, fields);
            case BACK -> {
                e.outSince = fields.get() == 1 ? -1 : e.outSince;
                e.outIsDoubt();
            }
            case OWED -> {
                Records.readOwed(e, fields);
                dropBody(e);
            }
            case OVER -> remove(e);
            default -> throw new IllegalArgumentException("no such type of record");
        }
    }
}
