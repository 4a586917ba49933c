package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// FreePort draws from a range below the ephemeral ports of the operating system, so that a process that listens on any
// free port does not get the same one in the meantime.
const (
	firstPort    = 15000
	portCount    = 17000
	portAttempts = 200
)

// FreePort returns a loopback address, HOST:PORT, on which nothing listens.
func FreePort() (string, error) {
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("found no free port from %d to %d", firstPort, firstPort+portCount)
}
