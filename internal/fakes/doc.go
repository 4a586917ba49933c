// Package fakes implements test doubles of the services around routers: endpoints, the endpoint list, the release
// service, control services, Prometheus servers and clients. They speak the published protocols on loopback sockets and
// add what they observe there to an invariants.Record.
//
// Times and durations are float64 seconds. Times are read from the clock that is passed to each fake; all fakes of a
// scenario share one clock. Stopping or closing a fake ends its goroutines. A fake server that ends without being
// stopped panics, because its test would otherwise wait for answers that never come.
package fakes
