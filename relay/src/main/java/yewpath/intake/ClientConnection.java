package yewpath.intake;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.CloseReason;
import yewpath.http.HttpFault;
import yewpath.http.Link;
import yewpath.http.Parser;
import yewpath.http.Writer;
import yewpath.loop.Limits;
import yewpath.loop.Loop;

/** One client's connection: reads a request, waits for its answer, then reads the next. */
final class ClientConnection implements Link.Owner {
    /** One that waits for its answer is never closed for want of room. */
    static final int NEEDED = 4;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
        .getBytes(StandardCharsets.ISO_8859_1);

    private final Loop loop;
    private final Limits limits;
    private final MessageIntake intake;
    private final Consumer<ClientConnection> left;
    private final Parser parser;
    private final Link link;
    private final long connectedAt;
    private long since;
    private int skipped;
    private boolean asked;
    private boolean answering;
    private boolean leaving;
    private boolean told;

    ClientConnection(Loop loop, Limits limits, MessageIntake intake, StreamConnection connection,
        Consumer<ClientConnection> left) {
        this.loop = loop;
        this.limits = limits;
        this.intake = intake;
        this.left = left;
        parser = new Parser(true, limits.headMost(), limits.bodyMost());
        connectedAt = since = loop.now();
        link = new Link(connection, limits.ringFirst(), limits.ringMost(), this);
    }

    private boolean isBetween() {
        return !answering && parser.untouched() && link.in.size() == 0;
    }

    /**
     * How much it would be missed. Guards against those that connect and say nothing, or ask once and stay, taking
     * the room of the others: clients that mean to ask do so at once, and a close after 2 s is expected.
     */
    int missed(long now) {
        if (answering) {
            return NEEDED;
        }
        if (!isBetween()) {
            return 3;
        }
        long quiet = now - since;
        return quiet > (asked ? limits.idleLeast() : limits.speechWithin()) ? 0 : asked ? 1 : 2;
    }

    /** Whether a last look finds nothing that would make it missed more. */
    boolean restsStill(long now) {
        int before = missed(now);
        link.look();
        return link.isClosed() || missed(now) == before;
    }

    long quietSince() {
        return since;
    }

    void checkTime(long now) {
        long waited = now - since;
        if (leaving && waited > limits.lingerFor()) {
            close(CloseReason.REFUSED);
        } else if (!link.allWritten() && waited > limits.requestWithin()) {
            close(CloseReason.ANSWER_NOT_READ);
        } else if (!leaving && isBetween() && waited > (asked ? limits.clientIdle() : limits.silentFor())
            && restsStill(now)) {
            close(CloseReason.IDLE);
        } else if (!leaving && !answering && !isBetween()
            && now - (asked ? since : connectedAt) > limits.requestWithin()) {
            refuse(408);
        }
    }

    /**
     * Ends a connection on which nothing is under way, after a last look: a client whose request this closing crosses
     * knows that it was not read, and sends it once more. One that only just connected is given time to speak.
     */
    void endIfResting(long now) {
        if (!asked && now - connectedAt < limits.speechWithin()) {
            return;
        }
        link.look();
        if (!leaving && !link.isClosed() && isBetween()) {
            close(CloseReason.SHUTDOWN);
        }
    }

    /**
     * The last that is done for it: what it has sent a part of is refused, and read on like any other that was. One whose
     * answer is due has it in the next round.
     */
    void end() {
        link.look();
        if (answering || leaving || link.isClosed()) {
            return;
        }
        if (isBetween()) {
            close(CloseReason.SHUTDOWN);
        } else {
            refuse(503);
        }
    }

    @Override
    public void came() {
        if (leaving) {
            skipped += link.in.size();
            link.in.skip(link.in.size());
            if (skipped > limits.lingerMost()) {
                // It had time to see its answer; reading all that some would send keeps the others waiting.
                close(CloseReason.REFUSED);
            }
            return;
        }
        try {
            while (!answering && !leaving && !link.isClosed() && link.in.size() > 0) {
                since = parser.untouched() ? loop.now() : since;
                if (!parser.read(link.in)) {
                    sayContinue();
                    return;
                }
                answering = asked = true;
                since = loop.now();
                request();
            }
        } catch (HttpFault fault) {
            refuse(fault.status);
        }
    }

    private void sayContinue() {
        if (!told && parser.headKnown() && "100-continue".equalsIgnoreCase(parser.header("Expect"))) {
            told = true;
            link.write(CONTINUE);
        }
    }

    @Override
    public void over(boolean broken) {
        if (!broken && leaving && !link.allWritten()) {
            // It has ended its sending only, and may still read its answer; who doesn't is closed when its time is up.
            return;
        }
        // A client ends its connection when it waits no longer: a request whose answer is due is then void.
        close(broken ? CloseReason.RESET : CloseReason.ENDED);
    }

    void close(CloseReason reason) {
        if (Log.isEnabled(Event.CLIENT_CLOSED)) {
            Log.log(Event.CLIENT_CLOSED, reason, answering);
        }
        link.close();
        left.accept(this);
    }

    private void request() {
        String path = parser.target().split("\\?", 2)[0];
        if (path.equals("/health/ready") || path.equals("/health/live") || path.equals("/stats")) {
            if (!parser.method().equals("GET")) {
                answer(Writer.answer(405).with("Allow", "GET"), new byte[0]);
            } else if (path.equals("/stats")) {
                answer(Writer.answer(200).with("Content-Type", "application/json"),
                    intake.statistics());
            } else {
                answer(Writer.answer(path.equals("/health/live") || intake.isReady() ? 200 : 503),
                    new byte[0]);
            }
            return;
        }
        String offering = path.startsWith("/") ? path.substring(1).split("/", 2)[0] : "";
        if (!intake.isKnownClass(offering)) {
            answer(404);
        } else if (!parser.method().equals("POST")) {
            answer(Writer.answer(405).with("Allow", "POST"), new byte[0]);
        } else {
            envelope(offering);
        }
    }

    private void envelope(String offering) {
        String id = parser.header("Request-Id");
        long within = Fields.micros(parser.header("Request-Timeout"));
        String destination = Fields.destination(parser.header("X-Addressing"));
        if (id == null || id.isEmpty() || id.length() > limits.idMost() || within < 0
            || destination == null) {
            answer(400);
            return;
        }
        intake.submit(id, offering, parser.header("Tenant"), parser.header("Affinity-Key"),
            parser.header("Idempotency-Key"),
            destination, within, parser.takeBody(), new MessageIntake.Reply() {
                @Override
                public boolean send(int status, long pause) {
                    Writer answer = Writer.answer(status);
                    if (pause > 0) {
                        answer.with("Retry-After", Fields.seconds(pause));
                    }
                    answer(answer, new byte[0]);
                    return !link.isClosed();
                }

                @Override
                public boolean isClientGone() {
                    return link.isClosed() || link.isEnded();
                }
            });
    }

    private void answer(int status) {
        Log.log(Event.CLIENT_REFUSED, status);
        answer(Writer.answer(status), new byte[0]);
    }

    private void answer(Writer answer, byte[] body) {
        if (link.isClosed()) {
            return;
        }
        boolean last = !parser.lasting() || intake.isClosing();
        if (last) {
            answer.with("Connection", "close");
        }
        link.write(answer.done(body));
        answering = told = false;
        since = loop.now();
        parser.next();
        if (last) {
            leave();
        } else if (link.in.size() > 0) {
            loop.thread().execute(this::came);
        }
        link.readOn();
    }

    private void refuse(int status) {
        Log.log(Event.CLIENT_REFUSED, status);
        link.write(Writer.answer(status).with("Connection", "close").empty());
        leave();
    }

    /** Reads on for a moment: closing at once on unread bytes would take the answer back off the wire. */
    private void leave() {
        leaving = true;
        since = loop.now();
        link.in.skip(link.in.size());
        link.endSending();
        link.readOn();
    }
}
