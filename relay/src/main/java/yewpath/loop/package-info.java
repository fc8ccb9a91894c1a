/** The event loop of the I/O thread: rounds, timers, and the limits on memory, descriptors and time. */
package yewpath.loop;
