package proxy

// effects collects the work to do after Proxy.mu is released: connections to close, attempts to write, an answer to
// deliver.
type effects struct {
	connsToClose    []*endpointConn
	attemptsToWrite []*attempt
	answer          answer
	answeredRequest *request // the request that answer is for; nil: there is none to deliver
}

// writeLater hands an attempt out for writing, once it has a connection. A shutdown may lower the attempt's deadline
// while it is written without the lock, so the writer gets a copy. The caller holds p.mu.
func (e *effects) writeLater(attempt *attempt) {
	attempt.writeDeadline = attempt.deadline
	e.attemptsToWrite = append(e.attemptsToWrite, attempt)
}

// runEffects carries out effects. The caller must not hold p.mu. Connections are closed before the answer is delivered,
// so that no byte of a request reaches an endpoint after the client got its answer.
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
