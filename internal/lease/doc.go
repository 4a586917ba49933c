// Package lease decides which messages between a controller and its routers are accepted, and leases each router a
// share of the free canary attempts: those that the canary traffic limit always allows per window, to all routers
// together. It does no I/O, starts no goroutine and reads no clock.
//
// The controller is the leader, each router is a follower. Every controller process has an epoch, which is higher than
// that of every earlier controller process, like a term in Raft: a router follows only the highest epoch that it has
// received. Every router process has an incarnation, which is higher than that of the router's earlier processes.
// Messages carry a sequence number that increases within the sending process.
//
// Routers send reports, controllers send assignments. Both are idempotent and cumulative: a report contains everything
// that the router process has counted so far, an assignment the complete state that the router must apply. So only the
// newest message matters, and a lost, repeated or reordered message does no harm.
//
// Leader implements the controller's side, Follower the router's, and Ledger records the shares that the leader has
// leased. None of them is safe for concurrent use. Times are float64 seconds: names of instants, on the caller's clock,
// end in At, and names of durations end in Seconds.
package lease
