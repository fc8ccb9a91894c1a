/** Reads and writes JSON with a streaming parser, and splits a byte stream into JSON objects. */
package yewpath.json;
