/**
 * Non-blocking sockets and HTTP/1.1 messages for the test servers: one thread with one selector serves
 * several thousand connections.
 */
package yewpath.standins.io;
