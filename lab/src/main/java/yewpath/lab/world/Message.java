package yewpath.lab.world;

import yewpath.lab.scenario.Scenario;

/**
 * One submission of a client's request. All submissions of the same request share its {@code requestIndex}.
 */
public final class Message {
    public final int index;
    final int requestIndex;
    final int messageClassIndex;
    public final Scenario.MessageClass messageClass;
    public final int destination;
    /** Key of ordered delivery, negative for none. */
    public final int key;
    final long createdAtMicros;
    public final long expiresAtMicros;
    public final ClientPopulation.ClientRequest request;
    int attempts;
    /** Since when an attempt with an unknown outcome may have taken effect; negative for none. */
    long uncertainSinceMicros = -1;

    Message(int index, ClientPopulation.ClientRequest request) {
        this.index = index;
        this.request = request;
        requestIndex = request.index;
        messageClassIndex = request.messageClassIndex;
        messageClass = request.messageClass;
        destination = request.destination;
        key = request.key;
        createdAtMicros = request.createdAtMicros;
        expiresAtMicros = request.expiresAtMicros;
    }
}
