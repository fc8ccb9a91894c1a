package yewpath.loop;

import java.util.function.ToDoubleFunction;

/** Every bound on sizes, counts and times of the network code; filled once at start, handed down from there. */
public record Limits(int clientLinks, int acceptAhead, int endpointLinks, int backlog, int ringFirst, int ringMost, int headMost,
                     int bodyMost, int idMost, int lineMost, long ledgerLive, long ledgerAnew, int ledgerAside,
                     long requestWithin, long clientIdle, long silentFor, long idleLeast, long speechWithin,
                     long lingerFor, int lingerMost, long sweepEvery, long connectWithin,
                     long endpointIdle, long answerRest, long watchSilence, long retryFirst, long retryMost, long noticeWithin,
                     int noticesAtOnce, long drainFresh, long drainMost, long drainLeast) {
    private static final long MS = 1_000, SECOND = 1_000_000;
    private static final int RING = 16 << 10, BODY = 64 << 10;

    /** {@code told} gives a figure from the configuration, or 0; what it leaves open has a default here. */
    public static Limits of(ToDoubleFunction<String> told, long connectTimeout, long connectionIdle) {
        // Left for files, the jars, the selector, the ledger, the listener and the links to discovery.
        int links = Math.max(3, (int) or(told, "sockets", 1024) - 48);
        long heap = Runtime.getRuntime().maxMemory();
        double disk = or(told, "disk_mb", 64) * (1 << 20);
        long idle = connectionIdle > 0 ? connectionIdle : 10 * SECOND;
        return new Limits(
            // Usual clients hold a third of all descriptors at most; what is over is for those that say nothing.
            // Two fifths suffice for endpoints: a call more closes the connection that lay idle longest.
            // Each client's connection may hold a ring and a body: all of them together must fit the heap.
            (int) or(told, "client_links", Math.max(1, Math.min(links * 3 / 5, heap / 5 * 2 / (RING + BODY)))),
            12, Math.max(1, links * 2 / 5), 512, 2 << 10, RING, 8 << 10, BODY, 128, 1 << 20,
            // Written anew at over half of the disk, with at most 0.4 of it still live: old and new fit together.
            (long) (0.40 * disk), (long) (0.55 * disk), 512,
            // A client is owed an error or a close within 3 s of connecting, but 2 s of silence are its own.
            (long) or(told, "client_request_ms", 2_300) * MS, (long) or(told, "client_idle_ms", 10_000) * MS,
            (long) or(told, "client_silent_ms", 2_100) * MS, 2 * SECOND, 100 * MS,
            500 * MS, 256 << 10, 200 * MS,
            connectTimeout > 0 ? connectTimeout : SECOND,
            // Ahead of the endpoint's own clock by what a busy machine and the network may add.
            idle - Math.min(SECOND, idle / 8),
            // An endpoint writes an answer in one go, late or not.
            300 * MS,
            // Discovery says something every 2 s unless it is down, and counts as heard 6 s after a change.
            // Silence and the longest pause before the next try stay under that together.
            3 * SECOND, 100 * MS, SECOND,
            // A notice not answered at once goes again while it still is in time.
            150 * MS, 64,
            // Asked to end, a relay has 3.5 s: shots begin in the first part only, so that most come to their end.
            1_800 * MS, 3_200 * MS, 500 * MS);
    }

    private static double or(ToDoubleFunction<String> told, String name, double otherwise) {
        double figure = told.applyAsDouble(name);
        return figure > 0 ? figure : otherwise;
    }
}
