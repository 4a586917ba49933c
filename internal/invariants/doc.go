// Package invariants checks the five rules that routers keep towards clients and endpoints:
//
//  1. Final answer: each request gets exactly one answer in time, and no attempt after it.
//  2. Effects: a request that is not idempotent does not run again where that is not safe.
//  3. Drains: an endpoint that drains or is gone gets no attempt after a grace.
//  4. Cold units: an endpoint in slow start is not overloaded.
//  5. Exposure: a canary gets no more attempts than its traffic limit allows.
//
// They are checked from a Record of what clients, endpoints and the services around the relays saw on their sockets. No relay's own
// word counts. Durations are float64 seconds, instants are float64 seconds on one clock.
package invariants
