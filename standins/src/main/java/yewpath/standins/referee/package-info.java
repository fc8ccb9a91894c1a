/** What was owed and what became of it, envelope by envelope, kept apart from all that the relay says of itself. */
package yewpath.standins.referee;
