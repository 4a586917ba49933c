// Package fakes plays what is around routers: endpoints, the endpoint list, the release service, control services, Prometheus servers
// and clients. They speak the published protocols on loopback sockets, and enter what they see there into an invariants.Record.
//
// Instants and durations are float64 seconds; instants are of the clock that each fake is given, one for all fakes of a scenario. A
// fake ends when it is stopped or closed, its goroutines with it; a fake server that ends by itself panics, since its test would wait
// for answers that never come.
package fakes
