/**
 * The write-ahead log: what the relay has accepted and attempted, written before anything rests on it and
 * replayed at a start.
 */
package yewpath.ledger;
