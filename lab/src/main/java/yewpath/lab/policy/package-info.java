/**
 * The policies that decide for an emulated relay: the relay's real {@link yewpath.DeliveryPolicy}, baseline
 * policies from the literature behind the same interface, each with its source, and an oracle that sees the
 * true state of the endpoints.
 */
package yewpath.lab.policy;
