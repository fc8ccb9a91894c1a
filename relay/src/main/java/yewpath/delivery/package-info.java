/**
 * Calls to endpoints: encodes requests, keeps the connections to each endpoint, and derives outcomes from
 * the responses.
 */
package yewpath.delivery;
