/** The rules, checked on every event of a run, written apart from Logic and from the stand-ins' accounts. */
package yewpath.lab.referee;
