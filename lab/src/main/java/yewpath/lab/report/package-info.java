/** Evaluates folders of results: compares paired runs, and writes an HTML report with plots. */
package yewpath.lab.report;
