// Package watch reads a stream of JSON objects from an HTTP response, and reconnects with backoff when the stream breaks.
package watch
