/** Notices to the platform of messages that ended without delivery, repeated until they are acknowledged. */
package yewpath.outcome;
