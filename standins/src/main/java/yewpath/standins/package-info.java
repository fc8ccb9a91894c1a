/**
 * Scripted peers on loopback, written from the relay's published protocol and sharing no code with the relay, so that a
 * mistake in one is not repeated in the other. {@code io} holds connections, {@code script} says what goes wrong and
 * when, {@code peer} are endpoints, platform and clients, {@code referee} keeps the accounts, {@code demo} puts all
 * together.
 */
package yewpath.standins;
