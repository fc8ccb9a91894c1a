/** The relay's other sides: endpoints with scripts, the platform with its list and its ear for notices, clients. */
package yewpath.standins.peer;
