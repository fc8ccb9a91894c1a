/**
 * HTTP/1.1 on non-blocking channels: ring buffers, an incremental parser, a writer, and client and server
 * connections.
 */
package yewpath.http;
