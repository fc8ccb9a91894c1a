package yewpath.events;

import java.util.Locale;
import org.tinylog.Level;

/** All that is ever written, by stable name; docs/events.md is made from here. */
public enum Event {
    RELAY_STARTED("relay.started", Level.INFO, "It takes envelopes from now on.", "name", "at", "restored",
        "operator_file"),
    RELAY_RELOADED("relay.reloaded", Level.INFO,
        "A new configuration is in force; what waits for a restart is named.",
        "discovery", "changed", "waits_for_restart"),
    RELAY_RELOAD_REFUSED("relay.reload_refused",
        Level.ERROR,
        "The new configuration has a fault: all of the old one stays in force.",
        "fault"),
    RELAY_CLOSING("relay.closing", Level.INFO, "It was asked to end.", "open",
        "calls_out"),
    RELAY_CLOSED("relay.closed", Level.INFO,
        "Its last word; what is open stays in the ledger.", "open",
        "calls_out"),
    RELAY_ERROR("relay.fault", Level.ERROR,
        "An event or act of one envelope or connection failed; the others go on.",
        "exception"),
    CLIENT_ACCEPT_FAILED("client.accept_failed", Level.WARN,
        "A connection could not be accepted.",
        "why"),
    CLIENT_REFUSED("client.refused", Level.DEBUG,
        "A request that cannot be an envelope was answered with an error.",
        "status"),
    CLIENT_EVICTED("client.evicted", Level.INFO,
        "All room for clients is taken: the one missed least was closed.",
        "quiet_ms", "connections"),
    CLIENT_CLOSED(
        "client.closed",
        Level.DEBUG,
        "A client's connection is closed; request_open where its request had no answer yet.",
        "why",
        "request_open"),
    MESSAGE_ACCEPTED("envelope.taken",
        Level.DEBUG, "Taken on: its end is owed from now on.", "id",
        "offering", "tenant",
        "destination", "within_ms",
        "bytes"),
    MESSAGE_RESTORED("envelope.restored", Level.DEBUG,
        "Read from the ledger at the start.", "id", "shots",
        "in_doubt"),
    MESSAGE_REFUSED("envelope.refused", Level.DEBUG,
        "Not taken on; why is closing, disk (the folder fails), hold, ledger (its part of the disk is full) or unlisted (no list names its destination).",
        "id", "why"),
    ATTEMPT_STARTED("envelope.shot", Level.DEBUG,
        "Its first byte leaves for an endpoint.", "id",
        "shot", "endpoint"),
    ATTEMPT_FAILED("envelope.back",
        Level.DEBUG,
        "A shot has ended without delivering it.", "id",
        "shot", "endpoint", "outcome",
        "elapsed_ms", "wait_ms"),
    MESSAGE_DELIVERED(
        "envelope.fulfilled", Level.DEBUG,
        "Delivered, or said by the endpoint to be over.",
        "id", "shot",
        "endpoint",
        "elapsed_ms"),
    MESSAGE_REJECTED(
        "envelope.handed_back", Level.DEBUG,
        "Deferred: it may be handed in again.",
        "id", "retry_in_ms"),
    MESSAGE_FAILED(
        "envelope.given_up", Level.DEBUG,
        "Aborted: it may have run, so it must not be repeated.",
        "id"),
    MESSAGE_WITHDRAWN(
        "envelope.withdrawn", Level.DEBUG,
        "Its client had left before the answer.",
        "id"),
    ENDPOINT_UNHEALTHY(
        "endpoint.sick", Level.INFO,
        "Only trial shots go there from now on.",
        "endpoint"),
    ENDPOINT_HEALTHY(
        "endpoint.well",
        Level.INFO,
        "It has answered again; shots are ramped.",
        "endpoint"),
    ENDPOINT_LISTED(
        "endpoint.listed",
        Level.DEBUG,
        "An entry of the list, new or changed.",
        "endpoint", "address",
        "destination",
        "state"),
    RESPONSE_STALE(
        "answer.foreign",
        Level.WARN,
        "An answer of an earlier request came while the next one was out; that one still waits for its own.",
        "address",
        "status"),
    RESPONSE_REPEATED(
        "answer.uncertain",
        Level.WARN,
        "An answer equals one that came before on its connection: the request may have run.",
        "address",
        "status"),
    CONNECTION_CLOSED(
        "connection.closed",
        Level.DEBUG,
        "A connection to an endpoint or the platform is closed; request_out where a request had no answer yet.",
        "address",
        "why",
        "request_out"),
    DIRECTORY_INVALID(
        "directory.garbled",
        Level.WARN,
        "A list that cannot be read is left out; the last one stays.",
        "why"),
    DIRECTORY_WATCH_ENDED(
        "directory.lost",
        Level.INFO,
        "A watch has ended; it is taken up anew.",
        "again_in_ms"),
    NOTICE_REFUSED(
        "notice.refused",
        Level.ERROR,
        "The platform does not understand a notice: it is dropped.",
        "id"),
    NOTICE_UNACKNOWLEDGED(
        "notice.unheard",
        Level.WARN,
        "The platform has not answered notices: they go again.",
        "count",
        "again_in_ms"),
    LEDGER_TRUNCATED(
        "ledger.torn",
        Level.WARN,
        "The last life ended in the middle of a write; nothing rested on that record.",
        "bytes"),
    LEDGER_COMPACTED(
        "ledger.compacted",
        Level.INFO,
        "The file was written anew with what is live.",
        "from_bytes",
        "to_bytes",
        "live",
        "took_ms"),
    LEDGER_FAILED(
        "ledger.failed",
        Level.ERROR,
        "The lasting folder cannot be written: nothing new is taken on or sent until it can.",
        "exception"),
    LEDGER_RECOVERED(
        "ledger.recovered",
        Level.INFO,
        "The lasting folder can be written again, and holds all that is live.",
        "live"),
    LEDGER_REPLACED(
        "ledger.replaced",
        Level.WARN,
        "Another folder or file lies where the log was: it is written anew.",
        "live"),
    LEDGER_UNREADABLE(
        "ledger.unreadable",
        Level.ERROR,
        "The start waits for the lasting folder to be readable.",
        "exception"),
    LEDGER_MOVED_ASIDE(
        "ledger.set_aside",
        Level.WARN,
        "What lay where the log belongs was no file, and is renamed.",
        "from",
        "to"),
    LEDGER_LEFTOVER(
        "ledger.leftover",
        Level.WARN,
        "A file that was not finished could not be removed.",
        "path",
        "exception"),
    LEDGER_RECORD_SKIPPED(
        "ledger.record_skipped",
        Level.ERROR,
        "A whole record means nothing to this program: it is left out.",
        "type",
        "exception"),
    LOG_SUPPRESSED(
        "log.summed",
        Level.INFO,
        "More of one event came than is written: so many lines were left out.",
        "of",
        "count"),
    LOG_DROPPED(
        "log.dropped",
        Level.WARN,
        "Lines found no room in the queue and were dropped.",
        "count"),
    LIBRARY(
        "library",
        Level.WARN,
        "Something that a library says.",
        "message",
        "exception");

    public final String label;
    final Level level;
    public final String description;
    final String[] fields;

    Event(String label, Level level, String description, String... fields) {
        this.label = label;
        this.level = level;
        this.description = description;
        this.fields = fields;
    }

    public String levelName() {
        return level.name().toLowerCase(Locale.ROOT);
    }

    /** The page of all events. */
    public static String markdown() {
        StringBuilder out = new StringBuilder(
            """
                # Events

                Made by `bin/yewpath events --markdown`; the list is `yewpath.events.Event`.

                One line an event, on standard error: as text (`time level event {fields}`) or as one JSON object with `time` (UTC),
                `level`, `event` and the fields named here. `log.level` and `log.form` in the operator's file choose; both follow SIGHUP.
                Fields are JSON in both forms: what came from outside can't break a line, since control and non-ASCII characters are
                escaped, and longer texts than 256 characters are cut. At debug each event in the life of an envelope bears its id.
                At info and above at most `log.flood_after` lines of one event are written a second, the others summed up by `log.summed`.
                A line that finds the queue full is dropped and counted by `log.dropped`: logging never holds up the relay.

                | event | level | fields | |
                | --- | --- | --- | --- |
                """);
        for (Event event : values()) {
            out.append("| `").append(event.label).append("` | ").append(event.levelName())
                .append(" | ").append(String.join(", ", event.fields)).append(" | ").append(event.description)
                .append(" |\n");
        }
        return out.toString();
    }
}
