/**
 * Scenario files: the emulated world, its load and faults, the policies to run, and the parameters to sweep.
 */
package yewpath.lab.scenario;
