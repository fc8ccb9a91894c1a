package yewpath.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.intake.ClientListener;
import yewpath.ledger.Ledger;
import yewpath.loop.Clock;
import yewpath.loop.EventLoop;
import yewpath.operator.OperatorKeys;
import yewpath.operator.OperatorSettings;

/** Starts a relay and ends it when the process is asked to. */
public final class RelayServer {
    /** A platform takes a relay for failed that is not ready within 30 s. */
    private static final long OPEN_WITHIN = 25_000_000;
    private static final long OPEN_AGAIN_AFTER = 100_000;

    private RelayServer() {}

    /** A relay that takes envelopes, and where it listens. */
    public record Running(InetSocketAddress address, EventLoop loop, Ledger ledger) {
        /** Leaves the lasting folder alone from now on, so that it can be removed. */
        public void closeLedger() throws InterruptedException {
            CountDownLatch closed = new CountDownLatch(1);
            loop.thread().execute(() -> {
                ledger.close();
                closed.countDown();
            });
            closed.await();
        }
    }

    /** Returns once the relay takes envelopes; it goes on until the process ends. */
    public static Running start(Config config, ProcessSignals asked)
        throws IOException, InterruptedException {
        logAsTold(config.operatorSettings);
        Clock clock = new Clock();
        Ledger ledger = open(config, clock);
        XnioWorker worker = Xnio.getInstance("nio", RelayServer.class.getClassLoader())
            .createWorker(OptionMap.builder()
                .set(Options.WORKER_NAME, "yewpath").set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1).getMap());
        EventLoop loop = new EventLoop(worker.getIoThread(), clock);
        CountDownLatch started = new CountDownLatch(1);
        Exception[] failure = {null};
        Relay[] relay = {null};
        InetSocketAddress[] at = {null};
        loop.thread().execute(() -> {
            try {
                relay[0] = new Relay(config, loop, ledger);
                ClientListener listener = new ClientListener(loop, config.limits, relay[0]);
                // Ahead of the first client: none is met by a process that would end as if it had been killed.
                if (asked.toEnd(() -> end(loop, relay[0], listener, config))) {
                    at[0] = listener.listen(worker, config.listen);
                } else {
                    failure[0] = new IOException("asked to end before it had begun");
                }
            } catch (IOException | RuntimeException e) {
                asked.toEnd(null);
                failure[0] = e;
            }
            started.countDown();
        });
        started.await();
        if (failure[0] != null) {
            throw new IOException("cannot start: " + failure[0].getMessage(), failure[0]);
        }
        Log.log(Event.RELAY_STARTED, config.name, at[0], ledger.size(), config.operatorFile);
        Config[] inForce = {config};
        asked.toReload(() -> reload(loop, relay[0], config, inForce));
        return new Running(at[0], loop, ledger);
    }

    /** Nothing is lost by waiting: what an earlier process took on cannot be delivered before it has been read. */
    private static Ledger open(Config config, Clock clock) throws IOException, InterruptedException {
        long deadline = clock.nowMicros() + OPEN_WITHIN;
        for (boolean isFirst = true;; isFirst = false) {
            try {
                return new Ledger(config.state, config.limits.maxLiveLedgerBytes(),
                    config.limits.ledgerCompactionBytes(),
                    config.limits.ledgerReservedBytesPerMessage(), clock.read());
            } catch (IOException e) {
                boolean isNoFolder = Files.exists(config.state) && !Files.isDirectory(config.state);
                if (isNoFolder || clock.nowMicros() >= deadline) {
                    throw new IOException(
                        "the lasting folder " + config.state + (isNoFolder ? " is no folder" : ": " + e), e);
                }
                if (isFirst) {
                    Log.log(Event.LEDGER_UNREADABLE, e);
                }
                TimeUnit.MICROSECONDS.sleep(OPEN_AGAIN_AFTER);
            }
        }
    }

    private static void logAsTold(OperatorSettings operator) {
        Log.configure(operator.string(OperatorKeys.LOG_LEVEL),
            operator.string(OperatorKeys.LOG_FORMAT).equals("json"),
            (int) operator.number(OperatorKeys.LOG_MAX_LINES_PER_SECOND),
            (int) operator.number(OperatorKeys.LOG_QUEUE_LINES));
    }

    /** A new file that cannot be read, of the platform's or the operator's, leaves all as it was. */
    private static void reload(EventLoop loop, Relay relay, Config started, Config[] inForce) {
        Config anew;
        try {
            anew = inForce[0].again();
        } catch (Config.InvalidConfigException e) {
            Log.log(Event.RELAY_RELOAD_REFUSED, List.of(e.getMessage().split("\n")));
            return;
        }
        Config old = inForce[0];
        inForce[0] = anew;
        logAsTold(anew.operatorSettings);
        loop.thread().execute(() -> {
            started.limits.update(anew.operatorSettings);
            relay.discoveryAt(anew.discovery);
        });
        Log.log(Event.RELAY_RELOADED, anew.discovery,
            old.operatorSettings.changedKeys(anew.operatorSettings, true),
            started.operatorSettings.changedKeys(anew.operatorSettings, false));
    }

    private static void end(EventLoop loop, Relay relay, ClientListener listener, Config config) {
        CountDownLatch gone = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        loop.thread().execute(() -> relay.close(listener, gone));
        try {
            long beat = config.limits.minShutdownMicros() / 10;
            gone.await(config.limits.shutdownTimeoutMicros() + beat, TimeUnit.MICROSECONDS);
            loop.thread().execute(() -> {
                relay.closed();
                closed.countDown();
            });
            closed.await(beat, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Log.flush(100);
        // Without this the exit code would be that of the signal.
        Runtime.getRuntime().halt(0);
    }
}
