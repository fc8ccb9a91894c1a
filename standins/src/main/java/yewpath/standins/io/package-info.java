/** One thread and one selector for some thousands of connections; HTTP/1.1 messages as they come and go. */
package yewpath.standins.io;
