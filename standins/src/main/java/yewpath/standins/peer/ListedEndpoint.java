package yewpath.standins.peer;

import java.net.InetSocketAddress;

/** An endpoint as the discovery list shows it. */
public interface ListedEndpoint {
    String id();

    /** Number of the destination that the endpoint belongs to. */
    int destination();

    /**
     * Name of a kind from the relay's settings: "plain" for one message in each call, "bundled" for batches.
     */
    String kind();

    /**
     * The nominal capacity in calls a second. Relays ignore it unless their setting {@code weights} says
     * otherwise.
     */
    double weight();

    /** Name of the zone that the endpoint is in. */
    default String zone() {
        return "here";
    }

    InetSocketAddress address();

    /** Either "up", "draining" or "removed"; a removed endpoint is left out of the list. */
    String state();
}
