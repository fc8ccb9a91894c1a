/** Reads folders of results: pairs two by seed, and makes a page with plots. */
package yewpath.lab.report;
