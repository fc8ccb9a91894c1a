/**
 * Every delivery decision of one relay: which endpoint, when, how often, and when to refuse. Pure code
 * without I/O, threads or a clock of its own; the caller hands in events and carries out the actions that
 * are asked for.
 */
package yewpath;
