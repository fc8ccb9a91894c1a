/** Foundations of the emulator: simulated time with a calendar of events, and reproducible random numbers. */
package yewpath.lab.core;
