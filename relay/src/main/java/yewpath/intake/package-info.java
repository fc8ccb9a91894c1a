/**
 * The HTTP server for clients: accepts connections, reads requests within the configured limits, submits
 * their messages and writes the responses.
 */
package yewpath.intake;
