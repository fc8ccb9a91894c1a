package yewpath.lab;

import java.io.PrintStream;
import java.util.Locale;
import yewpath.DeliveryPolicy;
import yewpath.PolicyActions;
import yewpath.PolicySettings;

/** What Logic keeps, in bytes of heap: for ordered keys long over, and for destinations at rest. */
final class FootprintBenchmark {
    private static final long SECOND = 1_000_000;
    private final PrintStream say;

    FootprintBenchmark(PrintStream say) {
        this.say = say;
    }

    int run(int count) {
        say.println("| what | number | bytes each |\n| --- | --- | --- |");
        tell("ordered keys, each over since a minute", count, count, 1);
        tell("destinations listed with one endpoint, none used", 0, count, count);
        tell("destinations after one envelope each and a minute of rest", count, count, count);
        return 0;
    }

    private void tell(String what, int envelopes, int count, int destinations) {
        PolicySettings settings = new PolicySettings();
        settings.relayCount = 1;
        settings.maxConcurrentCalls = 1_000;
        settings.settleAfterUncertainMicros = SECOND / 2;
        settings.listReportsRate = true;
        settings.messageClasses = new PolicySettings.MessageClass[]{
            new PolicySettings.MessageClass(1, 0.1, SECOND, 8 * SECOND,
                PolicySettings.DeliverySemantics.IDEMPOTENT, false, 0,
                destinations == 1)};
        settings.limitPerEndpoint = new boolean[1];
        settings.maxBatchSize = new int[]{1};
        long[] clock = {0};
        int[] sentTo = {-1};
        DeliveryPolicy logic = new DeliveryPolicy(settings, 1, new PolicyActions() {
            @Override
            public void send(int envelope, int endpoint, long withinMicros, long leaveBy) {
                sentTo[0] = endpoint;
            }

            @Override
            public void reject(int envelope, long pauseMicros) {}

            @Override
            public void fail(int envelope) {}

            @Override
            public void cancelAttempt(int envelope, int shot) {}

            @Override
            public void closeIdleConnections(int endpoint) {}

            @Override
            public void releaseEndpoint(int endpoint) {}

            @Override
            public void setAlarm(long inMicros) {}

            @Override
            public void requestEndpointList(boolean follow) {}
        }, 0);
        long before = used();
        logic.endpointListStarted(true, false);
        for (int i = 0; i < destinations; i++) {
            logic.endpointListed(i, 0, 0, i, 0, 1_000, 0);
        }
        logic.endpointListEnded();
        logic.completeRound(true);
        for (int i = 0; i < envelopes; i++) {
            clock[0] += 2_000;
            logic.setTime(clock[0]);
            sentTo[0] = -1;
            // The index is used again, as relays do: what is counted is what is kept beyond the envelope.
            logic.messageAccepted(0, 0, -1, destinations == 1 ? i : -1, i % destinations,
                clock[0] + 8 * SECOND, 0, -1,
                0);
            logic.completeRound(true);
            if (sentTo[0] >= 0) {
                logic.attemptEnded(0, true, 0, sentTo[0], PolicyActions.DELIVERED, 0, 1_000, Double.NaN,
                    Double.NaN);
            }
            logic.alarmFired();
            logic.completeRound(true);
        }
        for (int second = 0; second < 60; second++) {
            clock[0] += SECOND;
            logic.setTime(clock[0]);
            logic.alarmFired();
            logic.completeRound(true);
        }
        say.printf(Locale.ROOT, "| %s | %d | %.0f |%n", what, count, (used() - before) / (double) count);
        // Kept reachable until its heap was counted.
        logic.setTime(clock[0]);
    }

    private static long used() {
        Runtime runtime = Runtime.getRuntime();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
        }
        return least;
    }
}
