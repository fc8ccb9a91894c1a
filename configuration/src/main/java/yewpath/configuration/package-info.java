/**
 * Files of settings in TOML: keys with type, unit, range and default; every fault of a file at once, with file, line and
 * path. Knows neither the relay nor the lab, whose catalogues say which keys there are.
 */
package yewpath.configuration;
