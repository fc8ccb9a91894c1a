/**
 * The write-ahead log of accepted messages. Acceptances, attempts and owed notices are written to it before
 * the relay answers a client, calls an endpoint or notifies the platform, and are replayed when the relay
 * starts.
 */
package yewpath.ledger;
