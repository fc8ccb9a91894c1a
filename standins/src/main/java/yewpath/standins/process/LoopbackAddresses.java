package yewpath.standins.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out addresses for servers that run in other processes. Each is on a loopback address that this process
 * gives to no other server, so nothing here takes the port between its choice and the start of the server, nor
 * while the server restarts: neither another server nor the local end of a connection.
 */
public final class LoopbackAddresses {
    private static final int HOSTS_PER_NETWORK = 254;
    private static final int NETWORKS = 254 * 256;
    private static final AtomicInteger COUNT = new AtomicInteger();

    private LoopbackAddresses() {}

    /**
     * Returns an address for one server, with a port that is free now.
     *
     * @throws IOException if the system has no free port
     */
    public static InetSocketAddress next() throws IOException {
        int number = COUNT.getAndIncrement();
        int network = number / HOSTS_PER_NETWORK % NETWORKS + 256;
        byte[] bytes = {127, (byte) (network / 256), (byte) network, (byte) (number % HOSTS_PER_NETWORK + 1)};
        InetAddress host = InetAddress.getByAddress(bytes);
        try (ServerSocket freePort = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, freePort.getLocalPort());
        }
    }

    /** Returns an address as configurations and URLs name it. */
    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
