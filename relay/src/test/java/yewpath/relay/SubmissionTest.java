package yewpath.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import yewpath.intake.MessageIntake;
import yewpath.intake.Submission;
import yewpath.ledger.Ledger;
import yewpath.loop.Clock;
import yewpath.loop.EventLoop;

/** Orders of submissions and answers that clients with sockets bring about by chance only. */
public final class SubmissionTest {
    /** Nothing listens at the addresses, so no message of these tests is delivered. */
    private static final String CONFIG = "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:1\","
        + "\"state\":\"STATE\",\"seed\":\"1f\","
        + "\"limits\":{\"cores\":1,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":8},"
        + "\"known\":{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"e1\",\"addr\":\"127.0.0.1:1\","
        + "\"zone\":\"z\",\"kind\":\"plain\",\"cell\":1,\"state\":\"up\",\"weight\":50,\"started_ms\":0}]},"
        + "\"settings\":{\"balancers\":1,\"ordinal\":0,\"discovery\":\"pushed\",\"weights\":\"nominal\","
        + "\"zones\":[\"z\"],\"kinds\":[\"plain\"],\"family_info\":{\"max_calls\":8,\"bundle_max\":[1],"
        + "\"routes_apart\":[false],\"late\":\"by_half\"},"
        + "\"limits\":{\"retry_after\":true,\"max_open\":50,\"try_limit\":8,\"connect_timeout_ms\":1000,"
        + "\"conn_idle_ms\":2000},\"request_classes\":[{\"name\":\"status\",\"repeat\":\"pure\",\"worth\":1,"
        + "\"late_worth\":0.1,\"on_time_ms\":1000,\"give_up_ms\":8000}]}}";
    private static final long TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(20);

    /** A client that records its answers. */
    private static class Client implements MessageIntake.Reply {
        final List<Integer> statuses = new CopyOnWriteArrayList<>();

        @Override
        public boolean send(int status, long retryAfterMicros) {
            statuses.add(status);
            return true;
        }

        @Override
        public boolean isClientGone() {
            return false;
        }
    }

    private XnioWorker worker;
    private Relay relay;

    @BeforeMethod
    public void build() throws Exception {
        Path folder = Files.createTempDirectory("yewpath");
        Path file = Files.writeString(folder.resolve("config.json"),
            CONFIG.replace("STATE", folder.resolve("state").toString()));
        Config config = Config.read(file.toString(), null, Map.of());
        worker = Xnio.getInstance().createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1)
            .set(Options.WORKER_TASK_CORE_THREADS, 1).getMap());
        Clock clock = new Clock();
        Ledger ledger = new Ledger(config.stateFolder, config.limits.maxLiveLedgerBytes(),
            config.limits.ledgerCompactionBytes(), config.limits.ledgerReservedBytesPerMessage(),
            clock.read());
        EventLoop loop = new EventLoop(worker.getIoThread(), clock);
        relay = onLoop(() -> new Relay(config, loop, ledger));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        worker.shutdownNow();
    }

    private <T> T onLoop(Callable<T> call) throws Exception {
        FutureTask<T> task = new FutureTask<>(call);
        worker.getIoThread().execute(task);
        return task.get(5, TimeUnit.SECONDS);
    }

    private void submit(String id, MessageIntake.Reply reply) {
        relay.submit(new Submission(id, "status", null, null, null, "1", new byte[10]), TIMEOUT_MICROS,
            reply);
    }

    private long openCount() throws Exception {
        String statistics = new String(onLoop(relay::statistics), StandardCharsets.UTF_8);
        return Long.parseLong(statistics.replaceAll("(?s).*\"open\":([0-9]+).*", "$1"));
    }

    private void waitForRounds() throws Exception {
        for (int rounds = 0; rounds < 10; rounds++) {
            onLoop(() -> null);
        }
    }

    /** Guards against a second client that gets no answer, or another one than the first. */
    @Test
    public void repeatInTheSameRoundGetsTheSameAnswer() throws Exception {
        Client first = new Client();
        Client second = new Client();
        onLoop(() -> {
            submit("m1", first);
            submit("m1", second);
            return null;
        });
        waitForRounds();
        assertEquals(first.statuses, List.of(202));
        assertEquals(second.statuses, List.of(202));
        assertEquals(openCount(), 1);
    }

    /**
     * Guards against a client that gets 202 for a message that ends without an outcome: the first client of the
     * message disconnected before it got its answer, and the message is withdrawn.
     */
    @Test
    public void repeatOfAMessageThatIsWithdrawnIsAcceptedAnew() throws Exception {
        Client second = new Client();
        Client first = new Client() {
            @Override
            public boolean send(int status, long retryAfterMicros) {
                submit("m1", second);
                return false;
            }
        };
        onLoop(() -> {
            submit("m1", first);
            return null;
        });
        waitForRounds();
        assertEquals(second.statuses, List.of(202));
        assertEquals(openCount(), 1, "the message has ended without an outcome");
    }

    /** Guards against the end of a message that one of its clients was told is accepted. */
    @Test
    public void messageStaysOpenIfOneOfItsClientsGotTheAnswer() throws Exception {
        Client first = new Client() {
            @Override
            public boolean send(int status, long retryAfterMicros) {
                super.send(status, retryAfterMicros);
                return false;
            }
        };
        Client second = new Client();
        onLoop(() -> {
            submit("m1", first);
            submit("m1", second);
            return null;
        });
        waitForRounds();
        assertTrue(second.statuses.equals(List.of(202)) && openCount() == 1,
            second.statuses + ", open: " + openCount());
    }
}
