/**
 * Reads configuration files in TOML. Each key has a type with a unit, a range and a default, and all errors
 * of a file are reported together, each with file, line and key. The programs that use this package define
 * which keys exist.
 */
package yewpath.configuration;
