// Package releases speaks the release service's protocol: updates about the newest build, and votes on it. The mapping between
// the protocol's words and the policy's values stands in wire.go.
package releases
