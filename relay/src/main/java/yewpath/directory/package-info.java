/**
 * Service discovery: the client that watches the platform's registry, and the lists of endpoints that it
 * receives.
 */
package yewpath.directory;
