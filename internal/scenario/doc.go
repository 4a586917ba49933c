// Package scenario plays scripts: real routers and controllers run between the fakes of package fakes, while faults that the script
// names are injected, and the five rules of package invariants are checked from what was seen on the sockets.
//
// A script is an EDN file; its durations are float64 seconds, its shares fractions of 1. The keys are the operators' words.
package scenario
