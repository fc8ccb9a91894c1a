package yewpath.lab.world;

/** A relay as the rest of the world sees it: emulated, or a process reached over sockets. */
public interface Relay {
    boolean isUp();

    /** A client submits a message. The world's {@link ClientPopulation} is told the result. */
    void submit(Message message);

    /** The endpoint's entry in the endpoint list has changed; the relay receives the change now. */
    void endpointListed(EmulatedEndpoint endpoint);

    /** Accepted messages that have no final result yet. */
    int openMessages();

    /** Calls to endpoints whose outcome the relay does not have yet. */
    int openCalls();

    /** Stops the relay at once, as SIGKILL does. Its ledger survives only if {@code keepLedger} is set. */
    void kill(boolean keepLedger);

    /** Starts the relay again, with the messages of its ledger if that survived. */
    void restart();

    /** Time spent in the delivery policy, in nanoseconds; 0 where it cannot be measured. */
    long decisionNanos();
}
