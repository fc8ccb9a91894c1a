package yewpath.ledger;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;

/** Selects the latest of several values whose records fit a limit on their size. */
final class LatestRecords {
    private LatestRecords() {}

    /**
     * Returns the records of the latest values, in the order of the values.
     *
     * @param oldestFirst the values, in the order in which they came
     * @param format makes the record of a value
     * @param maxBytes the limit on the size of all records together
     */
    static <T> Collection<byte[]> within(long maxBytes, List<T> oldestFirst, Function<T, byte[]> format) {
        ArrayDeque<byte[]> records = new ArrayDeque<>();
        long bytes = 0;
        for (int i = oldestFirst.size() - 1; i >= 0; i--) {
            byte[] record = format.apply(oldestFirst.get(i));
            bytes += record.length;
            if (bytes > maxBytes) {
                break;
            }
            records.addFirst(record);
        }
        return records;
    }
}
