/**
 * Plays a scenario in real time: the relays run in processes of their own, and the emulator's clients and
 * endpoints talk to them over sockets. The event calendar follows the clock, and the same referee checks the
 * run. The load is an open loop: submissions do not wait for earlier ones.
 */
package yewpath.lab.load;
