/**
 * Scripts that say which faults a test endpoint has and when, as lines of text. Does no I/O: the time and the
 * random numbers are arguments. {@link yewpath.standins.script.Script} describes the notation.
 */
package yewpath.standins.script;
