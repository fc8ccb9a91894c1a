/**
 * Translates the platform's settings, named as on the wire, into those of the decision module, and maps
 * names to dense indices.
 */
package yewpath.boot;
