/**
 * Coordinates the relay: queues the events of a round, reports them to the delivery policy and carries out
 * its actions. Also reads the configuration, and starts, reloads and shuts down the relay.
 */
package yewpath.relay;
