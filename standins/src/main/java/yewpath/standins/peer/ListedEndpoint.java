package yewpath.standins.peer;

import java.net.InetSocketAddress;

/** What the list says of an endpoint. */
public interface ListedEndpoint {
    String id();

    int destination();

    String kind();

    double weight();

    default String zone() {
        return "here";
    }

    InetSocketAddress address();

    /** up, draining or removed. */
    String state();
}
