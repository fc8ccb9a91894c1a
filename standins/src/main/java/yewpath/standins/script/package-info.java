/**
 * What goes wrong with a peer, and when, as lines of text. Pure: time and chance are handed in. The notation is in
 * {@link yewpath.standins.script.Script}.
 */
package yewpath.standins.script;
