/**
 * The operator's file: what may be set there ({@link yewpath.operator.Catalogue}), what must fit together, and what is in
 * force. Reads one file when asked to; decides nothing and knows nothing of the relay.
 */
package yewpath.operator;
