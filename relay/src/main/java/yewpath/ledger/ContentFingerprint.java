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

    private ContentFingerprint() {}

    /** Returns the fingerprint of a message. */
    public static int of(String messageClass, String destination, byte[] body) {
        CRC32C checksum = new CRC32C();
        checksum.update(messageClass.getBytes(StandardCharsets.UTF_8));
        checksum.update(0);
        checksum.update(destination.getBytes(StandardCharsets.UTF_8));
        checksum.update(0);
        checksum.update(body);
        int fingerprint = (int) checksum.getValue();
        return fingerprint == UNKNOWN ? SUBSTITUTE : fingerprint;
    }

    /** Whether two fingerprints prove that the messages differ. */
    public static boolean differ(int first, int second) {
        return first != UNKNOWN && second != UNKNOWN && first != second;
    }
}
