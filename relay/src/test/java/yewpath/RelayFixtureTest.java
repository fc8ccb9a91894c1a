package yewpath;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of what other tests rely on: that a fixture talks to its own relay, and says why one did not start. */
public final class RelayFixtureTest extends RelayFixture.RelayTest {
    /**
     * Guards against two relays of tests that run at the same time on one port: the second ends, and its test
     * talks to the first.
     */
    @Test
    public void relaysHaveHostsOfTheirOwn() throws Exception {
        Set<InetAddress> hosts = new HashSet<>();
        int fixtures = 600;
        for (int i = 0; i < fixtures; i++) {
            try (RelayFixture other = new RelayFixture()) {
                hosts.add(other.relayAddress.getAddress());
            }
        }
        assertEquals(hosts.size(), fixtures);
        assertFalse(hosts.contains(fixture.relayAddress.getAddress()));
    }

    /** Guards against a start that seems to succeed, since another server answers in place of the relay. */
    @Test
    public void startOfARelayWhosePortIsTakenFailsWithItsLog() throws Exception {
        InetAddress host = fixture.relayAddress.getAddress();
        try (ServerSocket occupant = new ServerSocket(fixture.relayAddress.getPort(), 1, host)) {
            AssertionError error = expectThrows(AssertionError.class, fixture::start);
            assertEquals(error.getMessage(), "the relay ended while it started; log of the relay: "
                + "[yewpath: cannot start: Address already in use]");
        }
    }
}
