package yewpath.relay;

import sun.misc.Signal;

/**
 * Handles SIGHUP (reload) and the termination signals of the process from the beginning of its start.
 * Guards against signals that arrive before the relay can handle them: SIGHUP would end the process or be
 * lost, and SIGTERM would end a process that already accepts messages without reporting their outcomes.
 */
public final class ProcessSignals {
    private Runnable reloadAction;
    private Runnable terminateAction;
    private boolean reloadRequested;
    private boolean terminating;

    ProcessSignals() {}

    /** Installs the handlers; may be called once per process. */
    public static ProcessSignals listen() {
        ProcessSignals signals = new ProcessSignals();
        Signal.handle(new Signal("HUP"), signal -> signals.handleHangup());
        Runtime.getRuntime().addShutdownHook(new Thread(signals::handleTerminate));
        return signals;
    }

    synchronized void handleHangup() {
        reloadRequested = true;
        reloadIfRequested();
    }

    private void reloadIfRequested() {
        if (reloadRequested && reloadAction != null) {
            reloadRequested = false;
            reloadAction.run();
        }
    }

    void handleTerminate() {
        Runnable action;
        synchronized (this) {
            terminating = true;
            action = terminateAction;
        }
        if (action != null) {
            action.run();
        }
    }

    /** Sets the action for SIGHUP. It runs at once if SIGHUP was received before. */
    synchronized void setReloadAction(Runnable action) {
        reloadAction = action;
        reloadIfRequested();
    }

    /**
     * Sets the action for the termination of the process; null for none.
     *
     * @return false if the process is already terminating, so that the action will not run
     */
    synchronized boolean setTerminateAction(Runnable action) {
        terminateAction = action;
        return !terminating;
    }
}
