// Package controlrpc transfers reports and assignments between routers and their controller: one gRPC stream per router,
// over a Unix socket or over TCP with mutual TLS. Messages are cumulative, so that a lost message does no harm: a report
// contains everything that the router has counted, an assignment the complete state that the router must apply. Package
// lease decides which messages are accepted.
//
// The generated package linkpb has the names on the wire. There a router is an edge, a controller a planner, a report a
// Digest, an assignment a View, an incarnation a life, an acknowledged report an echo, and a configuration hash terms;
// docs/glossary.md has the full table.
//
// Instants are float64 seconds since the Unix epoch; durations from the settings are float64 seconds.
package controlrpc

import "time"

// maxMessageBytes is the size limit of a message in either direction. An assignment with the endpoint list of a large
// fleet is well below it.
const maxMessageBytes = 64 << 20

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
