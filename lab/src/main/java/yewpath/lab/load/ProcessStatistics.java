package yewpath.lab.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * CPU, memory and descriptors of a process, read from Linux's /proc. All methods throw IOException once it
 * has ended.
 */
public final class ProcessStatistics {
    /** Linux reports CPU times to programs in ticks of 1/100 second. */
    private static final int TICK_MILLIS = 10;
    private final Path folder;

    public ProcessStatistics(long pid) {
        folder = Path.of("/proc/" + pid);
    }

    /** User and system CPU time since the start of the process, in milliseconds. */
    public long cpuMillis() throws IOException {
        String stat = Files.readString(folder.resolve("stat"));
        // The second field is the command in parentheses and may contain spaces.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * TICK_MILLIS;
    }

    /** Resident memory in units of 1024 kB, NaN if /proc does not report it. */
    public double residentMb() throws IOException {
        return Files.readString(folder.resolve("status")).lines().filter(line -> line.startsWith("VmRSS:"))
            .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024).findFirst()
            .orElse(Double.NaN);
    }

    /** Number of open file descriptors. */
    public long openDescriptors() throws IOException {
        try (Stream<Path> files = Files.list(folder.resolve("fd"))) {
            return files.count();
        }
    }
}
