/** The command line: what a word starts, its options, its exit codes. Does nothing itself. */
package yewpath.command;
