// Package releases implements the release service's protocol: updates about the newest build, and votes on it.
// wire.go maps the protocol's values to the policy's.
package releases
