package yewpath.ledger;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.loop.ClockReading;

/** How records lie in the file: length, checksum, type, envelope's number, fields. */
final class Records {
    static final int FRAME = 8;
    private static final int LEAST = 9;
    /** A length above this is none that was written. */
    static final int LONGEST = (int) Math.min(16 << 20, Runtime.getRuntime().maxMemory() / 8);

    /** What to do with one record read back. */
    interface Sink {
        void record(byte type, ByteBuffer fields);
    }

    /** Puts a record's fields. */
    private interface Fields {
        void to(DataOutputStream out) throws IOException;
    }

    private Records() {}

    /**
     * Hands on one record after another, up to the first that is not whole; returns how many bytes that are. A batch counts
     * whole or not at all.
     */
    static long play(InputStream in, long size, Sink sink) throws IOException {
        DataInputStream data = new DataInputStream(in);
        long played = 0;
        while (size - played >= FRAME + LEAST) {
            int length = data.readInt();
            int sum = data.readInt();
            if (length < LEAST || length > Math.min(LONGEST, size - played - FRAME)) {
                return played;
            }
            byte[] fields = data.readNBytes(length);
            if (fields.length < length || sum(fields, 0, length) != sum) {
                return played;
            }
            playRecord(fields, sink);
            played += FRAME + length;
        }
        return played;
    }

    private static void playRecord(byte[] fields, Sink sink) throws IOException {
        ByteBuffer record = ByteBuffer.wrap(fields);
        byte type = record.get();
        if (type == Ledger.BATCH) {
            int start = LEAST;
            play(new ByteArrayInputStream(fields, start, fields.length - start), fields.length - start, sink);
            return;
        }
        try {
            sink.record(type, record);
        } catch (RuntimeException unknown) {
            // Whole, so written by a program that means something else by it.
            Log.log(Event.LEDGER_RECORD_SKIPPED, type, unknown);
        }
    }

    /** Returns the records as one that is read back whole or not at all. */
    static byte[] batch(List<byte[]> records) {
        if (records.size() == 1) {
            return records.get(0);
        }
        return record(Ledger.BATCH, 0, out -> {
            for (byte[] one : records) {
                out.write(one);
            }
        });
    }

    private static int sum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private static byte[] record(byte type, long number, Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0);
            out.writeByte(type);
            out.writeLong(number);
            fields.to(out);
        } catch (IOException never) {
            throw new UncheckedIOException(never);
        }
        byte[] record = bytes.toByteArray();
        int length = record.length - FRAME;
        ByteBuffer.wrap(record).putInt(length).putInt(sum(record, FRAME, length));
        return record;
    }

    static byte[] taken(Entry e) {
        return record(Ledger.TAKEN, e.number, out -> {
            for (String word : new String[]{e.id, e.offering, e.tenant, e.key, e.destination}) {
                out.writeBoolean(word != null);
                write(out, word == null ? "" : word);
            }
            out.writeLong(e.expiry);
            out.writeInt(e.body.length);
            out.write(e.body);
            if (e.tag != null) {
                write(out, e.tag);
            }
        });
    }

    static Entry readTaken(long number, ByteBuffer in) {
        String[] words = new String[5];
        for (int i = 0; i < words.length; i++) {
            boolean told = in.get() == 1;
            String word = read(in);
            words[i] = told ? word : null;
        }
        long expiry = in.getLong();
        byte[] body = new byte[in.getInt()];
        in.get(body);
        // Last, since records from before there were tags end here.
        String tag = in.hasRemaining() ? read(in) : null;
        return new Entry(number, words[0], words[1], words[2], words[3], tag, words[4], expiry, body);
    }

    static byte[] shot(Entry e) {
        return record(Ledger.SHOT, e.number, out -> {
            out.writeInt(e.shots);
            out.writeLong(e.outSince);
            write(out, e.outZone);
            out.writeLong(e.doubtSince);
            write(out, e.doubtZone);
        });
    }

    static void readShot(Entry e, ByteBuffer in) {
        e.shots = in.getInt();
        e.outSince = in.getLong();
        e.outZone = read(in);
        e.doubtSince = in.getLong();
        e.doubtZone = read(in);
    }

    static byte[] back(Entry e, boolean neverRan) {
        return record(Ledger.BACK, e.number, out -> out.writeBoolean(neverRan));
    }

    static byte[] owed(Entry e) {
        return record(Ledger.OWED, e.number, out -> {
            out.writeBoolean(e.handedBack);
            out.writeLong(e.pause);
        });
    }

    static void readOwed(Entry e, ByteBuffer in) {
        e.noticeOwed = true;
        e.handedBack = in.get() == 1;
        e.pause = in.getLong();
    }

    static byte[] clock(ClockReading reading) {
        return record(Ledger.CLOCK, 0, out -> {
            write(out, reading.bootId());
            out.writeLong(reading.monotonicMicros());
            out.writeLong(reading.unixMicros());
        });
    }

    static ClockReading readClock(ByteBuffer in) {
        String bootId = read(in);
        return new ClockReading(bootId, in.getLong(), in.getLong());
    }

    static byte[] over(Entry e) {
        return record(Ledger.OVER, e.number, out -> {});
    }

    /** All that is known of an envelope, as few records. */
    static byte[] whole(Entry e) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(taken(e));
        if (e.shots > 0) {
            all.writeBytes(shot(e));
        }
        if (e.noticeOwed) {
            all.writeBytes(owed(e));
        }
        return all.toByteArray();
    }

    private static void write(DataOutputStream out, String word) throws IOException {
        byte[] bytes = word.getBytes(StandardCharsets.UTF_8);
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    private static String read(ByteBuffer in) {
        byte[] bytes = new byte[in.getShort() & 0xffff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
