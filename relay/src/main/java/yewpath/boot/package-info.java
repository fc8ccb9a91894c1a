/** Reads the platform's settings into those of the delivery policy, and maps names to small indices. */
package yewpath.boot;
