// Package loadgen generates open-loop load: requests are sent on a schedule that does not depend on responses, and the
// latency of each request is measured from its scheduled time. A router that stalls therefore shows up as long
// latencies, not as fewer requests.
//
// Instants are float64 seconds since the start of a run; durations are float64 seconds.
package loadgen
