package yewpath.lab;

import java.io.PrintStream;
import java.util.Locale;
import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;

/**
 * Measures the heap that the delivery policy keeps for ordered keys whose messages are finished and for idle
 * destinations, in bytes for each.
 */
final class FootprintBenchmark {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long TIME_TO_LIVE_MICROS = 8 * SECOND_MICROS;
    private static final int IDLE_SECONDS = 60;
    private final PrintStream output;

    FootprintBenchmark(PrintStream output) {
        this.output = output;
    }

    /** Prints the table for this number of keys and destinations, and returns the exit code. */
    int run(int count) {
        output.println("| what | number | bytes each |\n| --- | --- | --- |");
        measure("ordered keys, each finished for a minute", count, count, 1);
        measure("destinations listed with one endpoint, not used", 0, count, count);
        measure("destinations idle for a minute after one message each", count, count, count);
        return 0;
    }

    private void measure(String label, int messages, int count, int destinations) {
        PolicySettings settings = new PolicySettings();
        settings.relayCount = 1;
        settings.maxConcurrentCalls = 1_000;
        settings.settleAfterUncertainMicros = SECOND_MICROS / 2;
        settings.listReportsRate = true;
        settings.messageClasses = new PolicySettings.MessageClass[]{
            new PolicySettings.MessageClass(1, 0.1, SECOND_MICROS, TIME_TO_LIVE_MICROS,
                PolicySettings.DeliverySemantics.IDEMPOTENT, false, 0,
                destinations == 1)};
        settings.limitPerEndpoint = new boolean[1];
        settings.maxBatchSize = new int[]{1};
        long[] nowMicros = {0};
        int[] sentTo = {-1};
        DeliveryPolicy policy = new DeliveryPolicy(settings, 1, new PolicyActions() {
            @Override
            public void send(int message, int endpoint, long timeoutMicros, long sendByMicros) {
                sentTo[0] = endpoint;
            }

            @Override
            public void reject(int message, long retryAfterMicros) {}

            @Override
            public void fail(int message) {}

            @Override
            public void cancelAttempt(int message, int attempt) {}

            @Override
            public void closeIdleConnections(int endpoint) {}

            @Override
            public void releaseEndpoint(int endpoint) {}

            @Override
            public void setAlarm(long delayMicros) {}

            @Override
            public void requestEndpointList(boolean subscribe) {}
        }, 0);
        long bytesBefore = usedHeapBytes();
        policy.endpointListStarted(true, false);
        for (int i = 0; i < destinations; i++) {
            policy.endpointListed(i, 0, 0, i, 0, 1_000, 0);
        }
        policy.endpointListEnded();
        policy.completeRound(true);
        for (int i = 0; i < messages; i++) {
            nowMicros[0] += 2_000;
            policy.setTime(nowMicros[0]);
            sentTo[0] = -1;
            // The index is reused, as relays do, so that only what outlives the message is measured.
            policy.messageAccepted(0, 0, -1, destinations == 1 ? i : -1, i % destinations,
                nowMicros[0] + TIME_TO_LIVE_MICROS, 0, -1,
                0);
            policy.completeRound(true);
            if (sentTo[0] >= 0) {
                policy.attemptEnded(0, true, 0, sentTo[0], PolicyActions.DELIVERED, 0, 1_000, Double.NaN,
                    Double.NaN);
            }
            policy.alarmFired();
            policy.completeRound(true);
        }
        for (int second = 0; second < IDLE_SECONDS; second++) {
            nowMicros[0] += SECOND_MICROS;
            policy.setTime(nowMicros[0]);
            policy.alarmFired();
            policy.completeRound(true);
        }
        output.printf(Locale.ROOT, "| %s | %d | %.0f |%n", label, count,
            (usedHeapBytes() - bytesBefore) / (double) count);
        // Keeps the policy reachable until its heap has been measured.
        policy.setTime(nowMicros[0]);
    }

    /** The least heap in use over several garbage collections, in bytes. */
    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        long leastBytes = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            leastBytes = Math.min(leastBytes, runtime.totalMemory() - runtime.freeMemory());
        }
        return leastBytes;
    }
}
