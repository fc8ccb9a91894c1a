/** A relay in a process of its own, started as an operator would. */
package yewpath.standins.process;
