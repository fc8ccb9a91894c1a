/**
 * The programs that a relay communicates with: endpoints that follow scripts, the platform with the discovery
 * list and the receiver of notices, and clients.
 */
package yewpath.standins.peer;
