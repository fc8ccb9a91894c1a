/**
 * Writes a relay's configuration and runs the relay in a process of its own, in the way that an operator
 * starts it.
 */
package yewpath.standins.process;
