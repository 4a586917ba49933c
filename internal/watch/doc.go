// Package watch follows JSON objects over a streamed HTTP response, and connects again when it breaks.
package watch
