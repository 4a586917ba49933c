// Package configstate decides which version of the configuration is in force: which version is applied, which is
// rejected and why, and which waits for the endpoint list that it requires. It does no I/O and reads no clock:
// times are float seconds on the caller's clock.
//
// A router keeps a State. A controller keeps one too, but first makes each version a Proposal, which it applies once
// all live routers could apply it. The routers follow with their next assignments, and may be one version behind until
// then. Neither type is safe for concurrent use; a Version may be read concurrently once it has been applied.
package configstate
