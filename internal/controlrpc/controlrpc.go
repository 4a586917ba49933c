// Package controlrpc carries reports and assignments between a router and its controller: one gRPC stream a router, over a Unix
// socket or over TCP with certificates on both ends. Each message is whole: the newest report holds all that a router counted,
// the newest assignment all that binds it, so that a lost one does no harm. Which message counts, package lease decides.
//
// The generated package linkpb keeps the wire's names. There a router is an edge, a controller a planner, a report a Digest, an
// assignment a View, an incarnation a life, an acknowledged report an echo, and a configuration hash terms; docs/glossary.md has
// the whole table.
//
// Instants are float64 seconds since 1970; durations of the settings are float64 seconds.
package controlrpc

import "time"

// maxMessageBytes bounds one message of either end: an assignment with the endpoint list of a large fleet is well below it.
const maxMessageBytes = 64 << 20

// seconds converts a duration of the settings.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
