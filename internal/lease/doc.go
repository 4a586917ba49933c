// Package lease decides, for the channel between a controller and its routers, which messages count and what share of
// the free canary attempts each router may use. It does no I/O, starts no goroutine and reads no clock.
//
// The controller is the leader, each router is a follower. Every controller process has an epoch, which is higher than
// that of every controller process before it, like a term in raft: a router follows the highest epoch that it has heard
// of and no other. Every router process has an incarnation, which is higher than that of the router's earlier
// processes. Messages carry a sequence that increases within the process that sends them.
//
// Routers send reports, controllers send assignments. Both are idempotent and cumulative: a report holds all that the
// router process has counted, an assignment all that binds the router. So only the newest message counts, and it is
// harmless if one is lost, repeated or reordered.
//
// A Leader is the controller's end, a Follower a router's, and the Ledger records the shares that the leader
// has leased. None of them is safe for concurrent use. Times are float seconds: instants are on the caller's
// clock and end in At, durations end in Seconds.
package lease
