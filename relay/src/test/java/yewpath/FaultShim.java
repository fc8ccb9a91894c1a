package yewpath;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.testng.SkipException;

/**
 * Makes system calls of a relay fail and steps its wall clock. The C library {@code fault_shim.c} is compiled
 * on first use and preloaded into the relay; it reads the active faults from a control file before each call.
 */
final class FaultShim {
    /** The Linux error numbers for an input/output error and for a full disk. */
    static final int EIO = 5;
    static final int ENOSPC = 28;
    private static final Path SOURCE = Path.of("src", "test", "native", "fault_shim.c");
    private static final Path LIBRARY = Path.of("target", "fault_shim.so");

    private final Path controlFile;
    private final Path stateDirectory;
    private String faults = "";
    private long wallClockOffsetSeconds;

    /**
     * Prepares the relay of {@code fixture}, which must not have been started yet. Faults affect only calls
     * on files in its state directory. Throws SkipException if there is no C compiler.
     */
    FaultShim(RelayFixture fixture) throws Exception {
        buildLibrary();
        controlFile = fixture.directory.resolve("faults");
        stateDirectory = fixture.directory.resolve("state");
        writeControlFile();
        fixture.environment.put("LD_PRELOAD", LIBRARY.toAbsolutePath().toString());
        fixture.environment.put("FAULT_CONTROL", controlFile.toString());
    }

    private static synchronized void buildLibrary() throws Exception {
        if (Files.exists(LIBRARY)) {
            return;
        }
        try {
            Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-o", LIBRARY.toString(),
                SOURCE.toString()).inheritIO().start();
            if (compiler.waitFor() != 0) {
                throw new AssertionError("cc failed to compile " + SOURCE);
            }
        } catch (IOException exception) {
            throw new SkipException("not run: no C compiler found; install cc", exception);
        }
    }

    /**
     * Replaces the active faults with these {@code name=value} pairs, which {@code fault_shim.c} describes.
     */
    void failSystemCalls(String... newFaults) throws IOException {
        faults = String.join("\n", newFaults);
        writeControlFile();
    }

    /** Makes all system calls succeed again. */
    void clearFaults() throws IOException {
        failSystemCalls();
    }

    /** Sets the offset that is added to the wall clock of the relay, in seconds. */
    void stepWallClock(long seconds) throws IOException {
        wallClockOffsetSeconds = seconds;
        writeControlFile();
    }

    private void writeControlFile() throws IOException {
        Path next = controlFile.resolveSibling("faults.next");
        Files.writeString(next,
            "folder=" + stateDirectory + "\nwall_step=" + wallClockOffsetSeconds + "\n" + faults + "\n");
        Files.move(next, controlFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
