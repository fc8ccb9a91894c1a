/**
 * The delivery policy of a relay: to which endpoint a message is sent, when, how often, and when it is
 * rejected or fails.
 *
 * <p>The package has no I/O, no threads and no clock. The caller reports events to
 * {@link yewpath.DeliveryPolicy} and carries out the {@link yewpath.PolicyActions} that it asks for; the same
 * events lead to the same actions.
 */
package yewpath;
