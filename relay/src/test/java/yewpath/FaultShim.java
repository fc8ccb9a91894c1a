package yewpath;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.testng.SkipException;

/** Makes the system calls of a relay fail, and steps its wall clock, by a library that is loaded into its process. */
final class FaultShim {
    static final int EIO = 5;
    static final int ENOSPC = 28;
    private static final Path SOURCE = Path.of("src", "test", "native", "fault_shim.c");
    private static final Path LIBRARY = Path.of("target", "fault_shim.so");

    private final Path control;
    private final Path folder;
    private String faults = "";
    private long wallStep;

    /** Faults hit the files of the relay's folder; it has to be started after this. */
    FaultShim(RelayFixture fixture) throws Exception {
        build();
        control = fixture.directory.resolve("faults");
        folder = fixture.directory.resolve("state");
        write();
        fixture.environment.put("LD_PRELOAD", LIBRARY.toAbsolutePath().toString());
        fixture.environment.put("FAULT_CONTROL", control.toString());
    }

    private static synchronized void build() throws Exception {
        if (Files.exists(LIBRARY)) {
            return;
        }
        try {
            Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-o", LIBRARY.toString(),
                SOURCE.toString()).inheritIO().start();
            if (compiler.waitFor() != 0) {
                throw new AssertionError("cc could not build " + SOURCE);
            }
        } catch (IOException e) {
            throw new SkipException("not run: this machine has no C compiler", e);
        }
    }

    /** Calls by name, as {@code fault_shim.c} lists them; these replace the faults before them. */
    void failSystemCalls(String... calls) throws IOException {
        faults = String.join("\n", calls);
        write();
    }

    void clearFaults() throws IOException {
        failSystemCalls();
    }

    void stepWallClock(long seconds) throws IOException {
        wallStep = seconds;
        write();
    }

    private void write() throws IOException {
        Path next = control.resolveSibling("faults.next");
        Files.writeString(next, "folder=" + folder + "\nwall_step=" + wallStep + "\n" + faults + "\n");
        Files.move(next, control, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
