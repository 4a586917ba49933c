// Package invariants checks the five rules that routers must keep towards clients and endpoints:
//
//  1. Final answer: each request gets exactly one answer by its deadline, and no attempt is sent after the answer.
//  2. Effects: a request that is not idempotent is not run again unless a repeat is safe.
//  3. Drains: an endpoint that is draining or gone gets no attempts once the grace period is over.
//  4. Cold units: an endpoint in slow start is not overloaded.
//  5. Exposure: a canary gets no more attempts than its traffic limit allows.
//
// The rules are checked against a Record of what clients, endpoints and the services around the routers observed on
// their sockets. Nothing that a router reports about itself is used. Durations are float64 seconds; times are float64
// seconds on a single clock.
package invariants
