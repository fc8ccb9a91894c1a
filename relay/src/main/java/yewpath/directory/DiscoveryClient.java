package yewpath.directory;

import java.net.InetSocketAddress;
import yewpath.events.Event;
import yewpath.events.Log;
import yewpath.http.CloseReason;
import yewpath.http.HttpMessageBuilder;
import yewpath.http.HttpParser;
import yewpath.http.OutboundConnection;
import yewpath.json.JsonObjectSplitter;
import yewpath.loop.EventLoop;
import yewpath.loop.Limits;

/**
 * Keeps the list of endpoints up to date with service discovery. A watch is a response that does not end:
 * discovery sends the changes since the version last known, then each further change, and empty lines as
 * heartbeats. After any failure the last list stays in use.
 */
public final class DiscoveryClient {
    private static final int MAX_ALLOWANCE_FACTOR = 64;
    /** Bounds the work of {@link #readAvailable}; each read takes a buffer of 16 KiB by default. */
    private static final int MAX_READS = 64;

    private final EventLoop loop;
    private final Limits limits;
    private InetSocketAddress discovery;
    private final EndpointList.Listener listener;
    private final Runnable onRequestEnded;
    private long version;
    /** The connection of the latest watch; null before the first one. */
    private OutboundConnection connection;
    /** The handler of the latest watch; null before the first one. */
    private ResponseHandler watchHandler;
    private EventLoop.Timer retryTimer;
    private long backoffMicros;
    /** Doubles with each response that was too slow, until a list arrives. */
    private int allowanceFactor = 1;
    private final ListValidity validity;
    /** Lists that have been received and are passed to the listener in the next round. */
    private int queuedLists;
    private long receivedParts;
    /** When a watch was reset, until another one is answered; negative if none was. */
    private long resetAtMicros = -1;

    /**
     * Creates a client that sends nothing yet.
     *
     * @param version the version of the list that is in use at the start; 0 if there is none
     * @param listener receives all lists and changes, in the rounds of the loop
     * @param validity is told of answers and interruptions
     * @param onRequestEnded called when a watch has ended or a fetch has failed; if it is null, a watch that
     * ended is restarted after a delay that doubles with each failure
     */
    public DiscoveryClient(EventLoop loop, Limits limits, InetSocketAddress discovery, long version,
        EndpointList.Listener listener, ListValidity validity, Runnable onRequestEnded) {
        this.loop = loop;
        this.limits = limits;
        this.discovery = discovery;
        this.version = version;
        this.listener = listener;
        this.validity = validity;
        this.onRequestEnded = onRequestEnded;
    }

    /**
     * Starts a watch from the last version known and closes the previous watch, if there is one. A watch whose
     * response is arriving continues: another one would get the same list from its beginning.
     */
    public void startWatch() {
        if (watchHandler == null || !watchHandler.isReceiving()) {
            restartWatch();
        }
    }

    private void restartWatch() {
        if (retryTimer != null) {
            retryTimer.cancel();
        }
        if (connection != null) {
            connection.closeWithoutNotifying();
        }
        sendRequest("/registry/instances?follow=1&since=" + version, true);
    }

    /**
     * Changes the address of discovery. A watch continues there from the last version; the list stays in use
     * for a limited time until discovery answers there.
     */
    public void setAddress(InetSocketAddress address) {
        if (address.equals(discovery)) {
            return;
        }
        discovery = address;
        backoffMicros = 0;
        resetAtMicros = -1;
        validity.interrupted();
        if (connection != null) {
            restartWatch();
        }
    }

    /**
     * Reads what discovery has written to the watch until now. Guards against attempts by an outdated list after
     * the process has stood still: timers and other connections may be handled before the watch is.
     *
     * @return whether the listener has all lists that have arrived completely
     */
    public boolean readAvailable() {
        if (connection != null) {
            long partsBefore;
            int reads = 0;
            do {
                partsBefore = receivedParts;
                connection.readAvailable();
                reads++;
            } while (receivedParts != partsBefore && reads < MAX_READS);
        }
        return queuedLists == 0;
    }

    /** Requests the complete list once, without a watch. */
    public void fetchList() {
        sendRequest("/registry/instances", false);
    }

    private void sendRequest(String target, boolean isWatch) {
        OutboundConnection requestConnection = new OutboundConnection(loop, limits, discovery,
            limits.maxDiscoveryLineBytes());
        ResponseHandler handler = new ResponseHandler(requestConnection, isWatch);
        if (isWatch) {
            connection = requestConnection;
            watchHandler = handler;
        }
        byte[] request = HttpMessageBuilder.request("GET", target, discovery).build();
        requestConnection.sendRequest(request, handler);
    }

    /** Handles the response to one request, which lasts as long as the watch does. */
    private final class ResponseHandler implements OutboundConnection.ResponseHandler {
        private final OutboundConnection source;
        private final boolean isWatch;
        private final JsonObjectSplitter values = new JsonObjectSplitter(this::objectReceived,
            this::emptyLineReceived);
        private final ProgressTimeout progress;
        private final long requestedAtMicros = loop.nowMicros();
        private final long interruptionCount = validity.interruptionCount();
        /** When the list that is arriving began to arrive; negative between two lists. */
        private long listStartedAtMicros = -1;
        private long listBytes;
        private boolean responseStarted;
        private boolean headReceived;
        private boolean answered;
        private boolean closedByThisSide;

        ResponseHandler(OutboundConnection source, boolean isWatch) {
            this.source = source;
            this.isWatch = isWatch;
            progress = new ProgressTimeout(loop, limits, allowanceFactor, source::readAvailable,
                this::giveUp);
        }

        /** Whether a part of the response has arrived and more may follow. */
        boolean isReceiving() {
            return responseStarted && !source.isClosed();
        }

        private void giveUp(CloseReason reason) {
            if (reason == CloseReason.SLOW) {
                Log.log(Event.DIRECTORY_SLOW, listBytes, (loop.nowMicros() - requestedAtMicros) / 1000);
                allowanceFactor = Math.min(MAX_ALLOWANCE_FACTOR, 2 * allowanceFactor);
            }
            close(reason);
        }

        private void close(CloseReason reason) {
            closedByThisSide = true;
            source.close(reason);
        }

        @Override
        public void onPartialResponse(HttpParser answer) {
            responseStarted = true;
            receivedParts++;
            if (!answer.isHeadComplete() || answer.status() != 200) {
                return;
            }
            if (!headReceived) {
                headReceived = true;
                resetAtMicros = -1;
                progress.messageCompleted();
                loop.schedule(limits.responseCompletionTimeoutMicros(), this::answerWithoutChanges);
            }
            feed(answer);
        }

        /**
         * Runs some time after the head. If nothing has changed, no object follows the head; if something
         * has, the object may arrive separately from the head and in pieces. Until an object or an empty line
         * arrives it is unknown which is true, so the head alone does not make the list valid.
         */
        private void answerWithoutChanges() {
            if (isWatch && !source.isClosed() && !values.isIncomplete()) {
                reportEmptyList();
            }
        }

        /**
         * Passes an empty list of changes to the listener, if nothing was received on this watch before.
         * Guards against a caller that requests lists itself taking a watch on which nothing changes for an
         * unanswered request, and repeating it again and again.
         */
        private void reportEmptyList() {
            if (!answered) {
                answered = true;
                loop.enqueue(() -> {
                    listener.listStarted(false);
                    listener.listEnded();
                });
            }
        }

        @Override
        public void onResponse(HttpParser answer) {
            progress.stop();
            if (answer.status() == 200) {
                headReceived = true;
                feed(answer);
                if (values.isIncomplete()) {
                    Log.log(Event.DIRECTORY_INVALID, "response ended in the middle of an object");
                }
            }
            source.close(CloseReason.NOT_REUSABLE);
            reportInterruption();
            if (isWatch || answer.status() != 200) {
                requestEnded(isWatch);
            }
        }

        @Override
        public void onFailure(boolean sent, HttpParser answer) {
            progress.stop();
            switch (source.closeReason()) {
                case RESET_BY_PEER -> watchReset();
                case CONNECT_FAILED, CONNECT_TIMED_OUT -> reportAgentEnded();
                default -> reportInterruption();
            }
            requestEnded(isWatch);
        }

        /**
         * Reports the end of a watch that the peer has closed: discovery may have a change that it could not
         * write to the watch. A watch that fell silent, as in an outage, received everything that discovery
         * had until then. Takes effect after what the watch has received: a list that ends with its watch is valid.
         */
        private void reportInterruption() {
            if (isWatch && headReceived && !closedByThisSide) {
                loop.enqueue(validity::interrupted);
            }
        }

        /**
         * A reset ends the connection, but not always the agent. If the agent accepts the next connection and is
         * silent, discovery is out, and the agent learns nothing.
         */
        private void watchReset() {
            if (isWatch && headReceived && resetAtMicros < 0) {
                resetAtMicros = loop.nowMicros();
            }
        }

        /** After a reset, the agent has ended if it accepts no connection. The next one may know a change. */
        private void reportAgentEnded() {
            if (resetAtMicros >= 0) {
                long endedAtMicros = resetAtMicros;
                resetAtMicros = -1;
                loop.enqueue(() -> validity.interruptedAt(endedAtMicros));
            }
        }

        /**
         * Parses what has been received of the body. If that is not valid, the connection is closed; the next
         * watch starts from the last valid version, so that discovery sends the same changes again.
         */
        private void feed(HttpParser answer) {
            byte[] part = answer.removeBody();
            try {
                values.feed(part, limits.maxDiscoveryLineBytes());
                if (values.isIncomplete() && !JsonObjectSplitter.isBlank(part)) {
                    listPartReceived(part.length);
                }
            } catch (IllegalArgumentException invalid) {
                Log.log(Event.DIRECTORY_INVALID, invalid.getMessage());
                close(CloseReason.MALFORMED_LIST);
            }
        }

        private void listPartReceived(int bytes) {
            progress.partReceived(bytes);
            listBytes += bytes;
            if (listStartedAtMicros < 0) {
                long startedAtMicros = loop.nowMicros();
                listStartedAtMicros = startedAtMicros;
                if (isWatch) {
                    loop.enqueue(() -> validity.changeStarted(startedAtMicros));
                }
            }
        }

        private void emptyLineReceived() {
            progress.messageCompleted();
            // A watch that has lasted longer than the delay before it no longer counts as a repeated failure.
            backoffMicros = loop.nowMicros() - requestedAtMicros > backoffMicros ? 0 : backoffMicros;
            reportEmptyList();
            long receivedAtMicros = loop.nowMicros();
            loop.enqueue(() -> validity.confirmed(interruptionCount, receivedAtMicros));
        }

        private void objectReceived(byte[] bytes) {
            EndpointList list = EndpointList.read(bytes);
            requireSameNumbering(list);
            answered = true;
            progress.messageCompleted();
            allowanceFactor = 1;
            long startedAtMicros = listStartedAtMicros < 0 ? loop.nowMicros() : listStartedAtMicros;
            listStartedAtMicros = -1;
            listBytes = 0;
            queuedLists++;
            loop.enqueue(() -> {
                queuedLists--;
                list.notifyListener(listener);
                version = list.version;
                backoffMicros = 0;
                validity.confirmed(interruptionCount, startedAtMicros);
            });
        }
    }

    /**
     * Refuses changes with a lower version than that of the list in use. Guards against another process of
     * discovery, which counts its versions anew, being taken for the one before: its changes do not apply to this
     * list, so the next watch starts from no version and gets its whole list.
     */
    private void requireSameNumbering(EndpointList list) {
        if (list.isComplete() || list.version >= version) {
            return;
        }
        long versionInUse = version;
        version = 0;
        validity.interrupted();
        throw new IllegalArgumentException(
            "changes lead to version " + list.version + ", but version " + versionInUse + " is in use");
    }

    private void requestEnded(boolean isWatch) {
        if (onRequestEnded != null) {
            onRequestEnded.run();
        } else if (isWatch) {
            backoffMicros = Math.min(limits.maxRetryDelayMicros(),
                Math.max(limits.initialRetryDelayMicros(), 2 * backoffMicros));
            Log.log(Event.DIRECTORY_WATCH_ENDED, backoffMicros / 1000);
            retryTimer = loop.schedule(backoffMicros, this::restartWatch);
        }
    }
}
