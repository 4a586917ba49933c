// Package proxy is the data path of a router: it reads requests from client connections, forwards them over pooled
// endpoint connections, and returns one answer for each. It makes no decisions: policy.Balancer chooses the endpoint of
// an attempt, when to retry and when to give up, and loadshed decides which requests this process admits. The package
// reports events to them, carries out their decisions and runs the timer.
//
// # Path of a request
//
// A protocol (HTTP/1.1 or RESP2) reads a message. Proxy.accept turns it into a request and asks the balancer.
// Proxy.assignConn finds a connection for the attempt and Proxy.writeAttempt writes it. The endpoint connection's
// goroutine reads the answer and calls Proxy.onAnswer, which notifies the balancer and passes the answer to the
// protocol. Proxy.tick ends attempts and requests whose deadline has passed.
//
// # Goroutines
//
// Each connection, client or endpoint, has one goroutine, the only one that reads from it. Any goroutine may write to
// it, without blocking; a separate goroutine writes what the kernel does not accept at once, so that a peer that does
// not read does not block the traffic of others. One goroutine runs the timer. Proxy.Close stops all of them and waits.
//
// # Locking
//
// Proxy.mu serializes all calls into the balancer and guards the state that depends on them: requests, attempts, pools
// and counters. Nothing that may block runs under it: closes and writes are collected as effects and run after the
// unlock, except in Close. An answerQueue, a readWaiter and the memory budget have their own locks. None of these is
// held while another lock is acquired. Only a readWaiter's lock may be acquired under Proxy.mu.
//
// # Time
//
// As in the policy package, instants are float seconds on the clock of Proxy.Now, in fields that end in At, Since or
// Deadline; durations are float seconds in fields that end in Seconds. They are converted to time.Duration only for
// sockets and timers.
package proxy
