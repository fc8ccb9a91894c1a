package yewpath.directory;

import java.net.InetSocketAddress;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.ServerConnection;
import yewpath.http.CloseReason;
import yewpath.http.Parser;
import yewpath.http.Writer;
import yewpath.json.Values;
import yewpath.loop.Limits;
import yewpath.loop.Loop;

/**
 * Keeps the list of endpoints up to date with service discovery. A watch is a response that does not end:
 * discovery sends the changes since the version last known, then each further change, and empty lines as
 * heartbeats. After any failure the last list stays in use.
 */
public final class DiscoveryClient {
    private final Loop loop;
    private final Limits limits;
    private InetSocketAddress discovery;
    private final EndpointList.Listener listener;
    private final Runnable onRequestEnded;
    private long version;
    /** The connection of the latest watch; null before the first one. */
    private ServerConnection connection;
    private Loop.Timer retryTimer;
    private long backoffMicros;
    private boolean everAnswered;

    /**
     * Creates a client that sends nothing yet.
     *
     * @param version the version of the list that is in use at the start; 0 if there is none
     * @param listener receives all lists and changes, in the rounds of the loop
     * @param onRequestEnded called when a watch has ended or a fetch has failed; if it is null, a watch that
     * ended is restarted after a delay that doubles with each failure
     */
    public DiscoveryClient(Loop loop, Limits limits, InetSocketAddress discovery, long version,
        EndpointList.Listener listener, Runnable onRequestEnded) {
        this.loop = loop;
        this.limits = limits;
        this.discovery = discovery;
        this.version = version;
        this.listener = listener;
        this.onRequestEnded = onRequestEnded;
    }

    /** Starts a watch from the last version known and closes the previous watch, if there is one. */
    public void startWatch() {
        if (retryTimer != null) {
            retryTimer.callOff();
        }
        if (connection != null) {
            connection.drop();
        }
        sendRequest("/registry/instances?follow=1&since=" + version, true);
    }

    /**
     * Returns whether discovery has answered since this process started, and its answer was passed to the
     * listener.
     */
    public boolean hasAnswered() {
        return everAnswered;
    }

    /**
     * Changes the address of discovery. A watch continues there from the last version; the list stays in use.
     */
    public void setAddress(InetSocketAddress address) {
        discovery = address;
        backoffMicros = 0;
        if (connection != null) {
            startWatch();
        }
    }

    /** Requests the complete list once, without a watch. */
    public void fetchList() {
        sendRequest("/registry/instances", false);
    }

    private void sendRequest(String target, boolean isWatch) {
        ServerConnection requestConnection = new ServerConnection(loop, limits, discovery, limits.lineMost());
        connection = isWatch ? requestConnection : connection;
        byte[] request = Writer.request("GET", target, discovery).done();
        requestConnection.ask(request, new ResponseHandler(requestConnection, isWatch));
    }

    /** Handles the response to one request, which lasts as long as the watch does. */
    private final class ResponseHandler implements ServerConnection.Answer {
        private final ServerConnection source;
        private final boolean isWatch;
        private final Values values = new Values(this::objectReceived, this::emptyLineReceived);
        private Loop.Timer silenceTimer;
        private final long requestedAtMicros = loop.now();
        private boolean headReceived;
        private boolean answered;

        ResponseHandler(ServerConnection source, boolean isWatch) {
            this.source = source;
            this.isWatch = isWatch;
            restartSilenceTimer();
        }

        /**
         * Called only when something complete was received: the head, an empty line or an object. Guards
         * against a watch that will never deliver a change again although single bytes still arrive, or
         * although its last line broke off in the middle.
         */
        private void restartSilenceTimer() {
            if (silenceTimer != null) {
                silenceTimer.callOff();
            }
            silenceTimer = loop.after(limits.watchSilence(), () -> source.close(CloseReason.SILENT));
        }

        @Override
        public void part(Parser answer) {
            if (!isWatch || !answer.headKnown() || answer.status() != 200) {
                return;
            }
            if (!headReceived) {
                headReceived = true;
                restartSilenceTimer();
                loop.after(limits.answerRest(), this::answerWithoutChanges);
            }
            feed(answer);
        }

        /**
         * Runs some time after the head. If nothing has changed, no object follows the head; if something
         * has, the object may arrive separately from the head and in pieces.
         */
        private void answerWithoutChanges() {
            if (!source.isClosed() && !values.isInside()) {
                answeredWithoutList();
            }
        }

        /**
         * Passes an empty list of changes to the listener, if nothing was received on this watch before.
         * Guards against a caller that requests lists itself taking a watch on which nothing changes for an
         * unanswered request, and repeating it again and again.
         */
        private void answeredWithoutList() {
            if (!answered) {
                answered = true;
                loop.gather(() -> {
                    listener.listStarted(false);
                    listener.listEnded();
                });
            }
            markAnswered();
        }

        @Override
        public void whole(Parser answer) {
            silenceTimer.callOff();
            if (answer.status() == 200) {
                feed(answer);
                if (values.isInside()) {
                    Log.tell(Event.DIRECTORY_GARBLED, "response ended in the middle of an object");
                }
            }
            source.close(CloseReason.NOT_KEPT);
            if (isWatch || answer.status() != 200) {
                requestEnded(isWatch);
            }
        }

        @Override
        public void failed(boolean sent, Parser answer) {
            silenceTimer.callOff();
            requestEnded(isWatch);
        }

        /**
         * Parses what has been received of the body. If that is not valid, the connection is closed; the next
         * watch starts from the last valid version, so that discovery sends the same changes again.
         */
        private void feed(Parser answer) {
            try {
                values.feed(answer.takeBody(), limits.lineMost());
            } catch (IllegalArgumentException invalid) {
                Log.tell(Event.DIRECTORY_GARBLED, invalid.getMessage());
                source.close(CloseReason.UNREADABLE_LIST);
            }
        }

        private void emptyLineReceived() {
            restartSilenceTimer();
            // A watch that has lasted longer than the delay before it no longer counts as a repeated failure.
            backoffMicros = loop.now() - requestedAtMicros > backoffMicros ? 0 : backoffMicros;
            answeredWithoutList();
        }

        private void objectReceived(byte[] bytes) {
            EndpointList list = EndpointList.read(bytes);
            answered = true;
            restartSilenceTimer();
            loop.gather(() -> {
                list.notifyListener(listener);
                version = list.version;
                backoffMicros = 0;
            });
            markAnswered();
        }
    }

    /** Takes effect in the round of the loop in which the listener receives what discovery has answered. */
    private void markAnswered() {
        if (!everAnswered) {
            loop.gather(() -> everAnswered = true);
        }
    }

    private void requestEnded(boolean isWatch) {
        if (onRequestEnded != null) {
            onRequestEnded.run();
        } else if (isWatch) {
            backoffMicros = Math.min(limits.retryMost(), Math.max(limits.retryFirst(), 2 * backoffMicros));
            Log.tell(Event.DIRECTORY_LOST, backoffMicros / 1000);
            retryTimer = loop.after(backoffMicros, this::startWatch);
        }
    }
}
