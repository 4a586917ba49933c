package config

import (
	"fmt"
	"strings"
)

// Link is how a router and its controller reach each other. Over TCP both show a certificate; the files may be replaced while the
// programs run.
type Link struct {
	// Address is unix:PATH, or HOST:PORT.
	Address string `edn:"address" validate:"required"`
	// Beat is the number of seconds between two reports of a router, and between its attempts to connect again. Twice that is to
	// stay below Rules.GraceSeconds.
	Beat float64 `edn:"beat" validate:"gt=0"`
	// SilenceSeconds is the number of seconds without a message after which the other end counts as dead.
	SilenceSeconds float64 `edn:"silence" validate:"gtfield=Beat"`
	// LeaseSeconds is the number of seconds for which a router may spend the canary attempts that were leased to it.
	LeaseSeconds float64 `edn:"lease" validate:"gtfield=Beat"`
	// Cert and Key are PEM files: the own certificate with its chain, and its key. Needed over TCP, as are CA and Peer.
	Cert string `edn:"cert" validate:"omitempty,filepath"`
	Key  string `edn:"key" validate:"omitempty,filepath"`
	// CA is a PEM file with the authorities that sign the other end's certificate.
	CA string `edn:"ca" validate:"omitempty,filepath"`
	// Peer is the DNS name in the other end's certificate.
	Peer string `edn:"peer" validate:"omitempty,printascii"`
}

// SocketPath is the path of the socket if the link is one.
func (l *Link) SocketPath() (path string, ok bool) { return strings.CutPrefix(l.Address, "unix:") }

// validate checks what concerns several fields. The key is empty if nothing is wrong.
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
			return credential.key, "missing; a link over TCP is encrypted and both ends are known"
		}
	}
	return "", ""
}

// Control is a control service that speaks xDS, and how it is connected to.
type Control struct {
	// Addresses are HOST:PORT. All of them are followed.
	Addresses []string `edn:"addresses" validate:"required,min=1,max=8,dive,hostname_port"`
	// SilenceSeconds is the number of seconds that a keepalive ping may stay unanswered.
	SilenceSeconds float64 `edn:"silence" validate:"gt=0"`
	// BackLeast and BackMost bound the exponential backoff between two connections, in seconds.
	BackLeast float64 `edn:"back-least" validate:"gt=0"`
	BackMost  float64 `edn:"back-most" validate:"gtefield=BackLeast"`
	// PairingTimeoutSeconds is the number of seconds that a configuration version waits for the endpoint list that it belongs with.
	PairingTimeoutSeconds float64 `edn:"patience" validate:"gt=0"`
	// MaxResponseBytes bounds one response.
	MaxResponseBytes int `edn:"most-bytes" validate:"gte=1024"`
	// Cert, Key, CA and Peer are as in Link. Optional: without all four the stream is plain text, for a service on the same host.
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
