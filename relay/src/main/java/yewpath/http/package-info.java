/**
 * HTTP/1.1 on non-blocking channels: ring buffers, an incremental parser, a message builder, buffered
 * connections, and outbound connections that send requests to other servers.
 */
package yewpath.http;
