package yewpath.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
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
import yewpath.ledger.FolderLock;
import yewpath.ledger.Ledger;
import yewpath.loop.Clock;
import yewpath.loop.EventLoop;
import yewpath.operator.OperatorKeys;
import yewpath.operator.OperatorSettings;

/** Starts a relay, reloads its configuration and shuts it down on the signals of the process. */
public final class RelayServer {
    /** The platform treats a relay as failed that is not ready within 30 s. */
    private static final long OPEN_TIMEOUT_MICROS = 25_000_000;
    private static final long OPEN_RETRY_DELAY_MICROS = 100_000;
    /** How long a process that was told to end may still hold the state folder. */
    private static final long LOCK_TIMEOUT_MICROS = 2_000_000;

    /** Thrown if another process uses the state folder. */
    private static final class FolderInUseException extends IOException {
        private static final long serialVersionUID = 1L;

        FolderInUseException(Path folder) {
            super("the state folder " + folder + " is in use by another process");
        }
    }

    private RelayServer() {}

    /**
     * A relay that accepts messages.
     *
     * @param address the address on which it listens
     */
    public record Running(InetSocketAddress address, EventLoop loop, Ledger ledger) {
        /** Closes the ledger, so that the state folder can be removed; returns when it is closed. */
        public void closeLedger() throws InterruptedException {
            CountDownLatch closed = new CountDownLatch(1);
            loop.thread().execute(() -> {
                ledger.close();
                closed.countDown();
            });
            closed.await();
        }
    }

    /**
     * Starts a relay, which runs until the process ends.
     *
     * @param signals the signals received so far, and the handlers of later ones
     * @return the relay, once it accepts messages
     * @throws IOException if the relay cannot start or the process is already terminating
     */
    public static Running start(Config config, ProcessSignals signals)
        throws IOException, InterruptedException {
        configureLog(config.operatorSettings);
        Clock clock = new Clock();
        Ledger ledger = open(config, clock);
        XnioWorker worker = Xnio.getInstance("nio", RelayServer.class.getClassLoader())
            .createWorker(OptionMap.builder()
                .set(Options.WORKER_NAME, "yewpath").set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1).getMap());
        worker.getIoThread().setUncaughtExceptionHandler(new IoThreadFailure(Runtime.getRuntime()::halt));
        EventLoop loop = new EventLoop(worker.getIoThread(), clock);
        CountDownLatch started = new CountDownLatch(1);
        Exception[] failure = {null};
        Relay[] relay = {null};
        InetSocketAddress[] listenAddress = {null};
        loop.thread().execute(() -> {
            try {
                relay[0] = new Relay(config, loop, ledger);
                ClientListener listener = new ClientListener(loop, config.limits, relay[0]);
                // Set before the first client can connect: the process must not accept messages while a
                // termination signal would end it without a shutdown.
                if (signals.setTerminateAction(() -> terminate(loop, relay[0], listener, config))) {
                    listenAddress[0] = listener.listen(worker, config.listenAddress);
                } else {
                    failure[0] = new IOException("the process was terminated during the start");
                }
            } catch (IOException | RuntimeException exception) {
                signals.setTerminateAction(null);
                failure[0] = exception;
            }
            started.countDown();
        });
        started.await();
        if (failure[0] != null) {
            throw new IOException("cannot start: " + failure[0].getMessage(), failure[0]);
        }
        Log.log(Event.RELAY_STARTED, config.name, listenAddress[0], ledger.size(), config.operatorFile);
        Config[] currentConfig = {config};
        signals.setReloadAction(() -> reload(loop, relay[0], config, currentConfig));
        return new Running(listenAddress[0], loop, ledger);
    }

    /**
     * Opens the ledger, and retries for a while if the state folder cannot be read. Waiting loses nothing,
     * because the messages of an earlier process cannot be delivered before the ledger is read. An earlier process
     * that is about to end may have the folder for a moment.
     *
     * @throws IOException if the folder stays unreadable or in use
     */
    private static Ledger open(Config config, Clock clock) throws IOException, InterruptedException {
        long startMicros = clock.nowMicros();
        for (boolean isFirst = true;; isFirst = false) {
            try {
                FolderLock lock = FolderLock.tryAcquire(config.stateFolder);
                if (lock != null) {
                    return openLocked(config, clock, lock);
                }
                if (clock.nowMicros() - startMicros >= LOCK_TIMEOUT_MICROS) {
                    throw new FolderInUseException(config.stateFolder);
                }
            } catch (FolderInUseException inUse) {
                throw inUse;
            } catch (IOException exception) {
                failIfUnusable(config.stateFolder, clock.nowMicros() - startMicros, exception);
                if (isFirst) {
                    Log.log(Event.LEDGER_UNREADABLE, exception);
                }
            }
            TimeUnit.MICROSECONDS.sleep(OPEN_RETRY_DELAY_MICROS);
        }
    }

    private static Ledger openLocked(Config config, Clock clock, FolderLock lock) throws IOException {
        try {
            Ledger ledger = new Ledger(config.stateFolder, config.limits.maxLiveLedgerBytes(),
                config.limits.ledgerCompactionBytes(),
                config.limits.ledgerReservedBytesPerMessage(), clock.read());
            ledger.keep(lock);
            return ledger;
        } catch (IOException | RuntimeException exception) {
            lock.close();
            throw exception;
        }
    }

    /** Throws IOException if no retry is left for a folder that cannot be read, or none would help. */
    private static void failIfUnusable(Path folder, long elapsedMicros, IOException cause)
        throws IOException {
        boolean isNotFolder = Files.exists(folder) && !Files.isDirectory(folder);
        if (isNotFolder || elapsedMicros >= OPEN_TIMEOUT_MICROS) {
            throw new IOException("the state folder " + folder
                + (isNotFolder ? " is not a directory" : ": " + cause), cause);
        }
    }

    private static void configureLog(OperatorSettings operatorSettings) {
        Log.configure(operatorSettings.string(OperatorKeys.LOG_LEVEL),
            operatorSettings.string(OperatorKeys.LOG_FORMAT).equals("json"),
            (int) operatorSettings.number(OperatorKeys.LOG_MAX_LINES_PER_SECOND),
            (int) operatorSettings.number(OperatorKeys.LOG_QUEUE_LINES));
    }

    /**
     * Reads the configuration files again and applies what can change while the relay runs. If either file
     * is invalid, nothing changes.
     */
    private static void reload(EventLoop loop, Relay relay, Config started, Config[] currentConfig) {
        Config newConfig;
        try {
            newConfig = currentConfig[0].reread();
        } catch (Config.InvalidConfigException exception) {
            Log.log(Event.RELAY_RELOAD_REFUSED, List.of(exception.getMessage().split("\n")));
            return;
        }
        Config oldConfig = currentConfig[0];
        currentConfig[0] = newConfig;
        configureLog(newConfig.operatorSettings);
        loop.thread().execute(() -> {
            started.limits.update(newConfig.operatorSettings);
            relay.setDiscoveryAddress(newConfig.discoveryAddress);
        });
        Log.log(Event.RELAY_RELOADED, newConfig.discoveryAddress,
            oldConfig.operatorSettings.changedKeys(newConfig.operatorSettings, true),
            started.operatorSettings.changedKeys(newConfig.operatorSettings, false));
    }

    /**
     * Shuts the relay down gracefully, within the time limit, and ends the process with exit code 0.
     *
     * @param config the configuration of the start, whose limits a reload has updated
     */
    private static void terminate(EventLoop loop, Relay relay, ClientListener listener, Config config) {
        CountDownLatch shutdownDone = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        loop.thread().execute(() -> relay.startShutdown(listener, shutdownDone));
        try {
            long checkIntervalMicros = config.limits.minShutdownMicros() / 10;
            shutdownDone.await(config.limits.shutdownTimeoutMicros() + checkIntervalMicros,
                TimeUnit.MICROSECONDS);
            loop.thread().execute(() -> {
                relay.finishShutdown();
                closed.countDown();
            });
            closed.await(checkIntervalMicros, TimeUnit.MICROSECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        Log.flush(100);
        // Otherwise the exit code would be that of the signal.
        Runtime.getRuntime().halt(0);
    }
}
