/**
 * Test servers and test clients for a relay, on loopback, with scripted faults. They are written from the
 * relay's published protocol and share no code with the relay, so that a mistake in one is not repeated in
 * the other.
 *
 * <p>{@code io} has connections and HTTP, {@code script} the faults and their times, {@code peer} the
 * endpoints, the platform and the clients, {@code referee} checks the delivery rules, {@code process} runs a
 * relay, and {@code demo} is a program that uses all of these.
 */
package yewpath.standins;
