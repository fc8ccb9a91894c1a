package yewpath;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the judge that the soaks use, with connections whose threads have not noticed anything yet. */
public final class MessageRulesTest {
    private final MessageRules rules = new MessageRules();
    private ServerSocket listener;
    private Socket relaySide;
    private Socket endpointSide;

    @BeforeMethod
    public void connect() throws Exception {
        rules.violations.clear();
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        relaySide = new Socket(listener.getInetAddress(), listener.getLocalPort());
        endpointSide = listener.accept();
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        listener.close();
        relaySide.close();
        endpointSide.close();
    }

    /** Guards against a judge that misses a second attempt while the first one is out. */
    @Test
    public void attemptBesideOneOnAnOpenConnectionIsAViolation() throws Exception {
        rules.attemptStarted("m1", false, endpointSide);
        try (Socket second = new Socket(listener.getInetAddress(), listener.getLocalPort());
            Socket secondAccepted = listener.accept()) {
            rules.attemptStarted("m1", false, secondAccepted);
        }
        assertEquals(rules.violations, List.of("m1 was in two attempts at the same time"));
    }

    /** Guards against a judge that depends on which of two threads continues first. */
    @Test
    public void attemptAfterOneThatWasGivenUpIsNoViolation() throws Exception {
        rules.attemptStarted("m1", false, endpointSide);
        relaySide.close();
        try (Socket second = new Socket(listener.getInetAddress(), listener.getLocalPort());
            Socket secondAccepted = listener.accept()) {
            rules.attemptStarted("m1", false, secondAccepted);
        }
        assertEquals(rules.violations, List.of());
    }

    /** Guards against a reset connection that counts as open. */
    @Test
    public void attemptAfterOneWithAResetConnectionIsNoViolation() throws Exception {
        rules.attemptStarted("m1", false, endpointSide);
        relaySide.setSoLinger(true, 0);
        relaySide.close();
        rules.attemptStarted("m1", false, endpointSide);
        assertEquals(rules.violations, List.of());
    }
}
