// Package configstate decides which version of the configuration is in force: which version is applied, which is rejected and
// why, and which waits for the endpoint list that it belongs with. It does no I/O and reads no clock: times are float seconds on
// the caller's clock.
//
// A router keeps a State. A controller keeps one too, and makes each version a Proposal first: it is put in force once all routers
// alive could apply it. They follow with their next assignments, and may be a version apart until then. Neither is safe for concurrent use; a Version may be read by anyone once it was applied.
package configstate
