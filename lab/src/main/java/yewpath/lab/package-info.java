/**
 * The lab: the commands of {@code yewpath-lab}, which emulate and measure relays. Relays do not depend on it;
 * it is not on their class path.
 */
package yewpath.lab;
