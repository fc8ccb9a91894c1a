/**
 * The coordinator: gathers the events of a round, hands them to the decision module and carries out its
 * actions; also configuration, start, reload and graceful shutdown.
 */
package yewpath.relay;
