package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports that FreePort draws from lie below those that the system hands out by itself, so that no one who asks for any port takes
// one meanwhile.
const (
	firstPort    = 15000
	portCount    = 17000
	portAttempts = 200
)

// FreePort gives a loopback address, HOST:PORT, on which nothing listens.
func FreePort() (string, error) {
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, firstPort+portCount)
}
