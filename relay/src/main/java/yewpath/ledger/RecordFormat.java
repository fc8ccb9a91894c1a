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
import yewpath.OutageState;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.ledger.FinishedMessages.FinishedMessage;
import yewpath.loop.ClockReading;

/**
 * Encodes and decodes the records of the ledger file. A record consists of the length of what follows the
 * checksum (4 bytes), a CRC-32 checksum of it (4 bytes), the type (1 byte), the number of the entry (8 bytes)
 * and the fields of the type. Numbers are big-endian; strings are UTF-8 after a length of 2 bytes.
 */
final class RecordFormat {
    /** The size of the length and the checksum that precede each record. */
    static final int HEADER_BYTES = 8;
    /** The size of the type and the entry number, which each record has. */
    private static final int MIN_RECORD_BYTES = 9;
    /** No longer record is written, so a greater length means that the file is corrupt there. */
    static final int MAX_RECORD_BYTES = (int) Math.min(16 << 20, Runtime.getRuntime().maxMemory() / 8);

    /** Receives the records that are read from the file; the buffer starts at the number of the entry. */
    interface RecordConsumer {
        void record(byte type, ByteBuffer fields);
    }

    /** Writes the fields of one record. */
    private interface FieldWriter {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private RecordFormat() {}

    /**
     * Passes the records of a stream to the consumer, up to the first one that is incomplete or corrupt. The
     * records of a batch are passed on only if the batch is complete.
     *
     * @param size the number of bytes in the stream
     * @return the number of bytes that the complete records take
     * @throws IOException if the stream cannot be read
     */
    static long replay(InputStream in, long size, RecordConsumer consumer) throws IOException {
        DataInputStream data = new DataInputStream(in);
        long replayedBytes = 0;
        while (size - replayedBytes >= HEADER_BYTES + MIN_RECORD_BYTES) {
            int length = data.readInt();
            int checksum = data.readInt();
            if (length < MIN_RECORD_BYTES
                || length > Math.min(MAX_RECORD_BYTES, size - replayedBytes - HEADER_BYTES)) {
                return replayedBytes;
            }
            byte[] record = data.readNBytes(length);
            if (record.length < length || checksum(record, 0, length) != checksum) {
                return replayedBytes;
            }
            replayRecord(record, consumer);
            replayedBytes += HEADER_BYTES + length;
        }
        return replayedBytes;
    }

    private static void replayRecord(byte[] bytes, RecordConsumer consumer) throws IOException {
        ByteBuffer record = ByteBuffer.wrap(bytes);
        byte type = record.get();
        if (type == Ledger.TYPE_BATCH) {
            int start = MIN_RECORD_BYTES;
            replay(new ByteArrayInputStream(bytes, start, bytes.length - start), bytes.length - start,
                consumer);
            return;
        }
        try {
            consumer.record(type, record);
        } catch (RuntimeException unknown) {
            // The checksum matches, so the record is not damaged: another version of the program wrote it.
            Log.log(Event.LEDGER_RECORD_SKIPPED, type, unknown);
        }
    }

    /** Combines records into one that is replayed as a whole or not at all. */
    static byte[] batch(List<byte[]> records) {
        if (records.size() == 1) {
            return records.get(0);
        }
        return record(Ledger.TYPE_BATCH, 0, out -> {
            for (byte[] record : records) {
                out.write(record);
            }
        });
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private static byte[] record(byte type, long number, FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            // Leaves room for the header, which depends on what follows.
            out.writeLong(0);
            out.writeByte(type);
            out.writeLong(number);
            fields.writeTo(out);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        byte[] record = bytes.toByteArray();
        int length = record.length - HEADER_BYTES;
        ByteBuffer.wrap(record).putInt(length).putInt(checksum(record, HEADER_BYTES, length));
        return record;
    }

    static byte[] accepted(LedgerEntry entry) {
        return record(Ledger.TYPE_ACCEPTED, entry.number, out -> {
            for (String text : new String[]{entry.id, entry.messageClass, entry.tenant, entry.key,
                entry.destination}) {
                out.writeBoolean(text != null);
                writeString(out, text == null ? "" : text);
            }
            out.writeLong(entry.deadlineMicros);
            out.writeInt(entry.body.length);
            out.write(entry.body);
            if (entry.idempotencyKey != null) {
                writeString(out, entry.idempotencyKey);
            }
        });
    }

    /** Creates the entry that an acceptance record describes. */
    static LedgerEntry readAccepted(long number, ByteBuffer in) {
        String[] texts = new String[5];
        for (int i = 0; i < texts.length; i++) {
            boolean isPresent = in.get() == 1;
            String text = readString(in);
            texts[i] = isPresent ? text : null;
        }
        long deadlineMicros = in.getLong();
        byte[] body = new byte[in.getInt()];
        in.get(body);
        // The last field, because records of versions without idempotency keys end before it.
        String idempotencyKey = in.hasRemaining() ? readString(in) : null;
        return new LedgerEntry(number, texts[0], texts[1], texts[2], texts[3], idempotencyKey, texts[4],
            deadlineMicros, body);
    }

    static byte[] attemptStarted(LedgerEntry entry) {
        return record(Ledger.TYPE_ATTEMPT_STARTED, entry.number, out -> {
            out.writeInt(entry.attempts);
            out.writeLong(entry.attemptStartedMicros);
            writeString(out, entry.attemptZone);
            out.writeLong(entry.uncertainSinceMicros);
            writeString(out, entry.uncertainZone);
        });
    }

    static void readAttemptStarted(LedgerEntry entry, ByteBuffer in) {
        entry.attempts = in.getInt();
        entry.attemptStartedMicros = in.getLong();
        entry.attemptZone = readString(in);
        entry.uncertainSinceMicros = in.getLong();
        entry.uncertainZone = readString(in);
    }

    static byte[] attemptEnded(LedgerEntry entry, boolean neverProcessed) {
        return record(Ledger.TYPE_ATTEMPT_ENDED, entry.number, out -> out.writeBoolean(neverProcessed));
    }

    static byte[] noticeOwed(LedgerEntry entry) {
        return record(Ledger.TYPE_NOTICE_OWED, entry.number, out -> {
            out.writeBoolean(entry.rejected);
            out.writeLong(entry.retryAfterMicros);
            out.writeLong(entry.finishedMicros);
            out.writeInt(entry.contentFingerprint);
        });
    }

    static void readNoticeOwed(LedgerEntry entry, ByteBuffer in) {
        entry.noticeOwed = true;
        entry.rejected = in.get() == 1;
        entry.retryAfterMicros = in.getLong();
        readFinishedMicros(entry, in);
        entry.contentFingerprint = readFingerprint(in);
    }

    static byte[] clock(ClockReading reading) {
        return record(Ledger.TYPE_CLOCK, 0, out -> {
            writeString(out, reading.bootId());
            out.writeLong(reading.monotonicMicros());
            out.writeLong(reading.unixMicros());
        });
    }

    static ClockReading readClock(ByteBuffer in) {
        String bootId = readString(in);
        return new ClockReading(bootId, in.getLong(), in.getLong());
    }

    static byte[] completed(LedgerEntry entry) {
        return record(Ledger.TYPE_COMPLETED, entry.number, out -> out.writeLong(entry.finishedMicros));
    }

    static void readCompleted(LedgerEntry entry, ByteBuffer in) {
        readFinishedMicros(entry, in);
    }

    /** Reads the last field of a record, which those of versions that did not record this time lack. */
    private static void readFinishedMicros(LedgerEntry entry, ByteBuffer in) {
        entry.finishedMicros = in.hasRemaining() ? in.getLong() : -1;
    }

    static byte[] finished(FinishedMessage message) {
        return record(Ledger.TYPE_FINISHED, 0, out -> {
            writeString(out, message.id());
            out.writeLong(message.finishedMicros());
            out.writeBoolean(message.rejected());
            out.writeInt(message.contentFingerprint());
        });
    }

    static FinishedMessage readFinished(ByteBuffer in) {
        String id = readString(in);
        long finishedMicros = in.getLong();
        boolean rejected = in.get() == 1;
        return new FinishedMessage(id, finishedMicros, rejected, readFingerprint(in));
    }

    /** Reads the last field of a record, which those of versions without fingerprints lack. */
    private static int readFingerprint(ByteBuffer in) {
        return in.hasRemaining() ? in.getInt() : ContentFingerprint.UNKNOWN;
    }

    static byte[] outage(String endpoint, OutageState state) {
        return record(Ledger.TYPE_OUTAGE, 0, out -> {
            writeString(out, endpoint);
            writeString(out, state.phase().name());
            writeString(out, state.symptom() == null ? "" : state.symptom().name());
            out.writeLong(state.sinceMicros());
        });
    }

    /** Reads an outage record and adds it to the known outages. */
    static void readOutage(KnownOutages outages, ByteBuffer in) {
        String endpoint = readString(in);
        OutageState.Phase phase = OutageState.Phase.valueOf(readString(in));
        String symptom = readString(in);
        outages.put(endpoint, new OutageState(phase,
            symptom.isEmpty() ? null : OutageState.Symptom.valueOf(symptom), in.getLong()));
    }

    /** Encodes the whole state of an entry in as few records as possible, one after the other. */
    static byte[] entireEntry(LedgerEntry entry) {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        records.writeBytes(accepted(entry));
        if (entry.attempts > 0) {
            records.writeBytes(attemptStarted(entry));
        }
        if (entry.noticeOwed) {
            records.writeBytes(noticeOwed(entry));
        }
        return records.toByteArray();
    }

    private static void writeString(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    private static String readString(ByteBuffer in) {
        byte[] bytes = new byte[in.getShort() & 0xffff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
