// Package releases implements the release service's protocol: updates on the state of the newest build, and votes on
// that build. wire.go maps the protocol's values to those of the policy.
package releases
