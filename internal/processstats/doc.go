// Package processstats measures its own process: goroutine scheduling delay, and the use of garbage collection, CPU and
// heap. Call New once and Sampler.Sample periodically; a sample is cheap enough to be taken ten times a second.
package processstats
