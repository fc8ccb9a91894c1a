/** What is played, as a file says it: world, load, troubles, policies, sweeps. */
package yewpath.lab.scenario;
