package config

import (
	"fmt"
	"strings"
)

// Link configures the connection between a router and its controller. Over TCP it is mutual TLS; certificate files may
// be replaced while the programs run.
type Link struct {
	// Address is unix:PATH or HOST:PORT.
	Address string `edn:"address" validate:"required"`
	// ReportIntervalSeconds is the interval of a router's reports, and of its attempts to reconnect. Twice the interval
	// should be below Rules.GraceSeconds.
	ReportIntervalSeconds float64 `edn:"beat" validate:"gt=0"`
	// SilenceSeconds is the time without a message after which the other end is considered dead.
	SilenceSeconds float64 `edn:"silence" validate:"gtfield=ReportIntervalSeconds"`
	// LeaseSeconds is how long a router may use the canary attempts that were leased to it.
	LeaseSeconds float64 `edn:"lease" validate:"gtfield=ReportIntervalSeconds"`
	// Cert and Key are PEM files: this program's certificate with its chain, and its private key. Required over TCP, as
	// are CA and Peer.
	Cert string `edn:"cert" validate:"omitempty,filepath"`
	Key  string `edn:"key" validate:"omitempty,filepath"`
	// CA is a PEM file with the authorities trusted to sign the other end's certificate.
	CA string `edn:"ca" validate:"omitempty,filepath"`
	// Peer is the DNS name expected in the other end's certificate.
	Peer string `edn:"peer" validate:"omitempty,printascii"`
}

// SocketPath returns the path of the Unix socket; ok is false if the link uses TCP.
func (l *Link) SocketPath() (path string, ok bool) { return strings.CutPrefix(l.Address, "unix:") }

// validate checks fields against each other. key is empty if the link is valid.
func (l *Link) validate() (key, problem string) {
	if _, ok := l.SocketPath(); ok {
		return "", ""
	}
	if err := ednValidator.Var(l.Address, "hostname_port"); err != nil {
		return ":address", fmt.Sprintf("%q is neither unix:PATH nor HOST:PORT", l.Address)
	}
	credentials := []struct{ key, value string }{{":cert", l.Cert}, {":key", l.Key}, {":ca", l.CA}, {":peer", l.Peer}}
	for _, credential := range credentials {
		if credential.value == "" {
			return credential.key, "missing; a link over TCP uses mutual TLS and needs :cert, :key, :ca and :peer"
		}
	}
	return "", ""
}

// Control configures the xDS control services and the connections to them.
type Control struct {
	// Addresses are the HOST:PORT of the services. The program follows all of them.
	Addresses []string `edn:"addresses" validate:"required,min=1,max=8,dive,hostname_port"`
	// SilenceSeconds is the timeout of a keep-alive ping.
	SilenceSeconds float64 `edn:"silence" validate:"gt=0"`
	// BackoffMinSeconds and BackoffMaxSeconds bound the exponential backoff between connections.
	BackoffMinSeconds float64 `edn:"back-least" validate:"gt=0"`
	BackoffMaxSeconds float64 `edn:"back-most" validate:"gtefield=BackoffMinSeconds"`
	// RequiredListTimeoutSeconds is how long a configuration version waits for the endpoint list that it requires.
	RequiredListTimeoutSeconds float64 `edn:"patience" validate:"gt=0"`
	// MaxResponseBytes is the maximum size of a response.
	MaxResponseBytes int `edn:"most-bytes" validate:"gte=1024"`
	// Cert, Key, CA and Peer are as in Link: all four or none. Without them the stream is plaintext, for a service on
	// the same host.
	Cert string `edn:"cert" validate:"omitempty,filepath"`
	Key  string `edn:"key" validate:"omitempty,filepath"`
	CA   string `edn:"ca" validate:"omitempty,filepath"`
	Peer string `edn:"peer" validate:"omitempty,printascii"`
}

func (c *Control) hasSomeCredentials() bool {
	return c.Cert != "" || c.Key != "" || c.CA != "" || c.Peer != ""
}

func (c *Control) hasAllCredentials() bool {
	return c.Cert != "" && c.Key != "" && c.CA != "" && c.Peer != ""
}
