/** A streaming JSON tokenizer over byte buffers, and typed access to small objects. */
package yewpath.json;
