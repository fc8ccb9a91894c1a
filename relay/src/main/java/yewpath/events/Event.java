package yewpath.events;

import java.util.Locale;
import org.tinylog.Level;

/**
 * Every event that the relay logs. Names, levels and fields are stable, since operators' tools read them;
 * docs/events.md is generated from this list.
 */
public enum Event {
    RELAY_STARTED("relay.started", Level.INFO,
        "The relay accepts messages from now on.",
        "name", "at", "restored", "operator_file"),
    RELAY_RELOADED("relay.reloaded", Level.INFO,
        "A new configuration is in use; waits_for_restart lists the changed keys that need a restart.",
        "discovery", "changed", "waits_for_restart"),
    RELAY_RELOAD_REFUSED("relay.reload_refused", Level.ERROR,
        "The new configuration has errors; the old one stays in use completely.",
        "fault"),
    RELAY_CLOSING("relay.closing", Level.INFO,
        "The relay was asked to shut down.",
        "open", "calls_out"),
    RELAY_CLOSED("relay.closed", Level.INFO,
        "The last event before the process exits; open messages stay in the ledger.",
        "open", "calls_out"),
    RELAY_ERROR("relay.fault", Level.ERROR,
        "Handling one message or connection failed with an exception; the others are not affected.",
        "exception"),
    RELAY_IO_THREAD_FAILED("relay.io_thread_failed", Level.ERROR,
        "An error has ended the I/O thread; the process ends with exit code 1, and a new one continues with "
            + "the ledger.",
        "exception"),
    CLIENT_ACCEPT_FAILED("client.accept_failed", Level.WARN,
        "A client's connection could not be accepted.",
        "why"),
    CLIENT_REFUSED("client.refused", Level.DEBUG,
        "A request that is not a valid message was answered with an error status.",
        "status"),
    CLIENT_EVICTED("client.evicted", Level.INFO,
        "The limit of client connections is reached: the least needed connection was closed.",
        "quiet_ms", "connections"),
    CLIENT_CLOSED("client.closed", Level.DEBUG,
        "A client's connection is closed; request_open tells whether a request was still unanswered.",
        "why", "request_open"),
    MESSAGE_ACCEPTED("envelope.taken", Level.DEBUG,
        "The message was accepted: the relay owes its outcome from now on.",
        "id", "offering", "tenant", "destination", "within_ms", "bytes"),
    MESSAGE_RESTORED("envelope.restored", Level.DEBUG,
        "The message was read from the ledger at the start.",
        "id", "shots", "in_doubt"),
    MESSAGE_REFUSED("envelope.refused", Level.DEBUG,
        "The message was not accepted; why is closing (shutdown), disk (the state folder can't be "
            + "written), hold (too many open messages), ledger (no space left for live messages), "
            + "unlisted (no endpoint list contains its destination), repeated (a message with this id was "
            + "handed back before) or taken (a message with this id and another content was accepted).",
        "id", "why"),
    MESSAGE_REPEATED("envelope.repeated", Level.DEBUG,
        "A request repeated the id of an accepted message, which is not accepted again; ended tells "
            + "whether that message has ended.",
        "id", "ended"),
    ATTEMPT_STARTED("envelope.shot", Level.DEBUG,
        "The first byte of an attempt is about to be sent to an endpoint.",
        "id", "shot", "endpoint"),
    ATTEMPT_FAILED("envelope.back", Level.DEBUG,
        "An attempt ended without delivering the message.",
        "id", "shot", "endpoint", "outcome", "elapsed_ms", "wait_ms"),
    MESSAGE_DELIVERED("envelope.fulfilled", Level.DEBUG,
        "The message was delivered, or the endpoint reported it as finished.",
        "id", "shot", "endpoint", "elapsed_ms"),
    MESSAGE_REJECTED("envelope.handed_back", Level.DEBUG,
        "The message was rejected: the client may submit it again.",
        "id", "retry_in_ms"),
    MESSAGE_FAILED("envelope.given_up", Level.DEBUG,
        "The message failed: it may have been processed, so it must not be repeated.",
        "id"),
    MESSAGE_WITHDRAWN("envelope.withdrawn", Level.DEBUG,
        "The client disconnected before the message was confirmed.",
        "id"),
    ENDPOINT_UNHEALTHY("endpoint.sick", Level.INFO,
        "The endpoint is unhealthy: it receives only probes from now on.",
        "endpoint"),
    ENDPOINT_HEALTHY("endpoint.well", Level.INFO,
        "The endpoint answers again: its load is increased step by step.",
        "endpoint"),
    ENDPOINT_OUTAGE("endpoint.outage", Level.INFO,
        "What is known of an outage has changed: phase is none, suspected (a call failed), unhealthy (probes only) "
            + "or recovering (the load increases step by step); why is the first failure, or what disproves an outage.",
        "endpoint", "phase", "why"),
    ENDPOINT_LISTED("endpoint.listed", Level.DEBUG,
        "Discovery has added or changed an endpoint.",
        "endpoint", "address", "destination", "state"),
    RESPONSE_STALE("answer.foreign", Level.WARN,
        "The response to an earlier request arrived; the current request still waits for its own "
            + "response.",
        "address", "status"),
    RESPONSE_REPEATED("answer.uncertain", Level.WARN,
        "A response equals an earlier one of the same connection: whether the request was processed "
            + "is unknown.",
        "address", "status"),
    CONNECTION_CLOSED("connection.closed", Level.DEBUG,
        "A connection to an endpoint or the platform is closed; request_out tells whether a request "
            + "was still unanswered.",
        "address", "why", "request_out"),
    DIRECTORY_INVALID("directory.garbled", Level.WARN,
        "An endpoint list could not be read and is ignored; the previous list stays in use.",
        "why"),
    DIRECTORY_SLOW("directory.slow", Level.WARN,
        "A list arrives so slowly that its connection is closed; the next one gets twice the time.",
        "bytes", "after_ms"),
    DIRECTORY_WATCH_ENDED("directory.lost", Level.INFO,
        "The connection that follows the endpoint list has ended; it is opened again.",
        "again_in_ms"),
    DIRECTORY_AWAITED("directory.awaited", Level.WARN,
        "Discovery has not answered since the start, or since its address changed or it closed the watch, or a "
            + "change has not arrived completely: messages are accepted, and none is sent until it has.",
        "open"),
    NOTICE_REFUSED("notice.refused", Level.ERROR,
        "The platform rejected a notice as invalid; the notice is dropped.",
        "id"),
    NOTICE_UNACKNOWLEDGED("notice.unheard", Level.WARN,
        "The platform did not acknowledge notices; they are sent again.",
        "count", "again_in_ms"),
    LEDGER_UNLOCKED("ledger.unlocked", Level.WARN,
        "The file system of the state folder has no locks: a second process on the folder is not noticed.",
        "exception"),
    LEDGER_TRUNCATED("ledger.torn", Level.WARN,
        "The previous process ended during a write; the incomplete record is ignored, nothing "
            + "depended on it.",
        "bytes"),
    LEDGER_COMPACTED("ledger.compacted", Level.INFO,
        "The ledger was rewritten with the live messages only.",
        "from_bytes", "to_bytes", "live", "took_ms"),
    LEDGER_FAILED("ledger.failed", Level.ERROR,
        "The state folder can't be written: no message is accepted or sent until it can be written "
            + "again.",
        "exception"),
    LEDGER_RECOVERED("ledger.recovered", Level.INFO,
        "The state folder can be written again and contains all live messages.",
        "live"),
    LEDGER_REPLACED("ledger.replaced", Level.WARN,
        "The ledger's folder or file was replaced by another one: the ledger is rewritten.",
        "live"),
    LEDGER_UNREADABLE("ledger.unreadable", Level.ERROR,
        "The start waits until the state folder can be read.",
        "exception"),
    LEDGER_MOVED_ASIDE("ledger.set_aside", Level.WARN,
        "The path of the ledger was occupied by something other than a file, which was renamed.",
        "from", "to"),
    LEDGER_LEFTOVER("ledger.leftover", Level.WARN,
        "An incomplete temporary file could not be removed.",
        "path", "exception"),
    LEDGER_RECORD_SKIPPED("ledger.record_skipped", Level.ERROR,
        "A complete record of an unknown form is ignored.",
        "type", "exception"),
    LOG_SUPPRESSED("log.summed", Level.INFO,
        "Lines of one event exceeded the limit per second; count is the number of suppressed lines.",
        "of", "count"),
    LOG_DROPPED("log.dropped", Level.WARN,
        "Lines were dropped because the log queue was full.",
        "count"),
    LIBRARY("library", Level.WARN,
        "A log entry of a library.",
        "message", "exception");

    /** Name of the event in the log. */
    public final String label;
    final Level level;
    /** One sentence for the reference page. */
    public final String description;
    /** Names of the fields, in the order of the values that {@link Log#log} takes. */
    final String[] fields;

    Event(String label, Level level, String description, String... fields) {
        this.label = label;
        this.level = level;
        this.description = description;
        this.fields = fields;
    }

    /** Returns the level in lower case. */
    public String levelName() {
        return level.name().toLowerCase(Locale.ROOT);
    }

    /** Returns the reference page of all events, docs/events.md. */
    public static String markdown() {
        StringBuilder page = new StringBuilder(
            """
                # Events

                Generated by `bin/yewpath events --markdown` from `yewpath.events.Event`.

                Each event is one line on standard error: as text (`time level event {fields}`) or as a JSON
                object with `time` (UTC), `level`, `event` and the fields of the event. The keys `log.level`
                and `log.form` of the operator's file choose level and form; both are reloaded on SIGHUP.
                Fields are JSON in both forms. Control characters and non-ASCII characters are escaped, so
                data from outside can't start a new line, and texts longer than 256 characters are truncated.
                At level debug, every event of a message contains the message's id. At info and above, at most
                `log.flood_after` lines of one event are written per second; `log.summed` reports how many
                more there were. Lines that find the log queue full are dropped and counted by `log.dropped`,
                so that logging never blocks the relay.

                | event | level | fields | meaning |
                | --- | --- | --- | --- |
                """);
        for (Event event : values()) {
            page.append("| `").append(event.label).append("` | ").append(event.levelName())
                .append(" | ").append(String.join(", ", event.fields)).append(" | ").append(event.description)
                .append(" |\n");
        }
        return page.toString();
    }
}
