/**
 * Hosts instances of the delivery policy for the simulator, which speaks a line protocol on standard input
 * and output.
 */
package yewpath.wirehost;
