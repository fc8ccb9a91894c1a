/**
 * Checks the delivery rules on every event of a run. The rules are implemented independently of the delivery
 * policy and of the referee of the stand-ins, so that an error in one of them does not hide in the others.
 */
package yewpath.lab.referee;
