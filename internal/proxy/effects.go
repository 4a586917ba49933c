package proxy

// effects is what is left to do once the lock is given back: connections to close, attempts to write, an answer to deliver.
type effects struct {
	connsToClose    []*endpointConn
	attemptsToWrite []*attempt
	answer          answer
	answeredRequest *request // the answer's; nil: there is no answer to deliver
}

// runEffects carries effects out. The caller does not hold p.mu. A connection is closed before the answer that makes it
// needless goes out, so that nothing of a request reaches an endpoint after its answer reached the client.
func (p *Proxy) runEffects(effects *effects) {
	for _, conn := range effects.connsToClose {
		conn.close()
	}
	for _, attempt := range effects.attemptsToWrite {
		p.writeAttempt(attempt)
	}
	if effects.answeredRequest != nil {
		p.protocol.deliverAnswer(effects.answeredRequest, effects.answer)
	}
}
