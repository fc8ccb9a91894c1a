/**
 * Hosts many instances of the decision module behind the simulator's line protocol on standard input and
 * output.
 */
package yewpath.wirehost;
