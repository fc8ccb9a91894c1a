/** The lab: tools that measure relays, each a command of {@code yewpath-lab}. Nothing of it is on a relay's class path. */
package yewpath.lab;
