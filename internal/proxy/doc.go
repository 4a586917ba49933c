// Package proxy is the data path of a router: it reads requests from client connections, forwards them over pooled
// endpoint connections, and returns one answer for each. It decides nothing: policy.Balancer says where an attempt goes,
// when to retry and when to give up, and loadshed says what this process takes at all. The package tells them what
// happened, carries out their answers, and keeps the time.
//
// # Path of a request
//
// A protocol (HTTP/1.1 or RESP2) reads a message. Proxy.accept turns it into a request and asks the balancer.
// Proxy.assignConn finds a connection for the attempt, Proxy.writeAttempt writes it. The endpoint connection's goroutine
// reads the answer and enters it with Proxy.onAnswer, which tells the balancer and hands the answer to the protocol.
// Proxy.tick ends attempts and requests whose time is up.
//
// # Goroutines
//
// One goroutine serves each connection, on either side, and is the only one that reads from it. Whoever learns what comes
// next for a request writes for it, on any goroutine, without waiting; what the kernel does not take at once is written by
// a goroutine of its own, so that a peer that does not read holds up nobody else. One goroutine runs the timer. Proxy.Close
// ends and waits for all of them.
//
// # Locking
//
// Proxy.mu orders all calls into the balancer, and guards all that depends on them: requests, attempts, pools, counters.
// Nothing that may wait is done under it: closing and writing are collected as effects and run once the lock is given back.
// An answerQueue, a readWaiter and the memory budget have locks of their own. None of these is held while another lock is
// taken; only a readWaiter's may be taken under Proxy.mu.
//
// # Time
//
// As in the policy package, instants are float seconds on the clock of Proxy.Now, in fields that end in At, Since or
// Deadline; spans are float seconds in fields that end in Seconds. They become time.Duration only where a socket or a timer
// takes them.
package proxy
