package yewpath.lab.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** What a process takes of the machine, as Linux tells it under /proc. */
public final class Proc {
    /** Clock ticks a second are fixed at 100 for what Linux tells programs. */
    private static final int TICK_MS = 10;
    private final Path folder;

    public Proc(long pid) {
        folder = Path.of("/proc/" + pid);
    }

    /** CPU since its start, in its own code and the system's. */
    public long cpuMillis() throws IOException {
        String stat = Files.readString(folder.resolve("stat"));
        // The second field, a name in brackets, may hold spaces.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * TICK_MS;
    }

    public double residentMb() throws IOException {
        return Files.readString(folder.resolve("status")).lines().filter(line -> line.startsWith("VmRSS:"))
            .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024).findFirst()
            .orElse(Double.NaN);
    }

    public long openDescriptors() throws IOException {
        try (Stream<Path> files = Files.list(folder.resolve("fd"))) {
            return files.count();
        }
    }
}
