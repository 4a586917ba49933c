// Package loadgen offers requests to an address in an open loop: they are sent at instants that do not wait for answers, and each is
// measured from the instant at which it was meant to be sent. A router that stands still so shows as long latencies, not as fewer
// requests.
//
// Instants are float64 seconds from the start of a run, durations float64 seconds.
package loadgen
