/**
 * Writes the relay's log. Every line is one of the events of {@link yewpath.events.Event}, as text or as
 * JSON. A separate thread writes the lines from a bounded queue, so the I/O thread never waits for the log:
 * lines that find the queue full are dropped and counted, and frequent lines of the same event are suppressed
 * and counted.
 */
package yewpath.events;
