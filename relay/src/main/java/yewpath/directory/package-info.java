/** Service discovery: the watch on the platform's registry and the list of endpoints read from it. */
package yewpath.directory;
