/**
 * The event loop of the I/O thread with its rounds and timers, the clock of the process, and the limits on
 * sizes, connections and times.
 */
package yewpath.loop;
