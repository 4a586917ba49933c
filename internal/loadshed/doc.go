// Package loadshed decides what a router does when it is itself the bottleneck: which requests it turns away, which client
// connections make room for others, how it shuts down, and what a controller leaves out while it is late. It does no I/O,
// starts no goroutine and reads no clock; equal events give equal answers.
//
// A Shedder keeps a limit on the work that the process admits per second, from what the process measures of its own load. The
// limit is cut below what was really admitted when the process falls behind, and grows slowly while the process keeps pace and
// uses the limit. What is offered above the limit is turned away by priority for its cost, the lowest first. So the share that
// is shed follows the load at once, and is nothing as soon as the load is below the limit.
//
// Work is counted in units of one small request (Shedder.Cost). Times are float seconds: instants are on the caller's clock
// and end in At, durations end in Seconds. Shares go from 0 to 1.
package loadshed
