/** Plays the runs that a scenario asks for over all cores, and writes what they came to. */
package yewpath.lab.run;
