/**
 * Calls to endpoints: composing requests, the connections kept to each endpoint, and reading their answers
 * as outcomes.
 */
package yewpath.delivery;
