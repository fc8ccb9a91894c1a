/**
 * Runs the experiments that a scenario file describes on all cores, writes their results, and searches for
 * bad cases.
 */
package yewpath.lab.run;
