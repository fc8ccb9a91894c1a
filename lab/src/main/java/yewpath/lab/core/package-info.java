/** Simulated time and chance: a calendar of events, and a stream of random numbers for each cause. */
package yewpath.lab.core;
