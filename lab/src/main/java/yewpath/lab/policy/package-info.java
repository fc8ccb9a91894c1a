/**
 * What decides in an emulated relay: the real Logic, textbook policies behind the same interface, each named for its
 * source, and an oracle that sees the true state.
 */
package yewpath.lab.policy;
