/**
 * The server side towards clients: accepting connections, reading requests within limits, and answering
 * them.
 */
package yewpath.intake;
