// Package processstats measures the process that it is in: its scheduling delay, garbage collection, processor and heap use.
// A sample is cheap enough to be taken ten times a second.
package processstats
