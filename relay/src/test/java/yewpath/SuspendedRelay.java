package yewpath;

import static yewpath.RelayFixture.waitUntil;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * The suspended process of a relay, until it is resumed. A signal stops a process only once one of its threads has
 * received it, which takes milliseconds on a busy machine; the other threads go on until then.
 */
final class SuspendedRelay {
    private final RelayFixture fixture;

    /** Suspends the relay; returns when all of its threads stand still. */
    SuspendedRelay(RelayFixture fixture) throws Exception {
        this.fixture = fixture;
        fixture.signal("STOP");
        waitUntil("all threads of the relay are stopped", 5_000, this::isStopped);
    }

    private boolean isStopped() throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + fixture.process.pid() + "/task"))) {
            return threads.allMatch(SuspendedRelay::isStopped);
        }
    }

    /** Whether the state of a thread is T; it follows the name of the thread, which stands in parentheses. */
    private static boolean isStopped(Path thread) {
        try {
            String status = Files.readString(thread.resolve("stat"));
            return status.charAt(status.lastIndexOf(')') + 2) == 'T';
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Lets the relay go on. */
    void resume() throws Exception {
        fixture.signal("CONT");
    }
}
