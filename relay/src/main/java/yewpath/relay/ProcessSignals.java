package yewpath.relay;

import sun.misc.Signal;

/**
 * What the system asks of this process by signals, heard from the first moments of a start. Guards against the time in
 * which nobody is there yet to do it: SIGHUP would end the process or be forgotten, and SIGTERM end one that takes
 * envelopes already without the end it owes its clients.
 */
public final class ProcessSignals {
    private Runnable reload;
    private Runnable end;
    private boolean reloadDue;
    private boolean ending;

    ProcessSignals() {}

    /** Hears signals from now on; once a process. */
    public static ProcessSignals listen() {
        ProcessSignals asked = new ProcessSignals();
        Signal.handle(new Signal("HUP"), hangUp -> asked.hangUp());
        Runtime.getRuntime().addShutdownHook(new Thread(asked::terminate));
        return asked;
    }

    synchronized void hangUp() {
        reloadDue = true;
        reloadIfDue();
    }

    private void reloadIfDue() {
        if (reloadDue && reload != null) {
            reloadDue = false;
            reload.run();
        }
    }

    void terminate() {
        Runnable act;
        synchronized (this) {
            ending = true;
            act = end;
        }
        if (act != null) {
            act.run();
        }
    }

    /** What to do from now on when a new configuration is told of; at once where that has been. */
    synchronized void toReload(Runnable act) {
        reload = act;
        reloadIfDue();
    }

    /** What to do when the process is to end; null for nothing. False where it ends already, and this comes too late. */
    synchronized boolean toEnd(Runnable act) {
        end = act;
        return !ending;
    }
}
