package yewpath.ledger;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * A short value that tells messages of different content apart, so that a request under a known id is recognized as
 * a repeat or as another client's message.
 */
public final class ContentFingerprint {
    /** The fingerprint of a message whose content is not known any more; it may equal any other. */
    public static final int UNKNOWN = 0;
    /** Takes the place of a fingerprint that happens to equal {@link #UNKNOWN}. */
    private static final int SUBSTITUTE = 1;
    /** Precede the fields, so that no two sets of fields are the same bytes. */
    private static final int ABSENT = 0;
    private static final int PRESENT = 1;

    private ContentFingerprint() {}

    /** Returns the fingerprint of a message; its keys may be null. */
    public static int of(String messageClass, String destination, String key, String idempotencyKey,
        byte[] body) {
        CRC32C checksum = new CRC32C();
        for (String field : new String[]{messageClass, destination, key, idempotencyKey}) {
            checksum.update(field == null ? ABSENT : PRESENT);
            checksum.update(String.valueOf(field).getBytes(StandardCharsets.UTF_8));
        }
        checksum.update(ABSENT);
        checksum.update(body);
        int fingerprint = (int) checksum.getValue();
        return fingerprint == UNKNOWN ? SUBSTITUTE : fingerprint;
    }

    /** Whether two fingerprints prove that the messages differ. */
    public static boolean differ(int first, int second) {
        return first != UNKNOWN && second != UNKNOWN && first != second;
    }
}
