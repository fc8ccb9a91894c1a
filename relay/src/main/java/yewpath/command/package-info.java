/**
 * The command line: commands, their options and the exit codes. The commands are implemented in other
 * packages.
 */
package yewpath.command;
