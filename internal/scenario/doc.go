// Package scenario runs scripts. A script starts real router and controller processes together with the fakes of
// package fakes, and injects the faults that it lists. At the end, the five rules of package invariants are checked
// against the traffic that the fakes recorded on their sockets.
//
// A script is an EDN file. Durations are float64 seconds, shares are fractions of 1. The keys are part of the
// operators' interface.
package scenario
