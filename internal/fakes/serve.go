package fakes

import (
	"bufio"
	"net"
	"os"
	"strings"
	"time"
)

// Serve plays on each connection to a loopback port of its own, and closes it behind that, until the listener is closed.
func Serve(play func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				play(c)
			}()
		}
	}()
	return l, nil
}

// Desk serves a line protocol: take gets each line, idle, where it is not nil, is called when none came for half a second.
func Desk(take func(c net.Conn, line string), idle func(c net.Conn)) (net.Listener, error) {
	return Serve(func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			if idle != nil {
				c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			}
			line, err := br.ReadString('\n')
			switch {
			case err == nil:
				take(c, strings.TrimSpace(line))
			case os.IsTimeout(err):
				idle(c)
			default:
				return
			}
		}
	})
}
