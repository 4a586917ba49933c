package fakes

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// FreePort finds a loopback port below those that the system hands out by itself: nobody who asks for any port takes it
// meanwhile.
func FreePort() (string, error) {
	for range 200 {
		at := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(17000))
		if l, err := net.Listen("tcp", at); err == nil {
			l.Close()
			return at, nil
		}
	}
	return "", errors.New("no free port from 15000 to 32000")
}
