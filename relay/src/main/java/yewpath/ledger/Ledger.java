package yewpath.ledger;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.loop.ClockReading;

/**
 * The file that outlives the process: one record after another, each with its length and checksum. What was
 * written to it before a kill is there afterwards, without any sync; a record cut short is dropped.
 */
public final class Ledger {
    static final byte TAKEN = 1, SHOT = 2, BACK = 3, OWED = 4, OVER = 5, CLOCK = 6;
    private static final String FILE = "ledger", NEXT = "ledger.next";

    private final Path folder;
    private final long liveMost;
    private final long anewAt;
    /** Shots and ends of an envelope taken on must always find room: set aside for each from the start. */
    private final int aside;
    /** In whose time all entries are. */
    private ClockReading clock;
    private final Map<Long, Entry> live = new LinkedHashMap<>();
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private FileChannel file;
    private long fileBytes;
    private long liveBytes;
    private long lastNumber;

    /** Opens the log in a folder and replays what an earlier process left there. */
    public Ledger(Path folder, long liveMost, long anewAt, int aside, ClockReading now) throws IOException {
        this.folder = folder;
        this.liveMost = liveMost;
        this.anewAt = anewAt;
        this.aside = aside;
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(NEXT));
        Path path = folder.resolve(FILE);
        if (Files.exists(path)) {
            long whole = Records.play(Files.readAllBytes(path), this::restore);
            if (whole < Files.size(path)) {
                Log.tell(Event.LEDGER_TORN, Files.size(path) - whole);
            }
        }
        takeOverTimes(now);
        // A shot that was out when the process ended may have run, and may yet.
        live.values().forEach(Entry::outIsDoubt);
        writeAnew();
    }

    public Collection<Entry> live() {
        return new ArrayList<>(live.values());
    }

    public int size() {
        return live.size();
    }

    public long bytes() {
        return fileBytes;
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
        append(Records.taken(e));
    }

    /** Records that an attempt is about to leave, before its first byte does. */
    public void shot(Entry e, long at, String zone) {
        e.shots++;
        e.outSince = at;
        e.outZone = zone;
        append(Records.shot(e));
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
        append(Records.back(e, neverRan));
    }

    /** Records that the message ended without delivery and its notice is owed. */
    public void owed(Entry e, boolean handedBack, long pause) {
        e.noticeOwed = true;
        e.handedBack = handedBack;
        e.pause = pause;
        dropBody(e);
        append(Records.owed(e));
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
            append(Records.over(e));
        }
    }

    private void append(byte[] record) {
        pending.writeBytes(record);
    }

    /** Hands all records to the system; only then may anything that rests on them leave. */
    public void flush() throws IOException {
        if (pending.size() == 0) {
            return;
        }
        if (fileBytes + pending.size() > anewAt) {
            pending.reset();
            writeAnew();
            return;
        }
        writeAll(file, ByteBuffer.wrap(pending.toByteArray()));
        fileBytes += pending.size();
        pending.reset();
    }

    private static void writeAll(FileChannel to, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            to.write(bytes);
        }
    }

    /** The old file stays until the new one is whole; a kill in between leaves one of them. */
    private void writeAnew() throws IOException {
        long begun = System.nanoTime();
        long before = fileBytes;
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(Records.clock(clock));
        for (Entry e : live.values()) {
            all.writeBytes(Records.whole(e));
        }
        Path next = folder.resolve(NEXT);
        FileChannel written = FileChannel.open(next, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
        writeAll(written, ByteBuffer.wrap(all.toByteArray()));
        Files.move(next, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
        if (file != null) {
            file.close();
        }
        boolean first = file == null;
        file = written;
        fileBytes = all.size();
        if (!first) {
            Log.tell(Event.LEDGER_COMPACTED, before, fileBytes, live.size(),
                (System.nanoTime() - begun) / 1_000_000);
        }
    }

    /** What was read so far is in the time of an earlier process. */
    private void takeOverTimes(ClockReading next) {
        long offset = clock == null ? 0 : next.offsetFrom(clock);
        live.values().forEach(entry -> entry.shiftTimes(offset));
        clock = next;
    }

    private void restore(byte type, ByteBuffer fields) {
        long number = fields.getLong();
        if (type == CLOCK) {
            takeOverTimes(Records.readClock(fields));
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
            default -> remove(e);
        }
    }
}
