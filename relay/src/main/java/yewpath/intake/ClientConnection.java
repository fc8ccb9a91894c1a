package yewpath.intake;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.BufferedConnection;
import yewpath.http.CloseReason;
import yewpath.http.HttpMessageBuilder;
import yewpath.http.HttpParseException;
import yewpath.http.HttpParser;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/** One client's connection: reads a request, waits for its answer, then reads the next. */
final class ClientConnection implements BufferedConnection.Listener {
    /** One that waits for its answer is never closed for want of room. */
    static final int NEEDED = 4;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
        .getBytes(StandardCharsets.ISO_8859_1);

    private final EventLoop loop;
    private final Limits limits;
    private final MessageIntake intake;
    private final Consumer<ClientConnection> left;
    private final HttpParser parser;
    private final BufferedConnection link;
    private final long connectedAt;
    private long since;
    private int skipped;
    private boolean asked;
    private boolean answering;
    private boolean leaving;
    private boolean told;

    ClientConnection(EventLoop loop, Limits limits, MessageIntake intake, StreamConnection connection,
        Consumer<ClientConnection> left) {
        this.loop = loop;
        this.limits = limits;
        this.intake = intake;
        this.left = left;
        parser = new HttpParser(true, limits.maxHeadBytes(), limits.maxBodyBytes());
        connectedAt = since = loop.nowMicros();
        link = new BufferedConnection(connection, limits.initialRingBytes(), limits.maxRingBytes(), this);
    }

    private boolean isBetween() {
        return !answering && parser.isBeforeFirstByte() && link.input.size() == 0;
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
        return quiet > (asked ? limits.idleBeforeEvictionMicros() : limits.silenceBeforeEvictionMicros()) ? 0
            : asked ? 1 : 2;
    }

    /** Whether a last look finds nothing that would make it missed more. */
    boolean restsStill(long now) {
        int before = missed(now);
        link.readAvailable();
        return link.isClosed() || missed(now) == before;
    }

    long quietSince() {
        return since;
    }

    void checkTime(long now) {
        long waited = now - since;
        if (leaving && waited > limits.lingerMicros()) {
            close(CloseReason.REFUSED);
        } else if (!link.isAllWritten() && waited > limits.requestTimeoutMicros()) {
            close(CloseReason.RESPONSE_NOT_READ);
        } else if (!leaving && isBetween()
            && waited > (asked ? limits.clientIdleTimeoutMicros() : limits.silentClientTimeoutMicros())
            && restsStill(now)) {
            close(CloseReason.IDLE);
        } else if (!leaving && !answering && !isBetween()
            && now - (asked ? since : connectedAt) > limits.requestTimeoutMicros()) {
            refuse(408);
        }
    }

    /**
     * Ends a connection on which nothing is under way, after a last look: a client whose request this closing crosses
     * knows that it was not read, and sends it once more. One that only just connected is given time to speak.
     */
    void endIfResting(long now) {
        if (!asked && now - connectedAt < limits.silenceBeforeEvictionMicros()) {
            return;
        }
        link.readAvailable();
        if (!leaving && !link.isClosed() && isBetween()) {
            close(CloseReason.SHUTDOWN);
        }
    }

    /**
     * The last that is done for it: what it has sent a part of is refused, and read on like any other that was. One whose
     * answer is due has it in the next round.
     */
    void end() {
        link.readAvailable();
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
    public void onBytesReceived() {
        if (leaving) {
            skipped += link.input.size();
            link.input.skip(link.input.size());
            if (skipped > limits.maxLingerBytes()) {
                // It had time to see its answer; reading all that some would send keeps the others waiting.
                close(CloseReason.REFUSED);
            }
            return;
        }
        try {
            while (!answering && !leaving && !link.isClosed() && link.input.size() > 0) {
                since = parser.isBeforeFirstByte() ? loop.nowMicros() : since;
                if (!parser.parse(link.input)) {
                    sayContinue();
                    return;
                }
                answering = asked = true;
                since = loop.nowMicros();
                request();
            }
        } catch (HttpParseException fault) {
            refuse(fault.status);
        }
    }

    private void sayContinue() {
        if (!told && parser.isHeadComplete() && "100-continue".equalsIgnoreCase(parser.header("Expect"))) {
            told = true;
            link.write(CONTINUE);
        }
    }

    @Override
    public void onEndOfInput(boolean broken) {
        if (!broken && leaving && !link.isAllWritten()) {
            // It has ended its sending only, and may still read its answer; who doesn't is closed when its time is up.
            return;
        }
        // A client ends its connection when it waits no longer: a request whose answer is due is then void.
        close(broken ? CloseReason.RESET_BY_PEER : CloseReason.CLOSED_BY_PEER);
    }

    void close(CloseReason reason) {
        if (Log.tells(Event.CLIENT_CLOSED)) {
            Log.tell(Event.CLIENT_CLOSED, reason, answering);
        }
        link.close();
        left.accept(this);
    }

    private void request() {
        String path = parser.target().split("\\?", 2)[0];
        if (path.equals("/health/ready") || path.equals("/health/live") || path.equals("/stats")) {
            if (!parser.method().equals("GET")) {
                answer(HttpMessageBuilder.response(405).header("Allow", "GET"), new byte[0]);
            } else if (path.equals("/stats")) {
                answer(HttpMessageBuilder.response(200).header("Content-Type", "application/json"),
                    intake.figures());
            } else {
                answer(
                    HttpMessageBuilder.response(path.equals("/health/live") || intake.isReady() ? 200 : 503),
                    new byte[0]);
            }
            return;
        }
        String offering = path.startsWith("/") ? path.substring(1).split("/", 2)[0] : "";
        if (!intake.knows(offering)) {
            answer(404);
        } else if (!parser.method().equals("POST")) {
            answer(HttpMessageBuilder.response(405).header("Allow", "POST"), new byte[0]);
        } else {
            envelope(offering);
        }
    }

    private void envelope(String offering) {
        String id = parser.header("Request-Id");
        long within = Fields.micros(parser.header("Request-Timeout"));
        String destination = Fields.destination(parser.header("X-Addressing"));
        if (id == null || id.isEmpty() || id.length() > limits.maxIdLength() || within < 0
            || destination == null) {
            answer(400);
            return;
        }
        intake.handIn(id, offering, parser.header("Tenant"), parser.header("Affinity-Key"),
            parser.header("Idempotency-Key"),
            destination, within, parser.removeBody(), new MessageIntake.Reply() {
                @Override
                public boolean with(int status, long pause) {
                    HttpMessageBuilder answer = HttpMessageBuilder.response(status);
                    if (pause > 0) {
                        answer.header("Retry-After", Fields.seconds(pause));
                    }
                    answer(answer, new byte[0]);
                    return !link.isClosed();
                }

                @Override
                public boolean clientLeft() {
                    return link.isClosed() || link.isInputEnded();
                }
            });
    }

    private void answer(int status) {
        Log.tell(Event.CLIENT_REFUSED, status);
        answer(HttpMessageBuilder.response(status), new byte[0]);
    }

    private void answer(HttpMessageBuilder answer, byte[] body) {
        if (link.isClosed()) {
            return;
        }
        boolean last = !parser.isKeepAlive() || intake.isClosing();
        if (last) {
            answer.header("Connection", "close");
        }
        link.write(answer.build(body));
        answering = told = false;
        since = loop.nowMicros();
        parser.startNextMessage();
        if (last) {
            leave();
        } else if (link.input.size() > 0) {
            loop.thread().execute(this::onBytesReceived);
        }
        link.resumeReading();
    }

    private void refuse(int status) {
        Log.tell(Event.CLIENT_REFUSED, status);
        link.write(HttpMessageBuilder.response(status).header("Connection", "close").buildWithEmptyBody());
        leave();
    }

    /** Reads on for a moment: closing at once on unread bytes would take the answer back off the wire. */
    private void leave() {
        leaving = true;
        since = loop.nowMicros();
        link.input.skip(link.input.size());
        link.shutdownOutput();
        link.resumeReading();
    }
}
