// Package controlrpc carries reports and assignments between a router and its controller: one gRPC stream per router,
// over a Unix socket or over TCP with mutual TLS. Messages are cumulative: the newest report holds everything that a
// router has counted, the newest assignment everything that binds it, so losing one is harmless. Package lease decides
// which messages are accepted.
//
// The generated package linkpb keeps the names on the wire. There a router is an edge, a controller a planner, a report
// a Digest, an assignment a View, an incarnation a life, an acknowledged report an echo, and a configuration hash
// terms; docs/glossary.md has the whole table.
//
// Instants are float64 seconds since 1970; durations from the settings are float64 seconds.
package controlrpc

import "time"

// maxMessageBytes bounds one message in either direction. An assignment with the endpoint list of a large fleet is well
// below it.
const maxMessageBytes = 64 << 20

// seconds converts a duration from the settings.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
