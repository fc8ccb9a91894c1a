/**
 * The same scenario in real time: relays in processes of their own, met over sockets by the emulator's own clients and
 * endpoints, whose calendar here follows the clock; the same referee. Open loop: what is handed in does not wait.
 */
package yewpath.lab.load;
