package yewpath;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the system knows of a connection of this process, whether or not a thread has noticed it yet. On a busy machine
 * a thread that waits for the end of a connection may continue later than one that reads a newer connection.
 */
final class TcpStates {
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final int LOCAL_ADDRESS_COLUMN = 1;
    private static final int REMOTE_ADDRESS_COLUMN = 2;
    private static final int STATE_COLUMN = 3;
    private static final String ESTABLISHED = "01";

    private TcpStates() {}

    /** Returns whether neither side has closed the connection or ended its sending. */
    static boolean isOpen(Socket socket) {
        return !socket.isClosed()
            && TABLES.stream().flatMap(TcpStates::rows).anyMatch(row -> isEstablished(row, socket));
    }

    private static Stream<String[]> rows(Path table) {
        try {
            return Files.readAllLines(table).stream().skip(1).map(line -> line.strip().split("\\s+"));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static boolean isEstablished(String[] row, Socket socket) {
        return hasPort(row[LOCAL_ADDRESS_COLUMN], socket.getLocalPort())
            && hasPort(row[REMOTE_ADDRESS_COLUMN], socket.getPort())
            && row[STATE_COLUMN].equals(ESTABLISHED);
    }

    /** Addresses are written as the hexadecimal host, a colon and the hexadecimal port. */
    private static boolean hasPort(String address, int port) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1), 16) == port;
    }
}
