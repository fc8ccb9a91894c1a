/** The program {@code yewpath demo}: a relay in a process of its own among stand-ins, and what became of each envelope. */
package yewpath.standins.demo;
