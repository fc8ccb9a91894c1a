/**
 * The program {@code yewpath demo}: runs a relay in a process of its own among test servers, submits messages
 * and prints the outcomes.
 */
package yewpath.standins.demo;
