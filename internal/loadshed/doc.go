// Package loadshed decides what a router does when it is itself the bottleneck: which requests it sheds, which client
// connections it evicts to make room for others, how it shuts down, and what a controller skips while it is late. It
// does no I/O, starts no goroutine and reads no clock; equal sequences of calls return equal results.
//
// A Shedder limits the work that the process admits per second, based on the load that the process measures of itself.
// The limit is cut below the admitted rate when the process falls behind, and grows slowly while the process keeps up
// and uses the limit. Work offered above the limit is shed in the order of priority over cost, lowest first. The share
// that is shed therefore follows the load without delay, and is zero as soon as the load is below the limit.
//
// Work is measured in units of one small request (Shedder.Cost). Times are float seconds: instants are on the caller's
// clock, and their names end in At; names of durations end in Seconds. Shares range from 0 to 1.
package loadshed
