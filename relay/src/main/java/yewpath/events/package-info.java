/**
 * What the relay says of itself: a closed list of events ({@link yewpath.events.Event}), each a line of text or JSON
 * with fields, written by a thread of its own from a bounded queue. The I/O thread never waits for it: what finds no
 * room is dropped and counted, and a flood of one event is counted and summed up.
 */
package yewpath.events;
