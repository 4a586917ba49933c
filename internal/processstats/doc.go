// Package processstats measures its own process: the scheduling delay of goroutines, the CPU time of the process and of
// its garbage collection, and the heap. Call New once and Sampler.Sample periodically; Sample is cheap enough for ten
// calls per second.
package processstats
