/**
 * The operator's file: the keys that it may contain ({@link yewpath.operator.OperatorKeys}), the conditions
 * that involve several keys, and the resulting settings. The package only reads the file and depends on no
 * other part of the relay.
 */
package yewpath.operator;
