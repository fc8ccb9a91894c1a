/**
 * Checks the delivery rules: records what clients submitted and what became of each message, independently of
 * anything that the relay reports about itself.
 */
package yewpath.standins.referee;
