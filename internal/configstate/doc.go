// Package configstate decides which version of the configuration is in force: it applies a version, rejects it with a
// reason, or keeps it waiting for the endpoint list that it requires. It does no I/O and reads no clock: times are
// float64 seconds on the caller's clock.
//
// Routers and controllers keep a State. A controller first makes each version a Proposal, which it applies once all live
// routers have reported that they can apply it. Each router applies it on its next assignment, and may be one version
// behind until then. State and Proposal are not safe for concurrent use; a Version may be read concurrently once it has
// been applied.
package configstate
